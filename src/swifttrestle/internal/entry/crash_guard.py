"""Keeps requests that crash upstreams from the others, at one entry.

The policy is that of the hosts on the platform. What an entry knows it keeps to itself: a request
may crash as many upstreams at each entry, and again after the entry's restart.
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
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint, digest_parts

# Seconds in which the look at an upstream's address must be answered.
LOOK_SECONDS = 0.3
# Looks at an address that still takes connections, and the seconds between two: a process that
# ends closes its connections and its port one after the other, on a busy machine some milliseconds
# apart. With a single look the scenario of a deadly request failed 8 times of 21 beside other work.
LOOKS = 4
LOOK_PAUSE_SECONDS = 0.02


def name_call(workspace: str, path: str, body: bytes) -> RequestFingerprint:
    """Return the name of a request: who sends it, where to, and what."""
    return RequestFingerprint(
        digest_parts((workspace.encode(), path.encode())), digest_parts((body,))
    )


class EntryCrashGuard:
    """Looks at the requests in work, by their ids; called from any thread."""

    def __init__(self, clock: Clock, metrics: Metrics, late_share: float) -> None:
        """Let requests go late by this share of the spread, from 0 to 1."""
        self._clock = clock
        self._metrics = metrics
        self._quarantine = Quarantine(late_share)
        self._names: dict[str, RequestFingerprint] = {}
        self._lock = threading.Lock()

    def begin(self, request_id: str, name: RequestFingerprint) -> None:
        """Keep the name of a request in work; raise RefusedError where it is kept back."""
        with self._lock:
            self._names[request_id] = name
        try:
            self.check(request_id)
        except RefusedError:
            self.end(request_id, answered=False)
            raise

    def check(self, request_id: str) -> None:
        """Raise RefusedError for a request that is kept from upstreams."""
        with self._lock:
            name = self._names.get(request_id)
            wait = self._quarantine.find_wait(name, self._clock.now()) if name else 0.0
        if wait:
            self._metrics.count("quarantine_refusals_total")
            message = "upstreams crashed under this request"
            raise RefusedError(Code.QUARANTINED, message, wait)

    def note_failure(
        self, request_id: str, upstream: str, address: str, error: UpstreamError
    ) -> None:
        """Count a crash against a request where its upstream listens no more."""
        sent = isinstance(error, UpstreamBrokenError) and error.sent
        if not sent or not is_refused(address):
            return
        now = self._clock.now()
        with self._lock:
            name = self._names.get(request_id)
            news = name is not None and self._quarantine.note(name, [Crash(upstream, now)], now)
        if news:
            self._metrics.count("upstream_crashes_total")
            log_info("upstream crashed under a request", upstream=upstream, name=str(name))

    def end(self, request_id: str, answered: bool) -> None:
        """Forget the id; where the request was answered, also what was held against it."""
        with self._lock:
            name = self._names.pop(request_id, None)
            if answered and name is not None:
                self._quarantine.clear_crashes(name, self._clock.now())

    def list_names(self) -> list[str]:
        """Return the quarantined requests, for the state dump."""
        with self._lock:
            return [str(case.name) for case in self._quarantine.list_quarantined()]


def is_refused(address: str) -> bool:
    """Return whether nobody listens at an address, given as HOST:PORT, or soon nobody does."""
    for look in range(LOOKS):
        if look:
            time.sleep(LOOK_PAUSE_SECONDS)
        if _is_refused_now(address):
            return True
    return False


def _is_refused_now(address: str) -> bool:
    try:
        socket.create_connection(parse_address(address), LOOK_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
