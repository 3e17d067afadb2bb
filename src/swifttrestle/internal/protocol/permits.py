"""Datagrams by which hosts keep together to the limits that upstreams name."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import LARGEST_SIGNED, check_number, check_whole
from swifttrestle.internal.state.upstream_conditions import RateWord

# Characters that the name of a start may have in a datagram.
LONGEST_START = 400


class PermitMessageKind(IntEnum):
    """The first field of a datagram about limits."""

    ASK = 1
    ANSWER = 2
    TELL = 3
    LEAVING = 4
    TRIAL = 5


@dataclass(frozen=True)
class Ask:
    """Asks whether one request may go to a start; `number` tells the sender's asks apart."""

    number: int
    start: str
    urgent: bool
    word: RateWord


@dataclass(frozen=True)
class Answer:
    """Says that it may, or after how many `seconds` to ask again; with the newest word known."""

    number: int
    start: str
    seconds: float
    word: RateWord


@dataclass(frozen=True)
class Tell:
    """Tells of a word that the sender has heard; `spread` asks the hearer to tell all others."""

    start: str
    word: RateWord
    spread: bool = False


@dataclass(frozen=True)
class Leaving:
    """Tells of a start that has said that it leaves; `spread` as in Tell."""

    start: str
    spread: bool = False


@dataclass(frozen=True)
class AskTrial:
    """Asks whether a quarantined request may be tried; `start` is the request's name."""

    number: int
    start: str


Message = Ask | Answer | Tell | Leaving | AskTrial


def pack_message(message: Message, now: float) -> bytes:
    """Return the datagram of a message; times go as seconds before `now`, the loop's time."""
    word = RateWord() if isinstance(message, Leaving | AskTrial) else message.word
    age = max(0.0, now - word.at) if word.at > float("-inf") else None
    values: tuple[Any, ...]
    match message:
        case Ask(number, start, urgent, _):
            values = (PermitMessageKind.ASK, number, start, urgent)
        case Answer(number, start, seconds, _):
            values = (PermitMessageKind.ANSWER, number, start, seconds)
        case Tell(start, _, spread):
            values = (PermitMessageKind.TELL, 0, start, spread)
        case Leaving(start, spread):
            values = (PermitMessageKind.LEAVING, 0, start, spread)
        case AskTrial(number, start):
            values = (PermitMessageKind.TRIAL, number, start, False)
    data: bytes = msgpack.packb((*values, word.rate, age))
    return data


def unpack_message(data: bytes, now: float) -> Message:
    """Return the message of a datagram that has just come in; raise FrameError."""
    try:
        kind, number, raw_start, value, rate, age = msgpack.unpackb(data)
        start, word = _read_start(raw_start), _read_word(rate, age, now)
        match PermitMessageKind(kind):
            case PermitMessageKind.ASK:
                return Ask(check_whole(number, 0, LARGEST_SIGNED), start, bool(value), word)
            case PermitMessageKind.ANSWER:
                return Answer(
                    check_whole(number, 0, LARGEST_SIGNED), start, _read_seconds(value), word
                )
            case PermitMessageKind.TELL:
                return Tell(start, word, bool(value))
            case PermitMessageKind.LEAVING:
                return Leaving(start, bool(value))
            case PermitMessageKind.TRIAL:
                return AskTrial(check_whole(number, 0, LARGEST_SIGNED), start)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"a word on a limit cannot be read: {error!r}") from None


def _read_word(rate: Any, age: Any, now: float) -> RateWord:
    at = float("-inf") if age is None else now - _read_seconds(age)
    return RateWord(None if rate is None else _read_seconds(rate), at)


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= LONGEST_START:
        raise ValueError(f"{raw!r} names no start; give up to {LONGEST_START} characters")
    return raw


def _read_seconds(raw: Any) -> float:
    return check_number(raw, 0, sys.float_info.max)
