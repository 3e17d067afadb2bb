"""Engines booked for one request: what is asked, what was found, how each was given back."""

import math
from dataclasses import dataclass, field
from enum import IntEnum

from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart


class Stage(IntEnum):
    """What an engine is booked for."""

    READ = 1
    DECODE = 2


class Outcome(IntEnum):
    """How an engine that was booked turned out."""

    DONE = 0
    CANCELLED = 1
    REFUSED = 2
    BROKEN = 3
    GONE = 4


@dataclass(frozen=True)
class BookingRequest:
    """What decides which engines serve a request; times in seconds from now.

    `left` is the time to the deadline, `longest_wait` the time that it may wait for engines and
    still be in time, `max_wait` the time that it may wait in all, from what others leave;
    `longest_read_wait` the predicted wait for its reading that is short enough: less by
    what it has waited before, unless `late`, where its objective is over in any case. Its prompt
    must be read within `latest_read` for it to be in time.
    `parts` are those of the prompt, named so that no two models share a name.
    """

    service: str
    zone: str
    tokens: int
    affinity: str
    priority: int
    urgent: bool
    left: float
    longest_wait: float
    longest_read_wait: float
    late: bool = False
    excluded: frozenset[str] = field(default_factory=frozenset)
    parts: tuple[PromptPart, ...] = ()
    max_wait: float = 0.0
    latest_read: float = math.inf

    def checked(self) -> "BookingRequest":
        """Return the request as it came from a peer; raise TypeError for a wrong field."""
        texts: tuple[object, ...] = (self.service, self.zone, self.affinity)
        texts += tuple(item.part for item in self.parts)
        numbers: tuple[object, ...] = (
            self.tokens,
            self.priority,
            self.left,
            self.longest_wait,
            self.longest_read_wait,
            self.max_wait,
            self.latest_read,
        )
        numbers += tuple(item.tokens for item in self.parts)
        if not all(isinstance(value, str) for value in (*texts, *self.excluded)):
            raise TypeError("a name in a booking is no text")
        if not all(isinstance(value, int | float) for value in numbers):
            raise TypeError("a figure in a booking is no number")
        return self


@dataclass(frozen=True)
class BookingReference:
    """The name of a booking between two hosts, and the IP of the one that is talked to."""

    host: str
    number: int
    ip: str = field(default="", compare=False)


@dataclass(frozen=True)
class Booking:
    """The engines of one request: the one that reads its prompt and the one that decodes.

    Both are the same where the decoding engine reads the prompt itself. `tokens` are those that
    the reader neither keeps nor fetches, `ahead` those to be read at the reader, these included,
    and `wait` its predicted wait in seconds, both from the moment of booking. `reference` is set
    where another host keeps the booking; `parts` are those of the prompt, `unread` those of
    them that the reader does not keep. `source` is the engine that it fetches some of these
    from, which takes `fetch_seconds`.
    """

    reader: Instance
    decoder: Instance
    tokens: int
    ahead: int = 0
    wait: float = 0.0
    reference: BookingReference | None = None
    parts: tuple[PromptPart, ...] = ()
    unread: tuple[PromptPart, ...] = ()
    source: Instance | None = None
    fetch_seconds: float = 0.0

    @property
    def direct(self) -> bool:
        """Whether one engine does both."""
        return self.reader is self.decoder


@dataclass(frozen=True)
class NoCapacity:
    """No engine was found in time: how many waited, and when one is predicted to be free."""

    waiting: int
    next_free_seconds: float
