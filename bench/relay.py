"""CPU of one entry process per relayed token, compared with a plain copy loop."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import psutil

from bench.fleetfile import KEY, declare_fleet
from swifttrestle_standins.fleet import Fleet, ManagedProcess, wait_until

READER_PROCESSES = 3
TIMEOUT_SECONDS = 120.0


def run_readers(address: str, path: str, headers: str, bodies: list[str]) -> dict[str, float]:
    """Run callers in separate processes and sum their counts."""
    started = []
    for part in range(READER_PROCESSES):
        job = {
            "address": address, "path": path, "headers": headers,
            "bodies": bodies[part::READER_PROCESSES], "seconds": TIMEOUT_SECONDS,
        }  # fmt: skip
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.drain"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        assert process.stdin is not None
        process.stdin.write(json.dumps(job).encode())
        process.stdin.close()
        started.append(process)
    total = {"tokens": 0.0, "whole": 0.0, "seconds": 0.0}
    for process in started:
        assert process.stdout is not None
        counts = json.loads(process.stdout.read())
        process.wait()
        total["tokens"] += counts["tokens"]
        total["whole"] += counts["whole"]
        total["seconds"] = max(total["seconds"], counts["seconds"])
    return total


def measure(pid: int, work: Any) -> dict[str, float]:
    """Return the counts of `work`, with the CPU and memory that the process used for it."""
    process = psutil.Process(pid)
    before = process.cpu_times()
    counts = work()
    after = process.cpu_times()
    cpu = after.user + after.system - before.user - before.system
    return {
        "tokens": counts["tokens"],
        "whole": counts["whole"],
        "tokens_per_second": counts["tokens"] / max(counts["seconds"], 1e-9),
        "cpu_us_per_token": cpu / max(counts["tokens"], 1) * 1e6,
        "cpu_share": cpu / max(counts["seconds"], 1e-9),
        "memory_mb": process.memory_info().rss / 1e6,
    }


def start_engines(fleet: Fleet, engines: int, streams: int, step: float) -> list[ManagedProcess]:
    """Start engines with capacity for all streams."""
    slots = streams // engines * 2 + 8
    return [
        fleet.add_engine(
            f"engine-{n}", slots=slots, queue=slots, step=step, per_stream=0,
            prefill_rate=1e7, fencing="checked",
        )
        for n in range(engines)
    ]  # fmt: skip


def run_relay(streams: int, tokens: int, step: float, engines: int = 4) -> dict[str, dict]:
    """Run the same streams through an entry and through the plain copy loop."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.add_platform()
        started = start_engines(fleet, engines, streams, step)
        addresses = [engine.addresses["listen"] for engine in started]
        fleet.add_controller("controller", "host-a", "a")
        fleet.add_entry("entry", "host-a", "a", threads=128)
        declare_fleet(fleet, Path(folder), {e.name: e.addresses["listen"] for e in started})
        wait_until(lambda: _all_loaded(fleet, engines), what="loaded engines")
        entry = fleet.members["entry"]
        idle = psutil.Process(entry.process_id()).memory_info().rss / 1e6
        headers = f"Authorization: Bearer {KEY}\r\n"
        entry_bodies = [
            json.dumps({"model": "chat", "prompt": f"p {n}", "max_tokens": tokens, "stream": True})
            for n in range(streams)
        ]
        found = {
            "entry": measure(
                entry.process_id(),
                lambda: run_readers(
                    entry.addresses["listen"], "/v1/completions", headers, entry_bodies
                ),
            )
        }
        found["entry"]["idle_memory_mb"] = idle
        loop = ManagedProcess("loop", "bench.plainloop", {}, Path(folder) / "loop.log")
        loop.process = subprocess.Popen(
            [sys.executable, "-m", "bench.plainloop", str(streams + 8), *addresses],
            stdout=subprocess.PIPE,
        )
        assert loop.process.stdout is not None
        loop.addresses = json.loads(loop.process.stdout.readline())
        loop_bodies = [
            json.dumps(
                {"id": f"b{n}", "attempt": 1, "offset": 0, "max_tokens": tokens, "model": "small",
                 "version": "v1", "prompt": f"p {n}", "priority": "normal"}
            )
            for n in range(streams)
        ]  # fmt: skip
        found["plain loop"] = measure(
            loop.process.pid,
            lambda: run_readers(loop.addresses["listen"], "/", "", loop_bodies),
        )
        loop.kill()
        return found


def _all_loaded(fleet: Fleet, engines: int) -> bool:
    known = fleet.dump("entry")["upstreams"]
    return sum(1 for view in known.values() if view["holding"]) == engines


def main() -> None:
    """Print one table per load: with paced tokens, and at full speed."""
    print(f"cpus {os.cpu_count()}")
    for label, streams, tokens, step in (
        ("1 stream", 1, 400, 0.005),
        ("400 streams, 74 ms a token", 400, 253, 0.074),
        ("1000 streams, 74 ms a token", 1000, 253, 0.074),
        ("1750 streams, 74 ms a token", 1750, 253, 0.074),
        ("2000 streams, 74 ms a token, long", 2000, 560, 0.074),
        ("400 streams, unpaced", 400, 1200, 0.0),
    ):
        # More engines, so that the stand-ins are not the bottleneck.
        found = run_relay(streams, tokens, step, engines=8 if streams >= 2000 else 4)
        print(label)
        for name, row in found.items():
            shown = "  ".join(f"{key}={value:.1f}" for key, value in row.items())
            print(f"  {name:<11} {shown}", flush=True)


if __name__ == "__main__":
    main()
