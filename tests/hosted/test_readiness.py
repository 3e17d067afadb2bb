"""When a host reports that it is ready."""

import asyncio

from swifttrestle.internal.listeners import Listeners
from tests.common.http import ask
from tests.hosted.sites import build_site, on_built


async def build_slow_site():
    """Start a site whose host is slow to listen at its operators' address."""
    open_others = Listeners.open

    async def open_late(listeners, address, handler):
        await asyncio.sleep(0.5)
        await open_others(listeners, address, handler)

    Listeners.open = open_late
    try:
        return await build_site()
    finally:
        Listeners.open = open_others


@on_built(build_slow_site)
async def test_a_host_is_ready_once_it_listens_at_all_of_its_addresses(site):
    """Guards against refused operators' connections shortly after a host reports ready."""
    answer = await ask(site.gateways["g0"].metrics_address, "/debug/state", "s", method="GET")
    assert answer.status == 200


@on_built(lambda: build_site(gateways=0))
async def test_a_host_listens_before_its_own_connections_could_take_its_ports(site, monkeypatch):
    """Guards against an address in use when a host starts."""
    open_others, calls = Listeners.open, []

    async def open_late(listeners, address, handler):
        await asyncio.sleep(0.2)
        await open_others(listeners, address, handler)
        calls.append(len(site.store.calls))

    monkeypatch.setattr(Listeners, "open", open_late)
    await site.add_gateway("g0", 0)
    await site.wait_ready()
    assert calls == [0, 0]
