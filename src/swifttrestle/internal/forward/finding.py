"""Finds the engines of one request by what is open and kept where, and books them."""

import asyncio
from dataclasses import replace

from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.fetching import FetchPlan, list_sources, plan_fetch
from swifttrestle.internal.policy.placement import pick_decoder, pick_prefill_engine
from swifttrestle.internal.policy.scheduling import find_scheduling_group
from swifttrestle.internal.state.bookings import Booking, BookingRequest
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork

# Share of what is left that a request whose reading was lost may wait again: it is too late
# for an early refusal, so a late answer serves its caller better.
LATE_WAIT_SHARE = 0.3
# A decoding engine reads a prompt itself where that takes no longer than this, in seconds:
# less than the two hops and the copy that another engine's reading costs.
DIRECT_READ_SECONDS = 0.008
# Share of the longest wait for a reading that is allowed at another zone's engine: what is
# known of its open work is older, and its cache of the request's shared parts is colder.
FAR_WAIT_SHARE = 0.5


class EngineFinder:
    """Chooses among the engines that a host knows."""

    def __init__(self, parts: GatewayState) -> None:
        """Use the host's shared parts."""
        self._state = parts

    def find(self, request: BookingRequest, waited: float = 0.0) -> Booking | None:
        """Return engines with room, booked, or None; the request has waited for so long."""
        now = _now()
        engines = self._state.list_usable(request.service, now, request.urgent)
        decoder = self._pick_decoder(request, engines, request.zone)
        if decoder is None:
            return None
        plan = self._find_plan(request, engines)
        if not self._has_readers(request.service, engines, now) or reads_soon(
            request.tokens, engines
        ):
            return self._take(decoder, decoder, request, plan)
        longest = max(0.0, request.longest_read_wait - waited)
        if request.late:
            longest = (request.left - waited) * LATE_WAIT_SHARE
        request = replace(request, latest_read=request.latest_read - waited)
        reader = self._pick_reader(request, engines, longest, plan)
        if reader is None:
            return None
        if reader.record.role is Role.DECODE:
            return self._take(reader, reader, request, plan)
        decoder = self._pick_decoder(request, engines, reader.record.zone)
        return self._take(reader, decoder, request, plan) if decoder else None

    def _has_readers(self, service: str, engines: list[Instance], now: float) -> bool:
        """Return whether there are engines that read for others.

        Those that take nothing now count: decoding engines do not take over all long prompts for
        the seconds of their rest.
        """
        held = (
            item
            for item in self._state.fleet.list_service(service)
            if self._state.conditions.find_wait_seconds(item, now, urgent=True)
        )
        return any(item.role is Role.PREFILL for item in (*engines, *held))

    def _pick_reader(
        self,
        request: BookingRequest,
        engines: list[Instance],
        longest: float,
        plan: FetchPlan,
    ) -> Instance | None:
        """Return a reader of the request's group, or one of another where that is at rest."""
        group = find_scheduling_group(engines, request.zone)
        near = [item for item in engines if group in ("", item.record.zone)]
        far = [item for item in engines if group not in ("", item.record.zone)]
        for choice, limit in ((near, longest), (far, longest * FAR_WAIT_SHARE)):
            reader = pick_prefill_engine(
                choice,
                request.tokens,
                request.affinity,
                request.excluded,
                _now(),
                limit,
                request.parts,
                plan,
                request.latest_read,
            )
            if reader is not None:
                return reader
        return None

    def is_short(self, request: BookingRequest) -> bool:
        """Return whether a decoding engine reads the prompt itself as soon as another would."""
        return reads_soon(request.tokens, self._state.fleet.list_service(request.service))

    def _pick_decoder(
        self, request: BookingRequest, engines: list[Instance], near: str
    ) -> Instance | None:
        return pick_decoder(engines, near, request.excluded, _now(), urgent=request.urgent)

    def _take(
        self, reader: Instance, decoder: Instance, request: BookingRequest, plan: FetchPlan
    ) -> Booking:
        wait = reader.predict_wait()
        kept = reader.cache.count(request.parts)
        fetch = plan(reader, kept)
        tokens = max(0, request.tokens - kept - (fetch.tokens if fetch else 0))
        unread = reader.cache.list_unread(request.parts)
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
            unread=unread,
            source=fetch.source if fetch else None,
            fetch_seconds=fetch.seconds if fetch else 0.0,
        )

    def _find_plan(self, request: BookingRequest, engines: list[Instance]) -> FetchPlan:
        """Return how any of the engines would fetch what others have read of the prompt."""
        sources = list_sources(engines, request.parts, request.excluded)
        traits = self._state.fleet.traits.get(request.service)
        return lambda reader, kept: plan_fetch(reader, kept, sources, traits)


def reads_soon(tokens: int, engines: list[Instance]) -> bool:
    """Return whether a decoding engine reads so many tokens as soon as another would."""
    paces = [item.effective_read_rate for item in engines if item.role is Role.DECODE]
    return bool(paces) and tokens / max(paces) <= DIRECT_READ_SECONDS


def _now() -> float:
    return asyncio.get_running_loop().time()
