"""Decides as a counter on the requests of all hosts, and takes back their charges."""

import asyncio
import functools
import math
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.internal.checks import MAX_INT64
from swifttrestle.internal.coordination.quotas.pools import QuotaPools
from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.policy.quotas import Decision
from swifttrestle.internal.protocol.quotas import QuotaReply, QuotaRequest, QuotaReturn

# Maximum number of replies that are kept in case their queries are repeated: a second of queries.
MAX_REPLIES = 4000
# Maximum number of charges that can be given back: some ten seconds of granted requests.
MAX_CHARGES = 20_000
# Stands for this host in place of a peer's IP.
OWN = ""

# A request of a host: its IP and number.
RequestKey = tuple[str, int]


@dataclass(frozen=True)
class Charge:
    """What was charged for a granted request."""

    workspace: str
    cost: int


class QuotaCounter:
    """Decides once on each request, and takes back each charge once."""

    def __init__(self, pools: QuotaPools, send: Callable[[str, QuotaReply], None]) -> None:
        """Grant from `pools`; send replies to an IP through `send`."""
        self._pools = pools
        self._send = send
        self._replies: dict[RequestKey, QuotaReply] = {}
        # The decisions that wait for a round.
        self._pending: dict[RequestKey, asyncio.Future[Decision]] = {}
        self._charges: dict[RequestKey, Charge] = {}

    async def charge(self, number: int, workspace: str, cost: int) -> Decision:
        """Decide on a request of this host."""
        decided = self._pools.submit(workspace, cost)
        try:
            decision = await decided
        except asyncio.CancelledError:
            # The caller may go away at the moment of the decision.
            if decided.done() and not decided.cancelled() and decided.result().seconds <= 0:
                self._pools.give_back(workspace, cost)
            raise
        if decision.seconds <= 0:
            self._keep_charge((OWN, number), Charge(workspace, cost))
        return decision

    def handle_request(self, request: QuotaRequest, ip: str) -> None:
        """Reply to a peer's query; a repeated one gets the same reply."""
        key = (ip, request.number)
        reply = self._replies.get(key)
        if reply is not None:
            self._send(ip, reply)
        elif key not in self._pending:
            decided = self._pools.submit(request.workspace, request.cost)
            self._pending[key] = decided
            decided.add_done_callback(functools.partial(self._reply, request, ip))

    def give_back(self, number: int, ip: str = OWN) -> None:
        """Take back a charge, unless that was done before."""
        charge = self._charges.pop((ip, number), None)
        if charge is not None:
            self._pools.give_back(charge.workspace, charge.cost)

    def handle_return(self, message: QuotaReturn, ip: str) -> None:
        """Take back the charge of a peer's request."""
        self.give_back(message.number, ip)

    def _reply(self, request: QuotaRequest, ip: str, decided: "asyncio.Future[Decision]") -> None:
        key = (ip, request.number)
        del self._pending[key]
        decision = decided.result()
        if decision.seconds <= 0:
            self._keep_charge(key, Charge(request.workspace, request.cost))
        reply = QuotaReply(request.number, decision.seconds, round_up(decision.missing))
        make_room(self._replies, key, MAX_REPLIES)
        self._replies[key] = reply
        self._send(ip, reply)

    def _keep_charge(self, key: RequestKey, charge: Charge) -> None:
        make_room(self._charges, key, MAX_CHARGES)
        self._charges[key] = charge


def round_up(units: float) -> int:
    """Return missing units as a whole number that a datagram can carry."""
    return math.ceil(min(max(0.0, units), float(MAX_INT64 // 2)))
