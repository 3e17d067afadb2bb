"""A planned stop (SIGTERM) while requests wait in the gateway's own queue for a free model worker.

Starts one gateway by the deploy file's command, on loopback, with the project's stand-ins of the platform's store
and of model workers: one in the phase prefill, one in the phase decode with four slots. Four consumers run long
streams, which take all slots. Six more consumers ask on the same route, whose objective is 10 s, and wait. Then the
gateway gets SIGTERM; SIGKILL would follow after graceS. Rule LOST: the connection of a request that was read must
not end without a complete answer (a refusal is one), unless a worker was still working on it.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from swifttrestle_standins.hosted.site import Site, make_model_service, make_route
from swifttrestle_standins.hosted.upstreams import StandInEngine
from swifttrestle_standins.loopback import pick_ip, pick_port

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_SECONDS = 8
SLOTS = 4
WAITING = 6
# A stream has 70 events in 14 s; pauses of up to a second are in time.
EVENTS, EVENT_SECONDS = 70, 0.2
DEADLINE_MS = 30_000
OBJECTIVE_MS = 10_000
SIGTERM_AFTER_SECONDS = 1.0
START = time.monotonic()
LINES = []


def note(text):
    LINES.append(f"{time.monotonic() - START:8.3f} s  {text}")


class Answer:
    """What a consumer has got for one request."""

    def __init__(self, name):
        self.name = name
        self.status = 0
        self.bytes = 0
        self.whole = False

    def __str__(self):
        if not self.status:
            return "no answer: the connection ends"
        return f"{self.status}, {self.bytes} bytes, {'whole' if self.whole else 'cut'}"


async def ask(address, name):
    answer = Answer(name)
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        f"POST /batch/a HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\nX-Model: m\r\n"
        f"X-Token-Usage: 50,70\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\n{{}}".encode()
    )
    note(f"consumer sends {name}")
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        answer.status = int(lines[0].split()[1])
        if "content-length" in fields:
            answer.bytes = len(await reader.readexactly(int(fields["content-length"])))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.bytes += len(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        answer.whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    note(f"consumer of {name} got {answer}")
    writer.close()
    return answer


async def play(site, settings, gateway):
    address = split(settings["listen"]["front"])
    tasks = []
    for number in range(SLOTS + WAITING):
        name = f"long-{number}" if number < SLOTS else f"waiting-{number - SLOTS}"
        tasks.append(asyncio.ensure_future(ask(address, name)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(SIGTERM_AFTER_SECONDS)
    stopped = None
    if TROUBLE:
        note("SIGTERM to the gateway")
        gateway.send_signal(signal.SIGTERM)
        stopped = asyncio.ensure_future(wait_for_end(gateway))
    answers = await asyncio.gather(*tasks)
    if stopped is not None:
        await stopped
    runs = {name for item in site.upstreams.values() for name, count in item.runs.items() if count}
    note(f"workers ran {sorted(runs)}")
    # A cut stream on which a worker was at work until the end of graceS is not counted.
    lost = [item.name for item in answers if not item.whole and item.name not in runs]
    note(f"{len(lost)} requests were read, offered to no worker and ended without an answer: {lost}")
    if not TROUBLE and not all(item.whole for item in answers):
        raise RuntimeError("a request without trouble got no whole answer")
    return 1 if lost else 0


async def wait_for_end(gateway):
    """Wait until the gateway has ended by itself; kill it after graceS, as the platform does."""
    began = time.monotonic()
    while gateway.poll() is None:
        if time.monotonic() - began > GRACE_SECONDS:
            note("SIGKILL after graceS")
            gateway.kill()
        await asyncio.sleep(0.01)
    note(f"the gateway has ended {time.monotonic() - began:.2f} s after SIGTERM")


async def main(folder):
    site = Site()
    await site.start()
    site.services = [make_model_service("model", slots=SLOTS)]
    site.routes = [
        make_route(
            "batch", "streaming", "model", timeoutMs=DEADLINE_MS, targetLatencyMs=OBJECTIVE_MS,
            targetGapMs=1000, maxAttempts=1, sticky=True, resumable=False,
        )
    ]  # fmt: skip
    for number, role in enumerate(("decode", "prefill")):
        engine = StandInEngine(f"i-{number}", "model", "hall-a", role, slots=SLOTS)
        engine.events, engine.seconds = EVENTS, EVENT_SECONDS
        await site.add_upstream(engine)
    site.declare()
    ip = pick_ip(0)
    settings = site._make_settings("front-hall-a-1", ip, "hall-a")
    settings["seeds"] = [f"{ip}:1"]
    settings["bounds"] |= {"graceS": GRACE_SECONDS, "leaseMs": 3000}
    path = Path(folder) / "node.json"
    path.write_text(json.dumps(settings))
    environment = {**os.environ, "SWIFTTRESTLE_BOOT": str(path), "PYTHONPATH": "target/deps"}
    with (Path(folder) / "gateway.log").open("wb") as log:
        gateway = subprocess.Popen(
            [sys.executable, "deploy/gateway.py"], env=environment, stdout=log, stderr=log
        )
    try:
        await wait_ready(split(settings["listen"]["ready"]))
        note("the gateway is ready")
        return await play(site, settings, gateway)
    finally:
        gateway.kill()
        gateway.wait()
        await site.stop()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


async def wait_ready(address):
    async with asyncio.timeout(20):
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
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
    note({0: "LOST held", 1: "LOST is broken", 2: "not run"}[result])
    FOLDER.joinpath("record.txt").write_text("\n".join(LINES) + "\n")
    sys.exit(result)
