"""Authentication of callers by workspace keys at a gateway.

Upstreams get the workspace's name and never the key, and removed keys are refused.
"""

import asyncio

import orjson

from swifttrestle.codes import Code
from swifttrestle.internal.event_log import WRITER
from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import make_route, wait_until
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import LONG, SHORT, address_of, build_site, count_runs, on_built

FIRST, SECOND, REMOVED = "key-of-club-1", "key-of-club-2", "key-that-goes"
KINDS = (
    ("/verdict/a", {"X_Token_Usage": LONG}),
    ("/chat/a", {"X_Token_Usage": SHORT}),
    ("/goal/a", {}),
    ("/card/a", {"method": "GET"}),
)


def on_keyed_site(gateways=1, revoke_ms=5000):
    """Decorate an async test to run on a site whose callers need keys."""

    async def build():
        site = await build_site(gateways=0)
        site.bounds = {"strictRevoke": True, "revokeMs": revoke_ms}
        site.routes.append(make_route("open", "safe", "alerts", public=True))
        declare_keys(site, FIRST, SECOND, REMOVED)
        for number in range(gateways):
            await site.add_gateway(f"g{number}", number)
        await site.wait_ready()
        return site

    return on_built(build)


def declare_keys(site, *keys):
    """Declare the workspace `club` with these keys, and another workspace."""
    site.workspaces = [
        {"name": "club", "apiKeys": list(keys), "priority": 1},
        {"name": "liaison", "apiKeys": ["key-of-liaison"], "priority": 0},
    ]
    return site.declare()


def list_arrivals(site):
    return [item for upstream in site.upstreams.values() for item in upstream.arrivals]


def read_code(answer):
    return orjson.loads(answer.body)["code"]


@on_keyed_site()
async def test_upstreams_get_the_workspace_and_never_the_key(site):
    for number, (path, headers) in enumerate(KINDS):
        answer = await ask(
            address_of(site), path, f"r{number}", X_Key=FIRST, X_Tenant="liaison", **headers
        )
        assert answer.status == 200, path
    arrivals = list_arrivals(site)
    # The long prompt arrives twice: at a prefill engine and at a decode engine.
    assert len(arrivals) == len(KINDS) + 1
    for _, headers in arrivals:
        assert headers["x-tenant"] == "club"
        assert "x-key" not in headers
        assert FIRST not in str(headers)


@on_keyed_site()
async def test_a_workspaces_priority_overrides_that_of_the_route(site):
    await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG, X_Key=FIRST)
    await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT, X_Key="key-of-liaison")
    priorities = {name: headers["x-request-priority"] for name, headers in list_arrivals(site)}
    assert priorities == {"v1": "1", "c1": "0"}


@on_keyed_site()
async def test_a_request_without_exactly_one_valid_key_is_not_run(site):
    for number, keys in enumerate(([], [""], ["no-such-key"], ["x" * 7000], [FIRST, SECOND])):
        caller = await RawCaller.connect(address_of(site))
        data = write_request("/goal/a", f"n{number}")
        lines = "".join(f"X-Key: {key}\r\n" for key in keys).encode()
        caller.send(data.replace(b"\r\n\r\n", b"\r\n" + lines + b"\r\n", 1))
        answer = await caller.read_answer()
        caller.close()
        assert (answer.status, read_code(answer)) == (401, Code.UNKNOWN_KEY), keys
        assert "retry-after" not in answer.headers
        assert count_runs(site, f"n{number}") == 0


@on_keyed_site()
async def test_a_public_route_needs_no_key_but_refuses_an_unknown_one(site):
    answer = await ask(address_of(site), "/open/a", "o1", method="GET", X_Tenant="club")
    assert answer.status == 200
    ((_, headers),) = list_arrivals(site)
    assert "x-tenant" not in headers
    assert (await ask(address_of(site), "/open/a", "o2", method="GET", X_Key=FIRST)).status == 200
    assert dict(list_arrivals(site))["o2"]["x-tenant"] == "club"
    wrong = await ask(address_of(site), "/open/a", "o3", method="GET", X_Key="no-such-key")
    assert wrong.status == 401


@on_keyed_site()
async def test_a_removed_key_is_refused_on_open_connections_too(site):
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/goal/a", "before", X_Key=REMOVED))
    assert (await caller.read_answer()).status == 200
    version = declare_keys(site, FIRST, SECOND)
    gateway = site.gateways["g0"].gateway
    await wait_until(lambda: gateway.config_version == version, "version in force")
    caller.send(write_request("/goal/a", "after", X_Key=REMOVED))
    assert (await caller.read_answer()).status == 401
    caller.send(write_request("/goal/a", "other", X_Key=FIRST))
    assert (await caller.read_answer()).status == 200
    caller.close()
    assert count_runs(site, "after") == 0


