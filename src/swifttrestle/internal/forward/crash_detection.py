"""Detects upstream crashes, and which requests were open at the crashed upstream.

A failed request alone may be due to a lost connection or a broken answer. It counts as open at a
crash only once the upstream is known to have ended: its address refuses connections, or it has
been restarted.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.crash_records import OpenRequest
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.pool import ConnectionPool

# Connections of a probe of which no peer has confirmed that they are refused. Half a second, in
# which a host finds a peer's path.
MAX_PROBES = 5
# Seconds for which a failed request may still turn out to have been open at a crash. An upstream
# that stops responding is reported by the discovery list only after several missed heartbeats:
# three of 1.2 s, and up to a second until this host learns of it.
PENDING_SECONDS = 6.0
# The same for a failure after which the address still accepted connections, as with a supervisor
# that holds the port: it counts only if the upstream is restarted within this time. It covers a
# restart within a second, the first heartbeat, and a second until this host learns of it. If these
# failures never counted, one request could crash many upstreams behind such supervisors.
OPEN_PORT_PENDING_SECONDS = 3.0
# Seconds between the loss of a connection and the probe of the upstream's address: a process that
# ends closes its connections before its port.
PROBE_DELAY_SECONDS = 0.005
# Maximum seconds for which a retry waits for probes. The address of a live host answers within
# milliseconds.
PROBE_TIMEOUT_SECONDS = 0.05
# Maximum number of pending failures of one upstream. More than one host has open there.
MAX_PENDING_PER_UPSTREAM = 256
# Number of upstreams with pending failures at which expired failures are removed.
MAX_UPSTREAMS_BEFORE_CLEANUP = 64
# Maximum number of request fingerprints, and of prompt parts, in a log line.
MAX_LOGGED_FINGERPRINTS = 20
MAX_LOGGED_PARTS = 20

OnCrash = Callable[[Instance, Sequence[OpenRequest]], None]


@dataclass(frozen=True)
class _PendingFailure:
    """A request that got no answer from an upstream; `timed_out` if its connection was not lost.

    `port_open` is set once the upstream's address has accepted a connection since: it is alive, or
    another process holds its port.
    """

    request: OpenRequest
    at: float
    timed_out: bool
    port_open: bool = False


class CrashDetector:
    """Probes upstreams at which requests failed, and reports crashes."""

    def __init__(self, pool: ConnectionPool, on_crash: OnCrash) -> None:
        """Probe through `pool`; call `on_crash` for each crash with the requests open there."""
        self._pool = pool
        self._on_crash = on_crash
        self._pending: dict[str, list[_PendingFailure]] = defaultdict(list)
        self._probes: dict[str, asyncio.Task[None]] = {}

    def note_broken(self, instance: Instance, request: OpenRequest) -> None:
        """Record that a request lost its connection, and probe the upstream."""
        if self._add_pending(instance, request, timed_out=False) and not instance.replaced:
            self._start_probe(instance)

    def note_timeout(self, instance: Instance, request: OpenRequest) -> None:
        """Record that a request timed out on a connection that stayed open."""
        if self._add_pending(instance, request, timed_out=True) and instance.gone:
            self._start_probe(instance)

    async def wait_for_probes(self) -> None:
        """Wait for the probes in progress, for PROBE_TIMEOUT_SECONDS at most."""
        if self._probes:
            await asyncio.wait(list(self._probes.values()), timeout=PROBE_TIMEOUT_SECONDS)

    def note_unlisted(self, instance: Instance) -> None:
        """Probe an upstream that the discovery list no longer contains."""
        if instance.name in self._pending:
            self._start_probe(instance)

    def note_replaced(self, instance: Instance) -> None:
        """Report a crash of an upstream that was restarted."""
        if not instance.record.leaving:
            self._report_crash(instance, "its next start", restarted=True)

    def _add_pending(self, instance: Instance, request: OpenRequest, *, timed_out: bool) -> bool:
        nothing_known = request.fingerprint is None and not request.parts
        if nothing_known or instance.record.leaving:
            # A draining upstream stops as planned, and may cut open requests.
            return False
        now = _now()
        if len(self._pending) >= MAX_UPSTREAMS_BEFORE_CLEANUP:
            self._drop_expired(now)
        pending = [item for item in self._pending[instance.name] if _is_recent(item, now)]
        pending.append(_PendingFailure(request, now, timed_out))
        self._pending[instance.name] = pending[-MAX_PENDING_PER_UPSTREAM:]
        return True

    def _drop_expired(self, now: float) -> None:
        for instance_name, items in list(self._pending.items()):
            if not any(_is_recent(item, now) for item in items):
                del self._pending[instance_name]

    def _start_probe(self, instance: Instance) -> None:
        """Probe the upstream's address, unless a probe is in progress."""
        if instance.name in self._probes:
            return
        task = asyncio.ensure_future(self._probe(instance))
        self._probes[instance.name] = task
        task.add_done_callback(lambda _: self._probes.pop(instance.name, None))

    async def _probe(self, instance: Instance) -> None:
        """Record what follows from whether the upstream's address accepts a connection."""
        await asyncio.sleep(PROBE_DELAY_SECONDS)
        started_at = _now()
        error = await self._connect(instance)
        if error is None:
            self._record_alive(instance, started_at)
            return
        # A timeout alone may be a network fault: it counts as a crash only if the discovery list
        # lacks the upstream as well.
        if (error.refused or instance.gone) and not instance.record.leaving:
            self._report_crash(instance, "its address", include_timeouts=instance.gone)

    async def _connect(self, instance: Instance) -> UpstreamUnreachedError | None:
        """Return the error of a connection to an upstream; None if it was made.

        Tries again while this host alone was refused, which may be its own path.
        """
        failure: UpstreamUnreachedError | None = None
        for _ in range(MAX_PROBES):
            try:
                await self._pool.probe(instance.name, instance.record.address)
            except UpstreamUnreachedError as error:
                failure = error
                if not error.unconfirmed:
                    break
            else:
                return None
        return failure

    def _record_alive(self, instance: Instance, at: float) -> None:
        """Mark the failures before a successful probe as `port_open`.

        They count as open at a crash only if the upstream turns out to have been restarted.
        """
        pending = self._pending.pop(instance.name, [])
        if pending:
            self._pending[instance.name] = [
                item if item.timed_out or item.at > at else replace(item, port_open=True)
                for item in pending
            ]
        if instance.gone:
            # No more requests are sent to this instance, even if its address accepts connections.
            self._pool.close_idle_connections(instance.name)

    def _report_crash(
        self,
        instance: Instance,
        source: str,
        *,
        include_timeouts: bool = False,
        restarted: bool = False,
    ) -> None:
        """Report a crash with the requests that were open there, if any."""
        now = _now()
        pending = self._pending.pop(instance.name, [])
        open_requests = [
            item
            for item in pending
            if _is_recent(item, now)
            and (restarted or include_timeouts or not item.timed_out)
            and (not item.port_open or (restarted and now - item.at < OPEN_PORT_PENDING_SECONDS))
        ]
        requests = list({item.request: None for item in open_requests})
        if not requests:
            return
        fingerprints = [item.fingerprint for item in requests if item.fingerprint is not None]
        parts = Counter(part for item in requests for part in item.parts)
        log_event(
            "upstream crashed",
            instance=instance.name,
            source=source,
            count=len(requests),
            open=[str(fingerprint) for fingerprint in fingerprints[:MAX_LOGGED_FINGERPRINTS]],
            parts=dict(parts.most_common(MAX_LOGGED_PARTS)),
        )
        self._on_crash(instance, requests)


def _is_recent(item: _PendingFailure, now: float) -> bool:
    return now - item.at < PENDING_SECONDS


def _now() -> float:
    return asyncio.get_running_loop().time()
