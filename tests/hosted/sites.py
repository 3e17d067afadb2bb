"""The small site that the tests of the gateway run on, and how a test runs in it."""

import asyncio
import functools

from swifttrestle_standins.hosted.site import Site, make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream

# Prompt tokens of a long prompt (another engine reads it) and of a short one.
LONG = "9000,50"
SHORT = "50,500"


def declare_routes(site):
    """Put routes of each kind, to a model service and to a plain one, into the next version."""
    site.services = [make_model_service("model"), {"name": "alerts", "maxConns": 200}]
    site.routes = [
        make_route("verdict", "streaming", "model", resumable=True, sticky=True),
        make_route("chat", "streaming", "model", resumable=False, priority=1, maxAttempts=1),
        make_route("goal", "unsafe", "alerts", maxAttempts=1),
        make_route("card", "safe", "alerts"),
    ]


async def build_site(gateways=1, engines=("prefill", "decode", "decode"), plain=2, **limits):
    """Start a site with routes to a model service and to a plain one."""
    site = Site()
    await site.start()
    declare_routes(site)
    for number, role in enumerate(engines):
        await site.add_upstream(StandInEngine(f"e{number}", "model", "hall-a", role))
    for number in range(plain):
        await site.add_upstream(StandInUpstream(f"s{number}", "alerts", "hall-a"))
    site.declare(**limits)
    for number in range(gateways):
        await site.add_gateway(f"g{number}", number)
    await site.wait_ready()
    return site


def on_site(**build):
    """Run an async test with a site of its own, and stop the site after it."""
    return on_built(lambda: build_site(**build))


def on_built(build, check=lambda _: None):
    """Run an async test with a site that `build` makes; `check` the site once it has passed."""

    def decorate(test):
        @functools.wraps(test)
        def run(*args, **kwargs):
            async def whole():
                site = await build()
                try:
                    await test(site, *args, **kwargs)
                    check(site)
                finally:
                    await site.stop()

            asyncio.run(whole())

        # pytest must not take the site for a fixture.
        del run.__wrapped__
        run.__signature__ = _drop_first(test)
        return run

    return decorate


def _drop_first(test):
    import inspect

    signature = inspect.signature(test)
    return signature.replace(parameters=list(signature.parameters.values())[1:])


def address_of(site, gateway="g0"):
    """Return where a gateway takes callers."""
    return site.gateways[gateway].settings.callers


def script(site, service_prefix, *steps):
    """Have the next requests fail at whichever upstream gets them, one step for each."""
    shared = None
    for name, upstream in site.upstreams.items():
        if name.startswith(service_prefix):
            shared = shared or upstream.script
            upstream.script = shared
    shared.steps.extend(steps)


def count_runs(site, request_id):
    """Return how often a request ran, at all upstreams together."""
    return sum(upstream.runs.get(request_id, 0) for upstream in site.upstreams.values())


async def bring_back(site, copy, away, cut=True):
    """Have the store go away for some seconds, and come back from a copy."""
    if away:
        site.store.faults.down = True
        site.store.wake()
        await asyncio.sleep(away)
        site.store.faults.down = False
    site.store.come_back(copy)
    if cut:
        site.cut_store_connections()


async def wait_in_force(site, version):
    """Wait until all gateways have a version in force."""
    for running in site.gateways.values():
        await wait_until(lambda g=running.gateway: g.config_version == version, "in force")
