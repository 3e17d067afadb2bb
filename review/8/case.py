"""Requests with bodies of the largest allowed size, one after the other."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "4"))

from smallsite import (  # noqa: E402
    Consumer,
    NotAnAnswer,
    Worker,
    cancel,
    make_route,
    run_case,
    trouble,
)

ZONES = ["hall-a", "hall-b", "hall-c"]
# The largest body of a request on the sheet of the site.
USUAL_BYTES = 110_000
# Seconds in which one consumer at each machine sends one request after the other.
SECONDS = 45
# `limits.memoryMb` of the settings, beyond which the platform kills a process.
MEMORY_KB = 300 * 1024
# `limits.linkMbps` of the settings, in bytes a second for each machine.
LINK_BYTES = 1000e6 / 8
PIECE = 64 * 1024


async def main(site):
    record = site.record
    site.services = [{"name": "alerts", "maxConns": 300}]
    site.routes = [make_route("alert", "unsafe", "alerts", timeoutMs=10000)]
    for number in range(3):
        await site.add_worker(
            Worker(f"a-{number}", "alerts", ZONES[number], record, slots=48, seconds=0.0225)
        )
    site.declare()
    await site.add_gateways(ZONES)
    ends = {gateway.name: 0 for gateway in site.gateways}
    watchers = [asyncio.create_task(act_as_platform(item, ends)) for item in site.gateways]
    size = site.limits["maxBodyBytes"] if trouble() else USUAL_BYTES
    await asyncio.gather(*(send_in_turn(site, item, bytes(size)) for item in site.gateways))
    await cancel(watchers)
    for name, count in ends.items():
        record(f"{name} was over its memory {count} times")
    often = [name for name, count in ends.items() if count >= 3]
    if len(often) >= max(2, len(ends) / 10):
        return [f"Fault: {len(often)} of {len(ends)} machines' processes were over their memory: {ends}"]
    return []


async def act_as_platform(gateway, ends):
    """Kill a process whose memory is over the limit, and start it again."""
    while True:
        await asyncio.sleep(0.02)
        try:
            status = pathlib.Path(f"/proc/{gateway.process.pid}/status").read_text()
        except OSError:
            continue
        resident = [line.split() for line in status.splitlines() if line.startswith("VmRSS")]
        if resident and int(resident[0][1]) > MEMORY_KB:
            ends[gateway.name] += 1
            gateway.site.record(f"{gateway.name} has {resident[0][1]} kB: over its memory, killed")
            gateway.process.kill()
            await gateway.process.wait()
            await asyncio.sleep(0.5)
            await gateway.start()


async def send_in_turn(site, gateway, body):
    """Send one request after the other on a kept connection, at the pace of a machine's link."""
    end = time.monotonic() + SECONDS
    number, consumer = 0, None
    while time.monotonic() < end:
        number += 1
        name = f"{gateway.name}-{number}"
        try:
            consumer = consumer or await Consumer(gateway.front, site.record).open()
            consumer.send("POST", "/alert/x", name, 10000, [("Content-Length", len(body))])
            for start in range(0, len(body), PIECE):
                await asyncio.sleep(PIECE / LINK_BYTES)
                await consumer.write(body[start : start + PIECE])
            site.record(f"{name} answered {await consumer.receive()}")
        except (OSError, NotAnAnswer, TimeoutError) as error:
            site.record(f"{name} got no answer: {error!r}")
            consumer = None
            await asyncio.sleep(0.2)


run_case(main, pathlib.Path(__file__).resolve().parent)
