"""Finds out whether a silent or failing upstream is there, by new connections to it.

An upstream that is silent for a second or so accepts connections, at the latest once it goes on;
one whose host is gone does not, nor does one that has not started again after a crash.
"""

import asyncio
from dataclasses import dataclass

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.pool import ConnectionPool

# Failed connections in a row after which an upstream counts as unreachable.
FAILURES_TO_UNREACHABLE = 2
# Seconds for which the result of the probes is used.
RESULT_SECONDS = 0.5


@dataclass
class _Probes:
    """The probes of one upstream; the time is the event loop's."""

    task: "asyncio.Task[None] | None" = None
    # Whether the last probes that have ended failed.
    failed: bool = False
    # The same, but false again once new ones have begun.
    unreachable: bool = False
    ended_at: float = float("-inf")


class ReachabilityProber:
    """Probes upstreams on demand; all requests of a host share the probes of one upstream."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Probe through `pool`."""
        self._pool = pool
        self._probes: dict[str, _Probes] = {}

    def is_unreachable(self, instance: Instance) -> bool:
        """Return whether the last probes have failed; start new ones if these are outdated."""
        return self._get_probes(instance).unreachable

    def may_be_reached(self, instance: Instance) -> bool:
        """Return whether the last probes have not failed, or none has ended; start new ones."""
        return not self._get_probes(instance).failed

    def _get_probes(self, instance: Instance) -> _Probes:
        probes = self._probes.setdefault(instance.name, _Probes())
        if probes.task is None and _now() - probes.ended_at >= RESULT_SECONDS:
            probes.unreachable = False
            probes.task = asyncio.ensure_future(self._probe(instance, probes))
            self._forget_old()
        return probes

    async def _probe(self, instance: Instance, probes: _Probes) -> None:
        try:
            for _ in range(FAILURES_TO_UNREACHABLE):
                if await self._reach(instance):
                    probes.failed = False
                    return
            probes.unreachable = probes.failed = True
        finally:
            probes.ended_at = _now()
            probes.task = None

    async def _reach(self, instance: Instance) -> bool:
        try:
            await self._pool.probe(instance.name, instance.record.address)
        except UpstreamUnreachedError:
            return False
        return True

    def _forget_old(self) -> None:
        """Forget the results that are outdated."""
        now = _now()
        self._probes = {
            name: probes
            for name, probes in self._probes.items()
            if probes.task is not None or now - probes.ended_at < RESULT_SECONDS
        }


def _now() -> float:
    return asyncio.get_running_loop().time()
