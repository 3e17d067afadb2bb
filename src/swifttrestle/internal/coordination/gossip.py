"""Gateways tell each other who lives, what they have open, and the newest configuration.

Reports are datagrams, sent when something changed and otherwise as heartbeats: in a small
fleet to every peer, in a large one to the representatives of the own zone, which tell the
others who lives (see `rosters`).
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable

from swifttrestle.internal.coordination.candidates import RoleCandidates
from swifttrestle.internal.coordination.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.coordination.exchange import ConfigurationExchange
from swifttrestle.internal.coordination.recipients import ReportRecipients
from swifttrestle.internal.coordination.registration import register_host, restore_registration
from swifttrestle.internal.coordination.role_orders import RoleOrders
from swifttrestle.internal.coordination.rosters import Rosters
from swifttrestle.internal.coordination.zone_demand import ZoneDemand
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.protocol.gossip import PeerReport, pack_report, unpack_report
from swifttrestle.internal.protocol.rosters import RosterSummary
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.demand import DemandMeter
from swifttrestle.internal.state.fleet import Fleet, OpenWork
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import Heartbeat, Peer, PeerTable
from swifttrestle.internal.state.prompt_cache import SentPrompt
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket
from swifttrestle.platform.store import ObjectStore

# Seconds between heartbeats.
HEARTBEAT_SECONDS = 0.5
# Seconds for which a host that its zone's representatives told of needs no answer from those of
# another zone: a little more than the longest pause between two heartbeats.
REPRESENTED_SECONDS = 0.65
# Least seconds between reports of open work, and the further time for each host that hears
# them, so that the datagrams a second stay bounded as the number of hosts grows.
REPORT_SECONDS = 0.01
REPORT_SECONDS_PER_PEER = 0.002
# Seconds between two looks at what is to be told in a large fleet, at hosts that are no
# schedulers: a fifth of a heartbeat.
LARGE_REPORT_SECONDS = 0.1
# Seconds after the start in which peers that are greeted answer, and for which their word on the
# newest version counts: a little more than the longest pause between two heartbeats.
MEET_SECONDS = 0.65
# Peers that one heartbeat names, so that hosts find each other without the store.
NAMED_PEERS = 8
# Prompts that one report tells of, some 60 bytes each.
MOST_PROMPTS = 12

Work = dict[str, OpenWork]


class Gossip:
    """This gateway's part in the exchange."""

    def __init__(
        self,
        me: Member,
        incarnation: int,
        socket: PeerSocket,
        fleet: Fleet,
        demand: DemandMeter,
        sent_prompts: deque[SentPrompt],
        configuration: ConfigurationWatcher,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        """Prepare; `changed` is called when peers' work, or who lives, has changed."""
        self._me = me
        self._incarnation = incarnation
        self._socket = socket
        self._fleet = fleet
        self._configuration = configuration
        self._exchange = ConfigurationExchange(socket.ip, socket.port, configuration)
        self._rng = rng
        self._changed = changed
        self._peers = PeerTable(me)
        self._sent_prompts = sent_prompts
        self._demand = ZoneDemand(me, self._peers, demand)
        self._rosters = Rosters(me, socket, self._peers, self._take_summary, self._now)
        self.candidates = RoleCandidates(me, self._peers, self._now)
        self.recipients = ReportRecipients(
            me, self._peers, self.candidates, rng, self._now, lambda: self._rosters.reported_at
        )
        self._ordered = RoleOrders(fleet, self._now)
        self._live: frozenset[str] = frozenset()
        # Open work as it was last told to anyone, and when to tell it again.
        self._sent_work: Work = {}
        self._report_at = 0.0
        # The configuration version of this host's last summary.
        self._told_version = 0
        self._started_at = float("inf")
        # The newest version that a peer has told of, and when.
        self._newest_told = (0, float("-inf"))
        # Tells for how many seconds the store has answered this host without a break.
        self.count_store_seconds: Callable[[], float] = float

    async def start(self, seeds: list[str]) -> None:
        """Listen on the internal port, for datagrams and for streams."""
        self._socket.receive(DatagramKind.REPORT, self._take_report)
        await self._socket.open()
        await self._exchange.open()
        self._started_at = self._now()
        self.add_seeds(seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Greet hosts by their IPs alone; their answers tell who they are."""
        for ip in seeds:
            self._peers.add_seed(ip)

    def live_hosts(self) -> list[str]:
        """Return this host and the peers heard of late, in order of name."""
        return [member.host for member in self.list_members()]

    def list_members(self) -> tuple[Member, ...]:
        """Return this host and the peers heard of late, with their addresses and zones."""
        return self.recipients.list_members()

    def has_caught_up(self) -> bool:
        """Return whether this host has met its peers, and no version of theirs is newer.

        The store alone does not tell the newest one: it may have come back from a copy.
        """
        now = self._now()
        version, reported_at = self._newest_told
        met = len(self.live_hosts()) > 1 or now - self._started_at >= MEET_SECONDS
        return met and (version <= self._configuration.version or now - reported_at >= MEET_SECONDS)

    def find_store_up_since(self) -> float:
        """Return the loop's time since when the store has answered some peer, or infinity."""
        return self._peers.find_store_up_since(self._now())

    async def register(self, store: ObjectStore, skipped: SkippedEntries) -> None:
        """Leave this host's address in the store, and learn the others'; retried until done."""
        await register_host(store, self._me, self._peers, self._rng, skipped)

    async def restore_registration(self, store: ObjectStore) -> None:
        """Have this host's address stand in a store that came back from a copy."""
        await restore_registration(store, self._me, len(self.live_hosts()), self._rng)

    # Sending.

    async def run(self) -> None:
        """Send reports for as long as the process lives."""
        beat_at = 0.0
        was_untold = False
        while True:
            now = self._now()
            untold = self.recipients.is_untold(now)
            if now >= beat_at or (untold and not was_untold):
                beat_at = now + HEARTBEAT_SECONDS * (0.9 + 0.2 * self._rng.random())
                self._expire(now)
                self.recipients.find_schedulers(now)
                self._beat(now)
            else:
                self._report(now)
            was_untold = untold
            await asyncio.sleep(self._find_pause())

    def announce_leaving(self) -> None:
        """Tell all peers at once that this gateway stops."""
        self.candidates.leaving = True
        self._send({}, self._peers.list_seen(self._now()))

    def mark_store_unreachable(self, seconds: float) -> None:
        """Tell the peers that this host cannot reach the store, for so many seconds."""
        self.candidates.mark_store_unreachable(seconds)
        self._send(self._list_work(), self._peers.list_seen(self._now()))

    def note_order(self, engine: str, role: Role, ready_at: float) -> None:
        """Tell all hosts of an order that an engine has taken; `ready_at` in the loop's time."""
        self._ordered.note(engine, role, ready_at)
        self._send(self._list_work(), self._peers.list_seen(self._now()))

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()
        self._exchange.close()

    def _find_pause(self) -> float:
        """Return the seconds between two looks at what is to be told."""
        if self.recipients.is_large_fleet() and not self.recipients.schedules:
            return LARGE_REPORT_SECONDS
        schedules = self.recipients.schedules
        recipients = self.recipients.count_schedulers() if schedules else len(self._peers.peers)
        return REPORT_SECONDS + REPORT_SECONDS_PER_PEER * recipients

    def _beat(self, now: float) -> None:
        """Send a heartbeat: to all, or in a large fleet to those who tell the others."""
        work = self._list_work()
        if not self.recipients.is_large_fleet():
            self._note_sent(work)
            self._send(work, self._peers.peers.values(), with_known=True)
            return
        self._rosters.expire()
        recipients = self.recipients.list_for_heartbeat(now, told=bool(work or self._sent_work))
        self._note_sent(work)
        self._send(work, recipients)
        self._send(work, self.recipients.choose_greeted(now), with_known=True)
        if self.recipients.is_representative():
            self._rosters.send(self._make_summary(), self.recipients.list_for_summary())

    def _report(self, now: float) -> None:
        """Tell of changes between two heartbeats."""
        work = self._list_work()
        if now >= self._report_at and work != self._sent_work:
            large = self.recipients.is_large_fleet()
            self._note_sent(work)
            recipients = (
                self.recipients.list_other_schedulers() if large else self._peers.list_seen(now)
            )
            self._send(work, recipients)
        if self.recipients.is_large_fleet() and self.recipients.is_representative():
            marks = (self._rosters.refresh_own(), *self._rosters.list_strays())
            # A version is told at once: on a thin link a copy that begins 0.4 s later finds the
            # store's own answer, eleven times as long, under way.
            newer = self._configuration.version > self._told_version
            if newer or self._rosters.is_news(marks):
                self._rosters.send(self._make_summary(), self.recipients.list_for_summary())

    def _list_work(self) -> Work:
        """Return what is open here as far as others use it.

        In a large fleet the schedulers count what is open at the engines; all other work is
        over before a report of it could be used.
        """
        work = self._fleet.own_work()
        if not self.recipients.is_large_fleet():
            return work
        return {name: item for name, item in work.items() if self._fleet.is_engine(name)}

    def _note_sent(self, work: Work) -> None:
        self._sent_work = work
        self._report_at = self._now() + self._find_pause()

    def _make_summary(self) -> RosterSummary:
        self._told_version = self._configuration.version
        own = self._rosters.refresh_own()
        return RosterSummary(
            self._me.host,
            self._me.zone,
            self._me.link_mbps,
            self._incarnation,
            self._configuration.version,
            self.candidates.store_unreachable,
            self.candidates.find_holder(self._me.zone),
            own,
            (*self._rosters.list_strays(), *self._rosters.list_others(own)),
            self._demand.sum_own_zone(self._now()),
            self._ordered.list_recent(),
        )

    def _send(self, work: Work, peers: Iterable[Peer], with_known: bool = False) -> None:
        data = pack_report(
            PeerReport(
                self._me.host,
                self._me.ip,
                self._me.zone,
                self._me.link_mbps,
                self._incarnation,
                self._configuration.version,
                self.candidates.leaving,
                self.candidates.holds_duty_lease,
                self.candidates.store_unreachable,
                self.count_store_seconds(),
                {name: (item.tokens, item.requests) for name, item in work.items()},
                self._demand.list_own(self._now()),
                self._ordered.list_recent(),
                self._sample_known() if with_known else (),
                self._take_prompts(),
            )
        )
        for peer in peers:
            self._socket.send(peer.ip, DatagramKind.REPORT, data)

    def _take_prompts(self) -> tuple[SentPrompt, ...]:
        """Return prompts to tell of; in a large fleet schedulers know what they have booked."""
        waiting = self._sent_prompts
        if self.recipients.is_large_fleet():
            waiting.clear()
        return tuple(waiting.popleft() for _ in range(min(MOST_PROMPTS, len(waiting))))

    def _sample_known(self) -> tuple[tuple[str, str], ...]:
        seen = self._peers.list_seen(self._now())
        sample = self._rng.sample(seen, min(NAMED_PEERS, len(seen)))
        return tuple((peer.host, peer.ip) for peer in sample)

    # Receiving.

    def _take_report(self, data: bytes, _: str) -> None:
        """Take a peer's report over; raise FrameError."""
        report = unpack_report(data)
        if report.host == self._me.host:
            return
        now = self._now()
        joined = self._note_heard(
            Heartbeat(
                Member(report.host, report.ip, report.zone, report.link_mbps),
                report.incarnation,
                report.leaving,
                report.holds_duty_lease,
                report.store_unreachable,
                report.store_seconds,
            )
        )
        work = {name: OpenWork(*counts) for name, counts in report.work.items()}
        self._fleet.note_peer(report.host, work, now)
        self._demand.update_host(report.host, report.demand)
        for prompt in report.prompts:
            self._fleet.note_prompt(prompt)
        self._ordered.take(report.roles, report.host)
        for host, ip in report.known:
            self._peers.add_peer(host, ip)
        self._take_version(report.host, report.ip, report.config_version)
        if self.recipients.is_large_fleet():
            self._answer_stranger(report, joined)
        self._changed()

    def _answer_stranger(self, report: PeerReport, joined: bool) -> None:
        """Help a host that speaks to this one for want of others."""
        if report.zone != self._me.zone and self.recipients.is_representative():
            if self._now() - self._peers.peers[report.host].reported_at < REPRESENTED_SECONDS:
                # Its zone tells of it: it reports to a scheduler, or spoke to all.
                return
            self._rosters.answer(self._make_summary(), report.ip)
        elif joined:
            # It may know nobody else yet.
            self._send(
                self._list_work(), self.recipients.list_named([report.host]), with_known=True
            )

    def _take_summary(self, summary: RosterSummary, ip: str) -> None:
        """Take over what a representative says besides who lives."""
        now = self._now()
        member = Member(summary.host, ip, summary.zone, summary.link_mbps)
        holds = summary.role_holder == summary.host
        beat = Heartbeat(
            member,
            summary.incarnation,
            holds_duty_lease=holds,
            store_unreachable=summary.store_unreachable,
        )
        self._note_heard(beat)
        for holder in self.recipients.list_named([summary.role_holder]):
            holder.held_duty_lease_at = now
        if summary.zone == self._me.zone and self.recipients.is_representative():
            self._demand.drop_zone(summary.zone)
        else:
            self._demand.update_zone(summary.zone, summary.demand, now)
        self._ordered.take(summary.roles, summary.host)
        self._take_version(summary.host, ip, summary.config_version)

    def _note_heard(self, beat: Heartbeat) -> bool:
        joined = self._peers.note_heard(beat, self._now())
        if joined or beat.leaving:
            self._log_live()
        return joined

    def _take_version(self, host: str, ip: str, version: int) -> None:
        if version >= self._newest_told[0]:
            self._newest_told = (version, self._now())
        if version > self._configuration.version:
            self._exchange.fetch_later(host, ip, version)

    def fetch_later(self, host: str, ip: str, version: int) -> None:
        """Fetch a version that a peer has, unless the store's watch brings it first."""
        self._exchange.fetch_later(host, ip, version)

    def _expire(self, now: float) -> None:
        self._fleet.expire_peers(now)
        self._demand.expire(now)
        self._log_live()

    def _log_live(self) -> None:
        live = frozenset(self.live_hosts())
        if live != self._live:
            log_event(
                "live hosts", joined=sorted(live - self._live), lost=sorted(self._live - live)
            )
            self._live = live
            self._changed()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
