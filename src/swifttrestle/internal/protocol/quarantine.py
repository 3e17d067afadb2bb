"""What gateways tell each other of requests under which upstreams crashed, as datagrams.

A datagram may come twice, late or never: all it says is put together with what is known, and what
was said twice counts once.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.protocol.gossip import LARGEST_DATAGRAM
from swifttrestle.internal.state.crash_records import Case, Crash
from swifttrestle.internal.state.request_fingerprints import HALF_BYTES, RequestName

# Cases in one datagram: each takes 170 bytes with four crashes of usual names.
CASES_PER_PART = LARGEST_DATAGRAM // 172
# Crashes that a case may have in a datagram, more than hosts keep of one: a later version may keep
# more.
MOST_TOLD_CRASHES = 16
# Characters that the name of a start may have in a datagram.
LONGEST_START = 200


@dataclass(frozen=True)
class Acquittal:
    """Says that a request got its own answer, at the loop's time `at`."""

    name: RequestName
    at: float


@dataclass(frozen=True)
class CrashNews:
    """Cases and acquittals; `asks` wants all that the hearer keeps from upstreams."""

    cases: tuple[Case, ...] = ()
    acquittals: tuple[Acquittal, ...] = ()
    asks: bool = False


def split_cases(cases: Iterable[Case]) -> Iterator[CrashNews]:
    """Yield news of all cases, each small enough for one datagram."""
    part: list[Case] = []
    for case in cases:
        part.append(case)
        if len(part) == CASES_PER_PART:
            yield CrashNews(tuple(part))
            part = []
    if part:
        yield CrashNews(tuple(part))


def pack_news(news: CrashNews, now: float) -> bytes:
    """Return the datagram of news; times go as seconds before `now`, the loop's time."""
    cases = [
        (pack_name(case.name), [(crash.start, max(0.0, now - crash.at)) for crash in case.crashes])
        for case in news.cases
    ]
    acquittals = [(pack_name(item.name), max(0.0, now - item.at)) for item in news.acquittals]
    data: bytes = msgpack.packb((cases, acquittals, news.asks))
    return data


def unpack_news(data: bytes, now: float) -> CrashNews:
    """Return the news of a datagram that has just come in; raise FrameError."""
    try:
        cases, acquittals, asks = msgpack.unpackb(data)
        return CrashNews(
            tuple(_read_case(name, crashes, now) for name, crashes in cases),
            tuple(Acquittal(read_name(name), now - _read_age(age)) for name, age in acquittals),
            bool(asks),
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"news of crashes cannot be read: {error!r}") from None


def _read_case(name: Any, crashes: Any, now: float) -> Case:
    read = tuple(Crash(_read_start(start), now - _read_age(age)) for start, age in crashes)
    if not 0 < len(read) <= MOST_TOLD_CRASHES:
        raise ValueError(f"{len(read)} crashes; give 1 to {MOST_TOLD_CRASHES}")
    return Case(read_name(name), read)


def read_name(raw: Any) -> RequestName:
    """Return a name as `pack_name` writes it; raise ValueError."""
    if not isinstance(raw, bytes) or len(raw) != 2 * HALF_BYTES:
        raise ValueError(f"{raw!r} is no name; give {2 * HALF_BYTES} bytes")
    return RequestName(raw[:HALF_BYTES], raw[HALF_BYTES:])


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= LONGEST_START:
        raise ValueError(f"{raw!r} names no start; give up to {LONGEST_START} characters")
    return raw


def _read_age(raw: Any) -> float:
    if not isinstance(raw, float) or not 0 <= raw < float("inf"):
        raise ValueError(f"{raw!r} is no age; give seconds from 0")
    return raw


def pack_name(name: RequestName) -> bytes:
    """Return a name as `read_name` reads it."""
    return name.head + name.body
