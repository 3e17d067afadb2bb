"""Datagrams by which hosts charge requests to the quotas of workspaces.

Datagrams may be lost, late or duplicated. A lost one loses units of a quota, and receivers
recognise duplicates by their numbers, so that none creates units.
"""

import ipaddress
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, TypeVar

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number, check_text
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES

# Bytes of a collection in a datagram without its workspaces: the datagram's kind, and the message's
# kind and number with the headers of both arrays.
COLLECTION_BYTES = 1 + 1 + 1 + 9 + 3
# Bytes of a workspace in a collection, or in the reply to it, without its name: the headers of the
# pair and of the name, and a number.
ENTRY_BYTES = 1 + 3 + 9

T = TypeVar("T")


class QuotaMessageKind(IntEnum):
    """The first field of a quota datagram."""

    REQUEST = 1
    REPLY = 2
    RETURN = 3
    COLLECT_REQUEST = 4
    COLLECT_REPLY = 5


@dataclass(frozen=True)
class QuotaRequest:
    """Asks a counter to charge a request; `number` identifies it among those of its sender.

    `origin` is the IP of the host that asked, if another host has passed its query on.
    """

    number: int
    workspace: str
    cost: int
    origin: str = ""


@dataclass(frozen=True)
class QuotaReply:
    """Grants a charge if `seconds` is 0; otherwise it would fit after that time.

    `missing` are the units by which the request is over the quota.
    """

    number: int
    seconds: float = 0.0
    missing: int = 0


@dataclass(frozen=True)
class QuotaReturn:
    """Gives back what was charged for a request of the sender that did not run."""

    number: int
    workspace: str


@dataclass(frozen=True)
class CollectRequest:
    """Asks for units that the receiver has accrued, as pairs of workspace and maximum.

    `round` identifies the request among those of its sender.
    """

    round: int
    wanted: tuple[tuple[str, int], ...]


@dataclass(frozen=True)
class CollectReply:
    """Hands over accrued units, as pairs of workspace and units."""

    round: int
    collected: tuple[tuple[str, float], ...] = ()


Message = QuotaRequest | QuotaReply | QuotaReturn | CollectRequest | CollectReply


def split_wanted(
    wanted: Iterable[tuple[str, int]],
) -> Iterator[tuple[tuple[str, int], ...]]:
    """Split what is wanted so that a request to collect it, and the reply, fit one datagram."""
    batch: list[tuple[str, int]] = []
    size = COLLECTION_BYTES
    for workspace, units in wanted:
        entry_size = ENTRY_BYTES + len(workspace.encode())
        if batch and size + entry_size > MAX_DATAGRAM_BYTES:
            yield tuple(batch)
            batch = []
            size = COLLECTION_BYTES
        batch.append((workspace, units))
        size += entry_size
    if batch:
        yield tuple(batch)


def pack_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    values: tuple[Any, ...]
    match message:
        case QuotaRequest(number, workspace, cost, origin):
            values = (QuotaMessageKind.REQUEST, number, workspace, cost, origin)
        case QuotaReply(number, seconds, missing):
            values = (QuotaMessageKind.REPLY, number, seconds, missing)
        case QuotaReturn(number, workspace):
            values = (QuotaMessageKind.RETURN, number, workspace)
        case CollectRequest(number, wanted):
            values = (QuotaMessageKind.COLLECT_REQUEST, number, wanted)
        case CollectReply(number, collected):
            values = (QuotaMessageKind.COLLECT_REPLY, number, collected)
    data: bytes = msgpack.packb(values)
    return data


def unpack_message(data: bytes) -> Message:
    """Parse a datagram; raise FrameError."""
    try:
        kind, number, *fields = _read_list(decode_msgpack(data))
        return _read_message(QuotaMessageKind(kind), check_integer(number, 0, MAX_INT64), fields)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"quota datagram malformed: {error!r:.200}") from None


def _read_message(kind: QuotaMessageKind, number: int, fields: list[Any]) -> Message:
    match kind:
        case QuotaMessageKind.REQUEST:
            workspace, cost, origin = fields
            cost = check_integer(cost, 1, MAX_INT64)
            return QuotaRequest(number, check_text(workspace), cost, _read_origin(origin))
        case QuotaMessageKind.REPLY:
            seconds, missing = fields
            return QuotaReply(number, _read_amount(seconds), check_integer(missing, 0, MAX_INT64))
        case QuotaMessageKind.RETURN:
            (workspace,) = fields
            return QuotaReturn(number, check_text(workspace))
        case QuotaMessageKind.COLLECT_REQUEST:
            (pairs,) = fields
            return CollectRequest(number, _read_pairs(pairs, _read_wanted))
    (pairs,) = fields
    return CollectReply(number, _read_pairs(pairs, _read_amount))


def _read_pairs(raw: Any, read: Callable[[Any], T]) -> tuple[tuple[str, T], ...]:
    """Return pairs of workspace and value; one named twice would hand over its units twice."""
    pairs = []
    for item in _read_list(raw):
        workspace, value = _read_list(item)
        pairs.append((check_text(workspace), read(value)))
    if len({workspace for workspace, _ in pairs}) != len(pairs):
        raise ValueError("a workspace is named twice")
    return tuple(pairs)


def _read_list(raw: Any) -> list[Any]:
    if not isinstance(raw, list):
        raise ValueError(f"{raw!r:.80} is not a list")
    return raw


def _read_origin(raw: Any) -> str:
    return "" if raw == "" else str(ipaddress.ip_address(check_text(raw)))


def _read_wanted(raw: Any) -> int:
    return check_integer(raw, 1, MAX_INT64)


def _read_amount(raw: Any) -> float:
    return check_number(raw, 0, sys.float_info.max)
