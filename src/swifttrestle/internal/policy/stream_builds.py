"""Decides where a stream that its caller takes up goes on.

A stream is the answer of one service, and what two versions of its software write does not fit
together. Upstreams do not check that. A caller may take a stream up at any host, so hosts keep each
other's streams; see docs/design/stream-versions.md.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from swifttrestle.internal.state.stream_builds import StreamOrigin

# Hosts that keep the version of a stream besides the one that began it.
KEEPERS = 2
# Hosts that are asked for the version of a stream: those that kept it, also after a change of
# members or the loss of one.
ASKED_HOSTS = 4


@dataclass(frozen=True)
class StreamKnowledge:
    """What one host knows of a stream: where it began, or None.

    `several` is whether the service that would continue it may have had several versions lately,
    and `only` the one that it has, as far as this host knows.
    """

    origin: StreamOrigin | None
    several: bool
    only: StreamOrigin | None = None


class KnownBy(Enum):
    """How it is known where a stream may go on."""

    OWN = "this host"
    PEER = "a peer"
    STORE = "the store"
    ONE_BUILD = "one version lately"
    NOTHING = "no host"


@dataclass(frozen=True)
class Continuation:
    """Where a stream may go on: where it began, anywhere if `origin` is None, or nowhere."""

    allowed: bool
    origin: StreamOrigin | None = None
    known_by: KnownBy = field(default=KnownBy.NOTHING, compare=False)


def choose_continuation(
    own: StreamKnowledge, replies: Sequence[StreamKnowledge], asked: int
) -> Continuation:
    """Return where a stream may go on, by this host and those of the `asked` that replied.

    Where no host knows it, there must have been no choice. That needs the word of each host that
    was asked: a silent one may know the stream, and those that reply may be cut off from it too.
    """
    if own.origin is not None:
        return Continuation(True, own.origin, KnownBy.OWN)
    known = find_known(replies)
    if known is not None:
        return known
    if any(item.several for item in (own, *replies)) or len(replies) < asked:
        return Continuation(False)
    if own.only is None:
        return Continuation(False)
    return Continuation(True, own.only, KnownBy.ONE_BUILD)


def find_known(replies: Sequence[StreamKnowledge]) -> Continuation | None:
    """Return where a stream goes on that a peer knows, or None if no reply tells."""
    known = [item.origin for item in replies if item.origin is not None]
    return Continuation(True, known[0], KnownBy.PEER) if known else None


def needs_more_replies(own: StreamKnowledge, replies: Sequence[StreamKnowledge]) -> bool:
    """Return whether silent peers are worth another query before the store is asked."""
    if any(item.origin is not None for item in replies):
        return False
    return not replies or any(item.several for item in (own, *replies))
