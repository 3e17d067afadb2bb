"""Keeps the proof young that the configuration in force is the newest one.

Where callers need keys, a key that was taken away may not be served beyond a bound, whatever has
become of this host's watch. So the representatives of each zone read the store some times within
that bound, and the other hosts ask those. A host whose proof grows old asks hosts of all zones, and
then now and then the store itself. Without keys nothing of this runs.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from swifttrestle.errors import BadEntryError, NotFoundError, PlatformUnavailableError
from swifttrestle.internal.coordination.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.representatives import Representatives
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.revocation import is_fresh
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.freshness import (
    FreshnessQuery,
    FreshnessReply,
    pack_freshness_query,
    pack_freshness_reply,
    unpack_freshness,
)
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Shares of the bound, and the bound by which they are taken where it is longer, in seconds. With
# the bound of 5 s a representative reads the store once a second, another host asks one each 0.5 s,
# and a proof is 1.7 s old at most on a calm day, so that an outage of three seconds costs no
# request; six readers make 6 calls a second.
READ_INTERVAL_SHARE = 0.2
QUERY_INTERVAL_SHARE = 0.1
LONGEST_BOUND = 5.0
# Pauses differ by this share of them, so that hosts do not all ask at once.
JITTER_SHARE = 0.2
# Share of the bound from which on, as the age of a proof, hosts of all zones are asked, since a
# question brought nothing newer. New versions are then heard of by this host's own watch: with a
# look and a read after that one is in force within three seconds of the five.
WIDEN_AGE_SHARE = 0.42
# Hosts asked by lot besides all representatives: a proof that one host gets goes through a fleet
# of 83 within two questions.
DRAWN_HOSTS = 3
# Reads a second that a whole fleet makes besides its representatives' while its proofs are old.
SPARE_READS = 3.0
# Seconds after which a question counts as not answered.
ANSWER_SECONDS = 2.0


class FreshnessMonitor:
    """This host's questions and answers."""

    def __init__(
        self,
        configuration: ConfigurationWatcher,
        socket: PeerSocket,
        me: Member,
        list_members: Callable[[], Sequence[Member]],
        fetch_later: Callable[[str, str, int], None],
        true_time: MedianClock,
        bound: float,
        rng: random.Random,
    ) -> None:
        """Prove what `configuration` holds, within `bound` seconds after a key's removal.

        `fetch_later` fetches a version from a host, by name and IP.
        """
        self._configuration = configuration
        self._socket = socket
        self._me = me
        self._list_members = list_members
        self._representatives = Representatives(me, list_members)
        self._fetch_later = fetch_later
        self._true_time = true_time
        self._bound = bound
        bound = min(bound, LONGEST_BOUND)
        self._read_seconds = bound * READ_INTERVAL_SHARE
        self._ask_seconds = bound * QUERY_INTERVAL_SHARE
        self._widen_age = bound * WIDEN_AGE_SHARE
        self._rng = rng
        # This host's questions that may still be answered, by their own times.
        self._asked: set[float] = set()
        self._answered_at = float("-inf")
        self._was_young = True
        socket.receive(DatagramKind.FRESHNESS, self._receive)
        configuration.follows = self._follows

    @property
    def age(self) -> float:
        """Seconds since the version in force was proved to be the newest."""
        return _now() - self._configuration.freshness.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether callers' keys may be taken now; always where no caller needs one."""
        return not self.requires_keys() or is_fresh(self.age, self._bound)

    async def run(self) -> None:
        """Ask for as long as the process lives."""
        while True:
            began = _now()
            if self.requires_keys():
                await self._renew()
                self._log_change()
            pause = self._read_seconds if self._is_reader() else self._ask_seconds
            pause *= 1 + JITTER_SHARE * (self._rng.random() - 0.5)
            # A slow answer takes nothing off the pace, and leaves the next call half of its pause.
            await asyncio.sleep(max(pause / 2, pause - (_now() - began)))

    async def _renew(self) -> None:
        reads = self._is_reader() or self._reads_besides()
        if not reads or not await self._read_store():
            self._ask(self._choose_hosts())

    def _follows(self) -> bool:
        """Return whether this host lives by its peers' word on the configuration.

        The word is dated, so that a version is in force here as soon as a host that reads the
        store could tell of it, and the store is asked again before the word is too old for that.
        """
        large = is_large_fleet(len(self._list_members()))
        return (
            large and self.requires_keys() and not self._is_reader() and self.age < self._widen_age
        )

    def _is_reader(self) -> bool:
        return self._me.host in self._representatives.list_own()

    def _reads_besides(self) -> bool:
        """Return whether to read the store for want of a word, or in the place of readers."""
        if self.age < self._widen_age:
            return False
        if _now() - self._answered_at > ANSWER_SECONDS:
            return True
        chance = SPARE_READS * self._ask_seconds / max(1, len(self._list_members()))
        return self._rng.random() < chance

    async def _read_store(self) -> bool:
        """Return whether the store has proved the version in force now."""
        try:
            await self._configuration.confirm()
            return True
        except (PlatformUnavailableError, NotFoundError, BadEntryError) as error:
            if self._was_young:
                log_event("configuration not confirmed", reason=type(error).__name__)
            return False

    def _choose_hosts(self) -> list[Member]:
        others = [item for item in self._list_members() if item.host != self._me.host]
        readers = self._representatives.list_own()
        if self.age < self._widen_age:
            near = [item for item in others if item.host in readers]
            return [self._rng.choice(near)] if near else []
        readers |= self._representatives.list_others()
        drawn = self._rng.sample(others, min(DRAWN_HOSTS, len(others)))
        return [item for item in others if item.host in readers or item in drawn]

    def _ask(self, hosts: Sequence[Member]) -> None:
        now = _now()
        self._asked = {at for at in self._asked if now - at < ANSWER_SECONDS}
        self._asked.add(now)
        data = pack_freshness_query(FreshnessQuery(now, time.time()))
        for host in hosts:
            self._socket.send(host.ip, DatagramKind.FRESHNESS, data)

    def _receive(self, data: bytes, ip: str) -> None:
        """Answer a question, or take an answer over; raise FrameError."""
        message = unpack_freshness(data)
        if isinstance(message, FreshnessQuery):
            self._true_time.note(ip, message.wall)
            self._answer(message, ip)
        elif message.asked_at in self._asked:
            self._take(message, ip)

    def _answer(self, question: FreshnessQuery, ip: str) -> None:
        confirmed_at = self._configuration.freshness.confirmed_at
        version = self._configuration.version
        if not version or confirmed_at == float("-inf"):
            return
        age = max(0.0, _now() - confirmed_at)
        answer = FreshnessReply(question.asked_at, version, age, self._true_time.now())
        self._socket.send(ip, DatagramKind.FRESHNESS, pack_freshness_reply(answer))

    def _take(self, answer: FreshnessReply, ip: str) -> None:
        now = _now()
        self._answered_at = now
        # The answer was made after the question, so its proof is at least as young as this.
        self._configuration.freshness.note(answer.version, answer.asked_at - answer.age)
        self._true_time.note(ip, answer.wall, (now - answer.asked_at) / 2)
        if answer.version > self._configuration.version:
            self._fetch_later(ip, ip, answer.version)

    def requires_keys(self) -> bool:
        """Return whether callers need keys."""
        table = self._configuration.table
        return table is not None and table.keys is not None

    def _log_change(self) -> None:
        young = self.is_fresh()
        if young is not self._was_young:
            log_event("keys confirmed" if young else "keys not confirmed", age=round(self.age, 2))
        self._was_young = young


def _now() -> float:
    return asyncio.get_running_loop().time()
