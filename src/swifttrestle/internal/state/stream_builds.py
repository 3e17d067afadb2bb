"""The software versions that began streams, and those that services had lately."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.state.peers import NEVER, UNKNOWN

# Seconds for which a stream, or a version that a service has no more, is remembered: longer than
# callers take streams up.
MEMORY_SECONDS = 120.0
# Seconds between two lists after which versions may have been missed, for instance in a suspension.
MAX_GAP_SECONDS = 5.0
# Some megabytes; the oldest streams are forgotten.
MAX_STREAMS = 20_000


@dataclass(frozen=True)
class StreamOrigin:
    """The service and the software version of the upstream that began a stream."""

    service: str
    build: str

    def __str__(self) -> str:
        """Return the origin as logs show it."""
        return f"{self.service} {self.build}".rstrip()


class StreamBuilds:
    """Origins by stream and versions by service; times are seconds of the event loop's clock."""

    def __init__(self, knows_past: bool = False) -> None:
        """Start without knowledge; `knows_past` is whether there was nothing to know before."""
        # Since when versions are noted without a gap, and when they were noted last.
        self._noted_since = NEVER if knows_past else UNKNOWN
        self._noted_at = UNKNOWN
        # The origin and the time at which it was noted, by stream, in the order of these times.
        self._streams: dict[bytes, tuple[StreamOrigin, float]] = {}
        # The time at which each version was last seen, by service.
        self._seen: dict[str, dict[str, float]] = defaultdict(dict)

    def note_stream(self, stream: bytes, origin: StreamOrigin, now: float) -> None:
        """Record where a stream began, or goes on."""
        self._streams.pop(stream, None)
        make_room(self._streams, stream, MAX_STREAMS)
        self._streams[stream] = origin, now

    def find(self, stream: bytes, now: float) -> StreamOrigin | None:
        """Return where a stream began, or None if it is not known."""
        origin, noted_at = self._streams.get(stream, (None, now))
        return origin if now - noted_at < MEMORY_SECONDS else None

    def note_builds(self, service: str, builds: Iterable[str], now: float, known_at: float) -> None:
        """Record that a service has upstreams of these versions, by a list of the time `known_at`.

        However often an old list is looked at, it shows no version that came after it.
        """
        self._seen[service].update(dict.fromkeys(builds, now))
        if known_at == NEVER:
            return
        if known_at - self._noted_at > MAX_GAP_SECONDS:
            self._noted_since = known_at
        self._noted_since = min(self._noted_since, known_at)
        self._noted_at = known_at if self._noted_at == UNKNOWN else max(self._noted_at, known_at)

    def may_have_several(self, service: str, now: float) -> bool:
        """Return whether a service may have had upstreams of several versions lately.

        A version that was gone before the first look is not known.
        """
        if now - self._noted_since < MEMORY_SECONDS:
            return True
        recent = [at for at in self._seen.get(service, {}).values() if now - at < MEMORY_SECONDS]
        return len(recent) > 1

    def expire(self, now: float) -> None:
        """Forget what is older than MEMORY_SECONDS."""
        for stream, (_, noted_at) in list(self._streams.items()):
            if now - noted_at < MEMORY_SECONDS:
                break
            del self._streams[stream]
        for service, seen in list(self._seen.items()):
            recent = {build: at for build, at in seen.items() if now - at < MEMORY_SECONDS}
            if recent:
                self._seen[service] = recent
            else:
                del self._seen[service]
