"""Cost of a restore of the store from a copy for a fleet, by how hosts react to it.

Runs the production discovery in virtual time. In a large fleet, two hosts per zone relay the list
to the others. The store is restored from a copy without its latest writes; then one upstream
drains and another one joins. Reported are

- the seconds until no host uses the first ("left") and all use the second ("used"),
- the store calls shortly after the restore, and after an outage without data loss ("plain"),
- the host seconds in which an upstream missing from the copy is not used ("missed"),
- the host seconds in which an upstream is used that only the copy still has ("wrong").
"""

import asyncio
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from swifttrestle.internal.coordination.discovery import discovery as discovery_module
from swifttrestle.internal.coordination.discovery.discovery import Discovery
from swifttrestle.internal.coordination.discovery.listing_relay import ListingRelay
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.listings import ListingChanges
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.platform.objects import Snapshot
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.hosted.store import StandInStore
from swifttrestle_standins.virtual_time import run_in_virtual_time

SIZES = (8, 65, 195)
SEEDS = range(1, 6)
HOSTS_PER_ZONE = 15
# Number of upstreams, and the seconds between changes of their entries.
UPSTREAMS, CHANGE_SECONDS = 30, 0.2
# Seconds for a response of the store and for a datagram, and the share of lost datagrams.
ANSWER_SECONDS, DATAGRAM_SECONDS, LOST_SHARE = 0.02, 0.002, 0.01
# Age of the copy, and time after the restore in which calls are counted, in seconds.
COPY_SECONDS, COUNT_CALLS_SECONDS = 5.0, 3.0
TIMEOUT_SECONDS = 12.0
# Seconds after the restore at which the upstreams rewrite their entries, and between two polls.
REWRITE_SECONDS, POLL_SECONDS = 2.0, 0.02
# Seconds that a fleet runs before the copy is made.
STEADY_SECONDS = 8.0


@dataclass(frozen=True)
class RestorePolicy:
    """How hosts react to a restore.

    `spread_seconds` replaces the default time over which followers spread their reads.
    """

    label: str
    discovery: type[Discovery]
    spread_seconds: float | None = None


@dataclass(frozen=True)
class Outage:
    """An outage of the store; a `plain` one loses no writes."""

    seconds: float
    plain: bool = False


class RevisionsOnly(Discovery):
    """Baseline without store epochs: a lower revision is an older list."""

    async def run(self) -> None:
        """Watch, ignoring the store's epoch."""
        self._store.epochs.take = lambda named, now: None  # type: ignore[method-assign]
        await super().run()


class FullRestart(Discovery):
    """Baseline that drops all known upstreams at a new epoch."""

    def _begin_epoch(self, snapshot: Snapshot) -> None:
        for name in list(self._fleet.list_names()):
            self._fleet.remove(name)


class SimulatedRelay(ListingRelay):
    """The relay of one simulated host, with delayed and lost datagrams within its zone."""

    def __init__(self, model: "FleetModel", zone: int, large: bool, should_relay: bool) -> None:
        """Create a relay for a host, which sends changes if `should_relay`."""
        self._model, self.zone, self._large, self._relays_changes = model, zone, large, should_relay
        self.take: Callable[[ListingChanges], None] = lambda _: None

    def set_receiver(self, take: Callable[[ListingChanges], None]) -> None:
        """Set the callback for received changes."""
        self.take = take

    def should_watch(self) -> bool:
        """Return whether this host watches the store."""
        return not self._large or self._relays_changes

    def should_relay(self) -> bool:
        """Return whether this host relays changes to others."""
        return self._large and self._relays_changes

    def send(self, changes: ListingChanges) -> None:
        """Send changes to the other hosts of the zone."""
        loop = asyncio.get_running_loop()
        for other in self._model.relays:
            if other is self or other.zone != self.zone:
                continue
            if self._model.rng.random() >= LOST_SHARE:
                loop.call_later(DATAGRAM_SECONDS, other.take, changes)


