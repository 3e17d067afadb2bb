"""The hosts that live."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """One live host: where its peers reach it, its availability zone, its link's speed.

    The speed is in megabits a second, 0 where it is not known.
    """

    host: str
    ip: str
    zone: str
    link_mbps: float = 0.0
