"""Which requests were open at an upstream that crashed, as far as this host saw.

A request that breaks off tells little: a connection was lost, a link was cut, an answer was
spoiled. It counts against the request only once the upstream itself is known to have ended, which
its address or its next start tells.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.internal.transport.pool import ConnectionPool

# Seconds for which a request that broke off may still turn out to have been open at a crash. An
# upstream that falls silent is told by the list alone: three heartbeats of 1.2 s and a second to
# hear of it.
UNSETTLED_SECONDS = 6.0
# Seconds after it broke off for which a doubtful one counts at a later start of its upstream: a
# start within a second, its first heartbeat, and a second to hear of it. A supervisor that keeps
# the port open let one request end 16 to 42 upstreams while such a start found nothing.
DOUBTFUL_SECONDS = 3.0
# Seconds between the loss of a connection and the look at its upstream's address: a process that
# ends closes its connections and its port one after the other.
LOOK_DELAY_SECONDS = 0.005
# Seconds that a repeat waits for looks: a live host's address tells within milliseconds.
LOOK_SECONDS = 0.05
# Requests kept for one upstream: more than one host has open there.
MOST_UNSETTLED = 256
# Upstreams for which requests are kept before those that are long past are looked for.
MOST_UPSTREAMS = 64
# Requests that a line names.
MOST_SHOWN = 20

OnCrash = Callable[[Instance, Sequence[RequestFingerprint]], None]


@dataclass(frozen=True)
class _Unsettled:
    """A request that got no answer from an upstream; `silent` where no connection was lost.

    `doubtful` is one after which the upstream's address took a connection: it lives, or another
    process holds its port.
    """

    name: RequestFingerprint
    at: float
    silent: bool
    doubtful: bool = False


class CrashWatch:
    """Looks at upstreams at which requests broke off, and tells which requests a crash met."""

    def __init__(self, pool: ConnectionPool, on_crash: OnCrash) -> None:
        """Look through `pool`; call `on_crash` for each crash with the requests open there."""
        self._pool = pool
        self._on_crash = on_crash
        self._unsettled: dict[str, list[_Unsettled]] = defaultdict(list)
        self._looks: dict[str, asyncio.Task[None]] = {}

    def note_broken(self, instance: Instance, name: RequestFingerprint | None) -> None:
        """Take over that a request's connection was lost, and look at the upstream."""
        if self._keep(instance, name, silent=False) and not instance.replaced:
            self._look(instance)

    def note_silent(self, instance: Instance, name: RequestFingerprint | None) -> None:
        """Take over that a request got no answer in its time, on a connection that still stood."""
        if self._keep(instance, name, silent=True) and instance.gone:
            self._look(instance)

    async def finish_looks(self) -> None:
        """Wait until the looks that are under way have told what they can, some time at most."""
        if self._looks:
            await asyncio.wait(list(self._looks.values()), timeout=LOOK_SECONDS)

    def note_withdrawn(self, instance: Instance) -> None:
        """Take over that the list does not name an upstream any more."""
        if instance.name in self._unsettled:
            self._look(instance)

    def note_replaced(self, instance: Instance) -> None:
        """Take over that a later start has taken an upstream's place."""
        if not instance.record.leaving:
            self._settle(instance, "its next start", next_start=True)

    def _keep(self, instance: Instance, name: RequestFingerprint | None, *, silent: bool) -> bool:
        if name is None or instance.record.leaving:
            # An upstream that leaves ends by plan, and may cut what is still open.
            return False
        now = _now()
        if len(self._unsettled) >= MOST_UPSTREAMS:
            self._drop_old(now)
        kept = [item for item in self._unsettled[instance.name] if _is_fresh(item, now)]
        kept.append(_Unsettled(name, now, silent))
        self._unsettled[instance.name] = kept[-MOST_UNSETTLED:]
        return True

    def _drop_old(self, now: float) -> None:
        for name, items in list(self._unsettled.items()):
            if not any(_is_fresh(item, now) for item in items):
                del self._unsettled[name]

    def _look(self, instance: Instance) -> None:
        """Try the upstream's address, once at a time for all that broke off there."""
        if instance.name in self._looks:
            return
        task = asyncio.ensure_future(self._try_address(instance))
        self._looks[instance.name] = task
        task.add_done_callback(lambda _: self._looks.pop(instance.name, None))

    async def _try_address(self, instance: Instance) -> None:
        await asyncio.sleep(LOOK_DELAY_SECONDS)
        began = _now()
        try:
            await self._pool.probe(instance.name, instance.record.address)
        except UpstreamUnreachedError as error:
            # A silent address alone may be a cut link; with the list's word it is a crash.
            if (error.refused or instance.gone) and not instance.record.leaving:
                self._settle(instance, "its address", silent_too=instance.gone)
            return
        self._note_alive(instance, began)

    def _note_alive(self, instance: Instance, at: float) -> None:
        """Hold what broke off before a look that found the address open against no request yet.

        It was no crash, unless a later start shows soon.
        """
        kept = self._unsettled.pop(instance.name, [])
        if kept:
            self._unsettled[instance.name] = [
                item if item.silent or item.at > at else replace(item, doubtful=True)
                for item in kept
            ]
        if instance.gone:
            # Whoever listens there now, no request goes there under this name.
            self._pool.forget(instance.name)

    def _settle(
        self,
        instance: Instance,
        source: str,
        *,
        silent_too: bool = False,
        next_start: bool = False,
    ) -> None:
        """Tell of a crash and of the requests that were open there."""
        now = _now()
        kept = self._unsettled.pop(instance.name, [])
        open_then = [
            item
            for item in kept
            if _is_fresh(item, now)
            and (next_start or silent_too or not item.silent)
            and (not item.doubtful or (next_start and now - item.at < DOUBTFUL_SECONDS))
        ]
        names = list({item.name: None for item in open_then})
        if not names:
            return
        log_event(
            "upstream crashed",
            instance=instance.name,
            source=source,
            count=len(names),
            open=[str(name) for name in names[:MOST_SHOWN]],
        )
        self._on_crash(instance, names)


def _is_fresh(item: _Unsettled, now: float) -> bool:
    return now - item.at < UNSETTLED_SECONDS


def _now() -> float:
    return asyncio.get_running_loop().time()
