"""Asks the counter of a workspace's quota whether a request fits, and serves as a counter."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from swifttrestle.internal.coordination.quotas.counter import QuotaCounter, round_up
from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.coordination.quotas.pools import QuotaPools
from swifttrestle.internal.coordination.quotas.recent_counts import RecentCounts
from swifttrestle.internal.coordination.quotas.rounds import CollectionRounds
from swifttrestle.internal.coordination.quotas.shares import QuotaShares
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.owner_queries import AbandonedQuery, OwnerQueries
from swifttrestle.internal.forward.quotas import Admission, QuotaGate
from swifttrestle.internal.forward.scheduled_booking import NUMBER_BITS
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quotas import QuotaTerms
from swifttrestle.internal.protocol.quotas import (
    CollectReply,
    CollectRequest,
    Message,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.declared import QuotaUnit, Workspace
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Who decided, as a metric label: the counters in order, or this host from its own share.
COUNTER_LABELS = ("first", "second")
SHARE = "share"
# Part of the hosts that a counter must see. The members of a smaller group decide from their own
# shares: its pool would hold too little for a usual request, and each would pass into debt.
MIN_LIVE_SHARE = 0.25
# Largest charge: callers may state any number of tokens, also one that no datagram can carry.
MAX_COST = 2**53
# Seconds between two checks for changed quotas and hosts.
REFRESH_SECONDS = 1.0


@dataclass(frozen=True)
class Receipt:
    """Identifies a charge at the counter that granted it."""

    counter: Member
    number: int


class QuotaLimiter(QuotaGate):
    """Charges requests to quotas that all hosts count together.

    Without a quota in force it sends nothing and keeps nothing.
    """

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        reaches_store: Callable[[], bool],
        find_terms: Callable[[str], QuotaTerms | None],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Create the limiter of `host`, one of those that `list_members` returns.

        `find_terms` returns how the quota in force of a workspace is applied, if it has one.
        """
        self._socket = socket
        self._host = host
        self._find_terms = find_terms
        self._rng = rng
        self._metrics = metrics
        self._hosts = QuotaHosts(list_members, reaches_store)
        self._shares = QuotaShares(self._hosts, find_terms)
        rounds = CollectionRounds(
            host, self._hosts, self._send_to_all, rng.getrandbits(NUMBER_BITS)
        )
        self._pools = QuotaPools(host, self._hosts, self._shares, rounds, find_terms)
        self._counter = QuotaCounter(self._pools, self._send)
        # Numbers must differ at each start of the process, so that no reply is taken for another.
        self._queries: OwnerQueries[QuotaRequest, QuotaReply] = OwnerQueries(
            self._send, self._return_late, rng.getrandbits(NUMBER_BITS), "quota counter silent"
        )
        self._own_numbers = itertools.count()
        self._recent: dict[str, RecentCounts] = {}
        self._units: dict[str, QuotaUnit] = {}
        self._counts = False
        socket.set_receiver(DatagramKind.QUOTA, self._receive)

    async def admit(self, workspace: Workspace, cost: int) -> Admission:
        """Charge a request of a workspace that has a quota; return whether it fits."""
        name = workspace.name
        if self._find_terms(name) is None:
            return Admission()
        self._note_unit(workspace)
        cost = min(cost, MAX_COST)
        admission, label = await self._decide(name, cost)
        self._count(name, cost, admission, label)
        return admission

    def give_back(self, workspace: Workspace, admission: Admission) -> None:
        """Give back the charge of a request that did not run."""
        receipt = admission.receipt
        if not isinstance(receipt, Receipt):
            return
        if receipt.counter.host == self._host:
            self._counter.give_back(receipt.number)
        else:
            self._send(receipt.counter.ip, QuotaReturn(receipt.number, workspace.name))

    async def run(self) -> None:
        """Follow changes of the quotas and the hosts until cancelled."""
        self._shares.start(_now())
        while True:
            self._refresh(_now())
            await asyncio.sleep(REFRESH_SECONDS)

    def count_hosts(self) -> int:
        """Return the number of hosts that have a share, those that may be cut off included."""
        return self._hosts.count(_now())

    def describe(self, now: float) -> dict[str, Any]:
        """Return the quotas that this host has charged in the last window or counts."""
        names = {*self._recent, *self._pools.list_workspaces()}
        described = {name: self._describe(name, now) for name in sorted(names)}
        return {name: fields for name, fields in described.items() if fields is not None}

    def _describe(self, workspace: str, now: float) -> dict[str, Any] | None:
        terms = self._find_terms(workspace)
        if terms is None:
            return None
        recent = self._recent.get(workspace)
        admitted, refused = recent.sum(now) if recent is not None else (0, 0)
        return {
            "rate": terms.rate,
            "capacity": terms.capacity,
            "share": self._shares.count_units(workspace, now),
            "pool": self._pools.count_units(workspace, now),
            "counters": [item.host for item in self._hosts.find_counters(workspace, now)],
            "admitted": admitted,
            "refused": refused,
            "collection_age": self._pools.find_collection_age(workspace, now),
        }

    # Deciding.

    async def _decide(self, workspace: str, cost: int) -> tuple[Admission, str]:
        """Ask the counters in turn, or take from this host's share if none replies.

        Returns the admission, and who decided as a metric label.
        """
        if self._hosts.find_live_share(_now()) >= MIN_LIVE_SHARE:
            counters = self._hosts.find_counters(workspace, _now())
            for counter, label in zip(counters, COUNTER_LABELS, strict=False):
                admission = await self._ask(counter, workspace, cost)
                if admission is not None:
                    return admission, label
        decision = self._shares.take(workspace, cost, self._rng.random(), _now())
        if decision is None:
            return Admission(), SHARE
        return Admission(decision.seconds, round_up(decision.missing), self._host), SHARE

    async def _ask(self, counter: Member, workspace: str, cost: int) -> Admission | None:
        """Return a counter's decision; None if it does not reply."""
        if counter.host == self._host:
            number = next(self._own_numbers)
            decision = await self._counter.charge(number, workspace, cost)
            seconds, missing = decision.seconds, round_up(decision.missing)
        else:
            reply = await self._queries.ask(
                counter, lambda number: QuotaRequest(number, workspace, cost)
            )
            if reply is None:
                return None
            number, seconds, missing = reply.number, reply.seconds, reply.missing
        receipt = Receipt(counter, number) if seconds <= 0 else None
        return Admission(seconds, missing, counter.host, receipt)

    def _return_late(self, reply: QuotaReply, abandoned: AbandonedQuery[QuotaRequest]) -> None:
        """Give back a charge whose request no longer waits for it."""
        if reply.seconds <= 0:
            message = QuotaReturn(reply.number, abandoned.query.workspace)
            self._send(abandoned.owner.ip, message)

    def _count(self, workspace: str, cost: int, admission: Admission, label: str) -> None:
        if admission.is_granted:
            self._metrics.count("quota_admitted_tokens_total", cost, workspace=workspace)
        else:
            self._metrics.count("quota_refused_total", workspace=workspace)
        self._metrics.count("quota_decisions_total", by=label)
        recent = self._recent.get(workspace)
        if recent is None:
            recent = self._recent[workspace] = RecentCounts()
        recent.add(cost, admission.is_granted, _now())

    def _handle_request(self, request: QuotaRequest, ip: str) -> None:
        """Decide on a peer's request, or pass it on to the counter.

        A host that has just started knows few others and may take one of them for the counter,
        whose collections would leave nothing in the shares for the real one.
        """
        counters = self._hosts.find_counters(request.workspace, _now())
        if request.origin or any(item.host == self._host for item in counters):
            self._counter.handle_request(request, request.origin or ip)
        else:
            self._send(counters[0].ip, replace(request, origin=ip))

    # Changes of quotas and hosts.

    def _note_unit(self, workspace: Workspace) -> None:
        """Drop the accounts of a workspace whose quota counts in another unit than before."""
        if workspace.quota is None:
            return
        unit = workspace.quota.unit
        if self._units.setdefault(workspace.name, unit) is not unit:
            self._units[workspace.name] = unit
            self._shares.drop(workspace.name, _now())
            self._pools.drop(workspace.name)

    def _refresh(self, now: float) -> None:
        self._hosts.refresh(now)
        self._shares.drop_unlimited(now)
        self._pools.refresh(now)
        for workspace in [name for name in self._recent if self._find_terms(name) is None]:
            del self._recent[workspace]
            self._units.pop(workspace, None)
            self._hosts.drop_counters(workspace)
        self._log_role()

    def _log_role(self) -> None:
        """Log that this host became or ceased to be a counter."""
        workspaces = len(self._pools.list_workspaces())
        counts = workspaces > 0
        if counts != self._counts:
            self._counts = counts
            log_event("quota counter", counts=counts, workspaces=workspaces)

    # Datagrams.

    def _send(self, ip: str, message: Message) -> None:
        self._socket.send(ip, DatagramKind.QUOTA, pack_message(message))

    def _send_to_all(self, ips: Iterable[str], message: Message) -> None:
        data = pack_message(message)
        for ip in ips:
            self._socket.send(ip, DatagramKind.QUOTA, data)

    def _receive(self, data: bytes, ip: str) -> None:
        """Handle a peer's message; raise FrameError for a malformed one."""
        match unpack_message(data):
            case QuotaRequest() as request:
                self._handle_request(request, ip)
            case QuotaReply() as reply:
                self._queries.receive(reply)
            case QuotaReturn() as message:
                self._counter.handle_return(message, ip)
            case CollectRequest() as collect_request:
                collected = self._shares.answer(collect_request, ip, _now())
                if collected is not None:
                    self._send(ip, collected)
            case CollectReply() as collect_reply:
                self._pools.receive(collect_reply, ip)


def _now() -> float:
    return asyncio.get_running_loop().time()
