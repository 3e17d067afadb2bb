"""Predicts how long requests wait for engines."""

import asyncio
import math

from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.scheduling import find_scheduling_group, is_large_fleet
from swifttrestle.internal.policy.waiting import Backlog, predict_late_prefill
from swifttrestle.internal.state.bookings import BookingRequest
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance


class WaitPredictor:
    """Predicts waits from engines' open work, queued requests and offered load."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state

    def predict_first_free(self, service: str) -> float:
        """Return the seconds until the first prefill engine has finished its open work."""
        engines = self._state.fleet.list_service(service)
        prefill_engines = [item for item in engines if item.role is Role.PREFILL] or engines
        return min((item.predict_wait() for item in prefill_engines), default=0.0)

    def predict_queue_wait(self, request: BookingRequest, requests_ahead: int) -> float:
        """Return the seconds until so many waiting requests like this one have been placed.

        A request that would wait too long is better refused at once: its caller then has more time
        for another attempt.
        """
        engines = self._state.list_usable(request.service, _now())
        group = find_scheduling_group(engines, request.zone)
        read_rates = [
            item.effective_read_rate
            for item in engines
            if item.role is Role.PREFILL and group in ("", item.record.zone)
        ]
        tokens = request.tokens * self._state.demand.read_share(request.service)
        return requests_ahead * tokens / sum(read_rates) if read_rates else 0.0

    def predict_late_wait(self, request: BookingRequest, waiting: int) -> float:
        """Return the seconds until the last of so many late requests is prefilled."""
        service, now = request.service, _now()
        prefill_engines = [
            item
            for item in self._state.list_usable(service, now)
            if item.role is Role.PREFILL and now >= item.role_changing_until
        ]
        if not prefill_engines:
            return math.inf
        share = self._state.demand.read_share(service)
        return predict_late_prefill(
            Backlog(
                tokens=waiting * request.tokens * share,
                capacity=sum(item.effective_read_rate for item in prefill_engines),
                offered=self._state.demand.total(service, now).read_tokens * share,
                share=self._find_capacity_share(request, prefill_engines),
                open=sum(item.total.tokens for item in prefill_engines),
            )
        )

    def _find_capacity_share(
        self, request: BookingRequest, prefill_engines: list[Instance]
    ) -> float:
        """Return the share of the prefill engines that serves this host's queue.

        In a small fleet all hosts share them; in a large one a scheduler has those of its group.
        """
        hosts = max(1, self._state.budgets.hosts)
        if not is_large_fleet(hosts):
            return 1.0 / hosts
        group = find_scheduling_group(prefill_engines, request.zone)
        own_engines = sum(1 for item in prefill_engines if group in ("", item.record.zone))
        return max(1, own_engines) / len(prefill_engines)


def _now() -> float:
    return asyncio.get_running_loop().time()
