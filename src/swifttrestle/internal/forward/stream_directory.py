"""Finds where a stream began, which this host or a peer knows."""

import asyncio
import contextlib
import functools
import hashlib
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from swifttrestle.errors import NotFoundError, PlatformUnavailableError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.hash_ring import HASH_BYTES, MemberRing
from swifttrestle.internal.policy.list_freshness import AlwaysFresh, ListFreshness
from swifttrestle.internal.policy.stream_builds import (
    ASKED_HOSTS,
    KEEPERS,
    Continuation,
    KnownBy,
    StreamKnowledge,
    choose_continuation,
    find_known,
    needs_more_replies,
)
from swifttrestle.internal.protocol.stream_builds import (
    MAX_STREAM_BYTES,
    Message,
    StreamNote,
    StreamQuery,
    StreamReply,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.declared import Route
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.stream_builds import StreamBuilds, StreamOrigin
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds between two queries to a peer that has not replied, and the number of queries.
QUERY_SECONDS = 0.05
QUERIES = 4
# Longest time, in seconds, for which what no host knows is looked up.
LOOK_UP_SECONDS = 1.0
# Longest time, in seconds, for which a host waits until it has heard all others: two heartbeats of
# each and some delay. Seconds between two looks.
HEAR_SECONDS, HEAR_POLL_SECONDS = 1.5, 0.05
# Seconds between two looks at the versions that services have.
OBSERVE_SECONDS = 1.0


@dataclass
class _PendingQuery:
    """A query in progress; `waiting` are the IPs of the peers that have not replied."""

    waiting: set[str]
    replies: list[StreamKnowledge] = field(default_factory=list)
    answered: asyncio.Event = field(default_factory=asyncio.Event)


class StreamArchive(ABC):
    """Knows where streams began also after a loss of all hosts."""

    @property
    @abstractmethod
    def available(self) -> bool:
        """Whether it can be recorded at the moment where streams begin."""

    @abstractmethod
    async def keep(self, route: Route, stream: bytes, origin: StreamOrigin) -> bool:
        """Record where a stream begins, before its caller gets the first event.

        Returns whether that is known from now on.
        """

    @abstractmethod
    def find_safe_origin(self, route: Route) -> StreamOrigin | None:
        """Return where streams may begin of which nothing can be recorded; None if nowhere."""

    @abstractmethod
    async def find(self, route: Route, url: str, stream: bytes) -> StreamOrigin | None:
        """Return where a stream began that is taken up at a URL, or None if that is not known.

        `url` is a host with a path, which `route` has now. An empty `stream` is an unknown one.
        Raises PlatformUnavailableError if it cannot be looked up.
        """

    @abstractmethod
    def is_original(self, route: Route) -> bool:
        """Return whether no stream at a route's location can have begun unseen by this host."""


@dataclass(frozen=True)
class TakeUp:
    """A request that takes a stream up: its route, and its host and path as `url`."""

    route: Route
    url: str


class StreamDirectory(ABC):
    """Knows where streams began: their services and software versions."""

    @abstractmethod
    def note_begun(self, stream: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began, or goes on."""

    async def begin(self, route: Route, stream: bytes, origin: StreamOrigin) -> StreamOrigin | None:
        """Record where a stream of a route begins, before its caller gets the first event.

        Returns where it must begin instead, or None if it may begin there.
        """
        self.note_begun(stream, origin)
        return None

    def find_required_origin(self, route: Route) -> StreamOrigin | None:
        """Return where streams of a route must begin now, or None if they may begin anywhere."""
        return None

    @abstractmethod
    async def find_continuation(
        self, stream: bytes, service: str, take_up: TakeUp | None = None
    ) -> Continuation:
        """Return where a stream may go on, of `service` unless it is known to be of another one.

        An empty `stream` is an unknown one.
        """


class LocalStreamDirectory(StreamDirectory):
    """Knows the streams of this host: for hosts without peers."""

    def __init__(
        self, fleet: Fleet, first_start: bool = False, freshness: ListFreshness | None = None
    ) -> None:
        """Observe the versions of the services in `fleet`, which is as current as `freshness` says.

        `first_start` is whether no stream can have begun before this process.
        """
        self._fleet = fleet
        self._freshness = freshness or AlwaysFresh()
        self._builds = StreamBuilds(knows_past=first_start)

    def note_begun(self, stream: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began, or goes on."""
        self._builds.note_stream(stream, origin, _now())

    async def find_continuation(
        self, stream: bytes, service: str, take_up: TakeUp | None = None
    ) -> Continuation:
        """Return where a stream may go on."""
        return choose_continuation(self._look_up(stream, service), (), asked=0)

    async def run(self) -> None:
        """Observe which versions services have, until cancelled."""
        while True:
            for service in self._fleet.list_services():
                self._observe(service)
            self._builds.expire(_now())
            await asyncio.sleep(OBSERVE_SECONDS)

    def _look_up(self, stream: bytes, service: str) -> StreamKnowledge:
        self._observe(service)
        now = _now()
        builds = self._fleet.list_builds(service)
        return StreamKnowledge(
            self._builds.find(stream, now),
            self._freshness.may_lack_upstreams() or self._builds.may_have_several(service, now),
            StreamOrigin(service, *builds) if len(builds) == 1 else None,
        )

    def _observe(self, service: str) -> None:
        known_at = self._freshness.find_known_at()
        self._builds.note_builds(service, self._fleet.list_builds(service), _now(), known_at)


class SharedStreamDirectory(LocalStreamDirectory):
    """Knows the streams of all hosts: each is kept by some peers, which are asked for it."""

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        fleet: Fleet,
        list_members: Callable[[], Sequence[Member]],
        first_number: int,
        first_start: bool = False,
        archive: StreamArchive | None = None,
        freshness: ListFreshness | None = None,
    ) -> None:
        """Use `socket`; number the queries from `first_number` on.

        What no host knows is looked up in `archive`.
        """
        super().__init__(fleet, first_start, freshness)
        self._archive = archive
        self._socket = socket
        self._host = host
        self._numbers = itertools.count(first_number)
        self._pending: dict[int, _PendingQuery] = {}
        self._ring = MemberRing(list_members)
        socket.set_receiver(DatagramKind.STREAM, self._receive)

    def note_begun(self, stream: bytes, origin: StreamOrigin) -> None:
        """Record where a stream began, or goes on, here and at its keepers."""
        stream = _shorten(stream)
        super().note_begun(stream, origin)
        for peer in self._list_peers(stream)[:KEEPERS]:
            self._send(peer.ip, StreamNote(stream, origin))

    async def begin(self, route: Route, stream: bytes, origin: StreamOrigin) -> StreamOrigin | None:
        """Record where a stream of a route begins, before its caller gets the first event.

        Returns where it must begin instead, or None if it may begin there.
        """
        if self._archive is not None and not await self._archive.keep(
            route, _shorten(stream), origin
        ):
            safe = self._archive.find_safe_origin(route)
            if safe not in (None, origin):
                return safe
            if safe is None:
                name = stream.decode("latin-1")
                log_event("stream begun without a note", stream=name, origin=str(origin))
        self.note_begun(stream, origin)
        return None

    def find_required_origin(self, route: Route) -> StreamOrigin | None:
        """Return where streams of a route must begin now, or None if they may begin anywhere."""
        if self._archive is None or self._archive.available:
            return None
        return self._archive.find_safe_origin(route)

    async def find_continuation(
        self, stream: bytes, service: str, take_up: TakeUp | None = None
    ) -> Continuation:
        """Return where a stream may go on.

        Those that surely know are asked first: hosts that noted it, then the store.
        """
        began = _now()
        stream = _shorten(stream)
        own = self._look_up(stream, service)
        if own.origin is not None:
            return Continuation(True, own.origin, KnownBy.OWN)
        replies = await self._ask(stream, service, functools.partial(needs_more_replies, own))
        known = find_known(replies)
        if known is not None:
            return known
        if self._freshness.is_cut_off():
            return Continuation(False)
        stored = await self._look_up_stored(stream, take_up)
        if stored is not None:
            return stored
        return await self._infer_continuation(stream, service, began)

    async def _look_up_stored(self, stream: bytes, take_up: TakeUp | None) -> Continuation | None:
        """Return what the store says, or None if it cannot tell."""
        if self._archive is None or take_up is None:
            return None
        try:
            async with asyncio.timeout(LOOK_UP_SECONDS):
                stored = await self._archive.find(take_up.route, take_up.url, stream)
        except (PlatformUnavailableError, NotFoundError, TimeoutError) as error:
            log_event("stream not looked up", reason=repr(error))
            return None
        if stored is None and self._archive.is_original(take_up.route):
            return None
        return Continuation(stored is not None, stored, KnownBy.STORE)

    async def _infer_continuation(self, stream: bytes, service: str, began: float) -> Continuation:
        """Return where a stream may go on that no host and no store knows.

        If there has been one version lately it is that one. That needs the word of all hosts that
        keep the stream, and that no host may have used upstreams that this one does not know.
        """
        own = self._look_up(stream, service)
        if own.several:
            return Continuation(False)
        asked = len(self._list_peers(stream))
        replies = await self._ask(stream, service, lambda known: len(known) < asked)
        inferred = choose_continuation(own, replies, asked)
        if inferred.known_by is KnownBy.ONE_BUILD and not await self._hear_all_since(began):
            return Continuation(False)
        return inferred

    async def _hear_all_since(self, began: float) -> bool:
        """Return whether all live hosts are heard after `began`, and none is lost meanwhile."""
        while not self._freshness.may_lack_upstreams():
            if self._freshness.has_heard_all_since(began):
                return True
            if _now() - began > LOOK_UP_SECONDS + HEAR_SECONDS:
                return False
            await asyncio.sleep(HEAR_POLL_SECONDS)
        return False

    async def _ask(
        self,
        stream: bytes,
        service: str,
        needs_more: Callable[[Sequence[StreamKnowledge]], bool],
    ) -> list[StreamKnowledge]:
        """Return the replies of the peers that keep a stream, up to the first one that knows it.

        Silent ones are asked again while the replies `needs_more`.
        """
        peers = self._list_peers(stream)
        if not peers:
            return []
        query = StreamQuery(next(self._numbers), stream, service)
        pending = _PendingQuery({peer.ip for peer in peers})
        self._pending[query.number] = pending
        try:
            for _ in range(QUERIES):
                for ip in pending.waiting:
                    self._send(ip, query)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(QUERY_SECONDS):
                        await pending.answered.wait()
                if not pending.waiting or not needs_more(pending.replies):
                    break
        finally:
            del self._pending[query.number]
        return pending.replies

    def _list_peers(self, stream: bytes) -> list[Member]:
        """Return the peers that keep a stream, the first ones first, and those next to them."""
        position = hashlib.blake2b(stream, digest_size=HASH_BYTES).digest()
        successors = self._ring.get().find_successors(position, ASKED_HOSTS + 1)
        return [item for item in successors if item.host != self._host][:ASKED_HOSTS]

    def _send(self, ip: str, message: Message) -> None:
        self._socket.send(ip, DatagramKind.STREAM, pack_message(message))

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        """Handle a peer's message; raise FrameError for a malformed one."""
        message = unpack_message(data)
        match message:
            case StreamNote(stream, origin):
                self._builds.note_stream(stream, origin, _now())
            case StreamQuery(number, stream, service):
                known = self._look_up(stream, service)
                self._send(ip, StreamReply(number, known.origin, known.several))
            case StreamReply():
                self._take_reply(message, ip)

    def _take_reply(self, reply: StreamReply, ip: str) -> None:
        pending = self._pending.get(reply.number)
        if pending is None or ip not in pending.waiting:
            return
        pending.waiting.discard(ip)
        pending.replies.append(StreamKnowledge(reply.origin, reply.several))
        if reply.origin is not None or not pending.waiting:
            pending.answered.set()


def _shorten(stream: bytes) -> bytes:
    """Return a stream's id, or a hash of one that is too long for a datagram."""
    if len(stream) <= MAX_STREAM_BYTES:
        return stream
    return hashlib.blake2b(stream, digest_size=MAX_STREAM_BYTES // 8).digest()


def _now() -> float:
    return asyncio.get_running_loop().time()
