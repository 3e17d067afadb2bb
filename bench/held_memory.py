"""Measures what large bodies on many connections at once cost a gateway in memory.

    python -m bench.held_memory [CONNECTIONS...]

Real gateway processes with 300 MB each. The connections of each send one body of the largest
allowed size after the other, all of them together at the pace of its network link, to upstreams
that need a second. Beside them, one caller of each gateway sends small requests to another service.
A process over its limit is killed and started again, as the platform does. Prints the kills, the
most memory of a process, and how many requests were served.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import psutil

from bench.endless_responses import start_gateway, wait_ready
from swifttrestle.internal.checks import parse_address
from swifttrestle_standins.hosted.site import Site, make_route
from swifttrestle_standins.hosted.upstreams import StandInUpstream
from swifttrestle_standins.loopback import pick_ip

CONNECTIONS = (1, 8, 30, 100, 300)
GATEWAYS = 3
PLAY_SECONDS = 25.0
MEMORY_MB = 300
LINK_BYTES_PER_SECOND = 125_000_000
BODY = bytes(4 * 1024 * 1024)
PIECE_BYTES = 64 * 1024
TIMEOUT_MS = 10_000
RUN_SECONDS = 1.0
UPSTREAMS = 3
# Requests that an upstream runs at once.
SLOTS = 200
SMALL_INTERVAL_SECONDS = 0.1
SMALL_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.02
RETRY_SECONDS = 0.2
# Seconds in which the rest of a body is sent behind its answer.
REST_SECONDS = 2.0
OK, UNAVAILABLE = 200, 503
Address = tuple[str, int]


@dataclass
class Counts:
    """What one play showed: numbers of requests, kills and bytes."""

    large_sent: int = 0
    large_served: int = 0
    large_refused: int = 0
    small_sent: int = 0
    small_served: int = 0
    slowest_small_seconds: float = 0.0
    kills: int = 0
    peak_bytes: int = 0


@dataclass
class Link:
    """The network link of a host, which its callers share."""

    free_at: float = 0.0

    async def pass_bytes(self, size: int) -> None:
        """Wait until so many bytes have passed."""
        self.free_at = max(self.free_at, time.monotonic()) + size / LINK_BYTES_PER_SECOND
        await asyncio.sleep(self.free_at - time.monotonic())


@dataclass
class GatewayProcess:
    """One gateway, which is killed and started again when it is over its memory."""

    name: str
    boot: Path
    settings: dict[str, dict[str, str]]
    link: Link = field(default_factory=Link)
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> Address:
        """Its address for callers."""
        return parse_address(self.settings["listen"]["front"])

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.process = start_gateway(self.boot)
        await wait_ready(parse_address(self.settings["listen"]["ready"]))

    async def limit_memory(self, counts: Counts) -> None:
        """Act as the platform."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            assert self.process is not None
            used = psutil.Process(self.process.pid).memory_info().rss
            counts.peak_bytes = max(counts.peak_bytes, used)
            if used > MEMORY_MB * 1024 * 1024:
                counts.kills += 1
                self.stop()
                await self.start()

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


@dataclass(frozen=True)
class Answer:
    """An answer: its status, 0 if there is none, and the seconds after which to come back."""

    status: int
    retry_after: float = RETRY_SECONDS


class Caller:
    """One kept connection of a caller."""

    def __init__(self, gateway: GatewayProcess) -> None:
        """Connect at the first request."""
        self._gateway = gateway
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, path: str, name: str, body: bytes) -> Answer:
        """Send one request and return its answer, which may come before the body's end."""
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(*self._gateway.address)
            reader, writer = self._streams
            sending = asyncio.ensure_future(self._send(writer, path, name, body))
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                await reader.readexactly(int(_find_number(head, "content-length")))
                if not await _is_sent(sending) or "connection: close" in head:
                    self.close()
            finally:
                sending.cancel()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return Answer(0)
        return Answer(int(head.split()[1]), _find_number(head, "retry-after") or RETRY_SECONDS)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _send(self, writer: asyncio.StreamWriter, path: str, name: str, body: bytes) -> None:
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\n"
            f"X-Deadline-Ms: {TIMEOUT_MS}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        )
        for start in range(0, len(body), PIECE_BYTES):
            await self._gateway.link.pass_bytes(min(PIECE_BYTES, len(body) - start))
            writer.write(body[start : start + PIECE_BYTES])
            await writer.drain()


