"""Exchanges liveness, open work and the newest configuration version between gateways.

Reports are datagrams, sent on changes and as periodic heartbeats. In a small fleet they go to every
peer; in a large one to the zone aggregators of the own zone, which distribute the live hosts (see
`rosters`).
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable

from swifttrestle.internal.coordination.configuration.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.configuration.exchange import ConfigurationExchange
from swifttrestle.internal.coordination.duties.role_orders import RoleOrders
from swifttrestle.internal.coordination.membership.candidates import DutyCandidates
from swifttrestle.internal.coordination.membership.peer_listener import PeerListener
from swifttrestle.internal.coordination.membership.recipients import ReportRecipients
from swifttrestle.internal.coordination.membership.registration import (
    register_host,
    restore_registration,
)
from swifttrestle.internal.coordination.membership.rosters import Rosters
from swifttrestle.internal.coordination.membership.zone_demand import ZoneDemand
from swifttrestle.internal.coordination.store.entries import SkippedEntries
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
# Seconds for which a host that its zone's aggregators reported needs no answer from aggregators of
# another zone. Exceeds the maximum interval between heartbeats.
AGGREGATED_SECONDS = 0.65
# Minimum seconds between reports of open work, and the addition for each recipient, which bounds
# the datagrams per second as the number of hosts grows.
REPORT_SECONDS = 0.01
REPORT_SECONDS_PER_PEER = 0.002
# Poll interval in seconds for changes to report, on hosts of a large fleet that are not schedulers.
# A fifth of a heartbeat.
LARGE_FLEET_REPORT_SECONDS = 0.1
# Seconds after the start in which contacted peers answer, and for which their reports of the
# newest version count. Exceeds the maximum interval between heartbeats.
DISCOVERY_SECONDS = 0.65
# Maximum number of peers named in one heartbeat, so that hosts find each other without the store.
MAX_NAMED_PEERS = 8
# Maximum number of prompts in one report. Some 60 bytes each.
MAX_PROMPTS = 12

WorkByUpstream = dict[str, OpenWork]


class Gossip:
    """Sends this gateway's reports and handles those of its peers."""

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
        """Prepare; `changed` is called when peers' work or the live hosts have changed."""
        self._me = me
        self._incarnation = incarnation
        self._socket = socket
        self._fleet = fleet
        self._configuration = configuration
        self.listener = PeerListener(socket.ip, socket.port)
        self._exchange = ConfigurationExchange(self.listener, socket.port, configuration)
        self._rng = rng
        self._changed = changed
        self._peers = PeerTable(me)
        self._sent_prompts = sent_prompts
        self._demand = ZoneDemand(me, self._peers, demand)
        self._rosters = Rosters(me, socket, self._peers, self._handle_summary, self._now)
        self.candidates = DutyCandidates(me, self._peers, self._now)
        self.recipients = ReportRecipients(
            me,
            self._peers,
            self.candidates,
            rng,
            self._now,
            lambda: self._rosters.aggregator_message_at,
            fleet.topology,
        )
        self._role_orders = RoleOrders(fleet, self._now)
        self._live: frozenset[str] = frozenset()
        # Open work as last reported, and when the next report of it may be sent.
        self._reported_work: WorkByUpstream = {}
        self._next_report_at = 0.0
        # The configuration version of this host's last summary.
        self._reported_version = 0
        self._started_at = float("inf")
        # The newest version that a peer has reported, and when.
        self._newest_reported = (0, float("-inf"))
        # Returns for how many seconds the store has answered this host without interruption.
        self.count_store_seconds: Callable[[], float] = float

    @property
    def peers(self) -> PeerTable:
        """The other hosts that this one knows of."""
        return self._peers

    async def start(self, seeds: list[str]) -> None:
        """Listen on the internal port for datagrams and TCP streams."""
        self._socket.set_receiver(DatagramKind.REPORT, self._handle_report)
        await self._socket.open()
        await self.listener.open()
        self._started_at = self._now()
        self.add_seeds(seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Contact hosts of which only the IP is known; their answers identify them."""
        for ip in seeds:
            self._peers.add_seed(ip)

    def live_hosts(self) -> list[str]:
        """Return the names of this host and its live peers, sorted."""
        return [member.host for member in self.list_members()]

    def list_members(self) -> tuple[Member, ...]:
        """Return this host and its live peers, with their addresses and zones."""
        return self.recipients.list_members()

    def has_caught_up(self) -> bool:
        """Return whether this host has received peers' reports and none has a newer version.

        The store alone is not sufficient, since it may have been restored from an older copy.
        """
        now = self._now()
        version, reported_at = self._newest_reported
        has_met_peers = len(self.live_hosts()) > 1 or now - self._started_at >= DISCOVERY_SECONDS
        return has_met_peers and (
            version <= self._configuration.version or now - reported_at >= DISCOVERY_SECONDS
        )

    def find_store_up_since(self) -> float:
        """Return since when, in the loop's time, the store has answered a peer, or infinity."""
        return self._peers.find_store_up_since(self._now())

    async def register(self, store: ObjectStore, skipped: SkippedEntries) -> None:
        """Write this host's address to the store and read those of others; retry until done."""
        await register_host(store, self._me, self._peers, self._rng, skipped)

    async def restore_registration(self, store: ObjectStore) -> None:
        """Write this host's address again if a restored store lacks it."""
        await restore_registration(store, self._me, len(self.live_hosts()), self._rng)

    # Sending.

    async def run(self) -> None:
        """Send reports until cancelled."""
        heartbeat_at = 0.0
        was_orphaned = False
        while True:
            now = self._now()
            orphaned = self.recipients.is_orphaned(now)
            if now >= heartbeat_at or (orphaned and not was_orphaned):
                heartbeat_at = now + HEARTBEAT_SECONDS * (0.9 + 0.2 * self._rng.random())
                self._expire(now)
                self.recipients.refresh_schedulers(now)
                self._send_heartbeat(now)
            else:
                self._send_changes(now)
            was_orphaned = orphaned
            await asyncio.sleep(self._find_interval())

    def announce_leaving(self) -> None:
        """Report to all peers that this gateway is stopping."""
        self.candidates.leaving = True
        self._send({}, self._peers.list_seen(self._now()))

    def mark_store_unreachable(self, seconds: float) -> None:
        """Report to all peers that this host cannot reach the store, for some seconds."""
        self.candidates.mark_store_unreachable(seconds)
        self._send(self._list_work(), self._peers.list_seen(self._now()))

    def note_order(self, engine: str, role: Role, ready_at: float) -> None:
        """Report an order that an engine has accepted; `ready_at` is in the loop's time."""
        self._role_orders.note(engine, role, ready_at)
        self._send(self._list_work(), self._peers.list_seen(self._now()))

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()
        self.listener.close()

    def _find_interval(self) -> float:
        """Return the seconds until the next poll for changes to report."""
        if self.recipients.is_large_fleet() and not self.recipients.schedules:
            return LARGE_FLEET_REPORT_SECONDS
        schedules = self.recipients.schedules
        recipients = self.recipients.count_schedulers() if schedules else len(self._peers.peers)
        return REPORT_SECONDS + REPORT_SECONDS_PER_PEER * recipients

    def _send_heartbeat(self, now: float) -> None:
        """Send a heartbeat to all peers, or in a large fleet to the chosen recipients."""
        work = self._list_work()
        if not self.recipients.is_large_fleet():
            self._note_sent(work)
            self._send(work, self._peers.peers.values(), with_known=True)
            return
        self._rosters.expire()
        recipients = self.recipients.list_for_heartbeat(
            now, has_work=bool(work or self._reported_work)
        )
        self._note_sent(work)
        self._send(work, recipients)
        self._send(work, self.recipients.choose_silent(now), with_known=True)
        if self.recipients.is_aggregator():
            self._rosters.send(self._make_summary(), self.recipients.list_for_summary())

    def _send_changes(self, now: float) -> None:
        """Report changes between two heartbeats."""
        work = self._list_work()
        if now >= self._next_report_at and work != self._reported_work:
            large = self.recipients.is_large_fleet()
            self._note_sent(work)
            recipients = (
                self.recipients.list_other_schedulers() if large else self._peers.list_seen(now)
            )
            self._send(work, recipients)
        if self.recipients.is_large_fleet() and self.recipients.is_aggregator():
            confirmations = (self._rosters.refresh_own(), *self._rosters.list_orphaned())
            # A new version is reported immediately, so that peers fetch the compressed copy before
            # their own, much longer read of the store begins.
            newer = self._configuration.version > self._reported_version
            if newer or self._rosters.has_changed(confirmations):
                self._rosters.send(self._make_summary(), self.recipients.list_for_summary())

    def _list_work(self) -> WorkByUpstream:
        """Return this host's open work as far as peers use it.

        In a large fleet that is the work of engines alone, which the schedulers count; other work
        ends before a report of it could be used.
        """
        work = self._fleet.own_work()
        if not self.recipients.is_large_fleet():
            return work
        return {name: item for name, item in work.items() if self._fleet.is_engine(name)}

    def _note_sent(self, work: WorkByUpstream) -> None:
        self._reported_work = work
        self._next_report_at = self._now() + self._find_interval()

    def _make_summary(self) -> RosterSummary:
        self._reported_version = self._configuration.version
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
            (*self._rosters.list_orphaned(), *self._rosters.list_others(own)),
            self._demand.sum_own_zone(self._now()),
            self._role_orders.list_recent(),
        )

    def _send(self, work: WorkByUpstream, peers: Iterable[Peer], with_known: bool = False) -> None:
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
                self._role_orders.list_recent(),
                self._sample_peers() if with_known else (),
                self._pop_prompts(),
            )
        )
        for peer in peers:
            self._socket.send(peer.ip, DatagramKind.REPORT, data)

    def _pop_prompts(self) -> tuple[SentPrompt, ...]:
        """Return the prompts to report; none in a large fleet, where schedulers track them."""
        pending = self._sent_prompts
        if self.recipients.is_large_fleet():
            pending.clear()
        return tuple(pending.popleft() for _ in range(min(MAX_PROMPTS, len(pending))))

    def _sample_peers(self) -> tuple[tuple[str, str], ...]:
        seen = self._peers.list_seen(self._now())
        sample = self._rng.sample(seen, min(MAX_NAMED_PEERS, len(seen)))
        return tuple((peer.host, peer.ip) for peer in sample)

    # Receiving.

    def _handle_report(self, data: bytes, _: str) -> None:
        """Handle a peer's report; raise FrameError."""
        report = unpack_report(data)
        if report.host == self._me.host:
            return
        now = self._now()
        joined = self._record_heartbeat(
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
        self._role_orders.apply_shared(report.roles, report.host)
        for host, ip in report.known:
            self._peers.add_peer(host, ip)
        self._handle_version(report.host, report.ip, report.config_version)
        if self.recipients.is_large_fleet():
            self._answer_orphaned(report, joined)
        self._changed()

    def _answer_orphaned(self, report: PeerReport, joined: bool) -> None:
        """Answer a host that reports to this one because its zone has no aggregator."""
        if report.zone != self._me.zone and self.recipients.is_aggregator():
            if self._now() - self._peers.peers[report.host].reported_at < AGGREGATED_SECONDS:
                # Its own zone reports it: it sent this to a scheduler, or to all hosts.
                return
            self._rosters.send_to(self._make_summary(), report.ip)
        elif joined:
            # It may know no other host yet.
            self._send(
                self._list_work(), self.recipients.list_named([report.host]), with_known=True
            )

    def _handle_summary(self, summary: RosterSummary, ip: str) -> None:
        """Handle the parts of an aggregator's summary that are not about live hosts."""
        now = self._now()
        member = Member(summary.host, ip, summary.zone, summary.link_mbps)
        holds = summary.duty_lease_holder == summary.host
        heartbeat = Heartbeat(
            member,
            summary.incarnation,
            holds_duty_lease=holds,
            store_unreachable=summary.store_unreachable,
        )
        self._record_heartbeat(heartbeat)
        self._note_holder(summary, now)
        if summary.zone == self._me.zone and self.recipients.is_aggregator():
            self._demand.drop_zone(summary.zone)
        else:
            self._demand.update_zone(summary.zone, summary.demand, now)
        self._role_orders.apply_shared(summary.roles, summary.host)
        self._handle_version(summary.host, ip, summary.config_version)

    def _note_holder(self, summary: RosterSummary, now: float) -> None:
        """Record the holder of the duty lease that a summary names.

        Aggregators accept only holders of the sender's own zone: otherwise they would confirm a
        lost holder to each other for ever. They pass the holder on to the hosts of their zones.
        """
        for holder in self.recipients.list_named([summary.duty_lease_holder]):
            if holder.zone == summary.zone or not self.recipients.is_aggregator():
                holder.held_duty_lease_at = now

    def _record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        joined = self._peers.record_heartbeat(heartbeat, self._now())
        if joined or heartbeat.leaving:
            self._log_live()
        return joined

    def _handle_version(self, host: str, ip: str, version: int) -> None:
        if version >= self._newest_reported[0]:
            self._newest_reported = (version, self._now())
        if version > self._configuration.version:
            self._exchange.fetch_later(host, ip, version)

    def fetch_later(self, host: str, ip: str, version: int) -> None:
        """Fetch a version from a peer, unless the watch of the store delivers it first."""
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
