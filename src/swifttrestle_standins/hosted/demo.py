"""The gateway on stand-ins of its platform: each kind of request, a planned stop, and duties.

A second site has workspaces with keys, of which one is taken away, and upstreams that are ordered,
of which the platform takes a zone's away.

Exits with 1 when an answer is not the upstream's whole one.
"""

import asyncio
import sys

from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle_standins.hosted.duties import SCALING, count_kinds
from swifttrestle_standins.hosted.site import Site, make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import (
    StandInEngine,
    StandInUpstream,
    make_content,
    make_event,
)

ANSWER_LIMIT = 1 << 20
HALLS = ("hall-a", "hall-b", "hall-c")
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


async def ask(
    site: Site, host: str, path: str, tokens: str, request_id: str, key: str = ""
) -> bytes:
    """Send one request through a host's gateway and return the whole body."""
    body = Body.from_bytes(b"")
    headers = [(b"Host", b"site.example"), (b"X-Request-Id", request_id.encode())]
    if tokens:
        headers.append((b"X-Token-Usage", tokens.encode()))
    if key:
        headers.append((b"X-Key", key.encode()))
    request = OutgoingRequest(b"POST", path.encode(), headers, Framing.LENGTH, 0, body)
    address = site.gateways[host].settings.callers
    _, content = await call_once(ConnectionPool(), host, address, request, ANSWER_LIMIT)
    return content


async def start_duty_site() -> Site:
    """Start a site with workspaces, and with a service whose upstreams are ordered."""
    site = Site()
    await site.start()
    await site.start_duties()
    site.bounds = {"strictRevoke": True, "revokeMs": 5000, "reportWindowS": 1}
    site.services = [{**make_model_service("model"), "scaling": SCALING}]
    site.services.append({"name": "alerts", "maxConns": 50})
    site.routes = [make_route("goal", "unsafe", "alerts", maxAttempts=1)]
    site.workspaces = [{"name": "club", "apiKeys": ["key-that-stays", "key-that-goes"]}]
    for number in range(6):
        zone = HALLS[number % len(HALLS)]
        role = ("prefill", "decode")[number % 2]
        await site.add_upstream(StandInEngine(f"engine-{number}", "model", zone, role))
    await site.add_upstream(StandInUpstream("alerts-0", "alerts", "hall-a"))
    site.declare()
    await site.add_gateway("host-c", 2)
    await site.wait_ready()
    return site


async def show_keys(site: Site) -> int:
    """Take a key away; return the number of wrong answers."""
    wrong = 0
    for key in ("key-that-stays", "key-that-goes"):
        name = f"before-{key}"
        right = await ask(site, "host-c", "/goal/a", "", name, key) == make_content(name)
        wrong += not right
        say(f"host-c with {key}: {'right' if right else 'WRONG'}")
    site.workspaces = [{"name": "club", "apiKeys": ["key-that-stays"]}]
    version = site.declare()
    gateway = site.gateways["host-c"].gateway
    await wait_until(lambda: gateway.config_version == version, "the version in force")
    content = await ask(site, "host-c", "/goal/a", "", "after", "key-that-goes")
    refused = b"UNKNOWN_KEY" in content
    say(f"host-c with key-that-goes, taken away: {'right: refused' if refused else 'WRONG'}")
    return wrong + (not refused)


async def show_capacity(site: Site) -> None:
    """Have reclaimable upstreams take the place of lasting ones, and a zone be reclaimed."""
    duties = site.duties
    assert duties is not None
    await wait_until(lambda: count_kinds(site) == (3, 6), "reclaimable upstreams")
    say("ordered: 3 lasting and 6 reclaimable engines in the place of 6 lasting ones")
    duties.reclaim("hall-b", 0.3)
    await wait_until(lambda: count_kinds(site) == (3, 4), "the zone reclaimed")
    duties.faults.dry_zones.clear()
    await wait_until(lambda: count_kinds(site) == (3, 6), "the zone back")
    say("hall-b: reclaimed by the platform, and ordered again")
    await wait_until(lambda: any(duties.reports.values()), "a report of usage")
    say(f"usage reported, {len(duties.broken)} rules broken by duty calls")


async def run_duties() -> int:
    """Run the part on keys and duties; return the number of wrong answers."""
    site = await start_duty_site()
    try:
        wrong = await show_keys(site)
        await show_capacity(site)
        assert site.duties is not None
        return wrong + len(site.duties.broken)
    finally:
        await site.stop()


async def run() -> int:
    """Run the demo; return the number of wrong answers."""
    return await run_requests() + await run_duties()


async def run_requests() -> int:
    """Run the part on requests; return the number of wrong answers."""
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
