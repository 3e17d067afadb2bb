"""Tracks the backpressure that upstreams signal in their answers."""

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

# Log source of a signal that this host got itself.
OWN_SOURCE = "own"
# Share by which a rate limit must change to be announced to other hosts. A smaller change stays
# within what an upstream bears beyond its limit.
MIN_ANNOUNCED_CHANGE_SHARE = 0.1
# Cool-down where the upstream requests one of a malformed duration, and maximum cool-down.
DEFAULT_COOL_DOWN_SECONDS = 1.0
MAX_COOL_DOWN_SECONDS = 3600.0
# Seconds after which the condition of an unlisted instance is dropped, and between checks for that.
RETENTION_SECONDS = 600.0
EXPIRY_INTERVAL_SECONDS = 30.0


class UpstreamConditionTable:
    """The conditions of all known upstreams, by the names of their instance starts.

    Used only from the event loop.
    """

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        """Start empty; tracks the instances of `fleet`."""
        self._fleet = fleet
        self._metrics = metrics
        self._conditions: dict[str, UpstreamCondition] = defaultdict(UpstreamCondition)
        fleet.announced_leaving = self.is_leaving
        # Called with an instance and its rate limit when an answer changes that.
        self.announce_limit: Callable[[str, RateLimit], None] = do_nothing
        # Called with an instance when an answer states that it is draining.
        self.announce_leaving: Callable[[str], None] = do_nothing
        # Called when an upstream may accept requests again.
        self.on_capacity: Callable[[], None] = do_nothing

    # Queries.

    def find_rate_limit(self, start: str) -> RateLimit:
        """Return the latest known rate limit of an instance."""
        condition = self._conditions.get(start)
        return condition.rate_limit if condition else RateLimit()

    def find_zone(self, start: str) -> str:
        """Return the availability zone of an instance, or an empty string if it is not listed."""
        instance = self._fleet.instances.get(start)
        return instance.record.zone if instance else ""

    def find_wait_seconds(
        self, instance: Instance, now: float, urgent: bool, permitted: bool = False
    ) -> float:
        """Return the seconds until an upstream accepts a request from this host; 0 if it does now.

        `permitted` is set for a request that has a permit under the upstream's rate limit.
        """
        condition = self._conditions.get(instance.name)
        return condition.find_wait_seconds(now, urgent, permitted) if condition else 0.0

    def find_shortest_wait(
        self, instances: Iterable[Instance], now: float, urgent: bool = False
    ) -> float:
        """Return the seconds until any of some upstreams accepts a request; 0 if there are none."""
        return min((self.find_wait_seconds(item, now, urgent) for item in instances), default=0.0)

    def check(self, instance: Instance, urgent: bool, permitted: bool = False) -> None:
        """Raise UpstreamHeldError if an upstream accepts no request from this host now."""
        seconds = self.find_wait_seconds(instance, _now(), urgent, permitted)
        if seconds > 0:
            raise UpstreamHeldError(
                f"{instance.name} accepts no requests for {seconds:.2f} s", seconds
            )

    # Updates.

    def record_answer(self, start: str, head: ResponseHead, sent_at: float) -> None:
        """Record the signals in an answer; `sent_at` is when its request was sent (loop's time)."""
        instance = self._fleet.instances.get(start)
        if instance is not None and not is_from_instance(
            head.status, head.headers, instance.record.instance
        ):
            # Another instance has taken over the address.
            return
        backpressure = read_backpressure(head.status, head.headers)
        if backpressure.unreadable:
            self._log_malformed(start, backpressure.unreadable)
        self._record_rate_limit(start, backpressure, head, sent_at)
        if backpressure.leaving and self.apply_leaving(start, OWN_SOURCE):
            self.announce_leaving(start)
        if backpressure.cool_down != 0.0:
            self._record_cool_down(start, backpressure.cool_down)
        elif start in self._conditions and self._conditions[start].note_accepted(sent_at):
            self.on_capacity()

    def is_leaving(self, start: str) -> bool:
        """Return whether an instance is draining; that is final."""
        condition = self._conditions.get(start)
        return condition is not None and condition.leaving

    def apply_leaving(self, start: str, source: str) -> bool:
        """Record that an instance is draining; return whether that is new."""
        if self.is_leaving(start):
            return False
        self._conditions[start].leaving = True
        self._fleet.note_leaving(start)
        log_event("upstream says that it leaves", instance=start, source=source)
        return True

    def apply_rate_limit(self, start: str, rate_limit: RateLimit, source: str) -> bool:
        """Record a rate limit if it is newer; return whether it differs significantly."""
        known = self._conditions.get(start)
        before = known.rate_limit if known else RateLimit()
        if rate_limit.at <= before.at:
            return False
        condition = self._conditions[start]
        condition.rate_limit = rate_limit
        if not _differ_significantly(rate_limit.rate, before.rate):
            return False
        condition.lift_denials()
        log_event("upstream limit", instance=start, rate=rate_limit.rate, source=source)
        self.on_capacity()
        return True

    def note_permit(self, by: str) -> None:
        """Count a permit that this host has got; `by` tells from whom."""
        self._metrics.count("upstream_permits_total", by=by)

    def deny(self, start: str, seconds: float, urgent: bool) -> None:
        """Record that the rate limit of an instance allows this host no request for some time."""
        now = _now()
        self._conditions[start].deny(now + seconds, urgent)
        self._metrics.count("upstream_limit_denials_total")
        asyncio.get_running_loop().call_at(now + seconds, self.on_capacity)

    def note_sent(self, instance: Instance) -> None:
        """Record that a request is sent to an upstream."""
        condition = self._conditions.get(instance.name)
        if condition is not None:
            condition.note_sent(_now())
        self._metrics.count(
            "upstream_sends_total",
            service=instance.record.service,
            condition=condition.name if condition else "open",
        )

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the instances that restrict requests, for the state dump."""
        return {
            start: {
                "leaving": condition.leaving,
                "limit": condition.rate_limit.rate,
                "limit_heard_before": round(now - condition.rate_limit.at, 1)
                if condition.rate_limit.at > NEVER
                else None,
                "rests_for": round(max(0.0, condition.cool_down_until - now), 2),
                "held_for": round(condition.find_wait_seconds(now, urgent=False), 2),
            }
            for start, condition in self._conditions.items()
            if condition.name != "open" or condition.cool_down_until > now
        }

    async def run(self) -> None:
        """Drop the conditions of instances that are no longer listed, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            now = _now()
            for start in self._fleet.instances.keys() & self._conditions.keys():
                self._conditions[start].seen_at = now
            for start, condition in list(self._conditions.items()):
                if condition.seen_at == 0.0:
                    condition.seen_at = now
                elif now - condition.seen_at > RETENTION_SECONDS:
                    del self._conditions[start]

    def _record_rate_limit(
        self, start: str, backpressure: Backpressure, head: ResponseHead, sent_at: float
    ) -> None:
        rate_limit = self.find_rate_limit(start)
        if backpressure.rate is None and not _lifts_limit(rate_limit, head, sent_at):
            return
        limit = RateLimit(backpressure.rate, _now())
        if self.apply_rate_limit(start, limit, OWN_SOURCE):
            self.announce_limit(start, limit)

    def _log_malformed(self, start: str, values: tuple[str, ...]) -> None:
        """Log malformed header values when they change, since every answer may have them."""
        self._metrics.count("upstream_odd_words_total", len(values))
        condition = self._conditions[start]
        if values != condition.unreadable:
            condition.unreadable = values
            log_event("upstream word not read", instance=start, words=values)

    def _record_cool_down(self, start: str, seconds: float | None) -> None:
        now = _now()
        condition = self._conditions[start]
        if condition.cool_down_until <= now:
            log_event("upstream asks for rest", instance=start, seconds=seconds)
        self._metrics.count("upstream_rests_total")
        cool_down = (
            DEFAULT_COOL_DOWN_SECONDS if seconds is None else min(seconds, MAX_COOL_DOWN_SECONDS)
        )
        # Requests sent during the cool-down would be refused and use up the retry budget.
        condition.start_cool_down(now + cool_down)
        asyncio.get_running_loop().call_at(condition.cool_down_until, self.on_capacity)


def _differ_significantly(rate: float | None, other: float | None) -> bool:
    """Return whether two rate limits differ enough to be announced."""
    if rate is None or other is None:
        return rate is not other
    return abs(rate - other) > MIN_ANNOUNCED_CHANGE_SHARE * other


def _lifts_limit(rate_limit: RateLimit, head: ResponseHead, sent_at: float) -> bool:
    """Return whether an answer without a rate limit lifts the known one.

    Ignores answers to requests sent before the limit became known, and answers to internal calls,
    which may not state it.
    """
    return rate_limit.rate is not None and sent_at > rate_limit.at and has_request_id(head.headers)


def _now() -> float:
    return asyncio.get_running_loop().time()
