"""What a return of the store from a copy costs a fleet, by how hosts take it.

The product's own watching of the discovery list, in virtual time: hosts in zones, of which two each
tell the others where the fleet is large, and one store that comes back from a copy without its
latest writes. One upstream then says that it leaves, and another one comes. Counted are the seconds
until all hosts act on that, and the calls for the list in the three seconds after the return,
beside those after an absence as long in which nothing is lost; further the host seconds in which an
upstream that the copy lacks is not used, and in which one is that the copy holds and that has gone.
"""

import asyncio
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from swifttrestle.internal.coordination import discovery as discovery_module
from swifttrestle.internal.coordination.discovery import Discovery
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.coordination.listing_relay import ListingRelay
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
# Upstreams in the list, and how often one of them changes its entry, in seconds.
UPSTREAMS, CHANGE_SECONDS = 30, 0.2
# Seconds for an answer of the store and for a datagram, and the share of datagrams that are lost.
ANSWER_SECONDS, DATAGRAM_SECONDS, LOST_SHARE = 0.02, 0.002, 0.01
# Seconds of the copy's age, of the absence, and after the return in which calls are counted.
COPY_SECONDS, COUNTED_SECONDS = 5.0, 3.0
LONGEST_SECONDS = 12.0
# Seconds after the return at which the upstreams have written again, and between two looks.
WRITTEN_SECONDS, LOOK_SECONDS = 2.0, 0.02
STEADY_SECONDS = 8.0


@dataclass(frozen=True)
class Way:
    """How hosts take a return; `discovery` builds the part that watches the list."""

    label: str
    discovery: type[Discovery]
    spread_seconds: float | None = None


@dataclass(frozen=True)
class Absence:
    """How the store is away; a plain one loses nothing."""

    seconds: float
    plain: bool = False


class NumbersAlone(Discovery):
    """Hosts that know no epochs, as they were: a lower number is an older list."""

    async def run(self) -> None:
        """Watch as if the store named no epoch."""
        self._store.epochs.take = lambda named, now: None  # type: ignore[method-assign]
        await super().run()


class FullRestart(Discovery):
    """Hosts that drop all that they believed of the list, and begin anew."""

    def _begin_epoch(self, snapshot: Snapshot) -> None:
        for name in list(self._fleet.list_names()):
            self._fleet.remove(name)


class TellingRelay(ListingRelay):
    """The relay of one host of the model: its zone hears it after a moment, or not."""

    def __init__(self, model: "Model", zone: int, large: bool, should_relay: bool) -> None:
        """Tell the zone's hosts where this one `should_relay`."""
        self._model, self.zone, self._large, self._tells = model, zone, large, should_relay
        self.take: Callable[[ListingChanges], None] = lambda _: None

    def receive(self, take: Callable[[ListingChanges], None]) -> None:
        """Hand what others tell to `take`."""
        self.take = take

    def should_watch(self) -> bool:
        """Return whether this host watches itself."""
        return not self._large or self._tells

    def should_relay(self) -> bool:
        """Return whether this host tells others."""
        return self._large and self._tells

    def send(self, changes: ListingChanges) -> None:
        """Tell the zone."""
        loop = asyncio.get_running_loop()
        for other in self._model.relays:
            if other is self or other.zone != self.zone:
                continue
            if self._model.rng.random() >= LOST_SHARE:
                loop.call_later(DATAGRAM_SECONDS, other.take, changes)


