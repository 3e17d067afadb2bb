"""Datagrams between a host and the scheduler that books a group of engines for it."""

from dataclasses import astuple, dataclass, replace
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_STATED_TOKENS, check_integer
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.protocol.peer_numbers import MAX_OPEN_TOKENS, MAX_SECONDS, limit_number
from swifttrestle.internal.state.bookings import BookingRequest, Outcome, Stage
from swifttrestle.internal.state.prompt_cache import PromptPart


class MessageKind(IntEnum):
    """The first field of a booking datagram."""

    ASK = 1
    WAIT = 2
    GRANT = 3
    REFUSE = 4
    END = 5


@dataclass(frozen=True)
class BookingQuery:
    """Asks for engines; `number` identifies the booking among those of its host."""

    number: int
    request: BookingRequest


@dataclass(frozen=True)
class Wait:
    """Confirms that the request waits in the scheduler's queue."""

    number: int


@dataclass(frozen=True)
class Grant:
    """Names the booked engines.

    `tokens_ahead` are the tokens queued at the prefill engine (`reader`), including the request's
    own, and `wait` is its predicted wait in seconds. `tokens` are the request's prompt tokens that
    it has neither cached nor fetches. `source` is the engine from which it fetches, "" for none, in
    `fetch_seconds`.
    """

    number: int
    reader: str
    decoder: str
    tokens_ahead: int
    wait: float
    tokens: int = 0
    source: str = ""
    fetch_seconds: float = 0.0


@dataclass(frozen=True)
class Refuse:
    """Reports that no engine is free; one is predicted to be free in `next_free_seconds`."""

    number: int
    waiting: int
    next_free_seconds: float


@dataclass(frozen=True)
class End:
    """Releases one engine of a booking, which was in use for `seconds`."""

    number: int
    stage: Stage
    outcome: Outcome
    seconds: float


Message = BookingQuery | Wait | Grant | Refuse | End


def pack_message(host: str, message: Message) -> bytes:
    """Return the datagram of a message from a host."""
    match message:
        case BookingQuery(number, request):
            parts = [(item.part, item.tokens) for item in request.parts]
            fields = astuple(replace(request, excluded=frozenset(), parts=()))[:-4]
            values: list[Any] = [MessageKind.ASK, host, number, *fields]
            values += [sorted(request.excluded), parts, request.max_wait, request.latest_read]
        case Wait(number):
            values = [MessageKind.WAIT, host, number]
        case Grant():
            values = [MessageKind.GRANT, host, *astuple(_limit_grant(message))]
        case Refuse(number, waiting, next_free_seconds):
            values = [MessageKind.REFUSE, host, number, waiting, next_free_seconds]
        case End(number, stage, outcome, seconds):
            values = [MessageKind.END, host, number, int(stage), int(outcome), seconds]
    data: bytes = msgpack.packb(values)
    return data


def _limit_grant(grant: Grant) -> Grant:
    return replace(
        grant,
        tokens_ahead=min(grant.tokens_ahead, MAX_OPEN_TOKENS),
        tokens=min(grant.tokens, MAX_STATED_TOKENS),
    )


def unpack_message(data: bytes) -> tuple[str, Message]:
    """Return the sending host and its message; raise FrameError."""
    try:
        return _read(decode_msgpack(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"booking datagram malformed: {error!r}") from None


def _read(values: Any) -> tuple[str, Message]:
    match values:
        case [
            MessageKind.ASK, str(host), int(number), *fields, list(excluded), list(parts),
            max_wait, latest_read,
        ]:  # fmt: skip
            read = tuple(PromptPart(*item) for item in parts)
            requirements: list[Any] = [*fields, frozenset(excluded), read, max_wait, latest_read]
            return host, BookingQuery(number, BookingRequest(*requirements).checked())
        case [MessageKind.WAIT, str(host), int(number)]:
            return host, Wait(number)
        case [
            MessageKind.GRANT, str(host), int(number), str(reader), str(decoder),
            int(tokens_ahead), wait,
            int(tokens), str(source), fetch_seconds,
        ]:  # fmt: skip
            return host, Grant(
                number,
                reader,
                decoder,
                check_integer(tokens_ahead, 0, MAX_OPEN_TOKENS),
                _read_duration(wait),
                check_integer(tokens, 0, MAX_STATED_TOKENS),
                source,
                _read_duration(fetch_seconds),
            )
        case [MessageKind.REFUSE, str(host), int(number), int(waiting), next_free_seconds]:
            return host, Refuse(number, waiting, _read_duration(next_free_seconds))
        case [MessageKind.END, str(host), int(number), stage, outcome, seconds]:
            return host, End(number, Stage(stage), Outcome(outcome), _read_duration(seconds))
    raise FrameError("booking datagram of an unknown kind or with a wrong field")


def _read_duration(value: Any) -> float:
    return float(limit_number(value, MAX_SECONDS))
