"""A planned stop (SIGTERM) while consumers on links of 6 Mbit/s still receive their answers.

Starts one gateway by the deploy file's command, on loopback, with the project's stand-in of the platform's
store and a small stand-in of a plain service's worker, whose answers of 4 MB come in chunks. Four consumers
have used their connections before. After the gateway got SIGTERM they ask again on them, between 0.9 and 2.1 s
after it, and read their answers at 6 Mbit/s without a pause: 5.3 s. So all answers can be delivered within
graceS, after which SIGKILL would follow. Rule LOST: each of them has to arrive whole.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from swifttrestle.internal.transport.messages import Framing
from swifttrestle_standins.hosted.site import Site, make_route
from swifttrestle_standins.hosted.upstreams import SIGNATURE, StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_SECONDS = 8
CONSUMERS = 4
ANSWER_BYTES = 4_000_000
# A link of 6 Mbit/s: 4 MB take 5.3 s.
BYTES_PER_SECOND = 750_000
TICK_SECONDS = 0.02
# The times of the requests after SIGTERM. Kept connections bring requests until the gateway closes them.
ASK_AT_SECONDS = (0.9, 1.3, 1.7, 2.1)
# "Links have delay, a bandwidth [...] and small windows" (DEPLOY.md).
WINDOW_BYTES = 4096
DEADLINE_MS = 15_000
LINES = []


def note(text):
    LINES.append(f"{time.monotonic() - START:8.3f} s  {text}")


START = time.monotonic()


class LargeAnswers(StandInUpstream):
    """A worker whose answers to /large/b have 4 MB and come in chunks."""

    async def run(self, name, headers, step, request, reply):
        if not request.head.target.endswith(b"/b"):
            await super().run(name, headers, step, request, reply)
            return
        note(f"worker runs {name}")
        head = [(b"X-Request-Id", name.encode()), SIGNATURE]
        await reply.start(200, head, Framing.CHUNKED, 0)
        await reply.send(make_body(name))
        await reply.end()
        note(f"worker has answered {name} with 200 and {ANSWER_BYTES} bytes")


def make_body(name):
    unit = f"{name}|".encode()
    return (unit * (ANSWER_BYTES // len(unit) + 1))[:ANSWER_BYTES]


class Consumer:
    """One kept connection of a consumer, which reads at the speed of its link."""

    def __init__(self, name, address):
        self.name = name
        self.address = address

    async def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, self.address)
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=65536)

    async def ask(self, path, request_id):
        self.writer.write(
            f"GET {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
        )
        note(f"{self.name} sends {request_id}")
        status, body, broken = 0, bytearray(), ""
        began = time.monotonic()
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            status = int(lines[0].split()[1])
            if "content-length" in fields:
                await self.read_part(body, int(fields["content-length"]), began)
            else:
                while size := int(await self.reader.readuntil(b"\r\n"), 16):
                    await self.read_part(body, len(body) + size, began)
                    await self.reader.readexactly(2)
                await self.reader.readexactly(2)
        except (OSError, asyncio.IncompleteReadError) as error:
            broken = f": the answer is cut ({type(error).__name__})"
        seconds = time.monotonic() - began
        note(
            f"{self.name} got {status} for {request_id}, {len(body)} bytes in {seconds:.2f} s"
            + (broken or ", whole")
        )
        return status, bytes(body), not broken

    async def read_part(self, body, length, began):
        """Read until the body has a length, at the speed of the link."""
        while len(body) < length:
            allowed = int((time.monotonic() - began) * BYTES_PER_SECOND) + 4096 - len(body)
            if allowed <= 0:
                await asyncio.sleep(TICK_SECONDS)
                continue
            data = await self.reader.read(min(allowed, length - len(body)))
            if not data:
                raise ConnectionError("the connection ends")
            body += data


async def start_site():
    site = Site()
    await site.start()
    site.services = [{"name": "desk", "maxConns": 100}]
    site.routes = [make_route("large", "safe", "desk", timeoutMs=DEADLINE_MS)]
    await site.add_upstream(LargeAnswers("w0", "desk", "hall-a"))
    site.declare()
    return site


def write_settings(site, folder):
    ip = pick_ip(0)
    settings = site._make_settings("front-hall-a-1", ip, "hall-a")
    settings["seeds"] = [f"{ip}:1"]
    settings["bounds"]["graceS"] = GRACE_SECONDS
    settings["bounds"]["leaseMs"] = 3000
    path = Path(folder) / "node.json"
    path.write_text(json.dumps(settings))
    return path, settings


async def wait_ready(address):
    async with asyncio.timeout(20):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await reader.readline()
                writer.close()
                if b" 200 " in head:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def main(folder):
    site = await start_site()
    path, settings = write_settings(site, folder)
    environment = {**os.environ, "SWIFTTRESTLE_BOOT": str(path), "PYTHONPATH": "target/deps"}
    with (Path(folder) / "gateway.log").open("wb") as log:
        gateway = subprocess.Popen(
            [sys.executable, "deploy/gateway.py"], env=environment, stdout=log, stderr=log
        )
    try:
        await wait_ready(split(settings["listen"]["ready"]))
        note("the gateway is ready")
        return await play(settings, gateway)
    finally:
        gateway.kill()
        gateway.wait()
        await site.stop()


async def play(settings, gateway):
    consumers = [Consumer(f"c{i}", split(settings["listen"]["front"])) for i in range(CONSUMERS)]
    for item in consumers:
        await item.connect()
        await item.ask("/large/a", f"first-{item.name}")
    stopped = None
    if TROUBLE:
        note("SIGTERM to the gateway")
        gateway.send_signal(signal.SIGTERM)
        stopped = asyncio.ensure_future(wait_for_end(gateway))
    else:
        note("no SIGTERM")
    tasks = [
        asyncio.ensure_future(ask_later(item, seconds))
        for item, seconds in zip(consumers, ASK_AT_SECONDS, strict=True)
    ]
    results = await asyncio.gather(*tasks)
    if stopped is not None:
        await stopped
    lost = 0
    for item, (status, body, whole) in zip(consumers, results, strict=True):
        # A refusal (503) is a whole answer too.
        if not whole or (status == 200 and body != make_body(f"large-{item.name}")):
            lost += 1
    note(f"{lost} of {CONSUMERS} requests that were read ended without a whole answer")
    if not TROUBLE and any(status != 200 for status, _, _ in results):
        raise RuntimeError("a request without trouble was not served")
    return 1 if lost else 0


async def ask_later(consumer, seconds):
    await asyncio.sleep(seconds)
    return await consumer.ask("/large/b", f"large-{consumer.name}")


async def wait_for_end(gateway):
    """Wait until the gateway has ended by itself; kill it after graceS, as the platform does."""
    began = time.monotonic()
    while gateway.poll() is None:
        if time.monotonic() - began > GRACE_SECONDS:
            note("SIGKILL after graceS")
            gateway.kill()
        await asyncio.sleep(0.01)
    note(f"the gateway has ended {time.monotonic() - began:.2f} s after SIGTERM")


if __name__ == "__main__":
    result = 2
    try:
        with tempfile.TemporaryDirectory() as place:
            result = asyncio.run(asyncio.wait_for(main(place), 90))
    except Exception as error:
        note(f"the case could not run: {error!r}")
    note({0: "LOST held", 1: "LOST is broken", 2: "not run"}[result])
    FOLDER.joinpath("record.txt").write_text("\n".join(LINES) + "\n")
    sys.exit(result)
