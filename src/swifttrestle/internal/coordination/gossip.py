"""Gateways tell each other who lives, what they have open, and the newest configuration.

Reports are datagrams, sent when something changed and otherwise as heartbeats.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import NotFoundError, PlatformUnavailableError
from swifttrestle.internal.coordination.configuration import ConfigurationKeeper
from swifttrestle.internal.coordination.exchange import ConfigurationExchange
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.policy.scheduling import is_large
from swifttrestle.internal.protocol.gossip import PeerReport, pack_report, unpack_report
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.fleet import Fleet, OpenWork
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket
from swifttrestle.platform.store import ObjectStore

PEER_KIND = "swifttrestle-peers"
# Seconds between heartbeats to each peer.
HEARTBEAT_SECONDS = 0.5
# Seconds of silence after which a peer counts as gone: four lost heartbeats.
SILENCE_SECONDS = 2.0
# Least seconds between reports of open work, and the further time for each peer, so that the
# datagrams a second stay bounded as the number of hosts grows.
REPORT_SECONDS = 0.01
REPORT_SECONDS_PER_PEER = 0.002
# Seconds for which peers are told of an order after its engine should have the role: the
# engine's own record tells it by then, unless the store is away.
ORDER_TOLD_SECONDS = 10.0
# Peers that one heartbeat names, so that hosts find each other without the store.
NAMED_PEERS = 8


@dataclass
class Peer:
    """One other gateway; `heard_at` is in the loop's time."""

    host: str
    ip: str
    zone: str = ""
    link_mbps: float = 0.0
    incarnation: int = 0
    heard_at: float = float("-inf")
    leaving: bool = False
    holds_roles: bool = False
    lacks_store: bool = False


