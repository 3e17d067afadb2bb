"""Chooses the engines for a request by their open work and caches, and books them."""

import asyncio
from dataclasses import replace

from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.fetching import FetchPlan, list_sources, plan_fetch
from swifttrestle.internal.policy.placement import pick_decode_engine, pick_prefill_engine
from swifttrestle.internal.policy.scheduling import is_large_fleet, list_search_steps
from swifttrestle.internal.state.bookings import Booking, BookingRequest
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork

# Share of the time to the deadline for which a request may wait for engines after its prefill
# failed: a late answer is better for its caller than a late refusal.
RETRY_WAIT_SHARE = 0.3
# Maximum prefill time of a prompt that a decode engine prefills itself: less than the round trip to
# a prefill engine and the copy of the KV cache.
MAX_DIRECT_PREFILL_SECONDS = 0.008
# Share of the objective for gaps between events for which prefill may delay the streams of a decode
# engine. The rest is for the tokens that one event holds, and the network.
PAUSE_SHARE = 0.6


class EngineFinder:
    """Chooses and books engines among those that a host knows."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state

    def find(self, request: BookingRequest, waited: float = 0.0) -> Booking | None:
        """Book and return free engines, or None; the request has waited `waited` seconds."""
        now = _now()
        engines = self._state.list_usable(request.service, now, request.urgent)
        decoder = self._pick_decode_engine(request, engines, request.zone)
        if decoder is None:
            return None
        plan = self._make_fetch_plan(request, engines)
        if not self._has_prefill_engines(request.service, engines, now) or is_short_prompt(
            request.tokens, engines
        ):
            return self._book(decoder, decoder, request, plan)
        longest_wait = max(0.0, request.max_prefill_wait - waited)
        if request.late:
            longest_wait = (request.remaining_seconds - waited) * RETRY_WAIT_SHARE
        request = replace(request, latest_read=request.latest_read - waited)
        reader = self._pick_prefill_engine(request, engines, longest_wait, plan)
        if reader is None:
            return None
        if reader.record.role is Role.DECODE:
            return self._book(reader, reader, request, plan)
        copy_seconds = self._predict_copy(request)
        decoder = self._pick_decode_engine(request, engines, reader.record.zone, copy_seconds)
        return self._book(reader, decoder, request, plan) if decoder else None

    def _has_prefill_engines(self, service: str, engines: list[Instance], now: float) -> bool:
        """Return whether there are prefill engines.

        Includes those that accept no requests at the moment, so that decode engines do not take
        over all long prompts for that time.
        """
        cooling_down = (
            item
            for item in self._state.fleet.list_service(service)
            if self._state.conditions.find_wait_seconds(item, now, urgent=True)
        )
        return any(item.role is Role.PREFILL for item in (*engines, *cooling_down))

    def _pick_prefill_engine(
        self,
        request: BookingRequest,
        engines: list[Instance],
        longest_wait: float,
        plan: FetchPlan,
    ) -> Instance | None:
        """Return a prefill engine of the request's group, or of another one with a short wait."""
        for step in list_search_steps(engines, request.zone, self._state.fleet.topology):
            reader = pick_prefill_engine(
                step.engines,
                request.tokens,
                request.affinity,
                request.excluded,
                _now(),
                longest_wait * step.wait_share - step.extra_seconds,
                request.parts,
                plan,
                request.latest_read - step.extra_seconds,
                self._state.fleet.find_gap_objective(request.service) * PAUSE_SHARE,
                scheduled=is_large_fleet(self._state.budgets.hosts),
            )
            if reader is not None:
                return reader
        return None

    def is_short(self, request: BookingRequest) -> bool:
        """Return whether the prompt is short enough for a decode engine to prefill it itself."""
        return is_short_prompt(request.tokens, self._state.fleet.list_service(request.service))

    def _pick_decode_engine(
        self,
        request: BookingRequest,
        engines: list[Instance],
        near: str,
        copy_seconds: float = 0.0,
    ) -> Instance | None:
        return pick_decode_engine(
            engines,
            near,
            request.excluded,
            _now(),
            urgent=request.urgent,
            topology=self._state.fleet.topology,
            copy_seconds=copy_seconds,
        )

    def _predict_copy(self, request: BookingRequest) -> float:
        """Return the seconds that a copy of the prompt's KV cache takes within a zone."""
        traits = self._state.fleet.traits.get(request.service)
        if traits is None or traits.link_bytes_per_second <= 0:
            return 0.0
        return request.tokens * traits.kv_bytes_per_token / traits.link_bytes_per_second

    def _book(
        self, reader: Instance, decoder: Instance, request: BookingRequest, plan: FetchPlan
    ) -> Booking:
        wait = reader.predict_wait()
        cached_tokens = reader.cache.count(request.parts)
        fetch = plan(reader, cached_tokens)
        tokens = max(0, request.tokens - cached_tokens - (fetch.tokens if fetch else 0))
        uncached_parts = reader.cache.list_uncached(request.parts)
        self._state.note_prompt(reader, request.parts)
        for engine in (reader, decoder):
            self._state.ejector.note_use(engine.name, _now())
        decoder.own = decoder.own.plus(OpenWork(0, 1))
        reader.own = reader.own.plus(OpenWork(tokens, 0 if reader is decoder else 1))
        return Booking(
            reader,
            decoder,
            tokens,
            reader.total.tokens,
            wait,
            parts=request.parts,
            unread=uncached_parts,
            source=fetch.source if fetch else None,
            fetch_seconds=fetch.seconds if fetch else 0.0,
        )

    def _make_fetch_plan(self, request: BookingRequest, engines: list[Instance]) -> FetchPlan:
        """Return a function that plans what an engine fetches from the caches of the others."""
        sources = list_sources(engines, request.parts, request.excluded)
        traits = self._state.fleet.traits.get(request.service)
        topology = self._state.fleet.topology
        return lambda reader, cached_tokens: plan_fetch(
            reader, cached_tokens, sources, traits, topology
        )


def is_short_prompt(tokens: int, engines: list[Instance]) -> bool:
    """Return whether a decode engine prefills so many tokens faster than a prefill engine would."""
    read_rates = [item.effective_read_rate for item in engines if item.role is Role.DECODE]
    return bool(read_rates) and tokens / max(read_rates) <= MAX_DIRECT_PREFILL_SECONDS


def _now() -> float:
    return asyncio.get_running_loop().time()
