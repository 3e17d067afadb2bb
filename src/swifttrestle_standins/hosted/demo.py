"""The gateway on stand-ins of its platform: each kind of request, and a planned stop.

Exits with 1 when an answer is not the upstream's whole one.
"""

import asyncio
import sys

from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle_standins.hosted.site import Site, make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import (
    StandInEngine,
    StandInUpstream,
    make_content,
    make_event,
)

ANSWER_LIMIT = 1 << 20
REQUESTS = (
    ("/verdict/match", "9000,50", "a long prompt, read by one engine and answered by another"),
    ("/chat/fan", "50,500", "a short prompt, straight to a decoding engine"),
    ("/goal/alert", "", "a call that may not be repeated"),
)


def say(line: str) -> None:
    """Print one line of the demo."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def start_site() -> Site:
    """Start the store, six engines, two plain instances and two gateways."""
    site = Site()
    await site.start()
    site.services = [make_model_service("model"), {"name": "alerts", "maxConns": 50}]
    site.routes = [
        make_route("verdict", "streaming", "model", resumable=True),
        make_route("chat", "streaming", "model", resumable=False, priority=1, maxAttempts=1),
        make_route("goal", "unsafe", "alerts", maxAttempts=1),
    ]
    for number in range(6):
        zone = ("hall-a", "hall-b")[number % 2]
        await site.add_upstream(StandInEngine(f"engine-{number}", "model", zone, "decode"))
    for number in range(2):
        await site.add_upstream(StandInUpstream(f"alerts-{number}", "alerts", "hall-a"))
    site.declare()
    for number, name in enumerate(("host-a", "host-b")):
        await site.add_gateway(name, number)
    await site.wait_ready()
    return site


async def ask(site: Site, host: str, path: str, tokens: str, request_id: str) -> bytes:
    """Send one request through a host's gateway and return the whole body."""
    body = Body.from_bytes(b"")
    headers = [(b"Host", b"site.example"), (b"X-Request-Id", request_id.encode())]
    if tokens:
        headers.append((b"X-Token-Usage", tokens.encode()))
    request = OutgoingRequest(b"POST", path.encode(), headers, Framing.LENGTH, 0, body)
    address = site.gateways[host].settings.callers
    _, content = await call_once(ConnectionPool(), host, address, request, ANSWER_LIMIT)
    return content


async def run() -> int:
    """Run the demo; return the number of wrong answers."""
    site = await start_site()
    wrong = 0
    try:
        engines = [item for item in site.upstreams.values() if isinstance(item, StandInEngine)]
        await wait_until(lambda: sum(e.role == "prefill" for e in engines) == 4, "planned roles")
        say("roles: " + ", ".join(f"{engine.instance}={engine.role}" for engine in engines))
        for host in site.gateways:
            for number, (path, tokens, what) in enumerate(REQUESTS):
                name = f"{host}-{number}"
                wanted = b"".join(make_event(name, event) for event in range(1, 5))
                if not tokens:
                    wanted = make_content(name)
                right = await ask(site, host, path, tokens, name) == wanted
                wrong += not right
                say(f"{host} {path}: {'right' if right else 'WRONG'}: {what}")
        site.gateways["host-a"].gateway.stop()
        await site.gateways["host-a"].task
        say("host-a stopped as planned")
    finally:
        await site.stop()
    return wrong


def main() -> None:
    """Run the demo and end with its verdict."""
    sys.exit(1 if asyncio.run(run()) else 0)


if __name__ == "__main__":
    main()
