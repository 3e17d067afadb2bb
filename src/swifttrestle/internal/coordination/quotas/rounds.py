"""The rounds in which a counter asks all hosts for what they have accrued."""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.protocol.quotas import (
    CollectReply,
    CollectRequest,
    Message,
    split_wanted,
)

# Seconds after which a reply is dropped. What is on the way counts as held by no account, so that
# old replies, such as those read after a suspension, would add to what may be granted at once.
MAX_REPLY_AGE_SECONDS = 0.5


@dataclass(frozen=True)
class CollectionRound:
    """A request that was sent to all hosts; `silent` are the IPs of those that did not reply."""

    workspaces: frozenset[str]
    started_at: float
    silent: set[str]


class CollectionRounds:
    """The rounds of one counter; times are the event loop's."""

    def __init__(
        self,
        host: str,
        hosts: QuotaHosts,
        send: Callable[[Iterable[str], Message], None],
        first_round: int,
    ) -> None:
        """Send to some IPs through `send`; number the rounds from `first_round` on."""
        self._host = host
        self._hosts = hosts
        self._send = send
        self._numbers = itertools.count(first_round)
        # The recent rounds by number, in order of time.
        self._rounds: dict[int, CollectionRound] = {}

    def start(self, wanted: Iterable[tuple[str, int]], now: float) -> list[CollectionRound]:
        """Ask each other host for some units of some workspaces; return a round per datagram."""
        self._expire(now)
        ips = [item.ip for item in self._hosts.list_live(now) if item.host != self._host]
        started = []
        for part in split_wanted(wanted):
            number = next(self._numbers)
            workspaces = frozenset(workspace for workspace, _ in part)
            collection = CollectionRound(workspaces, now, set(ips))
            started.append(collection)
            if ips:
                self._rounds[number] = collection
                self._send(ips, CollectRequest(number, part))
        return started

    def accept(self, reply: CollectReply, ip: str, now: float) -> CollectionRound | None:
        """Return the round of a reply; None if it is late or not the first one of its host."""
        self._expire(now)
        collection = self._rounds.get(reply.round)
        if collection is None or ip not in collection.silent:
            return None
        collection.silent.remove(ip)
        if not collection.silent:
            del self._rounds[reply.round]
        return collection

    def _expire(self, now: float) -> None:
        while self._rounds:
            number, oldest = next(iter(self._rounds.items()))
            if now - oldest.started_at <= MAX_REPLY_AGE_SECONDS:
                return
            del self._rounds[number]
