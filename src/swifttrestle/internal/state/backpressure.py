"""What upstreams say in their answers about the work that they take."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Backpressure:
    """What one answer says of the upstream that gave it.

    `rest` is for how many seconds it wants nothing from this host, 0 where it asks for none and
    None where the time that it names cannot be read. `rate` is how many requests a second it takes
    from all hosts together, None where it names no limit. `unreadable` holds what could not be
    read, as
    texts of name and value.
    """

    leaving: bool = False
    rest: float | None = 0.0
    rate: float | None = None
    unreadable: tuple[str, ...] = ()


NO_BACKPRESSURE = Backpressure()
