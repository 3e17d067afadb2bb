"""Exchanges crash records between hosts: requests and prompt parts open as upstreams crashed.

The crashes of one request may be seen by different hosts, and after its third crash the whole fleet
may send it only three times more. So each crash is sent at once: in a small fleet to all hosts, in
a large one to the two hosts that own the request's record by consistent hashing, which send it to
all hosts once the request is quarantined. Each host also sends quarantined records periodically to
randomly chosen hosts, in case messages were lost. A host that has started, been suspended or found
new peers requests the records of others.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.policy.hash_ring import MemberRing
from swifttrestle.internal.policy.quarantine_periods import concerns_all_hosts
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.quarantine import (
    Clearance,
    CrashUpdate,
    pack_crash_update,
    split_records,
    unpack_crash_update,
)
from swifttrestle.internal.state.crash_records import CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds between periodic messages to randomly chosen hosts. A host that is the only one without a
# record misses it for three seconds in 6 of a million cases.
PUSH_SECONDS = 0.5
# Hosts that each periodic message goes to.
PUSHED_HOSTS = 2
# Records in each periodic message. Under 3 kB a second, and nothing while no request is
# quarantined.
PUSHED_RECORDS = 4
# How often a crash that this host saw is sent again, once with each periodic message. A request is
# quarantined only where one host knows of two of its crashes.
CRASH_REPEATS = 2
# Records sent in reply to a request; periodic messages carry the rest.
MAX_REPLY_RECORDS = 64
# How often a host requests records after it has started, been suspended or found new peers.
SYNC_REQUESTS = 3
# Delay of a timer, in seconds, from which on this process counts as having been suspended.
SUSPENDED_SECONDS = 0.5
# Seconds between removals of expired records.
EXPIRY_INTERVAL_SECONDS = 30.0


class QuarantineRelay:
    """Sends crash records and clearances to peers, and applies those that peers send."""

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        guard: CrashGuard,
        list_members: Callable[[], Sequence[Member]],
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        """Use `socket`; call `changed` when a request is quarantined or cleared."""
        self._socket = socket
        self._host = host
        self._guard = guard
        self._list_members = list_members
        self._rng = rng
        self._changed = changed
        self._sync_requests_left = SYNC_REQUESTS
        # Records to send again, each with the number of repeats left.
        self._repeats: list[tuple[int, Sequence[CrashRecord]]] = []
        self._ring = MemberRing(list_members)
        guard.announce_crash_records = self._announce_records
        guard.announce_clearance = self._announce_clearance
        socket.set_receiver(DatagramKind.CRASHES, self._receive)

    def request_sync(self) -> None:
        """Request peers' quarantined records with the next periodic messages."""
        self._sync_requests_left = SYNC_REQUESTS

    async def run(self) -> None:
        """Send periodic messages until cancelled."""
        expire_at = _now() + EXPIRY_INTERVAL_SECONDS
        while True:
            before = _now()
            await asyncio.sleep(PUSH_SECONDS)
            now = _now()
            if now - before > PUSH_SECONDS + SUSPENDED_SECONDS:
                log_event("slept", seconds=round(now - before - PUSH_SECONDS, 2))
                self.request_sync()
            if now >= expire_at:
                self._guard.quarantine.expire(now)
                expire_at = now + EXPIRY_INTERVAL_SECONDS
            self._send_repeats()
            self._send_periodic()

    def _send_repeats(self) -> None:
        repeats, self._repeats = self._repeats, []
        for count, records in repeats:
            self._send_to_owners(records)
            if count > 1:
                self._repeats.append((count - 1, records))

    def _send_periodic(self) -> None:
        others = self._list_others()
        if not others:
            return
        records = self._guard.quarantine.list_quarantined()
        if not records and not self._sync_requests_left:
            return
        chosen = self._rng.sample(records, min(PUSHED_RECORDS, len(records)))
        update = CrashUpdate(tuple(chosen), wants_all=self._sync_requests_left > 0)
        self._sync_requests_left = max(0, self._sync_requests_left - 1)
        self._send(update, self._rng.sample(others, min(PUSHED_HOSTS, len(others))))

    # Sending.

    def _announce_records(self, records: Sequence[CrashRecord]) -> None:
        """Send the records of crashes that this host saw to the hosts that need them."""
        if not records:
            return
        if any(concerns_all_hosts(record) for record in records):
            self._changed()
        self._repeats.append((CRASH_REPEATS, records))
        self._send_to_owners(records)

    def _send_to_owners(self, records: Sequence[CrashRecord]) -> None:
        if not self._is_large():
            self._send_records(records, self._list_others())
            return
        by_owner: dict[Member, list[CrashRecord]] = defaultdict(list)
        for record in records:
            for owner in self._find_owners(record.name):
                by_owner[owner].append(record)
        for owner, owned in by_owner.items():
            if owner.host == self._host:
                self._broadcast_known(owned)
            else:
                self._send_records(owned, [owner])

    def _broadcast_known(self, records: Iterable[CrashRecord]) -> None:
        """Send quarantined records to all hosts of a large fleet, as an owner of them."""
        self._send_records(
            [record for record in records if concerns_all_hosts(record)], self._list_others()
        )

    def _announce_clearance(self, fingerprint: Fingerprint, at: float, everywhere: bool) -> None:
        """Send the clearance of a request that was answered: to all hosts if `everywhere`."""
        others = self._list_others()
        if self._is_large() and not everywhere:
            others = [item for item in self._find_owners(fingerprint) if item.host != self._host]
        if everywhere:
            self._changed()
        self._send(CrashUpdate(clearances=(Clearance(fingerprint, at),)), others)

    def _send_records(self, records: Iterable[CrashRecord], recipients: Sequence[Member]) -> None:
        for update in split_records(records):
            self._send(update, recipients)

    def _send(self, update: CrashUpdate, recipients: Iterable[Member]) -> None:
        data = pack_crash_update(update, _now())
        for recipient in recipients:
            self._socket.send(recipient.ip, DatagramKind.CRASHES, data)

    def _list_others(self) -> list[Member]:
        return [item for item in self._list_members() if item.host != self._host]

    def _is_large(self) -> bool:
        return is_large_fleet(len(self._list_members()))

    def _find_owners(self, fingerprint: Fingerprint) -> list[Member]:
        return self._ring.get().find(fingerprint)

    def _owns_record(self, fingerprint: Fingerprint) -> bool:
        """Return whether this host owns a request's record for a large fleet."""
        return self._is_large() and self._host in (
            item.host for item in self._find_owners(fingerprint)
        )

    # Receiving.

    def _receive(self, data: bytes, ip: str) -> None:
        """Apply a peer's update; raise FrameError."""
        update = unpack_crash_update(data, _now())
        for clearance in update.clearances:
            self._apply_clearance(clearance, ip)
        changed_records = self._guard.merge_crash_records(update.records, ip)
        self._broadcast_known(
            [record for record in changed_records if self._owns_record(record.name)]
        )
        if any(concerns_all_hosts(record) for record in changed_records):
            self._changed()
        self._send_missed_clearances(update.records, ip)
        if update.wants_all:
            self._reply(ip)

    def _apply_clearance(self, clearance: Clearance, ip: str) -> None:
        cleared = self._guard.apply_clearance(clearance.name, clearance.at, ip)
        if cleared is not None and concerns_all_hosts(cleared):
            self._changed()
            if self._owns_record(clearance.name):
                self._send(CrashUpdate(clearances=(clearance,)), self._list_others())

    def _send_missed_clearances(self, records: Iterable[CrashRecord], ip: str) -> None:
        """Send a peer the clearances that it missed, so that it stops refusing those requests."""
        quarantine = self._guard.quarantine
        answers = [(record.name, quarantine.find_answer(record)) for record in records]
        missed_clearances = tuple(
            Clearance(fingerprint, at) for fingerprint, at in answers if at is not None
        )
        if missed_clearances:
            data = pack_crash_update(CrashUpdate(clearances=missed_clearances), _now())
            self._socket.send(ip, DatagramKind.CRASHES, data)

    def _reply(self, ip: str) -> None:
        records = self._guard.quarantine.list_quarantined()[:MAX_REPLY_RECORDS]
        for update in split_records(records):
            self._socket.send(ip, DatagramKind.CRASHES, pack_crash_update(update, _now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
