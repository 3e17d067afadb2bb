"""Decides at which software version of its upstreams a stream goes on.

What two versions write does not fit together, and upstreams do not check it: a stream may go on
only at the version that began it. A caller may take a stream up at any host, so hosts keep each
other's streams; see docs/design/stream-versions.md.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Hosts that keep the version of a stream besides the one that began it.
KEEPERS = 2
# Hosts that are asked for the version of a stream: those that kept it, also after a change of
# members or the loss of one.
ASKED_HOSTS = 4


@dataclass(frozen=True)
class StreamKnowledge:
    """What one host knows of a stream: the version that began it, or None.

    `several` is whether the service had upstreams of several versions lately.
    """

    build: str | None
    several: bool


@dataclass(frozen=True)
class Continuation:
    """Where a stream may go on: at version `build`, at any if it is None, or nowhere."""

    allowed: bool
    build: str | None = None


def choose_continuation(
    own: StreamKnowledge, replies: Iterable[StreamKnowledge], has_peers: bool
) -> Continuation:
    """Return where a stream may go on.

    Where no host knows its version, any one is right only if there has been no other. That needs a
    peer's word, since this host may be cut off.
    """
    replies = list(replies)
    known = [item.build for item in (own, *replies) if item.build is not None]
    if known:
        return Continuation(True, known[0])
    if any(item.several for item in (own, *replies)):
        return Continuation(False)
    return Continuation(bool(replies) or not has_peers)
