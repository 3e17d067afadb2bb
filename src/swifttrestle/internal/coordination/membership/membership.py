"""Tracks the other processes and keeps streams to peers.

The platform holds a Member object for each process, written at its start and deleted at
its planned stop. Peers exchange heartbeats: immediately on a change, otherwise periodically.
A process with outdated configuration pulls newer shards from peers that have them.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import (
    ConflictError,
    FrameError,
    NotFoundError,
    PeerUnknownError,
    PlatformUnavailableError,
)
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.store.conditional_writes import read_or_none, update_object
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info, log_warning
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.peers import (
    CONTROLLER,
    ENTRY,
    Heartbeat,
    Identity,
    Message,
    PullShards,
    ShardCopy,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.protocol.platform import ObjectApi, StoredObject
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.transport.streams import PeerStream, accept_stream, connect_stream

MEMBER = "Member"
RING_SUCCESSORS = 3
MAX_MISSED_HEARTBEATS = 5
LISTEN_BACKLOG = 64
FIRST_REDIAL_SECONDS, MAX_REDIAL_SECONDS = 0.2, 3.0


@dataclass(frozen=True)
class PeerView:
    """The state that a peer last reported; `last_heartbeat_at` is local monotonic time."""

    identity: Identity
    epochs: dict[str, int]
    generations: dict[str, int]
    open: dict[str, int]
    last_heartbeat_at: float


class OpenRequestCounter:
    """Counts this process's open requests on an upstream; entries override it."""

    def count_open(self, upstream: str) -> int:
        """Return the number of open requests; 0 in a process that serves none."""
        return 0


