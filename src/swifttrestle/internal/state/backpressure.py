"""Backpressure that an upstream signals in its responses."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Backpressure:
    """Backpressure signals of one response.

    `cool_down` is the time in seconds for which the upstream wants no request from this host, 0 if
    it asks for none and None if the value is malformed. `rate` is its limit in requests per second
    from all hosts together, None if it names no limit. `unreadable` lists the malformed headers, as
    "name: value".
    """

    leaving: bool = False
    cool_down: float | None = 0.0
    rate: float | None = None
    unreadable: tuple[str, ...] = ()


NO_BACKPRESSURE = Backpressure()
