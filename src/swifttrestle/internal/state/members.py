"""Live hosts."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """One live host: its address, availability zone and link speed.

    `link_mbps` is in megabits per second, 0 if unknown.
    """

    host: str
    ip: str
    zone: str
    link_mbps: float = 0.0