class Gossip:
    """This gateway's part in the exchange."""

    def __init__(
        self,
        me: PeerReport,
        socket: PeerSocket,
        fleet: Fleet,
        demand: DemandMeter,
        configuration: ConfigurationKeeper,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        """Prepare; `changed` is called when peers' work has changed."""
        self._me = me
        self._socket = socket
        self._fleet = fleet
        self._demand = demand
        self._configuration = configuration
        self._exchange = ConfigurationExchange(socket.ip, socket.port, configuration)
        self._rng = rng
        self._changed = changed
        self._peers: dict[str, Peer] = {}
        self._live: frozenset[str] = frozenset()
        self._sent_work: dict[str, OpenWork] = {}
        self._ordered: dict[str, tuple[Role, float]] = {}
        # Open work as it was last told to the other schedulers, and when to tell all peers.
        self._sent_close: dict[str, OpenWork] = {}
        self._report_at = 0.0
        self._close: set[str] = set()
        # Returns the hosts that are to hear of this host's open work sooner than the others.
        self.list_close: Callable[[], set[str]] = set
        self.leaving = False
        self.holds_roles = False
        self._lacks_store_until = float("-inf")

    async def start(self, seeds: list[str]) -> None:
        """Listen on the internal port, for datagrams and for streams."""
        self._socket.receive(DatagramKind.REPORT, self._take_report)
        await self._socket.open()
        await self._exchange.open()
        self.add_seeds(seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Greet hosts by their IPs alone; their answers tell who they are."""
        known = {peer.ip for peer in self._peers.values()}
        for ip in seeds:
            if ip != self._me.ip and ip not in known:
                self._peers[f"seed {ip}"] = Peer(f"seed {ip}", ip)

    def live_hosts(self) -> list[str]:
        """Return this host and the peers heard of late, in order of name."""
        return sorted(member.host for member in self.list_members())

    def list_members(self) -> list[Member]:
        """Return this host and the peers heard of late, with their addresses and zones."""
        live = [
            Member(peer.host, peer.ip, peer.zone, peer.link_mbps)
            for peer in self._list_live(self._now())
            if not peer.leaving
        ]
        me = self._me
        return [*live, Member(me.host, me.ip, me.zone, me.link_mbps)]

    def is_role_candidate(self) -> bool:
        """Return whether this host is to plan roles: the holder while it lives, or the first.

        One candidate keeps hosts from writing against each other; the lease itself decides.
        """
        return not self.leaving and (self.holds_roles or self._list_candidates()[:1] == [True])

    def is_next_role_candidate(self) -> bool:
        """Return whether this host takes the planning over where the candidate is gone."""
        return not self.leaving and True in self._list_candidates()[:2]

    def _list_candidates(self) -> list[bool]:
        """Return the hosts that may plan roles, in order: whether each is this one.

        Those that cannot reach the store are left out: they could neither hold the lease nor
        take it.
        """
        now = self._now()
        able = [
            (not peer.holds_roles, peer.host, False)
            for peer in self._list_live(now)
            if not peer.leaving and not peer.lacks_store
        ]
        if now >= self._lacks_store_until:
            able.append((not self.holds_roles, self._me.host, True))
        return [mine for _, _, mine in sorted(able)]

    def note_store_lost(self, seconds: float) -> None:
        """Tell the peers that this host cannot reach the store, for so many seconds."""
        self._lacks_store_until = self._now() + seconds
        self._send(self._fleet.own_work(), self._list_live(self._now()), with_known=False)

    async def register(self, store: ObjectStore) -> None:
        """Leave this host's address in the store, and learn the others'; retried until done."""
        while True:
            try:
                await self._write_record(store)
                for item in (await store.list(PEER_KIND)).items:
                    self._learn(item.name, str(item.spec.get("ip", "")))
                return
            except (PlatformUnavailableError, AttributeError) as error:
                log_decision("peers not read", reason=str(error))
                await asyncio.sleep(1.0 + self._rng.random())

    async def _write_record(self, store: ObjectStore) -> None:
        spec = {"ip": self._me.ip}
        try:
            known = await store.get(PEER_KIND, self._me.host)
            if known.spec != spec:
                await store.replace(PEER_KIND, self._me.host, spec, known.revision)
        except NotFoundError:
            await store.create(PEER_KIND, self._me.host, spec)

    async def run(self) -> None:
        """Send reports for as long as the process lives."""
        beat_at = 0.0
        while True:
            now = self._now()
            work = self._fleet.own_work()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_SECONDS * (0.9 + 0.2 * self._rng.random())
                self._expire(now)
                self._close = self.list_close()
                self._send(work, list(self._peers.values()), with_known=True)
            else:
                self._report(work, now)
            await asyncio.sleep(_find_pause(len(self._close) or len(self._peers)))

    def _report(self, work: dict[str, OpenWork], now: float) -> None:
        """Tell of changed work: close peers at once, all peers at the pace of their number."""
        if now >= self._report_at and self._is_news(work):
            self._send(work, self._list_live(now), with_known=False)
        elif self._close and self._list_engines(work) != self._list_engines(self._sent_close):
            close = [peer for peer in self._list_live(now) if peer.host in self._close]
            self._send_to(work, close, with_known=False)

    def _is_news(self, work: dict[str, OpenWork]) -> bool:
        """Return whether peers are to hear of open work before the next heartbeat.

        In a large fleet the schedulers know of the engines' work, and all other work is over
        before a report of it could be used.
        """
        if not is_large(len(self._live)):
            return work != self._sent_work
        return self._list_engines(work) != self._list_engines(self._sent_work)

    def _list_engines(self, work: dict[str, OpenWork]) -> dict[str, OpenWork]:
        return {name: item for name, item in work.items() if self._fleet.is_engine(name)}

    def say_leaving(self) -> None:
        """Tell all peers at once that this gateway stops."""
        self.leaving = True
        self._send({}, self._list_live(self._now()), with_known=False)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()
        self._exchange.close()

    def _take_report(self, data: bytes, _: str) -> None:
        """Take a peer's report over; raise FrameError."""
        report = unpack_report(data)
        if report.host == self._me.host:
            return
        self._note(report)
        work = {name: OpenWork(*counts) for name, counts in report.work.items()}
        self._fleet.note_peer(report.host, work, self._now())
        self._demand.note_peer(
            report.host, {name: Demand(*offered) for name, offered in report.demand.items()}
        )
        self._take_ordered_roles(report)
        for host, ip in report.known:
            self._learn(host, ip)
        if report.config_version > self._configuration.version:
            self._exchange.fetch_later(report.host, report.ip, report.config_version)
        self._changed()

    def _note(self, report: PeerReport) -> None:
        self._peers.pop(f"seed {report.ip}", None)
        peer = self._peers.setdefault(report.host, Peer(report.host, report.ip))
        live = self._now() - peer.heard_at < SILENCE_SECONDS
        if report.incarnation < peer.incarnation and live:
            # A late datagram of an earlier start. A peer that has been silent may have come
            # back with a lower number: the time of day, which it is taken from, can jump.
            return
        peer.ip, peer.incarnation = report.ip, report.incarnation
        peer.zone, peer.link_mbps = report.zone, report.link_mbps
        peer.leaving = report.leaving
        peer.holds_roles = report.holds_roles
        peer.lacks_store = report.lacks_store
        peer.heard_at = self._now()
        self._log_live()

    def _learn(self, host: str, ip: str) -> None:
        if host and ip and host != self._me.host and host not in self._peers:
            self._peers[host] = Peer(host, ip)

    def _expire(self, now: float) -> None:
        self._fleet.expire_peers(now)
        self._log_live()

    def _log_live(self) -> None:
        live = frozenset(self.live_hosts())
        if live != self._live:
            log_decision(
                "live hosts", joined=sorted(live - self._live), lost=sorted(self._live - live)
            )
            for host in self._live - live:
                self._demand.forget_peer(host)
            self._live = live

    def _list_live(self, now: float) -> list[Peer]:
        return [p for p in self._peers.values() if now - p.heard_at < SILENCE_SECONDS]

    def _send(self, work: dict[str, OpenWork], peers: list[Peer], with_known: bool) -> None:
        self._sent_work = work
        self._report_at = self._now() + _find_pause(len(self._peers))
        self._send_to(work, peers, with_known)

    def _send_to(self, work: dict[str, OpenWork], peers: list[Peer], with_known: bool) -> None:
        self._sent_close = work
        data = pack_report(
            PeerReport(
                self._me.host,
                self._me.ip,
                self._me.zone,
                self._me.link_mbps,
                self._me.incarnation,
                self._configuration.version,
                self.leaving,
                self.holds_roles,
                self._now() < self._lacks_store_until,
                {name: (item.tokens, item.requests) for name, item in work.items()},
                {
                    name: (
                        round(item.read_tokens),
                        round(item.decode_slots, 2),
                        round(item.read_slots, 2),
                    )
                    for name, item in self._demand.own(self._now()).items()
                },
                self._list_ordered_roles(),
                self._sample_known() if with_known else (),
            )
        )
        for peer in peers:
            self._socket.send(peer.ip, DatagramKind.REPORT, data)

    def note_order(self, engine: str, role: Role, ready_at: float) -> None:
        """Tell all hosts of an order that an engine has taken; `ready_at` in the loop's time."""
        self._fleet.note_ordered_role(engine, role, ready_at)
        self._ordered[engine] = (role, ready_at)
        self._send(self._fleet.own_work(), self._list_live(self._now()), with_known=False)

    def _list_ordered_roles(self) -> dict[str, tuple[str, float]]:
        now = self._now()
        self._ordered = {
            name: (role, ready_at)
            for name, (role, ready_at) in self._ordered.items()
            if now < ready_at + ORDER_TOLD_SECONDS
        }
        return {
            name: (role.value, round(max(0.0, ready_at - now), 2))
            for name, (role, ready_at) in self._ordered.items()
        }

    def _take_ordered_roles(self, report: PeerReport) -> None:
        for name, (role, wait) in report.roles.items():
            try:
                self._fleet.note_ordered_role(name, Role(role), self._now() + wait)
            except ValueError:
                log_decision("role skipped", engine=name, role=role, sender=report.host)

    def _sample_known(self) -> tuple[tuple[str, str], ...]:
        live = self._list_live(self._now())
        sample = self._rng.sample(live, min(NAMED_PEERS, len(live)))
        return tuple((peer.host, peer.ip) for peer in sample)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _find_pause(peers: int) -> float:
    """Return the seconds between reports to so many peers."""
    return REPORT_SECONDS + REPORT_SECONDS_PER_PEER * peers
