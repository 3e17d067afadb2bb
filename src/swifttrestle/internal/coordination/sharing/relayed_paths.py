"""Reaches upstreams through peers while this host's own paths to them are cut.

A peer only copies bytes: this host chooses the upstream, counts attempts and budgets, and keeps
deadlines, as for a direct connection. A peer connects directly or not at all, so that there is at
most one peer on a path. See docs/design/relayed-paths.md.
"""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable, Generator, Iterator, Sequence

from swifttrestle.errors import RelayRefusedError, UpstreamUnreachedError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.upstream_paths import UpstreamPaths
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.dialer import CONNECT_TIMEOUT_SECONDS
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.internal.transport.race import LateWays, NoWayError, Race, Way
from swifttrestle.internal.transport.relay import dial_through
from swifttrestle.internal.transport.upstream import Address, UpstreamConnection

# Seconds after which a direct connection that is not established has a peer asked as well: some
# round trips between availability zones and the wait of a busy upstream.
RELAY_DELAY_SECONDS = 0.1
# Seconds between asking one peer and the next.
NEXT_RELAY_SECONDS = 0.05
# Seconds after a refused direct connection in which peers must answer for themselves.
VERDICT_SECONDS = 0.1
# Seconds for which peers may still connect after a connection was given up, and the maximum number
# of such attempts. On a busy host a peer's answer takes longer than a request may wait for it.
LATE_SECONDS = 0.7
MAX_LATE = 16
# Seconds between two checks of cut paths and of silent instances.
CHECK_SECONDS = 0.25
# Seconds without a byte on all open requests of an instance after which its path is checked.
SILENT_SECONDS = 0.4
# Minimum seconds between two checks of the path to one instance.
RECHECK_SECONDS = 1.0
# Paths that one round checks, so that many hosts whose paths heal do not all connect at once.
MAX_CHECKS = 4


