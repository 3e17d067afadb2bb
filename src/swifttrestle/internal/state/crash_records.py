"""What is held against a request: the crashes of upstreams that it was open at."""

from dataclasses import dataclass

from swifttrestle.internal.state.request_fingerprints import RequestFingerprint


@dataclass(frozen=True)
class Crash:
    """The end of one start of an upstream, at the loop's time `at`."""

    start: str
    at: float


@dataclass(frozen=True)
class CrashRecord:
    """A request, with the latest crashes that it was open at since its last answer."""

    name: RequestFingerprint
    crashes: tuple[Crash, ...]

    @property
    def last_crash_at(self) -> float:
        """When the latest crash was, in the loop's time."""
        return max(crash.at for crash in self.crashes)