class Membership:
    """All streams to and from peers, and the state that peers report on them."""

    def __init__(
        self,
        identity: Identity,
        secret: str,
        *,
        api: ObjectApi,
        cache: ObjectCache,
        config: ConfigStore,
        closings: ClosingTable,
        counter: OpenRequestCounter,
        clock: Clock,
        metrics: Metrics,
        heartbeat: float,
        seeds: tuple[str, ...],
    ) -> None:
        """Prepare; `start` listens and dials. `heartbeat` is the interval in seconds."""
        self.identity = identity
        self._secret = secret
        self._api = api
        self._cache = cache
        self._config = config
        self._closings = closings
        self._counter = counter
        self._clock = clock
        self._metrics = metrics
        self._heartbeat = heartbeat
        self._seeds = seeds
        self._lock = threading.Lock()
        self._views: dict[str, PeerView] = {}
        self._dialing: set[str] = set()
        self._announcements = threading.Condition()
        self._announcement_count = 0
        self._stopped = threading.Event()
        self.leaving = False
        self.registered = threading.Event()
        config.subscribe(lambda _: self.announce())
        closings.subscribe(self.announce)

    def start(self, listener: socket.socket) -> None:
        """Start the threads that accept streams, dial peers and register this process."""
        for target, arg in ((self._accept, listener), (self._dial_all, None)):
            threading.Thread(target=target, args=(arg,), daemon=True).start()

    def announce(self) -> None:
        """Send a heartbeat to every peer now."""
        with self._announcements:
            self._announcement_count += 1
            self._announcements.notify_all()

    def view(self, name: str) -> PeerView | None:
        """Return the state that a peer last reported, or None if it is unknown or silent."""
        with self._lock:
            found = self._views.get(name)
        if found is None or self._clock.now() - found.last_heartbeat_at > self.silence_timeout:
            return None
        return found

    @property
    def silence_timeout(self) -> float:
        """Seconds without a heartbeat after which a peer counts as silent."""
        return self._heartbeat * MAX_MISSED_HEARTBEATS

    def list_live_views(self) -> list[PeerView]:
        """Return the last reported state of all peers that are not silent."""
        with self._lock:
            names = list(self._views)
        return [view for name in names if (view := self.view(name))]

    def members(self, role: str) -> dict[str, Identity]:
        """Return all processes of a role that are registered or send heartbeats, by name."""
        found = {}
        for stored in self._cache.all(MEMBER):
            identity = read_member(stored)
            if identity and identity.role == role:
                found[identity.name] = identity
        for view in self.list_live_views():
            known = found.get(view.identity.name)
            newer = known is None or known.incarnation < view.identity.incarnation
            if view.identity.role == role and newer:
                found[view.identity.name] = view.identity
        return found

    def stop(self) -> None:
        """Report to the peers that this process is stopping, and delete its Member object."""
        self.leaving = True
        self.announce()
        try:
            stored = read_or_none(self._api, MEMBER, self.identity.name)
            if stored and stored.spec.get("incarnation") == self.identity.incarnation:
                self._api.delete(MEMBER, self.identity.name, stored.version)
        except (PlatformUnavailableError, ConflictError):
            log_warning("member object not deleted")
        self._stopped.set()
        self.announce()

    def delete_gone_members(self, is_gone: Callable[[str], bool]) -> None:
        """Delete the Member objects of silent processes whose hosts are gone."""
        for stored in self._cache.all(MEMBER):
            identity = read_member(stored)
            if identity is None or self.view(identity.name) or identity == self.identity:
                continue
            if not is_gone(identity.host):
                continue
            with contextlib.suppress(PlatformUnavailableError, ConflictError, NotFoundError):
                self._api.delete(MEMBER, stored.name, stored.version)
                log_info("member object deleted", member=stored.name, host=identity.host)

    # A process registers before it reads orders or closings. The holder of a pool's lease records
    # an order before it lists the members, so it cannot miss one that does not know the order.

    def register_once(self) -> bool:
        """Write the Member object; return whether that succeeded."""

        def write_identity(_: object) -> dict:
            return {**vars(self.identity)}

        try:
            update_object(self._api, MEMBER, self.identity.name, write_identity)
        except (PlatformUnavailableError, ConflictError):
            return False
        self.registered.set()
        return True

    def _dial_all(self, _: object) -> None:
        while not self._stopped.is_set():
            if not self.registered.is_set():
                self.register_once()
            for address in self._choose_peers():
                with self._lock:
                    if address in self._dialing:
                        continue
                    self._dialing.add(address)
                threading.Thread(target=self._keep_dialing, args=(address,), daemon=True).start()
            self._stopped.wait(self._heartbeat)

    def _choose_peers(self) -> set[str]:
        """Return the addresses to dial: all entries for a controller, some for an entry."""
        entries = self.members(ENTRY)
        controllers = self.members(CONTROLLER)
        mine = self.identity
        if mine.role == CONTROLLER:
            chosen = [*entries.values(), *_successors(mine, controllers)]
        else:
            chosen = _successors(mine, entries)
        addresses = {peer.peer for peer in chosen if peer.name != mine.name}
        if not addresses:
            addresses = set(self._seeds) - {mine.peer}
        return addresses

    def _keep_dialing(self, address: str) -> None:
        pause = FIRST_REDIAL_SECONDS
        while not self._stopped.is_set() and address in self._choose_peers():
            try:
                silence_timeout = self.silence_timeout + 1
                stream = connect_stream(parse_address(address), self._secret, silence_timeout)
                pause = FIRST_REDIAL_SECONDS
                self._handle_stream(stream)
            except (OSError, PeerUnknownError) as error:
                self._metrics.count("peer_dial_failures_total", reason=type(error).__name__)
            self._stopped.wait(pause)
            pause = min(pause * 2, MAX_REDIAL_SECONDS)
        with self._lock:
            self._dialing.discard(address)

    def _accept(self, listener: socket.socket) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._accept_peer, args=(sock,), daemon=True).start()

    def _accept_peer(self, sock: socket.socket) -> None:
        try:
            self._handle_stream(accept_stream(sock, self._secret, self.silence_timeout + 1))
        except (OSError, PeerUnknownError) as error:
            self._metrics.count("peers_turned_away_total", reason=type(error).__name__)

    def _handle_stream(self, stream: PeerStream) -> None:
        threading.Thread(target=self._send_heartbeats, args=(stream,), daemon=True).start()
        try:
            while True:
                self._handle_message(unpack_message(stream.receive()), stream)
        except (OSError, FrameError) as error:
            self._metrics.count("peer_streams_ended_total", reason=type(error).__name__)
        finally:
            stream.close()

    def _send_heartbeats(self, stream: PeerStream) -> None:
        epochs: dict[str, int] | None = None
        generations: dict[str, int] | None = None
        seen = -1
        try:
            while True:
                now_epochs = self._config.epochs()
                now_generations = self._closings.snapshot()
                message = Heartbeat(
                    self.identity,
                    None if now_epochs == epochs else now_epochs,
                    None if now_generations == generations else now_generations,
                    {name: self._counter.count_open(name) for name in self._closings.closed()},
                    self.leaving,
                )
                before = stream.sent_bytes
                stream.send(pack_message(message))
                self._metrics.count("peer_sent_bytes_total", stream.sent_bytes - before)
                epochs, generations = now_epochs, now_generations
                if self.leaving and self._stopped.is_set():
                    return
                with self._announcements:
                    if self._announcement_count == seen:
                        self._announcements.wait(self._heartbeat)
                    seen = self._announcement_count
        except OSError:
            stream.close()

    def _handle_message(self, message: Message, stream: PeerStream) -> None:
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, stream)
            case PullShards(names):
                for copy in self._config.copies(names):
                    stream.send(pack_message(copy))
            case ShardCopy():
                self._config.apply([message])

    def _handle_heartbeat(self, message: Heartbeat, stream: PeerStream) -> None:
        name = message.identity.name
        with self._lock:
            old = self._views.get(name)
            if old and old.identity.incarnation > message.identity.incarnation:
                return
            if old is None or old.identity.incarnation < message.identity.incarnation:
                old = PeerView(message.identity, {}, {}, {}, 0.0)
                log_info(
                    "first heartbeat of a peer received",
                    peer=name,
                    incarnation=message.identity.incarnation,
                )
            if message.leaving:
                self._views.pop(name, None)
                return
            self._views[name] = PeerView(
                message.identity,
                old.epochs if message.epochs is None else message.epochs,
                old.generations if message.generations is None else message.generations,
                message.open,
                self._clock.now(),
            )
        if message.generations:
            self._closings.merge(message.generations)
        outdated = self._config.find_outdated(message.epochs or {})
        if outdated:
            stream.send(pack_message(PullShards(outdated)))


def read_member(stored: StoredObject) -> Identity | None:
    """Return the identity of a Member object, or None where it cannot be read."""
    try:
        return Identity(**{key: stored.spec[key] for key in Identity.__dataclass_fields__})
    except (KeyError, TypeError):
        return None


def choose_incarnation(api: ObjectApi, name: str) -> int:
    """Return an incarnation above the registered one of this name, if any."""
    now = time.time_ns() // 1000
    try:
        stored = read_or_none(api, MEMBER, name)
    except PlatformUnavailableError:
        return now
    known = stored.spec.get("incarnation", 0) if stored else 0
    return max(now, int(known) + 1)


def _successors(mine: Identity, members: dict[str, Identity]) -> list[Identity]:
    """Return the members that follow `mine` on a ring ordered by name, at most RING_SUCCESSORS."""
    names = sorted(members)
    after = [name for name in names if name > mine.name] + [n for n in names if n < mine.name]
    return [members[name] for name in after[:RING_SUCCESSORS]]


def bind_listener(address: tuple[str, int]) -> socket.socket:
    """Bind the peer port exclusively for this process."""
    return socket.create_server(address, backlog=LISTEN_BACKLOG, reuse_port=False)
