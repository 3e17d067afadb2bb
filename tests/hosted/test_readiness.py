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
