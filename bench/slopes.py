"""Costs of coordination while idle and of a change, by fleet size; see docs/CAPACITY.md."""

import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from bench.fleetfile import declare_fleet
from swifttrestle_standins.fleet import Fleet, wait_until

# Numbers of entries, controllers and engines.
SIZES = ((2, 1, 3), (4, 2, 6), (8, 4, 12))
IDLE_SECONDS = 10.0
CHANGE_COUNT = 5


@dataclass(frozen=True)
class Reading:
    """Cumulative CPU seconds and bytes sent to peers by process, and platform calls."""

    cpu: dict[str, float]
    sent: dict[str, float]
    calls: float


def read_all(fleet: Fleet, names: list[str]) -> Reading:
    """Read the counters of the named processes and of the platform."""
    cpu, sent = {}, {}
    for name in names:
        times = psutil.Process(fleet.members[name].process_id()).cpu_times()
        cpu[name] = times.user + times.system
        sent[name] = fleet.dump(name)["counters"].get("peer_sent_bytes_total", 0)
    return Reading(cpu, sent, sum(fleet.records("platform")["calls"].values()))


def start_fleet(fleet: Fleet, folder: Path, entries: int, controllers: int, engines: int) -> None:
    """Start a fleet with production settings and apply its resources."""
    fleet.add_platform()
    addresses = {}
    for n in range(engines):
        started = fleet.add_engine(f"engine-{n}", fencing="checked")
        addresses[started.name] = started.addresses["listen"]
    for n in range(controllers):
        fleet.add_controller(
            f"c{n}", f"hc{n}", "a", lease_seconds=8, lease_margin_seconds=1, tick_seconds=0.5,
            status_seconds=2, heartbeat_seconds=1,
        )  # fmt: skip
    for n in range(entries):
        fleet.add_entry(f"n{n}", f"hn{n}", "a", report_seconds=0.5, heartbeat_seconds=1)
    declare_fleet(fleet, folder, addresses)


def measure_changes(fleet: Fleet, entries: int) -> list[float]:
    """Return the seconds from each operator write until it is in force at every entry."""
    platform = fleet.members["platform"].addresses["listen"]
    durations = []
    for number in range(CHANGE_COUNT):
        path = "/api/v1/objects/Policy/default"
        stored = fleet.call("GET", platform, path)
        epoch = fleet.dump("n0")["epochs"]["fleet"]
        spec = {k: v for k, v in stored["spec"].items() if k != "nonce"}
        body = {"spec": {**spec, "queue_limit": 30 + number}, "version": stored["version"]}
        began = time.monotonic()
        fleet.call("PUT", platform, path, body)

        def in_force(epoch: int = epoch) -> bool:
            return all(fleet.dump(f"n{n}")["epochs"]["fleet"] > epoch for n in range(entries))

        wait_until(in_force, 30)
        durations.append(time.monotonic() - began)
    return durations


def measure_size(entries: int, controllers: int, engines: int) -> str:
    """Return one row of the table."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        start_fleet(fleet, Path(folder), entries, controllers, engines)
        names = [n for n in fleet.members if n[0] in "nc" and n[1:].isdigit()]
        threading.Event().wait(3.0)
        before = read_all(fleet, names)
        threading.Event().wait(IDLE_SECONDS)
        after = read_all(fleet, names)

        def mean(kind: str, table: str) -> float:
            chosen = [name for name in names if name[0] == kind]
            first, last = getattr(before, table), getattr(after, table)
            return sum(last[n] - first[n] for n in chosen) / len(chosen) / IDLE_SECONDS

        calls = (after.calls - before.calls) / IDLE_SECONDS
        memory = {
            kind: max(
                psutil.Process(fleet.members[n].process_id()).memory_info().rss
                for n in names
                if n[0] == kind
            )
            / 1e6
            for kind in "nc"
        }
        durations = measure_changes(fleet, entries)
        return (
            f"| {entries} | {controllers} | {engines} | {mean('n', 'cpu') * 100:.2f} | "
            f"{mean('c', 'cpu') * 100:.2f} | {mean('n', 'sent'):.0f} | {mean('c', 'sent'):.0f} | "
            f"{calls:.1f} | {memory['n']:.0f} | {memory['c']:.0f} | "
            f"{sorted(durations)[len(durations) // 2]:.2f} | {max(durations):.2f} |"
        )


def main() -> None:
    """Print the table."""
    print("| entries | controllers | engines | entry CPU % | controller CPU % | entry bytes/s | "
          "controller bytes/s | platform calls/s | entry MB | controller MB | "
          "change in force s (median) | (max) |")  # fmt: skip
    print("|" + "---|" * 12)
    for size in SIZES:
        print(measure_size(*size), flush=True)


if __name__ == "__main__":
    main()