class Model:
    """One fleet before its store."""

    def __init__(self, way: Way, hosts: int, seed: int) -> None:
        """Put the hosts together; `play` starts them."""
        self.rng = random.Random(seed)
        self.stand_in = StandInStore()
        self.relays: list[TellingRelay] = []
        self.clients: list[DirectStore] = []
        self.fleets: list[Fleet] = []
        self._parts: list[Discovery] = []
        for number in range(hosts):
            relay = TellingRelay(
                self, number // HOSTS_PER_ZONE, is_large_fleet(hosts), number % HOSTS_PER_ZONE < 2
            )
            self.relays.append(relay)
            self.clients.append(DirectStore(self.stand_in, ANSWER_SECONDS))
            self.fleets.append(Fleet())
            self._parts.append(
                way.discovery(
                    self.clients[-1],
                    self.fleets[-1],
                    random.Random(f"{seed} {number}"),
                    relay,
                    lambda: None,
                    lambda: float("inf"),
                    SkippedEntries(lambda kind, field: None),
                )
            )

    async def play(self, absence: Absence) -> tuple[float, float, int, float, float]:
        """Return seconds until left and until used, calls, and host seconds of wrong beliefs."""
        for number in range(UPSTREAMS):
            self.put(f"s{number}")
        tasks = [asyncio.ensure_future(part.run()) for part in self._parts]
        tasks.append(asyncio.ensure_future(self.change()))
        await asyncio.sleep(STEADY_SECONDS + self.rng.random())
        copy = self.stand_in.take_copy()
        self.put("late")
        self.stand_in.remove("servers", "s1")
        await asyncio.sleep(COPY_SECONDS)
        self.set_way("busy" if absence.seconds else "up")
        await asyncio.sleep(absence.seconds)
        if not absence.plain:
            self.stand_in.come_back(copy)
        self.set_way("up")
        found = await self.watch_return()
        for task in tasks:
            task.cancel()
        return found

    async def watch_return(self) -> tuple[float, float, int, float, float]:
        """Have one upstream leave and one come, and see when all hosts know."""
        loop = asyncio.get_running_loop()
        began, before = loop.time(), self.count_calls()
        self.put("s0", "draining")
        self.put("new")
        left = used = LONGEST_SECONDS
        calls, missed, wrong = 0, 0.0, 0.0
        loop.call_later(WRITTEN_SECONDS, self.stand_in.write_all_again)
        while (now := loop.time() - began) < LONGEST_SECONDS:
            await asyncio.sleep(LOOK_SECONDS)
            missed += LOOK_SECONDS * (len(self.fleets) - self.count_using("late"))
            wrong += LOOK_SECONDS * self.count_using("s1")
            if left == LONGEST_SECONDS and not self.count_using("s0"):
                left = now
            if used == LONGEST_SECONDS and self.count_using("new") == len(self.fleets):
                used = now
            if now < COUNTED_SECONDS:
                calls = self.count_calls() - before
            elif max(left, used) < LONGEST_SECONDS:
                break
        return left, used, calls, missed, wrong

    async def change(self) -> None:
        """Have the entries of upstreams change all the while."""
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

    def set_way(self, way: str) -> None:
        """Have all hosts' calls fail in a way."""
        for client in self.clients:
            client.set_way(way)

    def count_calls(self) -> int:
        """Return the calls that all hosts have made."""
        return sum(client.calls for client in self.clients)

    def count_using(self, name: str) -> int:
        """Return how many hosts give an upstream new work."""
        return sum(
            known is not None and not known.record.leaving
            for known in (fleet.find_start(name) for fleet in self.fleets)
        )


WAYS = (
    Way("numbers alone (as it was)", NumbersAlone),
    Way("all dropped, list read anew", FullRestart),
    Way("pairs, followers read at once", Discovery, spread_seconds=0.0),
    Way("pairs, followers spread", Discovery),
)
ABSENCES = (Absence(0.4), Absence(3.0), Absence(0.0))


def measure(way: Way, hosts: int, absence: Absence) -> Sequence[float]:
    """Return the medians over the seeds of what a play gives."""
    standing = discovery_module.RESTORE_SPREAD_SECONDS
    if way.spread_seconds is not None:
        discovery_module.RESTORE_SPREAD_SECONDS = way.spread_seconds
    rows = [run_in_virtual_time(Model(way, hosts, seed).play(absence)) for seed in SEEDS]
    discovery_module.RESTORE_SPREAD_SECONDS = standing
    return [statistics.median(row[column] for row in rows) for column in range(5)]


def main() -> None:
    """Print the table: medians over the seeds."""
    print("| hosts | away s | way | left s | used s | calls in 3 s | plain | missed s | wrong s |")
    print("|---|---|---|---|---|---|---|---|---|")
    for hosts in SIZES:
        for absence in ABSENCES:
            plain = measure(WAYS[-1], hosts, Absence(absence.seconds, plain=True))[2]
            for way in WAYS:
                left, used, calls, missed, wrong = measure(way, hosts, absence)
                print(
                    f"| {hosts} | {absence.seconds:g} | {way.label} | {left:.2f} | {used:.2f} | "
                    f"{calls:.0f} | {plain:.0f} | {missed:.1f} | {wrong:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