@on_keyed_site(revoke_ms=1500)
async def test_a_host_without_the_store_refuses_keys_in_time_with_retry_after(site):
    address = address_of(site)
    gateway = site.gateways["g0"].gateway
    site.store.faults.down = True
    site.store.notify_watches()
    await wait_until(lambda: not gateway.is_ready(), "not ready")
    answer = await ask(address, "/goal/a", "g1", X_Key=FIRST)
    assert (answer.status, read_code(answer)) == (503, Code.KEY_UNCONFIRMED)
    assert 0 < answer.retry_after <= 1.0
    # An unknown key may be newer than this host's configuration, so the status is not 401.
    assert (await ask(address, "/goal/a", "g2", X_Key="no-such-key")).status == 503
    # This route is public.
    assert (await ask(address, "/open/a", "o1", method="GET")).status == 200
    site.store.faults.down = False
    await wait_until(gateway.is_ready, "ready again")
    assert (await ask(address, "/goal/a", "g3", X_Key=FIRST)).status == 200
    assert count_runs(site, "g1") == 0


@on_keyed_site(gateways=4, revoke_ms=2500)
async def test_hosts_without_the_store_serve_keys_that_their_peers_confirm(site):
    """The confirmations of peers are fresh enough as long as one host reads the store."""
    gateways = [item.gateway for item in site.gateways.values()]
    for gateway in gateways:
        await wait_until(lambda g=gateway: len(g.live_hosts()) == len(gateways), "all hosts")
    for gateway in gateways[1:]:
        cut_from_store(gateway)
    for _ in range(20):
        await asyncio.sleep(0.2)
        assert all(gateway.is_ready() for gateway in gateways)
    answer = await ask(address_of(site, "g3"), "/goal/a", "g1", X_Key=FIRST)
    assert answer.status == 200
    # Removed keys reach these hosts too.
    declare_keys(site, FIRST, SECOND)
    await asyncio.sleep(2.5)
    for name in site.gateways:
        assert (
            await ask(address_of(site, name), "/goal/a", f"t-{name}", X_Key=REMOVED)
        ).status == 401


def cut_from_store(gateway):
    """Make a gateway's calls to the store fail."""
    gateway._store._address = ("127.0.0.1", 1)
    gateway._store._pool.close_idle_connections("store")


@on_keyed_site()
async def test_no_key_is_in_the_log_lines_metrics_or_state_dump(site, monkeypatch):
    """Collects all log lines, metrics and dumps of a scenario and searches for each key."""
    lines = []
    with monkeypatch.context() as patched:
        patched.setattr(WRITER, "put", lambda event, fields: lines.append(f"{event} {fields}"))
        for number, (path, headers) in enumerate(KINDS):
            for key in (FIRST, "no-such-key"):
                await ask(address_of(site), path, f"r{number}-{key}"[:4], X_Key=key, **headers)
        declare_keys(site, FIRST, SECOND)
        # Malformed entries are logged with their invalid field.
        bad = dict(site.store.objects["config", "main"]["spec"])
        for change in ({"tenants": [{"name": 7, "apiKeys": [FIRST]}]}, {"routes": [{}]}):
            site.store.put("config", "main", {**bad, "version": bad["version"] + 1, **change})
            await asyncio.sleep(0.3)
        running = site.gateways["g0"]
        caller = running.metrics_address
        for path in ("/metrics", "/debug/state"):
            lines.append((await ask(caller, path, "m1", method="GET")).body.decode())
    output = "\n".join(lines)
    assert "entry skipped" in output and "workspace" in output
    assert 'gateway_keys_refused_total{reason="unknown"}' in output
    for key in (FIRST, SECOND, REMOVED, "key-of-liaison", "no-such-key"):
        assert key not in output


@on_keyed_site(gateways=5)
async def test_hosts_of_a_large_fleet_get_versions_without_watching(site, monkeypatch):
    """Guards against a watch by every host, which costs one call per host and version."""
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    gateways = [item.gateway for item in site.gateways.values()]
    for gateway in gateways:
        await wait_until(lambda g=gateway: len(g.live_hosts()) == len(gateways), "all hosts")
    # Watches that began before the hosts knew each other end within two seconds.
    await asyncio.sleep(2.5)
    site.store.calls.clear()
    for number in range(4):
        version = declare_keys(site, FIRST, *[f"key-{number}"])
        for gateway in gateways:
            await wait_until(lambda g=gateway, v=version: g.config_version == v, "in force")
    watches = [call for call in site.store.calls if call.startswith("GET /v1/objects/config?watch")]
    # Two hosts of the zone watch, each once for each version; five would make 20 calls.
    assert len(watches) <= 4 * 2 + 4