class FleetModel:
    """A simulated fleet and its store."""

    def __init__(self, policy: RestorePolicy, hosts: int, seed: int) -> None:
        """Create the hosts; `play` starts them."""
        self.rng = random.Random(seed)
        self.stand_in = StandInStore()
        self.relays: list[SimulatedRelay] = []
        self.clients: list[DirectStore] = []
        self.fleets: list[Fleet] = []
        self._discoveries: list[Discovery] = []
        for number in range(hosts):
            relay = SimulatedRelay(
                self, number // HOSTS_PER_ZONE, is_large_fleet(hosts), number % HOSTS_PER_ZONE < 2
            )
            self.relays.append(relay)
            self.clients.append(DirectStore(self.stand_in, ANSWER_SECONDS))
            self.fleets.append(Fleet())
            self._discoveries.append(
                policy.discovery(
                    self.clients[-1],
                    self.fleets[-1],
                    random.Random(f"{seed} {number}"),
                    relay,
                    lambda: None,
                    lambda: float("inf"),
                    SkippedEntries(lambda kind, field: None),
                )
            )

    async def play(self, outage: Outage) -> tuple[float, float, int, float, float]:
        """Simulate an outage and a restore; return the figures of `measure_recovery`."""
        for number in range(UPSTREAMS):
            self.put(f"s{number}")
        tasks = [asyncio.ensure_future(discovery.run()) for discovery in self._discoveries]
        tasks.append(asyncio.ensure_future(self.change()))
        await asyncio.sleep(STEADY_SECONDS + self.rng.random())
        copy = self.stand_in.copy_contents()
        self.put("late")
        self.stand_in.remove("servers", "s1")
        await asyncio.sleep(COPY_SECONDS)
        self.set_failure_mode("busy" if outage.seconds else "up")
        await asyncio.sleep(outage.seconds)
        if not outage.plain:
            self.stand_in.restore(copy)
        self.set_failure_mode("up")
        found = await self.measure_recovery()
        for task in tasks:
            task.cancel()
        return found

    async def measure_recovery(self) -> tuple[float, float, int, float, float]:
        """Drain one upstream and add one after the restore, and poll all hosts.

        Returns the seconds until no host uses the first and all use the second, the store calls,
        and the missed and wrong host seconds.
        """
        loop = asyncio.get_running_loop()
        began, before = loop.time(), self.count_calls()
        self.put("s0", "draining")
        self.put("new")
        left = used = TIMEOUT_SECONDS
        calls, missed, wrong = 0, 0.0, 0.0
        loop.call_later(REWRITE_SECONDS, self.stand_in.repeat_all_writes)
        while (now := loop.time() - began) < TIMEOUT_SECONDS:
            await asyncio.sleep(POLL_SECONDS)
            missed += POLL_SECONDS * (len(self.fleets) - self.count_using("late"))
            wrong += POLL_SECONDS * self.count_using("s1")
            if left == TIMEOUT_SECONDS and not self.count_using("s0"):
                left = now
            if used == TIMEOUT_SECONDS and self.count_using("new") == len(self.fleets):
                used = now
            if now < COUNT_CALLS_SECONDS:
                calls = self.count_calls() - before
            elif max(left, used) < TIMEOUT_SECONDS:
                break
        return left, used, calls, missed, wrong

    async def change(self) -> None:
        """Change the entries of upstreams periodically."""
        number = 0
        while True:
            await asyncio.sleep(CHANGE_SECONDS)
            number += 1
            self.put(f"s{2 + number % (UPSTREAMS - 2)}", seq=number)

    def put(self, name: str, state: str = "ready", seq: int = 0) -> None:
        """Write an upstream's entry."""
        spec = {
            "service": "model", "address": "10.0.0.9:80", "zone": "a", "slots": 6, "state": state,
            "seq": seq,
        }  # fmt: skip
        self.stand_in.put("servers", name, spec)

    def set_failure_mode(self, failure_mode: str) -> None:
        """Set the failure mode of all hosts' calls."""
        for client in self.clients:
            client.set_failure_mode(failure_mode)

    def count_calls(self) -> int:
        """Return the total number of calls by all hosts."""
        return sum(client.calls for client in self.clients)

    def count_using(self, name: str) -> int:
        """Return the number of hosts that send new work to an upstream."""
        return sum(
            known is not None and not known.record.leaving
            for known in (fleet.find_current_incarnation(name) for fleet in self.fleets)
        )


RESTORE_POLICIES = (
    RestorePolicy("revisions only", RevisionsOnly),
    RestorePolicy("all dropped, list read again", FullRestart),
    RestorePolicy("relays, followers read at once", Discovery, spread_seconds=0.0),
    RestorePolicy("relays, followers spread", Discovery),
)
OUTAGES = (Outage(0.4), Outage(3.0), Outage(0.0))


def measure(policy: RestorePolicy, hosts: int, outage: Outage) -> Sequence[float]:
    """Return the medians over the seeds of the figures of a run."""
    default_seconds = discovery_module.RESTORE_SPREAD_SECONDS
    if policy.spread_seconds is not None:
        discovery_module.RESTORE_SPREAD_SECONDS = policy.spread_seconds
    rows = [run_in_virtual_time(FleetModel(policy, hosts, seed).play(outage)) for seed in SEEDS]
    discovery_module.RESTORE_SPREAD_SECONDS = default_seconds
    return [statistics.median(row[column] for row in rows) for column in range(5)]


def main() -> None:
    """Print the table: medians over the seeds."""
    print(
        "| hosts | outage s | policy | left s | used s | calls in 3 s | "
        "plain | missed s | wrong s |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for hosts in SIZES:
        for outage in OUTAGES:
            plain = measure(RESTORE_POLICIES[-1], hosts, Outage(outage.seconds, plain=True))[2]
            for policy in RESTORE_POLICIES:
                left, used, calls, missed, wrong = measure(policy, hosts, outage)
                print(
                    f"| {hosts} | {outage.seconds:g} | {policy.label} | {left:.2f} | {used:.2f} | "
                    f"{calls:.0f} | {plain:.0f} | {missed:.1f} | {wrong:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
