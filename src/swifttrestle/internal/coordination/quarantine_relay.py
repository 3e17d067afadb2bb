"""What hosts tell each other of requests under which upstreams crashed.

The crashes of one request may each be seen by another host, and all that the whole fleet may still
send of it after the third crash are three attempts. So a crash is told at once: in a small fleet to
all, in a large one to the two hosts that keep a request's case, found by a hash, which tell all
once it is quarantined. Hosts that missed that word hear it within some seconds by what each host
tells another one, drawn by lot, twice a second; a host that has started, slept or met new peers
asks instead.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.policy.hash_ring import HashRing
from swifttrestle.internal.policy.quarantine import is_quarantined
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.quarantine import (
    RECORDS_PER_DATAGRAM,
    Clearance,
    CrashUpdate,
    pack_crash_update,
    split_records,
    unpack_crash_update,
)
from swifttrestle.internal.state.crash_records import CrashRecord
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds between two times at which a host tells others, drawn by lot, of what is quarantined.
# Where all but one know, that one is missed for three seconds in 6 of a million times.
PUSH_SECONDS = 0.5
PUSHED_HOSTS = 2
# Cases told at a time: under 3 kB a second, and nothing while no request is quarantined.
PUSHED_CASES = 4
# How often a crash that a host saw is told again, with as many seconds between: two crashes of one
# request make it quarantined only where one host has heard of both.
TOLD_AGAIN = 2
# Cases told to a host that asks, the rest follows twice a second.
ANSWERED_CASES = 8 * RECORDS_PER_DATAGRAM
# How often a host asks after it has started, slept or met new peers: an answer may be lost.
ASKS = 3
# Seconds beyond a pause after which this process has slept, and may have missed words.
SLEPT_SECONDS = 0.5
# Seconds between two times at which what is long past is forgotten.
EXPIRE_SECONDS = 30.0


class QuarantineRelay:
    """Tells peers of crashes and answers, and takes their words over."""

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        guard: CrashGuard,
        list_members: Callable[[], Sequence[Member]],
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        """Speak through `socket`; call `changed` where a request is quarantined or acquitted."""
        self._socket = socket
        self._host = host
        self._guard = guard
        self._list_members = list_members
        self._rng = rng
        self._changed = changed
        self._asks = ASKS
        # What is to be told again, and how often.
        self._again: list[tuple[int, Sequence[CrashRecord]]] = []
        self._ring = HashRing(())
        self._ring_members: tuple[Member, ...] = ()
        guard.announce_crash_records = self._tell_cases
        guard.announce_clearance = self._tell_acquittal
        socket.receive(DatagramKind.CRASHES, self._receive)

    def request_sync(self) -> None:
        """Ask peers for what they keep from upstreams, in the next turns."""
        self._asks = ASKS

    async def run(self) -> None:
        """Tell and ask for as long as the process lives."""
        expire_at = _now() + EXPIRE_SECONDS
        while True:
            before = _now()
            await asyncio.sleep(PUSH_SECONDS)
            now = _now()
            if now - before > PUSH_SECONDS + SLEPT_SECONDS:
                log_event("slept", seconds=round(now - before - PUSH_SECONDS, 2))
                self.request_sync()
            if now >= expire_at:
                self._guard.quarantine.expire(now)
                expire_at = now + EXPIRE_SECONDS
            self._tell_again()
            self._push()

    def _tell_again(self) -> None:
        again, self._again = self._again, []
        for times, records in again:
            self._tell_keepers(records)
            if times > 1:
                self._again.append((times - 1, records))

    def _push(self) -> None:
        others = self._list_others()
        if not others:
            return
        records = self._guard.quarantine.list_quarantined()
        if not records and not self._asks:
            return
        chosen = self._rng.sample(records, min(PUSHED_CASES, len(records)))
        news = CrashUpdate(tuple(chosen), wants_all=self._asks > 0)
        self._asks = max(0, self._asks - 1)
        self._send(news, self._rng.sample(others, min(PUSHED_HOSTS, len(others))))

    # Telling.

    def _tell_cases(self, records: Sequence[CrashRecord]) -> None:
        """Tell those who need to know of crashes that this host saw."""
        if not records:
            return
        if any(is_quarantined(case) for case in records):
            self._changed()
        self._again.append((TOLD_AGAIN, records))
        self._tell_keepers(records)

    def _tell_keepers(self, records: Sequence[CrashRecord]) -> None:
        if not self._is_large():
            self._tell(records, self._list_others())
            return
        by_keeper: dict[Member, list[CrashRecord]] = defaultdict(list)
        for case in records:
            for keeper in self._find_keepers(case.name):
                by_keeper[keeper].append(case)
        for keeper, kept in by_keeper.items():
            if keeper.host == self._host:
                self._announce(kept)
            else:
                self._tell(kept, [keeper])

    def _announce(self, records: Iterable[CrashRecord]) -> None:
        """Tell all hosts of a large fleet what is quarantined, as the keeper of its case."""
        self._tell([case for case in records if is_quarantined(case)], self._list_others())

    def _tell_acquittal(self, name: RequestFingerprint, at: float, everywhere: bool) -> None:
        """Tell that a request got its own answer: to all hosts if they may keep it back."""
        others = self._list_others()
        if self._is_large() and not everywhere:
            others = [item for item in self._find_keepers(name) if item.host != self._host]
        if everywhere:
            self._changed()
        self._send(CrashUpdate(clearances=(Clearance(name, at),)), others)

    def _tell(self, records: Iterable[CrashRecord], recipients: Sequence[Member]) -> None:
        for news in split_records(records):
            self._send(news, recipients)

    def _send(self, news: CrashUpdate, recipients: Iterable[Member]) -> None:
        data = pack_crash_update(news, _now())
        for hearer in recipients:
            self._socket.send(hearer.ip, DatagramKind.CRASHES, data)

    def _list_others(self) -> list[Member]:
        return [item for item in self._list_members() if item.host != self._host]

    def _is_large(self) -> bool:
        return is_large_fleet(len(self._list_members()))

    def _find_keepers(self, name: RequestFingerprint) -> list[Member]:
        members = tuple(self._list_members())
        if members != self._ring_members:
            self._ring_members = members
            self._ring = HashRing(members)
        return self._ring.find(name)

    def _keeps(self, name: RequestFingerprint) -> bool:
        """Return whether this host keeps a request's case for a large fleet."""
        return self._is_large() and self._host in (item.host for item in self._find_keepers(name))

    # Hearing.

    def _receive(self, data: bytes, ip: str) -> None:
        """Take a peer's news over; raise FrameError."""
        news = unpack_crash_update(data, _now())
        for item in news.clearances:
            self._take_acquittal(item, ip)
        told = self._guard.merge_crash_records(news.records, ip)
        self._announce([case for case in told if self._keeps(case.name)])
        if any(is_quarantined(case) for case in told):
            self._changed()
        self._correct(news.records, ip)
        if news.wants_all:
            self._answer(ip)

    def _take_acquittal(self, item: Clearance, ip: str) -> None:
        case = self._guard.quarantine.find(item.name)
        if not self._guard.apply_clearance(item.name, item.at, ip):
            return
        if case is not None and is_quarantined(case):
            self._changed()
            if self._keeps(item.name):
                self._send(CrashUpdate(clearances=(item,)), self._list_others())

    def _correct(self, records: Iterable[CrashRecord], ip: str) -> None:
        """Tell a peer of answers that it has missed: it would keep those requests back on."""
        quarantine = self._guard.quarantine
        answers = [(case.name, quarantine.find_answer(case)) for case in records]
        missed = tuple(Clearance(name, at) for name, at in answers if at is not None)
        if missed:
            data = pack_crash_update(CrashUpdate(clearances=missed), _now())
            self._socket.send(ip, DatagramKind.CRASHES, data)

    def _answer(self, ip: str) -> None:
        records = self._guard.quarantine.list_quarantined()[:ANSWERED_CASES]
        for news in split_records(records):
            self._socket.send(ip, DatagramKind.CRASHES, pack_crash_update(news, _now()))


def _now() -> float:
    return asyncio.get_running_loop().time()
