"""Asks hosts that decide for all by datagrams, and matches their replies.

These are the owners of rate limits and of trials, and the counters of quotas.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.rate_limits import ASK_ATTEMPTS, OWNER_SUSPEND_SECONDS
from swifttrestle.internal.state.members import Member

# Timeout for an owner's reply: some round trips between zones and an iteration of its event loop.
REPLY_TIMEOUT_SECONDS = 0.05
# Seconds after a query for which a late reply to it is of use.
LATE_REPLY_SECONDS = 1.5


class Numbered(Protocol):
    """A message with the number of its query."""

    @property
    def number(self) -> int:
        """The number."""


Query = TypeVar("Query")
Reply = TypeVar("Reply", bound=Numbered)


@dataclass(frozen=True)
class AbandonedQuery(Generic[Query]):
    """A query whose reply is no longer waited for; `asked_at` is the event loop's time of it."""

    owner: Member
    query: Query
    asked_at: float


class OwnerQueries(Generic[Query, Reply]):
    """Queries of one host to the owners."""

    def __init__(
        self,
        send: Callable[[str, Query], None],
        on_late: Callable[[Reply, AbandonedQuery[Query]], None],
        first_number: int,
        silence_event: str = "keeper of a limit silent",
    ) -> None:
        """Send to an IP through `send`; number the queries from `first_number` on.

        `on_late` is called with a reply that came after the wait for it. `silence_event` is logged
        for an owner that does not reply.
        """
        self._send = send
        self._on_late = on_late
        self._silence_event = silence_event
        self._numbers = itertools.count(first_number)
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        # By number, in order of time.
        self._abandoned: dict[int, AbandonedQuery[Query]] = {}
        self._suspended_until: dict[str, float] = {}

    async def ask(self, owner: Member, make_query: Callable[[int], Query]) -> Reply | None:
        """Return an owner's reply; None if it does not reply, or did not in the last second."""
        if self._suspended_until.get(owner.host, 0.0) > _now():
            return None
        number, asked_at = next(self._numbers), _now()
        query = make_query(number)
        reply: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            # The owner recognises the query by its number, so that each attempt has one result.
            for _ in range(ASK_ATTEMPTS):
                self._send(owner.ip, query)
                await asyncio.wait((reply,), timeout=REPLY_TIMEOUT_SECONDS)
                if reply.done():
                    return reply.result()
                # The next attempt has what this host has learned meanwhile.
                query = make_query(number)
        finally:
            del self._pending[number]
            if not reply.done():
                self._abandon(number, AbandonedQuery(owner, query, asked_at))
        self._suspend(owner)
        return None

    def receive(self, message: Reply) -> None:
        """Pass a reply to its query, or to `on_late`."""
        reply = self._pending.get(message.number)
        if reply is not None:
            if not reply.done():
                reply.set_result(message)
            return
        abandoned = self._abandoned.pop(message.number, None)
        if abandoned is not None:
            self._on_late(message, abandoned)

    def _suspend(self, owner: Member) -> None:
        """Stop asking an owner for a while; log it once for all queries that waited for it."""
        now = _now()
        if self._suspended_until.get(owner.host, 0.0) <= now:
            log_event(self._silence_event, keeper=owner.host)
        self._suspended_until[owner.host] = now + OWNER_SUSPEND_SECONDS

    def _abandon(self, number: int, abandoned: AbandonedQuery[Query]) -> None:
        self._abandoned[number] = abandoned
        outdated_at = _now() - LATE_REPLY_SECONDS
        for oldest, item in list(self._abandoned.items()):
            if item.asked_at >= outdated_at:
                break
            del self._abandoned[oldest]


def _now() -> float:
    return asyncio.get_running_loop().time()
