"""The gateway on stand-ins of its platform: each kind of request, a planned stop, and duties.

On a second site, a key of a workspace is revoked, and upstreams are ordered. The platform reclaims
those of one zone.

Exits with status 1 if an answer is incomplete or wrong.
"""

import asyncio
import sys

from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle_standins.hosted.duties import SCALING, count_engines_by_kind
from swifttrestle_standins.hosted.site import Site, make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import (
    StandInEngine,
    StandInUpstream,
    make_content,
    make_event,
)

MAX_ANSWER_BYTES = 1 << 20
ZONES = ("hall-a", "hall-b", "hall-c")
REQUESTS = (
    ("/verdict/match", "9000,50", "a long prompt, prefilled and decoded by different engines"),
    ("/chat/fan", "50,500", "a short prompt, sent directly to a decode engine"),
    ("/goal/alert", "", "a call that may not be repeated"),
)


def print_line(line: str) -> None:
    """Write one line to standard output and flush it."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


async def start_site() -> Site:
    """Start a store, six engines, two plain upstreams and two gateways."""
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
    """Send one request through a host's gateway and return the response body."""
    body = Body.from_bytes(b"")
    headers = [(b"Host", b"site.example"), (b"X-Request-Id", request_id.encode())]
    if tokens:
        headers.append((b"X-Token-Usage", tokens.encode()))
    if key:
        headers.append((b"X-Key", key.encode()))
    request = OutgoingRequest(b"POST", path.encode(), headers, Framing.LENGTH, 0, body)
    address = site.gateways[host].settings.callers
    _, content = await call_once(ConnectionPool(), host, address, request, MAX_ANSWER_BYTES)
    return content


async def start_duty_site() -> Site:
    """Start a site with workspaces, and with a service that scales by ordering upstreams."""
    site = Site()
    await site.start()
    await site.start_duties()
    site.bounds = {"strictRevoke": True, "revokeMs": 5000, "reportWindowS": 1}
    site.services = [{**make_model_service("model"), "scaling": SCALING}]
    site.services.append({"name": "alerts", "maxConns": 50})
    site.routes = [make_route("goal", "unsafe", "alerts", maxAttempts=1)]
    site.workspaces = [{"name": "club", "apiKeys": ["key-that-stays", "key-that-goes"]}]
    for number in range(6):
        zone = ZONES[number % len(ZONES)]
        role = ("prefill", "decode")[number % 2]
        await site.add_upstream(StandInEngine(f"engine-{number}", "model", zone, role))
    await site.add_upstream(StandInUpstream("alerts-0", "alerts", "hall-a"))
    site.declare()
    await site.add_gateway("host-c", 2)
    await site.wait_ready()
    return site


async def demonstrate_key_revocation(site: Site) -> int:
    """Revoke a key; return the number of wrong answers."""
    wrong_answers = 0
    for key in ("key-that-stays", "key-that-goes"):
        name = f"before-{key}"
        is_correct = await ask(site, "host-c", "/goal/a", "", name, key) == make_content(name)
        wrong_answers += not is_correct
        print_line(f"host-c with {key}: {'right' if is_correct else 'WRONG'}")
    site.workspaces = [{"name": "club", "apiKeys": ["key-that-stays"]}]
    version = site.declare()
    gateway = site.gateways["host-c"].gateway
    await wait_until(lambda: gateway.config_version == version, "the new configuration version")
    content = await ask(site, "host-c", "/goal/a", "", "after", "key-that-goes")
    refused = b"UNKNOWN_KEY" in content
    print_line(f"host-c with key-that-goes, revoked: {'right: refused' if refused else 'WRONG'}")
    return wrong_answers + (not refused)


async def demonstrate_capacity(site: Site) -> None:
    """Replace non-reclaimable upstreams by reclaimable ones, then reclaim those of a zone."""
    duties = site.duties
    assert duties is not None
    await wait_until(lambda: count_engines_by_kind(site) == (3, 6), "reclaimable upstreams")
    print_line("ordered: 3 non-reclaimable and 6 reclaimable engines replace 6 non-reclaimable")
    duties.reclaim("hall-b", 0.3)
    await wait_until(lambda: count_engines_by_kind(site) == (3, 4), "the zone's reclaim")
    duties.faults.dry_zones.clear()
    await wait_until(lambda: count_engines_by_kind(site) == (3, 6), "new engines in the zone")
    print_line("hall-b: reclaimed by the platform, and ordered again")
    await wait_until(lambda: any(duties.reports.values()), "a usage report")
    print_line(f"usage reported, {len(duties.violations)} rules violated by duty calls")


async def run_duties() -> int:
    """Demonstrate keys and duties; return the number of wrong answers and violated rules."""
    site = await start_duty_site()
    try:
        wrong_answers = await demonstrate_key_revocation(site)
        await demonstrate_capacity(site)
        assert site.duties is not None
        return wrong_answers + len(site.duties.violations)
    finally:
        await site.stop()


async def run() -> int:
    """Run both parts of the demo; return the number of errors."""
    return await run_requests() + await run_duties()


async def run_requests() -> int:
    """Demonstrate requests; return the number of wrong answers."""
    site = await start_site()
    wrong_answers = 0
    try:
        engines = [item for item in site.upstreams.values() if isinstance(item, StandInEngine)]
        await wait_until(lambda: sum(e.role == "prefill" for e in engines) == 4, "planned roles")
        print_line("roles: " + ", ".join(f"{engine.instance}={engine.role}" for engine in engines))
        for host in site.gateways:
            for number, (path, tokens, what) in enumerate(REQUESTS):
                name = f"{host}-{number}"
                expected = b"".join(make_event(name, event) for event in range(1, 5))
                if not tokens:
                    expected = make_content(name)
                is_correct = await ask(site, host, path, tokens, name) == expected
                wrong_answers += not is_correct
                print_line(f"{host} {path}: {'right' if is_correct else 'WRONG'}: {what}")
        site.gateways["host-a"].gateway.stop()
        await site.gateways["host-a"].task
        print_line("host-a stopped as planned")
    finally:
        await site.stop()
    return wrong_answers


def main() -> None:
    """Run the demo; exit with status 1 if it found errors."""
    sys.exit(1 if asyncio.run(run()) else 0)


if __name__ == "__main__":
    main()
