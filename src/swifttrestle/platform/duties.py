"""Client of the platform's API for usage reports and upstream orders, called by one host only."""

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
# Timeout of a call: twice what a slow platform takes.
CALL_TIMEOUT_SECONDS = 1.0
MAX_RESPONSE_BYTES = 64 * 1024


class CallOutcome(Enum):
    """The outcome of a call; an unanswered call may have taken effect."""

    TAKEN = "taken"
    NONE_TO_BE_HAD = "none to be had"
    REFUSED = "refused"
    LATER = "later"
    UNANSWERED = "unanswered"


@dataclass(frozen=True)
class LeaseCredentials:
    """The lease under which a call is made: its holder and fencing token."""

    holder: str
    token: int


class DutyApiClient:
    """Calls that the platform accepts from the holder of the duty lease."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Call the platform at `address`."""
        self._address = address
        self._pool = pool
        self.calls = 0

    async def report_usage(
        self, credentials: LeaseCredentials, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """Report the number of requests of each workspace in one window."""
        body = {"windowId": window, "counts": dict(counts)}
        return await self._call(credentials, b"/usage", body)

    async def order_upstreams(
        self, credentials: LeaseCredentials, service: str, zone: str, count: int, reclaimable: bool
    ) -> CallOutcome:
        """Order the number of upstreams, reclaimable or not, of a service in a zone."""
        body: dict[str, Any] = {"service": service, "zone": zone, "desiredCount": count}
        if reclaimable:
            body["spot"] = True
        return await self._call(credentials, b"/scale", body)

    async def _call(self, credentials: LeaseCredentials, path: bytes, body: Any) -> CallOutcome:
        self.calls += 1
        content = orjson.dumps(body)
        headers = [
            (b"Host", f"{self._address[0]}:{self._address[1]}".encode()),
            (b"X-Lease-Holder", credentials.holder.encode()),
            (b"X-Fencing-Token", str(credentials.token).encode()),
            (b"Content-Type", b"application/json"),
        ]
        request_body = Body.from_bytes(content)
        request = OutgoingRequest(
            b"POST", path, headers, Framing.LENGTH, len(content), request_body
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                head, _ = await call_once(
                    self._pool, POOL_NAME, self._address, request, MAX_RESPONSE_BYTES
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
