"""Quarantines requests and prompt prefixes that crash upstreams, at one entry.

The policy is that of the gateways. The state is local to the entry: each entry counts crashes on
its own, and loses its counts when it restarts.
"""

import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError, UpstreamBrokenError, UpstreamError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.logs import log_info
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.crash_records import Crash, OpenRequest
from swifttrestle.internal.state.fingerprints import Fingerprint, digest_parts

PROBE_TIMEOUT_SECONDS = 0.3
# An exiting process closes its connections some milliseconds before its port, so an address that
# still accepts connections is probed again.
MAX_PROBES = 4
PROBE_INTERVAL_SECONDS = 0.02
# Lengths, in blocks, of the prefixes of a prompt that crashes count against: each one up to
# DENSE_PREFIXES, then PREFIX_GROWTH times the last one. A common beginning is thus known to within
# a quarter of its length, by some thirty records for the longest prompts.
DENSE_PREFIXES = 8
PREFIX_GROWTH = 1.25


def describe_request(
    workspace: str, path: str, body: bytes, blocks: Sequence[int] = ()
) -> OpenRequest:
    """Return what may be to blame in a request: digests of it, and of its prompt's prefixes.

    `blocks` are the digests of the prompt's prefixes, see `split_blocks`; empty for a plain
    service.
    """
    head = digest_parts((workspace.encode(), path.encode()))
    fingerprint = Fingerprint(head, digest_parts((body,)))
    return OpenRequest(fingerprint, _name_prefixes(blocks))


def _name_prefixes(blocks: Sequence[int]) -> tuple[str, ...]:
    """Return the names of the prefixes of a prompt that other prompts may have as well."""
    names = []
    length = 1
    while length <= len(blocks):
        names.append(f"{length}/{blocks[length - 1]:08x}")
        length += 1 if length < DENSE_PREFIXES else int(length * (PREFIX_GROWTH - 1))
    return tuple(names)


@dataclass
class _Tracked:
    """An open request; `failed` is set once an upstream failed during it."""

    request: OpenRequest
    failed: bool = False


class EntryCrashGuard:
    """Counts crashes against open requests and refuses quarantined ones; thread-safe."""

    def __init__(self, clock: Clock, metrics: Metrics, jitter_share: float) -> None:
        """Lengthen quarantines by this share of the largest jitter, from 0 to 1."""
        self._clock = clock
        self._metrics = metrics
        self._quarantine = Quarantine(jitter_share)
        self._open: dict[str, _Tracked] = {}
        self._lock = threading.Lock()

    def begin(self, request_id: str, request: OpenRequest) -> None:
        """Track an open request; raise RefusedError if it is quarantined."""
        with self._lock:
            self._open[request_id] = _Tracked(request)
        try:
            self.check(request_id)
        except RefusedError:
            self.end(request_id, answered=False)
            raise

    def check(self, request_id: str) -> None:
        """Raise RefusedError if a request is quarantined."""
        wait = self._find_wait(request_id)
        if wait:
            self._metrics.count("quarantine_refusals_total")
            message = "upstreams crashed while they processed this request"
            raise RefusedError(Code.QUARANTINED, message, wait)

    def is_quarantined(self, request_id: str) -> bool:
        """Return whether a request is quarantined, without counting a refusal."""
        return self._find_wait(request_id) > 0

    def _find_wait(self, request_id: str) -> float:
        """Return the seconds for which a request or a prefix of its prompt is quarantined."""
        with self._lock:
            tracked = self._open.get(request_id)
            if tracked is None or not len(self._quarantine):
                return 0.0
            now = self._clock.now()
            return max(
                self._quarantine.find_wait(name, now) for name in tracked.request.fingerprints
            )

    def record_failure(
        self, request_id: str, upstream: str, address: str, error: UpstreamError
    ) -> None:
        """Count a crash against a request whose upstream no longer listens."""
        was_sent = isinstance(error, UpstreamBrokenError) and error.sent
        if was_sent:
            self._note_failed(request_id)
        if not was_sent or not is_port_closed(address):
            return
        now = self._clock.now()
        with self._lock:
            tracked = self._open.get(request_id)
            names = tracked.request.fingerprints if tracked else ()
            crash = Crash(upstream, now)
            new = [name for name in names if self._quarantine.note(name, [crash], now)]
        if new:
            self._metrics.count("upstream_crashes_total")
            log_info("upstream crashed during a request", upstream=upstream, name=str(new[0]))

    def _note_failed(self, request_id: str) -> None:
        with self._lock:
            tracked = self._open.get(request_id)
            if tracked is not None:
                tracked.failed = True

    def end(self, request_id: str, answered: bool) -> None:
        """Stop tracking a request; a response also clears the crashes counted against it.

        It clears those of the prompt's prefixes only if one upstream gave the whole response: one
        that continued it may have had little left to do.
        """
        with self._lock:
            tracked = self._open.pop(request_id, None)
            if not answered or tracked is None:
                return
            now = self._clock.now()
            for name in tracked.request.fingerprints:
                if not name.is_part or not tracked.failed:
                    self._quarantine.clear_crashes(name, now)

    def list_quarantined(self) -> list[str]:
        """Return the fingerprints of quarantined requests, for the state dump."""
        with self._lock:
            return [str(record.name) for record in self._quarantine.list_quarantined()]


def is_port_closed(address: str) -> bool:
    """Return whether one of a few connections to HOST:PORT is refused."""
    for probe in range(MAX_PROBES):
        if probe:
            time.sleep(PROBE_INTERVAL_SECONDS)
        if _refuses_connection(address):
            return True
    return False


def _refuses_connection(address: str) -> bool:
    try:
        socket.create_connection(parse_address(address), PROBE_TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
