"""What each upstream takes now, by its own words: hears them in all answers, and keeps them."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable

from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.backpressure import Backpressure
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.upstream_conditions import NEVER, RateLimit, UpstreamCondition
from swifttrestle.internal.transport.messages import ResponseHead
from swifttrestle.platform.backpressure import read_backpressure
from swifttrestle.platform.wire import has_request_id, is_from_instance

# The source of a word that this host heard itself.
OWN = "own"
# Share by which a limit must differ from the one known for others to be told of it: what differs
# less stays within what an upstream bears beyond its limit.
TOLD_CHANGE_SHARE = 0.1
# Seconds of rest where the time that is asked for cannot be read, and at most.
UNKNOWN_REST_SECONDS = 1.0
LONGEST_REST_SECONDS = 3600.0
# Seconds after which a start that nothing is heard of is forgotten, and between looks for these.
FORGET_SECONDS = 600.0
EXPIRE_SECONDS = 30.0


class UpstreamConditionTable:
    """The conditions of all starts that this host has heard of; used from the event loop alone."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        """Start with nothing heard; starts are those of `fleet`."""
        self._fleet = fleet
        self._metrics = metrics
        self._conditions: dict[str, UpstreamCondition] = defaultdict(UpstreamCondition)
        fleet.announced_leaving = self.is_leaving
        # Called with a start whose limit this host has heard to be another one.
        self.announce_limit: Callable[[str, RateLimit], None] = do_nothing
        # Called with a start that has told this host that it leaves.
        self.announce_leaving: Callable[[str], None] = do_nothing
        # Called when an upstream that was held back may take work again.
        self.on_room: Callable[[], None] = do_nothing

    # Asking.

    def find_rate_limit(self, start: str) -> RateLimit:
        """Return the newest word on a start's limit."""
        known = self._conditions.get(start)
        return known.rate_limit if known else RateLimit()

    def find_wait_seconds(
        self, instance: Instance, now: float, urgent: bool, permitted: bool = False
    ) -> float:
        """Return the seconds for which an upstream takes no request from this host."""
        known = self._conditions.get(instance.name)
        return known.find_wait_seconds(now, urgent, permitted) if known else 0.0

    def find_shortest_hold(
        self, instances: Iterable[Instance], now: float, urgent: bool = False
    ) -> float:
        """Return the seconds until one of some upstreams takes a request; 0 where there is none."""
        return min((self.find_wait_seconds(item, now, urgent) for item in instances), default=0.0)

    def check(self, instance: Instance, urgent: bool, permitted: bool = False) -> None:
        """Raise UpstreamHeldError for an upstream that takes no request from this host now."""
        seconds = self.find_wait_seconds(instance, _now(), urgent, permitted)
        if seconds > 0:
            raise UpstreamHeldError(f"{instance.name} takes nothing now", seconds)

    # Hearing.

    def record_answer(self, start: str, head: ResponseHead, sent_at: float) -> None:
        """Take over what an answer says; its request was sent at the loop's time `sent_at`."""
        instance = self._fleet.instances.get(start)
        if instance is not None and not is_from_instance(
            head.status, head.headers, instance.record.instance
        ):
            # Another one has its address now and speaks for itself.
            return
        said = read_backpressure(head.status, head.headers)
        if said.unreadable:
            self._note_odd(start, said.unreadable)
        self._hear_rate(start, said, head, sent_at)
        if said.leaving and self.take_leaving(start, OWN):
            self.announce_leaving(start)
        if said.rest != 0.0:
            self._hear_rest(start, said.rest)
        elif start in self._conditions and self._conditions[start].note_taken(sent_at):
            self.on_room()

    def is_leaving(self, start: str) -> bool:
        """Return whether a start has said that it leaves; it does not take that back."""
        known = self._conditions.get(start)
        return known is not None and known.leaving

    def take_leaving(self, start: str, source: str) -> bool:
        """Take over that a start has said that it leaves; return whether that was news."""
        if self.is_leaving(start):
            return False
        self._conditions[start].leaving = True
        self._fleet.note_leaving(start)
        log_event("upstream says that it leaves", instance=start, source=source)
        return True

    def apply_rate_limit(self, start: str, rate_limit: RateLimit, source: str) -> bool:
        """Take over a word on a start's limit if it is newer; return whether it says otherwise."""
        known = self._conditions.get(start)
        before = known.rate_limit if known else RateLimit()
        if rate_limit.at <= before.at:
            return False
        condition = self._conditions[start]
        condition.rate_limit = rate_limit
        if not _differs(rate_limit.rate, before.rate):
            return False
        condition.lift_denials()
        log_event("upstream limit", instance=start, rate=rate_limit.rate, source=source)
        self.on_room()
        return True

    def deny(self, start: str, seconds: float, urgent: bool) -> None:
        """Take over that the limit of a start leaves no request to this host for a while."""
        now = _now()
        self._conditions[start].deny(now + seconds, urgent)
        self._metrics.count("upstream_limit_denials_total")
        asyncio.get_running_loop().call_at(now + seconds, self.on_room)

    def note_sent(self, instance: Instance) -> None:
        """Count a request that goes to an upstream, by the condition that it is in."""
        known = self._conditions.get(instance.name)
        if known is not None:
            known.note_sent(_now())
        self._metrics.count(
            "upstream_sends_total",
            service=instance.record.service,
            condition=known.name if known else "open",
        )

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return what starts say that do not take all work, for the dump of the state."""
        return {
            start: {
                "leaving": known.leaving,
                "limit": known.rate_limit.rate,
                "limit_heard_before": round(now - known.rate_limit.at, 1)
                if known.rate_limit.at > NEVER
                else None,
                "rests_for": round(max(0.0, known.rest_until - now), 2),
                "held_for": round(known.find_wait_seconds(now, urgent=False), 2),
            }
            for start, known in self._conditions.items()
            if known.name != "open" or known.rest_until > now
        }

    async def run(self) -> None:
        """Forget starts that are long gone, for as long as the process lives."""
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            now = _now()
            for start in self._fleet.instances.keys() & self._conditions.keys():
                self._conditions[start].seen_at = now
            for start, known in list(self._conditions.items()):
                if known.seen_at == 0.0:
                    known.seen_at = now
                elif now - known.seen_at > FORGET_SECONDS:
                    del self._conditions[start]

    def _hear_rate(
        self, start: str, said: Backpressure, head: ResponseHead, sent_at: float
    ) -> None:
        rate_limit = self.find_rate_limit(start)
        if said.rate is None and not _ends_limit(rate_limit, head, sent_at):
            return
        heard = RateLimit(said.rate, _now())
        if self.apply_rate_limit(start, heard, OWN):
            self.announce_limit(start, heard)

    def _note_odd(self, start: str, words: tuple[str, ...]) -> None:
        """Tell of words that cannot be read, once for each: they may stand in every answer."""
        self._metrics.count("upstream_odd_words_total", len(words))
        condition = self._conditions[start]
        if words != condition.unreadable:
            condition.unreadable = words
            log_event("upstream word not read", instance=start, words=words)

    def _hear_rest(self, start: str, seconds: float | None) -> None:
        now = _now()
        condition = self._conditions[start]
        if condition.rest_until <= now:
            log_event("upstream asks for rest", instance=start, seconds=seconds)
        self._metrics.count("upstream_rests_total")
        rest = UNKNOWN_REST_SECONDS if seconds is None else min(seconds, LONGEST_REST_SECONDS)
        # Each request that it refuses in that time costs its service a repeat.
        condition.rest(now + rest)
        asyncio.get_running_loop().call_at(condition.rest_until, self.on_room)


def _differs(rate: float | None, other: float | None) -> bool:
    """Return whether two limits differ by more than is worth telling of."""
    if rate is None or other is None:
        return rate is not other
    return abs(rate - other) > TOLD_CHANGE_SHARE * other


def _ends_limit(rate_limit: RateLimit, head: ResponseHead, sent_at: float) -> bool:
    """Return whether an answer that names no limit means that there is none any more.

    Others may have been on their way when the limit was named, and calls of the system itself may
    be answered without it.
    """
    return rate_limit.rate is not None and sent_at > rate_limit.at and has_request_id(head.headers)


def _now() -> float:
    return asyncio.get_running_loop().time()
