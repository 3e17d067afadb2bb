"""Measures what one upstream whose responses have no end costs the requests beside it.

    python -m bench.endless_responses [KIND...]

One gateway process, one endless upstream process, four callers of it, and twenty requests a second
to a sound service. Prints the gateway's growth in memory, and the share of the sound requests that
were served within half a second.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import psutil

from swifttrestle.internal.checks import parse_address
from swifttrestle.platform.settings import PATH_VARIABLE
from swifttrestle_standins.hosted.endless import KINDS
from swifttrestle_standins.hosted.site import Site, make_route
from swifttrestle_standins.hosted.upstreams import StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port

PLAY_SECONDS = 5.0
CALLERS = 4
SOUND_INTERVAL_SECONDS = 0.05
IN_TIME_SECONDS = 0.5
TIMEOUT_MS = 10_000
READY_TIMEOUT_SECONDS = 20.0
# The gateway is stopped when it has grown by so much.
MAX_GROWTH_BYTES = 2 * 1024**3
Address = tuple[str, int]


@dataclass(frozen=True)
class Outcome:
    """What one play showed: megabytes, and numbers of sound requests."""

    growth_mb: float
    sent: int
    in_time: int


async def ask(address: Address, path: str, name: str) -> int:
    """Send one request and return the status of its answer, 0 if there is none."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\n"
            f"X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1])
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0


async def call_endless(address: Address, number: int) -> None:
    """Call the endless upstream again and again."""
    for attempt in range(1000):
        await ask(address, "/bad/a", f"b{number}-{attempt}")
        await asyncio.sleep(0.05)


async def ask_in_time(address: Address, name: str) -> bool:
    """Return whether a request to the sound service is served within half a second."""
    try:
        async with asyncio.timeout(IN_TIME_SECONDS):
            return await ask(address, "/good/a", name) == 200
    except TimeoutError:
        return False


async def measure(address: Address, gateway: psutil.Process) -> Outcome:
    """Play for a few seconds."""
    before = peak = gateway.memory_info().rss
    callers = [asyncio.ensure_future(call_endless(address, number)) for number in range(CALLERS)]
    sound: list[asyncio.Task[bool]] = []
    end = time.monotonic() + PLAY_SECONDS
    while time.monotonic() < end and peak - before < MAX_GROWTH_BYTES:
        sound.append(asyncio.ensure_future(ask_in_time(address, f"s{len(sound)}")))
        await asyncio.sleep(SOUND_INTERVAL_SECONDS)
        peak = max(peak, gateway.memory_info().rss)
    served = await asyncio.gather(*sound)
    for caller in callers:
        caller.cancel()
    return Outcome((peak - before) / 1e6, len(served), sum(served))


async def play(kind: str, folder: Path) -> Outcome:
    """Start all processes, and measure with one kind of endless response."""
    site = Site()
    await site.start()
    site.services = [{"name": "good", "maxConns": 200}, {"name": "bad", "maxConns": 200}]
    site.routes = [
        make_route("good", "safe", "good"),
        make_route("bad", "unsafe", "bad", timeoutMs=TIMEOUT_MS),
    ]
    for number in range(3):
        await site.add_upstream(StandInUpstream(f"g{number}", "good", "hall-a"))
    ip = pick_ip(1)
    address = f"{ip}:{pick_port(ip)}"
    module = "swifttrestle_standins.hosted.endless"
    endless = subprocess.Popen([sys.executable, "-m", module, kind, address])
    record = {
        "service": "bad", "address": address, "zone": "hall-a", "slots": 8, "state": "ready",
        "seq": 1,
    }  # fmt: skip
    site.store.put("servers", "endless", record)
    site.declare()
    settings = site._make_settings("g0", pick_ip(0), "hall-a")
    boot = folder / "node.json"
    boot.write_text(json.dumps(settings))
    gateway = start_gateway(boot)
    try:
        await wait_ready(parse_address(settings["listen"]["ready"]))
        callers = parse_address(settings["listen"]["front"])
        return await measure(callers, psutil.Process(gateway.pid))
    finally:
        for process in (gateway, endless):
            process.kill()
            process.wait()
        await site.stop()


def start_gateway(boot: Path) -> subprocess.Popen[bytes]:
    """Start a gateway process with a settings file, as the deploy file does."""
    return subprocess.Popen(
        [sys.executable, "deploy/gateway.py"],
        env={**os.environ, PATH_VARIABLE: str(boot)},
        stdout=subprocess.DEVNULL,
    )


async def wait_ready(address: Address) -> None:
    """Wait until the gateway is ready."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while await ask(address, "/v1/ready", "") != 200:
            await asyncio.sleep(0.1)


def main(kinds: Sequence[str]) -> None:
    """Measure some kinds, or all."""
    sys.stdout.write("| response | growth, MB | sound requests in time |\n|---|---|---|\n")
    for kind in kinds or KINDS:
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(play(kind, Path(folder)))
        sys.stdout.write(
            f"| {kind} | {outcome.growth_mb:.0f} | {outcome.in_time} of {outcome.sent} |\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main(sys.argv[1:])
