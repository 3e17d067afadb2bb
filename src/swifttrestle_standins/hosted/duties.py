"""A stand-in for the platform's duty calls: it judges who sends, and starts what is ordered."""

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

BODY_LIMIT = 4 * 1024 * 1024
# What a service in three zones may declare of its ordering.
SCALING = {
    "min": 1,
    "max": 6,
    "bootS": 0.2,
    "spotPrice": 0.15,
    "zonePrices": {"hall-a": 1.0, "hall-b": 0.9, "hall-c": 1.2},
}


@dataclass
class DutyFaults:
    """How the platform fails now; `lose_answers` counts calls to do without an answer."""

    down: bool = False
    lose_answers: int = 0
    dry_zones: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class DutyCall:
    """One call as it arrived; `at` is the loop's time."""

    at: float
    subject: str
    holder: str
    token: int
    body: dict[str, Any]


class StandInDuties(RequestHandler):
    """Takes calls, keeps what each of them broke, and brings ordered engines up and down."""

    def __init__(self, site: "Site", boot_seconds: float = 0.2, lease_seconds: float = 1.0) -> None:
        """Serve a site."""
        self.faults = DutyFaults()
        self.calls: list[DutyCall] = []
        self.reports: dict[int, dict[str, int]] = {}
        # Engines that were ordered or taken away, with what they recorded.
        self.ended: list[StandInEngine] = []
        # What a call broke, in words.
        self.broken: list[str] = []
        self._site = site
        self._boot_seconds = boot_seconds
        self._lease_seconds = lease_seconds
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def limits(self) -> Limits:
        """Return limits that no call here meets."""
        return Limits(header_seconds=60, idle_seconds=600)

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call, or fail as told."""
        content = await request.body.read_whole(BODY_LIMIT)
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
        self._judge(call)
        self.calls.append(call)
        status = self._take_report(body) if usage else self._take_order(body)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            reply.abort()
            return
        await reply.send_whole(status, (), b"")

    def _judge(self, call: DutyCall) -> None:
        earlier = [item for item in self.calls if item.subject == call.subject]
        for item in earlier:
            if item.token == call.token and item.holder != call.holder:
                self.broken.append(f"{call.holder} and {item.holder} sent {call.token}")
            if item.token > call.token:
                self.broken.append(f"{call.token} came after {item.token}")
        late = [item.holder for item in earlier if call.at - item.at < self._lease_seconds]
        turns = [holder for holder, _ in itertools.groupby([*late, call.holder])]
        if len(turns) > len(set(turns)):
            self.broken.append(f"holders took turns: {turns}")

    def _take_report(self, body: dict[str, Any]) -> int:
        window, counts = body["windowId"], body["counts"]
        if self.reports.setdefault(window, counts) != counts:
            self.broken.append(f"window {window} was reported twice, and differently")
        return 200

    def _take_order(self, body: dict[str, Any]) -> int:
        zone, wanted = body["zone"], body["desiredCount"]
        reclaimable = body.get("spot", False)
        standing = self._list_standing(body["service"], zone, reclaimable)
        if wanted > len(standing) and reclaimable and zone in self.faults.dry_zones:
            return 409
        for upstream in standing[wanted:]:
            self._withdraw(upstream, self._boot_seconds)
        for _ in range(wanted - len(standing)):
            self._start_engine(body["service"], zone, reclaimable)
        return 200

    def reclaim(self, zone: str, notice_seconds: float) -> None:
        """Take all reclaimable engines of a zone away, and have none there any more."""
        self.faults.dry_zones.add(zone)
        for upstream in list(self._site.upstreams.values()):
            if not isinstance(upstream, StandInEngine) or upstream.zone != zone:
                continue
            if upstream.reclaimable:
                upstream.leaves_ms = int(notice_seconds * 1000)
                self._withdraw(upstream, notice_seconds)

    def _list_standing(self, service: str, zone: str, reclaimable: bool) -> list[StandInEngine]:
        """Return the engines of a kind that serve or come up, and do not leave."""
        return [
            item
            for item in self._site.upstreams.values()
            if isinstance(item, StandInEngine)
            and (item.service, item.zone, item.reclaimable) == (service, zone, reclaimable)
            and not self._site.leaves(item)
        ]

    def _start_engine(self, service: str, zone: str, reclaimable: bool) -> None:
        engine = StandInEngine(f"n{next(self._numbers)}", service, zone, "prefill")
        engine.reclaimable = reclaimable
        self._site.upstreams[engine.instance] = engine
        self._later(self._boot_seconds, lambda: self._bring_up(engine))

    async def _bring_up(self, engine: StandInEngine) -> None:
        """Have an engine serve, unless it was withdrawn while it came up."""
        if engine.instance in self._site.upstreams:
            await self._site.add_upstream(engine)

    def _withdraw(self, engine: StandInEngine, seconds: float) -> None:
        """Have an engine leave within some seconds; one that still comes up never does."""
        if engine.instance not in self._site.addresses:
            del self._site.upstreams[engine.instance]
            return
        self._site.list_upstream(engine, "draining")
        self._later(seconds, functools.partial(self._end, engine))

    def _end(self, upstream: StandInEngine) -> None:
        self._site.unlist_upstream(upstream)
        self._site.upstreams.pop(upstream.instance, None)
        self.ended.append(upstream)

    def _later(self, seconds: float, act: Callable[[], Any]) -> None:
        async def wait() -> None:
            await asyncio.sleep(seconds)
            done = act()
            if asyncio.iscoroutine(done):
                await done

        task = asyncio.ensure_future(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Start and end nothing any more."""
        for task in list(self._tasks):
            task.cancel()


def count_kinds(site: "Site") -> tuple[int, int]:
    """Return the lasting and the reclaimable engines that serve or come up."""
    engines = [item for item in site.upstreams.values() if isinstance(item, StandInEngine)]
    kinds = [item.reclaimable for item in engines if not site.leaves(item)]
    return kinds.count(False), kinds.count(True)
