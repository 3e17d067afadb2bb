"""Datagrams by which hosts share the rate limits that upstreams name."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.state.upstream_conditions import RateLimit

# Longest accepted name of an upstream's incarnation, in characters.
MAX_START_CHARACTERS = 400


class PermitMessageKind(IntEnum):
    """The first field of a permit datagram."""

    ASK = 1
    ANSWER = 2
    TELL = 3
    LEAVING = 4
    TRIAL = 5
    COUNT = 6
    TRIED = 7


# The kinds whose number has no meaning.
_UNNUMBERED = (PermitMessageKind.TELL, PermitMessageKind.LEAVING, PermitMessageKind.TRIED)


@dataclass(frozen=True)
class PermitRequest:
    """Asks for a permit for one request to an upstream's incarnation, which `start` names.

    `number` identifies the request among those of its sender.
    """

    number: int
    start: str
    urgent: bool
    rate_limit: RateLimit


@dataclass(frozen=True)
class PermitReply:
    """Grants a permit if `seconds` is 0; otherwise the receiver may retry after that time.

    `rate_limit` is the latest one known to the sender.
    """

    number: int
    start: str
    seconds: float
    rate_limit: RateLimit


@dataclass(frozen=True)
class RateLimitUpdate:
    """Reports a rate limit; `relay` asks the receiver to send it to all other hosts."""

    start: str
    rate_limit: RateLimit
    relay: bool = False


@dataclass(frozen=True)
class LeavingUpdate:
    """Reports that an upstream is draining; `relay` as in `RateLimitUpdate`."""

    start: str
    relay: bool = False


@dataclass(frozen=True)
class TrialRequest:
    """Asks whether a quarantined request may be tried; `start` is its fingerprint."""

    number: int
    start: str


@dataclass(frozen=True)
class PermitCount:
    """Tells the owners of a limit how many permits for `start` the sender has granted so far.

    The count begins at a random number at each start of the sender.
    """

    count: int
    start: str


@dataclass(frozen=True)
class TrialNotice:
    """Tells the owners of a trial that its sender has allowed it; `start` is the fingerprint."""

    start: str


# Messages that report no rate limit.
Unlimited = LeavingUpdate | TrialRequest | PermitCount | TrialNotice
Message = PermitRequest | PermitReply | RateLimitUpdate | Unlimited


def pack_message(message: Message, now: float) -> bytes:
    """Return the datagram of a message; times are encoded as seconds before `now`.

    `now` is the event loop's time.
    """
    rate_limit = RateLimit() if isinstance(message, Unlimited) else message.rate_limit
    age = max(0.0, now - rate_limit.at) if rate_limit.at > float("-inf") else None
    values: tuple[Any, ...]
    match message:
        case PermitRequest(number, start, urgent, _):
            values = (PermitMessageKind.ASK, number, start, urgent)
        case PermitReply(number, start, seconds, _):
            values = (PermitMessageKind.ANSWER, number, start, seconds)
        case RateLimitUpdate(start, _, relay):
            values = (PermitMessageKind.TELL, 0, start, relay)
        case LeavingUpdate(start, relay):
            values = (PermitMessageKind.LEAVING, 0, start, relay)
        case TrialRequest(number, start):
            values = (PermitMessageKind.TRIAL, number, start, False)
        case PermitCount(count, start):
            values = (PermitMessageKind.COUNT, count, start, False)
        case TrialNotice(start):
            values = (PermitMessageKind.TRIED, 0, start, False)
    data: bytes = msgpack.packb((*values, rate_limit.rate, age))
    return data


def unpack_message(data: bytes, now: float) -> Message:
    """Parse a datagram received at the event loop's time `now`; raise FrameError."""
    try:
        kind, number, raw_start, value, rate, age = decode_msgpack(data)
        start, rate_limit = _read_start(raw_start), _read_rate_limit(rate, age, now)
        kind = PermitMessageKind(kind)
        if kind in _UNNUMBERED:
            return _read_unnumbered(kind, start, bool(value), rate_limit)
        number = check_integer(number, 0, MAX_INT64)
        match kind:
            case PermitMessageKind.ASK:
                return PermitRequest(number, start, bool(value), rate_limit)
            case PermitMessageKind.ANSWER:
                return PermitReply(number, start, _read_seconds(value), rate_limit)
            case PermitMessageKind.COUNT:
                return PermitCount(number, start)
        return TrialRequest(number, start)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"permit datagram malformed: {error!r}") from None


def _read_unnumbered(
    kind: PermitMessageKind, start: str, relay: bool, rate_limit: RateLimit
) -> Message:
    match kind:
        case PermitMessageKind.TELL:
            return RateLimitUpdate(start, rate_limit, relay)
        case PermitMessageKind.LEAVING:
            return LeavingUpdate(start, relay)
    return TrialNotice(start)


def _read_rate_limit(rate: Any, age: Any, now: float) -> RateLimit:
    at = float("-inf") if age is None else now - _read_seconds(age)
    return RateLimit(None if rate is None else _read_seconds(rate), at)


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_START_CHARACTERS:
        raise ValueError(
            f"{raw!r} is not an incarnation's name; give 1 to {MAX_START_CHARACTERS} characters"
        )
    return raw


def _read_seconds(raw: Any) -> float:
    return check_number(raw, 0, sys.float_info.max)
