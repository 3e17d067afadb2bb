"""The platform's calls that are one host's duty: reports of usage, and orders of upstreams."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import Address, OutgoingRequest

POOL_NAME = "duties"
# Seconds in which a call must be answered: twice what a slow platform takes.
CALL_SECONDS = 1.0
SMALL_ANSWER_BYTES = 64 * 1024


class CallOutcome(Enum):
    """What became of a call; without an answer it may have been done."""

    TAKEN = "taken"
    NONE_TO_BE_HAD = "none to be had"
    REFUSED = "refused"
    LATER = "later"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class LeaseCredentials:
    """Under which lease a call is made."""

    holder: str
    token: int


class DutyApiClient:
    """The client of the platform's duty calls."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Call the platform at an address."""
        self._address = address
        self._pool = pool
        self.calls = 0

    async def report_usage(
        self, authority: LeaseCredentials, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """Report one window's requests by workspace."""
        body = {"windowId": window, "counts": dict(counts)}
        return await self._call(authority, b"/usage", body)

    async def order_upstreams(
        self, authority: LeaseCredentials, service: str, zone: str, count: int, reclaimable: bool
    ) -> CallOutcome:
        """Order how many upstreams of a kind a service is to have in a zone."""
        body: dict[str, Any] = {"service": service, "zone": zone, "desiredCount": count}
        if reclaimable:
            body["spot"] = True
        return await self._call(authority, b"/scale", body)

    async def _call(self, authority: LeaseCredentials, path: bytes, body: Any) -> CallOutcome:
        self.calls += 1
        content = orjson.dumps(body)
        headers = [
            (b"Host", f"{self._address[0]}:{self._address[1]}".encode()),
            (b"X-Lease-Holder", authority.holder.encode()),
            (b"X-Fencing-Token", str(authority.token).encode()),
            (b"Content-Type", b"application/json"),
        ]
        sent = Body.from_bytes(content)
        request = OutgoingRequest(b"POST", path, headers, Framing.LENGTH, len(content), sent)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                head, _ = await call_once(
                    self._pool, POOL_NAME, self._address, request, SMALL_ANSWER_BYTES
                )
        except (UpstreamBrokenError, TimeoutError) as error:
            log_event("duty call unanswered", path=path.decode(), reason=repr(error))
            return CallOutcome.UNANSWERED
        return _read_outcome(head.status)


def _read_outcome(status: int) -> CallOutcome:
    if status < 300:
        return CallOutcome.TAKEN
    if status == 409:
        return CallOutcome.NONE_TO_BE_HAD
    if status in (429, 503):
        return CallOutcome.LATER
    return CallOutcome.REFUSED