class RelayedPaths:
    """Connects to upstreams directly, or through peers where the direct path is cut."""

    def __init__(
        self,
        local_member: Member,
        port: int,
        pool: ConnectionPool,
        fleet: Fleet,
        list_members: Callable[[], Sequence[Member]],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Make all connections of `pool`; peers listen for relayed ones on `port`."""
        self.paths = UpstreamPaths(local_member, rng, fleet.topology)
        self._local_member = local_member
        self._port = port
        self._pool = pool
        self._fleet = fleet
        self._list_members = list_members
        self._metrics = metrics
        self._rng = rng
        # By instance, the peer that a connection in progress will have found, or None.
        self._asked: dict[str, asyncio.Future[Member | None]] = {}
        self._late_ways = LateWays(LATE_SECONDS, MAX_LATE)
        # The loop's time of the last check of each instance's path.
        self._checked_at: dict[str, float] = {}
        pool.connect = self.connect
        pool.may_keep_relayed = self._may_keep

    async def connect(self, instance: str, address: Address) -> UpstreamConnection:
        """Connect to an instance; raise UpstreamUnreachedError."""
        keep = functools.partial(self._keep_late, instance)
        race = Race(CONNECT_TIMEOUT_SECONDS, lambda way: self._late_ways.add(way, keep))
        ways = self._iterate_ways(race, instance, address)
        try:
            connection = await race.run(ways)
        except NoWayError as error:
            refused = _is_refused(error.errors)
            raise UpstreamUnreachedError(
                f"cannot connect to {instance} at {address[0]}:{address[1]}: {error}",
                refused,
                unconfirmed=refused and _is_unconfirmed(error),
            ) from None
        finally:
            ways.close()
        self._note_way(instance, connection)
        return connection

    async def run(self) -> None:
        """Check cut paths, and those to silent instances, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS * (0.8 + 0.4 * self._rng.random()))
            self.paths.retain(self._fleet.instances, _now())
            self._checked_at = {
                name: at for name, at in self._checked_at.items() if name in self._fleet.instances
            }
            self._pool.close_unusable()
            names = [*self._list_cut(), *self._list_suspects()][:MAX_CHECKS]
            await asyncio.gather(*(self._check(name) for name in names))

    def reaches_engines(self) -> bool:
        """Return whether this host itself reaches an engine, as far as is known."""
        cuts = self.paths.cuts
        engines = [name for name in self._fleet.instances if self._fleet.is_engine(name)]
        return not engines or any(name not in cuts for name in engines)

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the cut paths by instance, for the state dump."""
        return {
            instance: {"seconds": round(now - cut.since, 1), "relay": cut.relay}
            for instance, cut in self.paths.cuts.items()
        }

    def _iterate_ways(
        self, race: Race, instance: str, address: Address
    ) -> Generator[Way, None, None]:
        """Yield the ways to try in turn; a direct path that is cut comes last."""
        direct = functools.partial(self._connect_directly, race, instance, address)
        if self.paths.is_cut(instance):
            yield from self._iterate_relays(instance)
            yield Way(NEXT_RELAY_SECONDS, direct)
            return
        yield Way(RELAY_DELAY_SECONDS, direct)
        asked = self._asked.get(instance)
        if asked is not None:
            yield Way(NEXT_RELAY_SECONDS, functools.partial(self._follow, asked, instance))
            return
        self._asked[instance] = asyncio.get_running_loop().create_future()
        try:
            yield from self._iterate_relays(instance)
        finally:
            self._end_asking(instance)

    def _iterate_relays(self, instance: str) -> Iterator[Way]:
        for relay in self._choose_relays(instance):
            through = functools.partial(self._connect_through, relay, instance)
            yield Way(NEXT_RELAY_SECONDS, through)

    async def _connect_directly(
        self, race: Race, instance: str, address: Address
    ) -> UpstreamConnection:
        try:
            return await self._pool.connect_directly(instance, address)
        except UpstreamUnreachedError as error:
            # On a cut path the refusal says nothing of the upstream.
            if error.refused and not self.paths.is_cut(instance):
                race.shorten(VERDICT_SECONDS)
            raise

    async def _follow(
        self, asked: "asyncio.Future[Member | None]", instance: str
    ) -> UpstreamConnection:
        """Connect through the peer that another connection to the instance finds."""
        relay = await asyncio.shield(asked)
        if relay is None:
            raise UpstreamUnreachedError(
                f"no peer reached {instance}", refused=False, unconfirmed=True
            )
        return await self._connect_through(relay, instance)

    def _end_asking(self, instance: str) -> None:
        """Tell the connections that follow that no peer was found, unless one was."""
        found = self._asked.pop(instance, None)
        if found is not None and not found.done():
            found.set_result(None)

    def _choose_relays(self, instance: str) -> list[Member]:
        known = self._fleet.instances.get(instance)
        zone = known.record.zone if known else ""
        return self.paths.choose_relays(instance, zone, self._list_members(), _now())

    async def _connect_through(self, relay: Member, instance: str) -> UpstreamConnection:
        reached = False
        try:
            connection = await dial_through(self._local_member.ip, (relay.ip, self._port), instance)
            reached = True
        finally:
            self.paths.note_relay(relay.host, instance, reached, _now())
        connection.relay = relay.host
        found = self._asked.get(instance)
        if found is not None and not found.done():
            found.set_result(relay)
        return connection

    def _keep_late(self, instance: str, connection: UpstreamConnection) -> None:
        """Use a connection that came too late for its request."""
        self._note_way(instance, connection)
        self._pool.keep(instance, connection)

    def _note_way(self, instance: str, connection: UpstreamConnection) -> None:
        if not connection.relay:
            self._note_direct(instance)
            return
        self._metrics.count("upstream_relayed_connections_total", relay=connection.relay)
        if self.paths.note_relayed(instance, connection.relay, _now()):
            log_event("upstream path lost", instance=instance, relay=connection.relay)
            self._pool.close_idle_connections(instance)

    def _note_direct(self, instance: str) -> None:
        cut = self.paths.note_direct(instance)
        if cut is not None:
            seconds = round(_now() - cut.since, 2)
            log_event("upstream path restored", instance=instance, seconds=seconds)
            self._pool.close_unusable()

    def _may_keep(self, instance: str, host: str) -> bool:
        """Return whether a connection that a peer relays is still of use."""
        return self.paths.is_cut(instance) and any(
            item.host == host for item in self._list_members()
        )

    # Checks.

    def _list_cut(self) -> list[str]:
        """Return the instances whose cut path is due for a check, the longest unchecked first."""
        return self._list_due(list(self.paths.cuts))

    def _list_suspects(self) -> list[str]:
        """Return the instances whose path may be cut, and all of them once after each new cut."""
        names = [*self.paths.suspects, *self._pool.list_silent(_now(), SILENT_SECONDS)]
        names += [
            name
            for name in self._fleet.instances
            if self._checked_at.get(name, float("-inf")) < self.paths.last_cut_at
        ]
        unique = dict.fromkeys(name for name in names if not self.paths.is_cut(name))
        return self._list_due(list(unique))

    def _list_due(self, names: Sequence[str]) -> list[str]:
        now = _now()
        names = [name for name in names if self._is_used(name)]
        checked_at = {name: self._checked_at.get(name, float("-inf")) for name in names}
        due = [name for name in names if now - checked_at[name] >= RECHECK_SECONDS]
        return sorted(due, key=lambda name: checked_at[name])

    def _is_used(self, name: str) -> bool:
        """Return whether requests are sent to an instance."""
        instance = self._fleet.instances.get(name)
        return instance is not None and not instance.leaving

    async def _check(self, name: str) -> None:
        """Connect to an instance, and keep the connection for the next request."""
        instance = self._fleet.instances.get(name)
        if instance is None:
            # It has left since it was chosen.
            return
        self._checked_at[name] = _now()
        with contextlib.suppress(UpstreamUnreachedError):
            if self.paths.is_cut(name):
                await self._check_direct(instance)
            else:
                await self._pool.probe(name, instance.record.address)

    async def _check_direct(self, instance: Instance) -> None:
        try:
            connection = await self._pool.connect_directly(instance.name, instance.record.address)
        except UpstreamUnreachedError as error:
            self._pool.on_unreached(instance.name, error)
            return
        self._pool.keep(instance.name, connection)
        self._note_direct(instance.name)


def _is_refused(errors: Sequence[UpstreamUnreachedError]) -> bool:
    """Return whether the instance's address refuses connections.

    A refusal of this host's own connection may be the cut, so that peers decide if any tried.
    """
    verdicts = _list_verdicts(errors)
    return any(error.refused for error in verdicts or errors)


def _is_unconfirmed(error: NoWayError) -> bool:
    """Return whether no peer has tried yet, and one may still do."""
    undecided = error.undecided or any(item.unconfirmed for item in error.errors)
    return undecided and not _list_verdicts(error.errors)


def _list_verdicts(errors: Sequence[UpstreamUnreachedError]) -> list[UpstreamUnreachedError]:
    """Return the answers of peers that tried to connect."""
    return [error for error in errors if isinstance(error, RelayRefusedError) and error.tried]


def _now() -> float:
    return asyncio.get_running_loop().time()
