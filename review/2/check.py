"""A model worker crashes while it answers requests of a `safe` route.

Starts one gateway by the deploy file's command, on loopback, with the project's stand-in of the platform's
store and eight model workers (worker.py), each a process: six decode, two prefill. Consumers ask 36 times on a
`safe` route of the model service. One worker of the eight is killed while it answers. Rule MIXED: each success that a consumer receives
has to be the whole body of the worker whose X-Server-Signature it bears.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from swifttrestle_standins.hosted.site import Site, make_model_service, make_route
from swifttrestle_standins.loopback import pick_ip, pick_port

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))
from worker import PIECE_SECONDS, PIECES, make_piece  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PHASES = ("decode",) * 6 + ("prefill",) * 2
CONSUMERS = 36
DEADLINE_MS = 15_000
# Three check-ins of silence, after which the entry of a crashed worker goes.
ENTRY_SECONDS = 3.6
START = time.monotonic()
LINES = []


def note(text):
    LINES.append(f"{time.monotonic() - START:8.3f} s  {text}")


class Worker:
    """One worker process, and what it says that it ran."""

    def __init__(self, number, phase, store):
        self.instance = f"i-{number}"
        self.phase = phase
        self.store = store
        ip = pick_ip(100 + number)
        self.address = f"{ip}:{pick_port(ip)}"
        self.ready = asyncio.Event()
        self.running = Counter()

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(FOLDER / "worker.py"), self.instance, self.phase, self.address,
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.reader = asyncio.ensure_future(self.read())
        await asyncio.wait_for(self.ready.wait(), 10)

    async def read(self):
        while line := (await self.process.stdout.readline()).decode().strip():
            self.ready.set()
            note(f"worker {line}")
            if " runs " in line:
                self.running[line.split()[-1]] += 1
            elif " has answered " in line:
                del self.running[line.split()[3]]
            elif " in phase " in line:
                self.phase = line.split()[-1]
                self.store.put("servers", self.instance, self.record())

    def record(self):
        return {
            "service": "model", "address": self.address, "zone": "hall-a", "version": "v1",
            "slots": 48, "state": "ready", "coldRemainingMs": 0, "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}], "seq": 1,
        }  # fmt: skip


async def ask(address, name):
    """Ask once; return the status, the worker of the signature, the body, and whether it is whole."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        f"GET /verdict/a HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\nX-Model: m\r\n"
        f"X-Token-Usage: 50,40\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode()
    )
    status, signature, body, whole = 0, "", b"", False
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        status, signature = int(lines[0].split()[1]), fields.get("x-server-signature", "")
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        whole = True
    except (OSError, ValueError, asyncio.IncompleteReadError):
        pass
    writer.close()
    return status, signature.partition(".")[0], body, whole


def make_body(instance, name):
    return b"".join(make_piece(instance, name, number) for number in range(1, PIECES + 1))


def judge(name, status, worker, body, whole):
    """Return whether MIXED is kept for one answer, and what the consumer got."""
    parts = Counter(line.split()[0].decode() for line in body.splitlines() if line.count(b" ") == 2)
    got = f"{status} signed by {worker or 'none'}, {'whole' if whole else 'cut'}, pieces {dict(parts)}"
    return not (whole and 200 <= status < 300) or body == make_body(worker, name), got


async def play(site, settings, workers):
    host, _, port = settings["listen"]["front"].rpartition(":")
    names = [f"r{number:02d}" for number in range(CONSUMERS)]
    tasks = []
    for name in names:
        note(f"consumer sends {name}")
        tasks.append(asyncio.ensure_future(ask((host, int(port)), name)))
        await asyncio.sleep(0.005)
    # All requests run by now; an answer takes 1.2 s.
    await asyncio.sleep(PIECES * PIECE_SECONDS / 2)
    if TROUBLE:
        victim = max(workers, key=lambda item: len(item.running))
        note(f"SIGKILL to worker {victim.instance}, which runs {sorted(victim.running)}")
        victim.process.kill()
        asyncio.get_running_loop().call_later(
            ENTRY_SECONDS, site.store.remove, "servers", victim.instance
        )
    broken = 0
    for name, answer in zip(names, await asyncio.gather(*tasks), strict=True):
        kept, got = judge(name, *answer)
        broken += not kept
        note(f"consumer got {got} for {name}" + ("" if kept else ": MIXED"))
        if not TROUBLE and answer[0] != 200:
            raise RuntimeError("a request without trouble was not served")
    note(f"{broken} of {CONSUMERS} answers are successes with another body than the worker's")
    return 1 if broken else 0


async def main(folder):
    site = Site()
    await site.start()
    site.services = [make_model_service("model")]
    site.routes = [
        make_route("verdict", "safe", "model", timeoutMs=DEADLINE_MS, maxAttempts=2, sticky=True)
    ]
    workers = [Worker(number, phase, site.store) for number, phase in enumerate(PHASES)]
    for item in workers:
        await item.start()
        site.store.put("servers", item.instance, item.record())
    site.declare()
    ip = pick_ip(0)
    settings = site._make_settings("front-hall-a-1", ip, "hall-a")
    settings["seeds"] = [f"{ip}:1"]
    settings["bounds"] |= {"graceS": 8, "leaseMs": 3000}
    path = Path(folder) / "node.json"
    path.write_text(json.dumps(settings))
    environment = {**os.environ, "SWIFTTRESTLE_BOOT": str(path), "PYTHONPATH": "target/deps"}
    with (Path(folder) / "gateway.log").open("wb") as log:
        gateway = subprocess.Popen(
            [sys.executable, "deploy/gateway.py"], env=environment, stdout=log, stderr=log
        )
    try:
        await wait_ready(settings["listen"]["ready"])
        note("the gateway is ready")
        await asyncio.sleep(1.0)
        return await play(site, settings, workers)
    finally:
        gateway.kill()
        gateway.wait()
        for item in workers:
            if item.process.returncode is None:
                item.process.kill()
            await item.process.wait()
            await item.reader
        await site.stop()


async def wait_ready(address):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(20):
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)


if __name__ == "__main__":
    result = 2
    try:
        with tempfile.TemporaryDirectory() as place:
            result = asyncio.run(asyncio.wait_for(main(place), 90))
    except Exception as error:
        note(f"the case could not run: {error!r}")
    note({0: "MIXED held", 1: "MIXED is broken", 2: "not run"}[result])
    FOLDER.joinpath("record.txt").write_text("\n".join(LINES) + "\n")
    sys.exit(result)
