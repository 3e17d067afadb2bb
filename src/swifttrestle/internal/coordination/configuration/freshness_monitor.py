"""Confirms repeatedly that the configuration in force is the newest one.

Where callers need keys, a removed key must be refused within a bound, even if this host's watch of
the store has failed. The zone aggregators of each zone read the store several times within that
bound, and the other hosts query the aggregators. A host whose last confirmation gets old queries
hosts of all zones, and occasionally reads the store itself. None of this runs where no keys are
needed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from swifttrestle.errors import BadEntryError, NotFoundError, PlatformUnavailableError
from swifttrestle.internal.coordination.configuration.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.membership.zone_aggregators import ZoneAggregators
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

# Interval between an aggregator's reads of the store, as a share of the bound. With a bound of 5 s
# that is one read a second: confirmations are then at most 1.7 s old in normal operation, so that
# an outage of three seconds costs no request.
READ_INTERVAL_SHARE = 0.2
# Interval between another host's queries to an aggregator, as a share of the bound.
QUERY_INTERVAL_SHARE = 0.1
# Maximum bound, in seconds, from which the intervals are computed; larger bounds use this one.
MAX_BOUND_SECONDS = 5.0
# Intervals vary randomly by this share, so that hosts do not query at the same times.
JITTER_SHARE = 0.2
# Age of the last confirmation, as a share of the bound, from which on this host watches the store
# itself and queries hosts of all zones. A watch and the read after it then put a new version in
# force within three of the 5 s.
WIDEN_AGE_SHARE = 0.42
# Randomly chosen hosts that are queried in addition to all aggregators. A confirmation of one host
# reaches a fleet of 83 within two queries.
RANDOM_HOSTS = 3
# Reads of the store per second that the whole fleet makes in addition to those of the aggregators
# while its confirmations are old.
FALLBACK_READS_PER_SECOND = 3.0
# Seconds after which a query counts as unanswered.
REPLY_TIMEOUT_SECONDS = 2.0


class FreshnessMonitor:
    """Keeps the confirmation of this host's configuration fresh, and answers queries of peers."""

    def __init__(
        self,
        configuration: ConfigurationWatcher,
        socket: PeerSocket,
        me: Member,
        list_members: Callable[[], Sequence[Member]],
        fetch_later: Callable[[str, str, int], None],
        median_clock: MedianClock,
        bound: float,
        rng: random.Random,
    ) -> None:
        """Confirm that `configuration` is current, at least once within `bound` seconds.

        `fetch_later` fetches a version from a host, given by name and IP.
        """
        self._configuration = configuration
        self._socket = socket
        self._me = me
        self._list_members = list_members
        self._aggregators = ZoneAggregators(me, list_members)
        self._fetch_later = fetch_later
        self._median_clock = median_clock
        self._bound = bound
        bound = min(bound, MAX_BOUND_SECONDS)
        self._read_interval_seconds = bound * READ_INTERVAL_SHARE
        self._query_interval_seconds = bound * QUERY_INTERVAL_SHARE
        self._widen_age_seconds = bound * WIDEN_AGE_SHARE
        self._rng = rng
        # Send times of queries that may still be answered.
        self._pending_queries: set[float] = set()
        self._last_reply_at = float("-inf")
        self._was_fresh = True
        socket.set_receiver(DatagramKind.FRESHNESS, self._receive)
        configuration.relies_on_peers = self._relies_on_peers

    @property
    def age(self) -> float:
        """Seconds since the version in force was last confirmed to be the newest."""
        return _now() - self._configuration.freshness.confirmed_at

    def is_fresh(self) -> bool:
        """Return whether callers' keys may be accepted now; always true where none are needed."""
        return not self.requires_keys() or is_fresh(self.age, self._bound)

    async def run(self) -> None:
        """Renew the confirmation until cancelled."""
        while True:
            began = _now()
            if self.requires_keys():
                await self._renew_confirmation()
                self._log_change()
            pause = (
                self._read_interval_seconds if self._is_reader() else self._query_interval_seconds
            )
            pause *= 1 + JITTER_SHARE * (self._rng.random() - 0.5)
            # A slow call shortens the pause by up to half.
            await asyncio.sleep(max(pause / 2, pause - (_now() - began)))

    async def _renew_confirmation(self) -> None:
        reads_store = self._is_reader() or self._reads_as_fallback()
        if not reads_store or not await self._read_store():
            self._query(self._choose_peers())

    def _relies_on_peers(self) -> bool:
        """Return whether this host relies on its peers to learn of new configuration versions.

        Replies contain the age of a confirmation; if it is too old, this host watches the store.
        """
        is_large = is_large_fleet(len(self._list_members()))
        return (
            is_large
            and self.requires_keys()
            and not self._is_reader()
            and self.age < self._widen_age_seconds
        )

    def _is_reader(self) -> bool:
        return self._me.host in self._aggregators.list_own()

    def _reads_as_fallback(self) -> bool:
        """Return whether to read the store because no peer replies, or in place of the readers."""
        if self.age < self._widen_age_seconds:
            return False
        if _now() - self._last_reply_at > REPLY_TIMEOUT_SECONDS:
            return True
        probability = (
            FALLBACK_READS_PER_SECOND
            * self._query_interval_seconds
            / max(1, len(self._list_members()))
        )
        return self._rng.random() < probability

    async def _read_store(self) -> bool:
        """Read the store; return whether that confirmed which version is the newest."""
        try:
            await self._configuration.confirm()
            return True
        except (PlatformUnavailableError, NotFoundError, BadEntryError) as error:
            if self._was_fresh:
                log_event("configuration not confirmed", reason=type(error).__name__)
            return False

    def _choose_peers(self) -> list[Member]:
        others = [item for item in self._list_members() if item.host != self._me.host]
        readers = self._aggregators.list_own()
        if self.age < self._widen_age_seconds:
            own_readers = [item for item in others if item.host in readers]
            return [self._rng.choice(own_readers)] if own_readers else []
        readers |= self._aggregators.list_others()
        random_hosts = self._rng.sample(others, min(RANDOM_HOSTS, len(others)))
        return [item for item in others if item.host in readers or item in random_hosts]

    def _query(self, hosts: Sequence[Member]) -> None:
        now = _now()
        self._pending_queries = {
            at for at in self._pending_queries if now - at < REPLY_TIMEOUT_SECONDS
        }
        self._pending_queries.add(now)
        data = pack_freshness_query(FreshnessQuery(now, time.time()))
        for host in hosts:
            self._socket.send(host.ip, DatagramKind.FRESHNESS, data)

    def _receive(self, data: bytes, ip: str) -> None:
        """Answer a query, or apply a reply; raise FrameError."""
        message = unpack_freshness(data)
        if isinstance(message, FreshnessQuery):
            self._median_clock.note(ip, message.wall)
            self._reply(message, ip)
        elif message.asked_at in self._pending_queries:
            self._apply_reply(message, ip)

    def _reply(self, query: FreshnessQuery, ip: str) -> None:
        confirmed_at = self._configuration.freshness.confirmed_at
        version = self._configuration.version
        if not version or confirmed_at == float("-inf"):
            return
        age = max(0.0, _now() - confirmed_at)
        reply = FreshnessReply(query.asked_at, version, age, self._median_clock.now())
        self._socket.send(ip, DatagramKind.FRESHNESS, pack_freshness_reply(reply))

    def _apply_reply(self, reply: FreshnessReply, ip: str) -> None:
        now = _now()
        self._last_reply_at = now
        # The reply was made after the query was sent, so its confirmation is no older than this.
        self._configuration.freshness.note(reply.version, reply.asked_at - reply.age)
        self._median_clock.note(ip, reply.wall, (now - reply.asked_at) / 2)
        if reply.version > self._configuration.version:
            self._fetch_later(ip, ip, reply.version)

    def requires_keys(self) -> bool:
        """Return whether the configuration in force requires callers' keys."""
        table = self._configuration.table
        return table is not None and table.keys is not None

    def _log_change(self) -> None:
        fresh = self.is_fresh()
        if fresh is not self._was_fresh:
            log_event("keys confirmed" if fresh else "keys not confirmed", age=round(self.age, 2))
        self._was_fresh = fresh


def _now() -> float:
    return asyncio.get_running_loop().time()
