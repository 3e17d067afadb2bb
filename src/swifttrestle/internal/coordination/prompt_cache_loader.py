"""A host that starts asks engines which parts of prompts they keep.

All else that it believes of engines' caches comes from what was sent since it started. After a
fault that ends all hosts nobody is left to tell, and engines that keep everything would count as
empty for as long as it takes to read it all again.
"""

import asyncio
import random
from collections.abc import Callable

from swifttrestle.errors import UpstreamError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.scheduling import find_scheduling_group
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.prompt_cache import SentPrompt
from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.pool import CallTimeouts, ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle.platform.engine import (
    CACHED_PARTS_PATH,
    CachedParts,
    build_engine_headers,
    is_other_incarnation,
    read_cached_parts,
)

# Seconds between two looks for the first listed engines.
POLL_SECONDS = 0.05
# Longest random wait of a host before it asks, in seconds: hosts that start together must not
# hold one engine up together, and it is a fraction of what reading the parts again would take.
SPREAD_SECONDS = 0.2
# Seconds in which an engine must begin to answer, and between bytes of its answer. There is no
# bound for the whole: a list of a megabyte takes two seconds over 5 Mbit/s.
PATIENCE = CallTimeouts(head=0.5, between_bytes=0.5)
# Engines that a host asks at most: more of them are booked by a scheduler, which is one of many.
MOST_ASKED = 16
# Bytes that an engine's list may have: some ten thousand parts.
LARGEST_LIST = 1024 * 1024


class PromptCacheLoader:
    """Fills the beliefs of a host that has just started."""

    def __init__(
        self,
        zone: str,
        fleet: Fleet,
        pool: ConnectionPool,
        schedules_engines: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Ask through `pool`; `schedules_engines` tells whether this host itself chooses
        engines.
        """
        self._zone = zone
        self._fleet = fleet
        self._pool = pool
        self._books = schedules_engines
        self._rng = rng

    async def run(self) -> None:
        """Ask once, as soon as engines are listed."""
        while not self._fleet.list_engine_services():
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(SPREAD_SECONDS * self._rng.random())
        if not self._books():
            return
        engines = self._list_engines()
        self._rng.shuffle(engines)
        for engine in engines[:MOST_ASKED]:
            await self._load(engine)

    def _list_engines(self) -> list[Instance]:
        found: list[Instance] = []
        for service in self._fleet.list_engine_services():
            engines = self._fleet.list_service(service)
            group = find_scheduling_group(engines, self._zone)
            found += [item for item in engines if group in ("", item.record.zone)]
        return [item for item in found if item.role is not Role.NONE]

    async def _load(self, engine: Instance) -> None:
        """Take over what one engine keeps; what it does not tell stays unknown."""
        request = OutgoingRequest(
            b"GET",
            CACHED_PARTS_PATH,
            build_engine_headers(engine.record.instance),
            Framing.NONE,
            0,
            None,
        )
        try:
            head, content = await call_once(
                self._pool, engine.name, engine.record.address, request, LARGEST_LIST, PATIENCE
            )
            kept = read_cached_parts(content) if head.status == 200 else CachedParts(())
        except (UpstreamError, TimeoutError) as error:
            log_event("kept parts not told", engine=engine.name, reason=repr(error))
            return
        if is_other_incarnation(kept.born, engine.record.born):
            log_event("kept parts of another start", engine=engine.name, born=kept.born)
            return
        parts = kept.parts
        for part in parts:
            self._fleet.note_prompt(SentPrompt(engine.name, (part,), read=True))
        log_event("kept parts told", engine=engine.name, parts=len(parts), status=head.status)