async def _is_sent(sending: asyncio.Task[None]) -> bool:
    """Return whether the rest of a body could be sent behind its answer."""
    await asyncio.wait((sending,), timeout=REST_SECONDS)
    return sending.done() and sending.exception() is None


def _find_number(head: str, name: str) -> float:
    """Return the value of a header of a head in lower case, 0 if it is missing."""
    for line in head.split("\r\n"):
        key, _, value = line.partition(":")
        if key == name:
            return float(value)
    return 0.0


async def send_large(gateway: GatewayProcess, number: int, counts: Counts) -> None:
    """Send large requests, one after the other, on a connection."""
    caller = Caller(gateway)
    for attempt in range(100_000):
        counts.large_sent += 1
        answer = await caller.ask("/large/a", f"{gateway.name}-l{number}-{attempt}", BODY)
        counts.large_served += answer.status == OK
        counts.large_refused += answer.status == UNAVAILABLE
        if answer.status != OK:
            await asyncio.sleep(answer.retry_after)


async def send_small(gateway: GatewayProcess, counts: Counts) -> None:
    """Send small requests."""
    caller = Caller(gateway)
    for attempt in range(100_000):
        counts.small_sent += 1
        started_at = time.monotonic()
        answer = Answer(0)
        try:
            async with asyncio.timeout(SMALL_TIMEOUT_SECONDS):
                answer = await caller.ask("/small/a", f"{gateway.name}-s{attempt}", b"small")
        except TimeoutError:
            caller.close()
        seconds = time.monotonic() - started_at
        counts.small_served += answer.status == OK
        counts.slowest_small_seconds = max(counts.slowest_small_seconds, seconds)
        await asyncio.sleep(SMALL_INTERVAL_SECONDS)


async def play(connections: int, folder: Path) -> Counts:
    """Play with so many connections of callers at each gateway."""
    site = Site(process_limits={"memoryMb": MEMORY_MB})
    await site.start()
    gateways: list[GatewayProcess] = []
    tasks: list[asyncio.Task[None]] = []
    counts = Counts()
    try:
        await _add_upstreams(site)
        for number in range(GATEWAYS):
            gateways.append(_prepare_gateway(site, f"g{number}", number, folder))
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        for gateway in gateways:
            calls = [send_large(gateway, number, counts) for number in range(connections)]
            calls += [send_small(gateway, counts), gateway.limit_memory(counts)]
            tasks += [asyncio.ensure_future(call) for call in calls]
        await asyncio.wait(tasks, timeout=PLAY_SECONDS, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            if task.done():
                task.result()
        return counts
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for gateway in gateways:
            gateway.stop()
        await site.stop()


async def _add_upstreams(site: Site) -> None:
    site.services = [{"name": "large", "maxConns": 600}, {"name": "small", "maxConns": 200}]
    site.routes = [
        make_route("large", "unsafe", "large", timeoutMs=TIMEOUT_MS),
        make_route("small", "safe", "small"),
    ]
    for number in range(UPSTREAMS):
        upstream = StandInUpstream(f"l{number}", "large", "hall-a", slots=SLOTS)
        upstream.seconds = RUN_SECONDS
        await site.add_upstream(upstream)
        await site.add_upstream(StandInUpstream(f"s{number}", "small", "hall-a"))
    site.declare(maxBodyBytes=len(BODY))


def _prepare_gateway(site: Site, name: str, number: int, folder: Path) -> GatewayProcess:
    settings = site._make_settings(name, pick_ip(number), "hall-a")
    boot = folder / f"{name}.json"
    boot.write_text(json.dumps(settings))
    return GatewayProcess(name, boot, settings)


def main(arguments: Sequence[str]) -> None:
    """Play with each number of connections."""
    sys.stdout.write(
        "| connections a host | kills | most memory, MB | large: served, refused, sent "
        "| small: served, sent | slowest small, s |\n|---|---|---|---|---|---|\n"
    )
    for connections in [int(item) for item in arguments] or CONNECTIONS:
        with tempfile.TemporaryDirectory() as folder:
            counts = asyncio.run(play(connections, Path(folder)))
        sys.stdout.write(
            f"| {connections} | {counts.kills} | {counts.peak_bytes / 1e6:.0f} "
            f"| {counts.large_served}, {counts.large_refused}, {counts.large_sent} "
            f"| {counts.small_served}, {counts.small_sent} "
            f"| {counts.slowest_small_seconds:.2f} |\n"
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main(sys.argv[1:])
