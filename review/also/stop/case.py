"""Two requests on one connection, the second one read whole before a planned stop."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "4"))

from smallsite import Consumer, NotAnAnswer, Worker, make_route, run_case, trouble  # noqa: E402

ZONES = ["hall-a", "hall-b", "hall-c"]
# Consumers with two requests each, and the seconds of a run at a worker.
CONSUMERS, RUN_SECONDS = 6, 1.0
# Seconds from the last byte of the requests to SIGTERM.
STOP_AFTER_SECONDS = 0.4


async def main(site):
    record = site.record
    site.services = [{"name": "status", "maxConns": 100}]
    site.routes = [make_route("status", "safe", "status", timeoutMs=4000)]
    for number in range(3):
        await site.add_worker(
            Worker(f"s-{number}", "status", ZONES[number], record, seconds=RUN_SECONDS)
        )
    site.declare()
    await site.add_gateways(ZONES)
    # Sound before the stop: the platform sends the consumers here.
    gateway = site.gateways[0]
    asks = [asyncio.create_task(ask_twice(site, gateway, number)) for number in range(CONSUMERS)]
    await asyncio.sleep(STOP_AFTER_SECONDS)
    if trouble():
        # roll_term, of one machine.
        gateway.signal(signal.SIGTERM)
    lost = [fault for faults in await asyncio.gather(*asks) for fault in faults]
    if trouble():
        await asyncio.wait_for(gateway.process.wait(), site.bounds["graceS"] + 1)
        record(f"{gateway.name} has ended")
    return lost


async def ask_twice(site, gateway, number):
    """Send two requests at once; return those whose connection ended without an answer."""
    consumer = await Consumer(gateway.front, site.record).open()
    names = [f"first-{number}", f"second-{number}"]
    for name in names:
        consumer.send("GET", "/status/x", name, 4000)
    sent_at = time.monotonic()
    faults = []
    for name in names:
        try:
            answer = await consumer.receive()
            site.record(f"{name} answered {answer} {answer.headers.get('connection', '')}")
            if not answer.whole or answer.headers.get("x-request-id") != name:
                faults.append(f"LOST: {name} got {answer}")
        except (OSError, NotAnAnswer, TimeoutError) as error:
            late = time.monotonic() - sent_at
            site.record(f"{name} got no answer: {error!r}, {late:.3f} s after its last byte")
            if late > site.bounds["lossSlackMs"] / 1000:
                faults.append(f"LOST: {name}: connection closed {late:.3f} s after its last byte")
    consumer.close()
    return faults


run_case(main, pathlib.Path(__file__).resolve().parent)
