"""Requests that were open at upstreams as these crashed."""

from dataclasses import dataclass

from swifttrestle.internal.state.fingerprints import Fingerprint, fingerprint_part


@dataclass(frozen=True)
class Crash:
    """The crash of an upstream's incarnation `start`, at the event loop's time `at`."""

    start: str
    at: float


@dataclass(frozen=True)
class OpenRequest:
    """A request that was open at an upstream.

    `fingerprint` is None if its body was incomplete. `parts` are the names of the parts of its
    prompt that other prompts may have as well.
    """

    fingerprint: Fingerprint | None
    parts: tuple[str, ...] = ()

    @property
    def fingerprints(self) -> tuple[Fingerprint, ...]:
        """What may be to blame: the request itself, if it is known, and its parts."""
        own = () if self.fingerprint is None else (self.fingerprint,)
        return (*own, *map(fingerprint_part, self.parts))


@dataclass(frozen=True)
class CrashRecord:
    """A request and the latest crashes during which it was open, since its last response."""

    name: Fingerprint
    crashes: tuple[Crash, ...]

    @property
    def last_crash_at(self) -> float:
        """The event loop's time of the latest crash."""
        return max(crash.at for crash in self.crashes)
