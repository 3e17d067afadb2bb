"""When a request that waits will have its turn."""

import asyncio
import math

from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.scheduling import find_scheduling_group, is_large_fleet
from swifttrestle.internal.policy.waiting import Backlog, predict_late_turn
from swifttrestle.internal.state.bookings import BookingRequest
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance


class TurnPredictor:
    """Predicts by what is open at engines, by what waits, and by what callers offer."""

    def __init__(self, parts: GatewayState) -> None:
        """Use the host's shared parts."""
        self._state = parts

    def predict_soonest(self, service: str) -> float:
        """Return the seconds until the first reader has read all that is open there."""
        engines = self._state.fleet.list_service(service)
        readers = [item for item in engines if item.role is Role.PREFILL] or engines
        return min((item.predict_wait() for item in readers), default=0.0)

    def predict_in_time(self, request: BookingRequest, ahead: int) -> float:
        """Return the seconds until so many waiting requests like this one have been placed.

        A request that would wait longer than it may is better refused at once: its caller
        then has more time for another try.
        """
        engines = self._state.list_usable(request.service, _now())
        group = find_scheduling_group(engines, request.zone)
        paces = [
            item.effective_read_rate
            for item in engines
            if item.role is Role.PREFILL and group in ("", item.record.zone)
        ]
        tokens = request.tokens * self._state.demand.read_share(request.service)
        return ahead * tokens / sum(paces) if paces else 0.0

    def predict_late(self, request: BookingRequest, waiting: int) -> float:
        """Return the seconds until the last of so many late requests is read."""
        service, now = request.service, _now()
        readers = [
            item
            for item in self._state.list_usable(service, now)
            if item.role is Role.PREFILL and now >= item.role_changing_until
        ]
        if not readers:
            return math.inf
        share = self._state.demand.read_share(service)
        return predict_late_turn(
            Backlog(
                tokens=waiting * request.tokens * share,
                capacity=sum(item.effective_read_rate for item in readers),
                offered=self._state.demand.total(service, now).read_tokens * share,
                share=self._find_share(request, readers),
                open=sum(item.total.tokens for item in readers),
            )
        )

    def _find_share(self, request: BookingRequest, readers: list[Instance]) -> float:
        """Return the part of the readers that serves this host's queue.

        All hosts of a small fleet share them; in a large one a scheduler has those of its group.
        """
        hosts = max(1, self._state.budgets.hosts)
        if not is_large_fleet(hosts):
            return 1.0 / hosts
        group = find_scheduling_group(readers, request.zone)
        own = sum(1 for item in readers if group in ("", item.record.zone))
        return max(1, own) / len(readers)


def _now() -> float:
    return asyncio.get_running_loop().time()
