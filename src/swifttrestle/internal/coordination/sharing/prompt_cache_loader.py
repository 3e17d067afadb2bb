"""Loads the contents of engines' prompt caches when a host starts.

Otherwise a host knows only the prompts that were sent since its start. After a failure of all hosts
full caches would count as empty, and prompts would be prefilled again elsewhere.
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

# Poll interval in seconds until the first engines are listed.
POLL_SECONDS = 0.05
# Maximum random delay before the queries, in seconds, so that hosts that start together do not all
# query the same engine at once. A fraction of the time to prefill the prompts again.
MAX_DELAY_SECONDS = 0.2
# Timeouts in seconds of the response's first byte and between its bytes. The whole response has
# none, so that slow links can complete it. A list of a megabyte takes two seconds over 5 Mbit/s.
TIMEOUTS = CallTimeouts(head=0.5, between_bytes=0.5)
# Maximum number of engines that a host queries.
MAX_QUERIED_ENGINES = 16
# Maximum size of an engine's list in bytes. Some ten thousand parts.
MAX_LIST_BYTES = 1024 * 1024


class PromptCacheLoader:
    """Fills the estimated prompt cache contents of a host that has just started."""

    def __init__(
        self,
        zone: str,
        fleet: Fleet,
        pool: ConnectionPool,
        schedules_engines: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Query through `pool`; `schedules_engines` returns whether this host schedules engines."""
        self._zone = zone
        self._fleet = fleet
        self._pool = pool
        self._schedules_engines = schedules_engines
        self._rng = rng

    async def run(self) -> None:
        """Query the engines once, as soon as some are listed."""
        while not self._fleet.list_engine_services():
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(MAX_DELAY_SECONDS * self._rng.random())
        if not self._schedules_engines():
            return
        engines = self._list_engines()
        self._rng.shuffle(engines)
        topology = self._fleet.topology
        engines.sort(key=lambda item: not topology.is_same_region(self._zone, item.record.zone))
        for engine in engines[:MAX_QUERIED_ENGINES]:
            await self._load(engine)

    def _list_engines(self) -> list[Instance]:
        found: list[Instance] = []
        for service in self._fleet.list_engine_services():
            engines = self._fleet.list_service(service)
            group = find_scheduling_group(engines, self._zone)
            found += [item for item in engines if group in ("", item.record.zone)]
        return [item for item in found if item.role is not Role.NONE]

    async def _load(self, engine: Instance) -> None:
        """Record the cached parts of one engine; log a failed query and skip the engine."""
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
                self._pool, engine.name, engine.record.address, request, MAX_LIST_BYTES, TIMEOUTS
            )
            cached = read_cached_parts(content) if head.status == 200 else CachedParts(())
        except (UpstreamError, TimeoutError) as error:
            log_event("kept parts not told", engine=engine.name, reason=repr(error))
            return
        if is_other_incarnation(cached.born, engine.record.born):
            log_event("kept parts of another start", engine=engine.name, born=cached.born)
            return
        parts = cached.parts
        for part in parts:
            self._fleet.note_prompt(SentPrompt(engine.name, (part,), read=True))
        log_event("kept parts told", engine=engine.name, parts=len(parts), status=head.status)
