"""A stand-in for the platform's duty API: checks the senders' leases and starts ordered engines."""

import asyncio
import functools
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter
from swifttrestle_standins.hosted.upstreams import StandInEngine, read_headers

if TYPE_CHECKING:
    from swifttrestle_standins.hosted.site import Site

MAX_BODY_BYTES = 4 * 1024 * 1024
# Scaling settings of a service in three zones.
SCALING = {
    "min": 1,
    "max": 6,
    "bootS": 0.2,
    "spotPrice": 0.15,
    "zonePrices": {"hall-a": 1.0, "hall-b": 0.9, "hall-c": 1.2},
}


@dataclass
class DutyFaults:
    """Injected faults of the duty API.

    `lose_answers` is the number of calls to apply without answering. Zones in `dry_zones` are out
    of reclaimable capacity.
    """

    down: bool = False
    lose_answers: int = 0
    dry_zones: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class DutyCall:
    """One received call; `at` is in seconds of the event loop's clock."""

    at: float
    subject: str
    holder: str
    token: int
    body: dict[str, Any]


class StandInDuties(RequestHandler):
    """Applies duty calls, records rule violations, and starts and stops ordered engines."""

    def __init__(self, site: "Site", boot_seconds: float = 0.2, lease_seconds: float = 1.0) -> None:
        """Serve the duty API of a site; times in seconds."""
        self.faults = DutyFaults()
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        # Engines that were removed, with their records.
        self.ended: list[StandInEngine] = []
        # Descriptions of the rules that calls violated.
        self.violations: list[str] = []
        self._site = site
        self._boot_seconds = boot_seconds
        self._lease_seconds = lease_seconds
        self._engine_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def limits(self) -> Limits:
        """Return limits that calls do not reach."""
        return Limits(header_seconds=60, idle_seconds=600)

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call, or inject a fault."""
        content = await request.body.read_whole(MAX_BODY_BYTES)
        if self.faults.down:
            await reply.send_whole(503, (), b"")
            return
        headers = read_headers(request)
        body = orjson.loads(content)
        path = request.head.target.decode()
        usage = path == "/usage"
        subject = path if usage else f"{path} {body['service']} {body['zone']}"
        holder, token = headers["x-lease-holder"], int(headers["x-fencing-token"])
        now = asyncio.get_running_loop().time()
        call = DutyCall(now, subject, holder, token, body)
        self._check_call(call)
        self.calls.append(call)
        status = self._record_report(body) if usage else self._apply_order(body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            reply.abort()
            return
        await reply.send_whole(status, (), b"")

    def _check_call(self, call: DutyCall) -> None:
        earlier = [item for item in self.calls if item.subject == call.subject]
        for item in earlier:
            if item.token == call.token and item.holder != call.holder:
                self.violations.append(
                    f"{call.holder} and {item.holder} both sent fencing token {call.token}"
                )
            if item.token > call.token:
                self.violations.append(f"fencing token {call.token} arrived after {item.token}")
        recent_holders = [
            item.holder for item in earlier if call.at - item.at < self._lease_seconds
        ]
        holder_changes = [holder for holder, _ in itertools.groupby([*recent_holders, call.holder])]
        if len(holder_changes) > len(set(holder_changes)):
            self.violations.append(f"lease holders alternated within a lease: {holder_changes}")

    def _record_report(self, body: dict[str, Any]) -> int:
        window, counts = body["windowId"], body["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"window {window} was reported twice with different counts")
        return 200

    def _apply_order(self, body: dict[str, Any]) -> int:
        zone, wanted = body["zone"], body["desiredCount"]
        reclaimable = body.get("spot", False)
        active = self._list_active(body["service"], zone, reclaimable)
        if wanted > len(active) and reclaimable and zone in self.faults.dry_zones:
            return 409
        for upstream in active[wanted:]:
            self._drain(upstream, self._boot_seconds)
        for _ in range(wanted - len(active)):
            self._start_engine(body["service"], zone, reclaimable)
        return 200

    def reclaim(self, zone: str, notice_seconds: float) -> None:
        """Reclaim all reclaimable engines of a zone, which is out of reclaimable capacity then."""
        self.faults.dry_zones.add(zone)
        for upstream in list(self._site.upstreams.values()):
            if not isinstance(upstream, StandInEngine) or upstream.zone != zone:
                continue
            if upstream.reclaimable:
                upstream.leaves_ms = int(notice_seconds * 1000)
                self._drain(upstream, notice_seconds)

    def _list_active(self, service: str, zone: str, reclaimable: bool) -> list[StandInEngine]:
        """Return the engines of a service and kind that serve or boot and are not draining."""
        return [
            item
            for item in self._site.upstreams.values()
            if isinstance(item, StandInEngine)
            and (item.service, item.zone, item.reclaimable) == (service, zone, reclaimable)
            and not self._site.is_draining(item)
        ]

    def _start_engine(self, service: str, zone: str, reclaimable: bool) -> None:
        engine = StandInEngine(f"n{next(self._engine_numbers)}", service, zone, "prefill")
        engine.reclaimable = reclaimable
        self._site.upstreams[engine.instance] = engine
        self._schedule(self._boot_seconds, lambda: self._start_serving(engine))

    async def _start_serving(self, engine: StandInEngine) -> None:
        """Make an engine serve, unless it was removed while it was booting."""
        if engine.instance in self._site.upstreams:
            await self._site.add_upstream(engine)

    def _drain(self, engine: StandInEngine, seconds: float) -> None:
        """Drain an engine and remove it after `seconds`; remove a booting one at once."""
        if engine.instance not in self._site.addresses:
            del self._site.upstreams[engine.instance]
            return
        self._site.list_upstream(engine, "draining")
        self._schedule(seconds, functools.partial(self._remove, engine))

    def _remove(self, upstream: StandInEngine) -> None:
        self._site.unlist_upstream(upstream)
        self._site.upstreams.pop(upstream.instance, None)
        self.ended.append(upstream)

    def _schedule(self, seconds: float, action: Callable[[], Any]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            done = action()
            if asyncio.iscoroutine(done):
                await done

        task = asyncio.ensure_future(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all scheduled starts and removals."""
        for task in list(self._tasks):
            task.cancel()


def count_engines_by_kind(site: "Site") -> tuple[int, int]:
    """Return the numbers of non-reclaimable and reclaimable engines that serve or boot."""
    engines = [item for item in site.upstreams.values() if isinstance(item, StandInEngine)]
    kinds = [item.reclaimable for item in engines if not site.is_draining(item)]
    return kinds.count(False), kinds.count(True)
