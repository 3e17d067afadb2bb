"""Quarantines requests that crash upstreams, at one entry.

The policy is that of the gateways. The state is local to the entry: each entry counts crashes on
its own, and loses its counts when it restarts.
"""

import socket
import threading
import time

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError, UpstreamBrokenError, UpstreamError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.logs import log_info
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.fingerprints import Fingerprint, digest_parts

PROBE_TIMEOUT_SECONDS = 0.3
# An exiting process closes its connections some milliseconds before its port, so an address that
# still accepts connections is probed again.
MAX_PROBES = 4
PROBE_INTERVAL_SECONDS = 0.02


def make_fingerprint(workspace: str, path: str, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request: digests of its workspace, path and body."""
    return Fingerprint(digest_parts((workspace.encode(), path.encode())), digest_parts((body,)))


class EntryCrashGuard:
    """Counts crashes against open requests and refuses quarantined ones; thread-safe."""

    def __init__(self, clock: Clock, metrics: Metrics, jitter_share: float) -> None:
        """Lengthen quarantines by this share of the largest jitter, from 0 to 1."""
        self._clock = clock
        self._metrics = metrics
        self._quarantine = Quarantine(jitter_share)
        self._fingerprints: dict[str, Fingerprint] = {}
        self._lock = threading.Lock()

    def begin(self, request_id: str, fingerprint: Fingerprint) -> None:
        """Track an open request; raise RefusedError if it is quarantined."""
        with self._lock:
            self._fingerprints[request_id] = fingerprint
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
        """Return the seconds for which a request is still quarantined."""
        with self._lock:
            fingerprint = self._fingerprints.get(request_id)
            if fingerprint is None:
                return 0.0
            return self._quarantine.find_wait(fingerprint, self._clock.now())

    def record_failure(
        self, request_id: str, upstream: str, address: str, error: UpstreamError
    ) -> None:
        """Count a crash against a request whose upstream no longer listens."""
        was_sent = isinstance(error, UpstreamBrokenError) and error.sent
        if not was_sent or not is_port_closed(address):
            return
        now = self._clock.now()
        with self._lock:
            fingerprint = self._fingerprints.get(request_id)
            is_new = fingerprint is not None and self._quarantine.note(
                fingerprint, [Crash(upstream, now)], now
            )
        if is_new:
            self._metrics.count("upstream_crashes_total")
            log_info("upstream crashed during a request", upstream=upstream, name=str(fingerprint))

    def end(self, request_id: str, answered: bool) -> None:
        """Stop tracking a request; a response also clears the crashes counted against it."""
        with self._lock:
            fingerprint = self._fingerprints.pop(request_id, None)
            if answered and fingerprint is not None:
                self._quarantine.clear_crashes(fingerprint, self._clock.now())

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
