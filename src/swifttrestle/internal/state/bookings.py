"""Bookings of engines: the requirements of a request, the engines booked and their outcome."""

import math
from dataclasses import dataclass, field
from enum import IntEnum

from swifttrestle.internal.checks import MAX_STATED_TOKENS, check_integer
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart


class Stage(IntEnum):
    """The work for which an engine is booked: prefill (`READ`) or decode."""

    READ = 1
    DECODE = 2


class Outcome(IntEnum):
    """How the use of a booked engine ended."""

    DONE = 0
    CANCELLED = 1
    REFUSED = 2
    BROKEN = 3
    GONE = 4


@dataclass(frozen=True)
class BookingRequest:
    """What a request needs of engines; times are in seconds from now.

    `remaining_seconds` is the time to the deadline. `longest_wait` is the longest wait for engines
    that still meets the latency objective. `max_wait` is the longest wait in total; after
    `longest_wait`, the request gets only capacity that requests still within their objective do not
    need. `max_prefill_wait` is the longest acceptable predicted wait for prefill; the time already
    waited is subtracted from it, unless the request is `late`, that is, misses its objective
    anyway. Prefill must end within `latest_read` for the objective to be met. `parts` are the parts
    of the prompt, with ids that differ between models.
    """

    service: str
    zone: str
    tokens: int
    affinity: str
    priority: int
    urgent: bool
    remaining_seconds: float
    longest_wait: float
    max_prefill_wait: float
    late: bool = False
    excluded: frozenset[str] = field(default_factory=frozenset)
    parts: tuple[PromptPart, ...] = ()
    max_wait: float = 0.0
    latest_read: float = math.inf

    def checked(self) -> "BookingRequest":
        """Return the request after checking what a peer sent; raise TypeError or ValueError."""
        texts: tuple[object, ...] = (self.service, self.zone, self.affinity)
        texts += tuple(item.part for item in self.parts)
        numbers = (
            self.priority,
            self.remaining_seconds,
            self.longest_wait,
            self.max_prefill_wait,
            self.max_wait,
            self.latest_read,
        )
        if not all(isinstance(value, str) for value in (*texts, *self.excluded)):
            raise TypeError("booking request: each name must be a string")
        if not all(isinstance(value, int | float) for value in numbers):
            raise TypeError("booking request: each count and each time must be a number")
        if any(math.isnan(value) for value in numbers):
            raise ValueError("booking request: a time is not a number")
        for tokens in (self.tokens, *(item.tokens for item in self.parts)):
            check_integer(tokens, 0, MAX_STATED_TOKENS)
        return self


@dataclass(frozen=True)
class BookingReference:
    """Identifies a booking between two hosts; `ip` is the address of the other host."""

    host: str
    number: int
    ip: str = field(default="", compare=False)


@dataclass(frozen=True)
class Booking:
    """The engines of one request: `reader` prefills its prompt, `decoder` decodes.

    Both are the same engine if the decode engine also prefills. `tokens` are the prompt tokens
    that the prefill engine has neither cached nor fetches. `tokens_ahead` are all tokens queued
    there, including these, and `wait` is its predicted wait in seconds, both at the time of
    booking. `reference` is set if another host holds the booking. `parts` are the parts of the
    prompt, `unread` those that the prefill engine has not cached. `source` is the engine from which
    it fetches some of them, in `fetch_seconds`.
    """

    reader: Instance
    decoder: Instance
    tokens: int
    tokens_ahead: int = 0
    wait: float = 0.0
    reference: BookingReference | None = None
    parts: tuple[PromptPart, ...] = ()
    unread: tuple[PromptPart, ...] = ()
    source: Instance | None = None
    fetch_seconds: float = 0.0

    @property
    def direct(self) -> bool:
        """Whether one engine both prefills and decodes."""
        return self.reader is self.decoder


@dataclass(frozen=True)
class NoCapacity:
    """No engine was free in time.

    `waiting` counts the requests that wait; `next_free_seconds` is the predicted time until an
    engine is free.
    """

    waiting: int
    next_free_seconds: float
