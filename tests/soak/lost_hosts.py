"""Gateways in processes of their own, which are lost while streams wait to be taken up."""

import asyncio
import contextlib
import json

from swifttrestle_standins.hosted.site import make_route
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.lost_hosts import DECODERS, HOSTS, MODEL, SLOTS, Play
from tests.soak.processes import BUILDS, KEY, ProcessSite
from tests.soak.rounds import wait_for_hosts

LISTED_SECONDS, POLL_SECONDS = 20.0, 0.05


class ProcessPlay(Play):
    """Loses hosts by SIGKILL, all at the same moment."""

    def list_up(self):
        return [name for name in self.site.hosts if name not in self._down]

    async def lose(self, *names):
        await asyncio.gather(*(self.site.hosts[name].kill() for name in names))
        self._down.update(names)

    async def start(self, *names):
        await asyncio.gather(*(self.site.hosts[name].start() for name in names))
        self._down.difference_update(names)
        await self.wait_started()

    async def wait_started(self):
        """Wait until all hosts are ready and list the engines."""
        await wait_for_hosts(self.site)
        await self.wait_listed()

    async def stop_engine(self, engine):
        self.site.proxies[engine.instance].stop_accepting()

    async def wait_listed(self):
        expected = {item.instance for group in self._engines.values() for item in group}
        for name in self.list_up():
            async with asyncio.timeout(LISTED_SECONDS):
                while await read_engines(self.site.hosts[name]) != expected:
                    await asyncio.sleep(POLL_SECONDS)

    async def ask(self, host, path, name, **headers):
        return await ask(self.site.hosts[host].callers, path, name, X_Key=KEY, **headers)


async def read_engines(host):
    """Return the model engines that a host knows; None if it does not answer."""
    state = await read_state(host)
    if state is None:
        return None
    known = state["instances"].values()
    return {item["instance"] for item in known if item["service"] == MODEL}


async def read_state(host):
    """Return the state that a host shows to operators; None if it does not answer."""
    with contextlib.suppress(OSError, ValueError):
        caller = await RawCaller.connect(host.ops_address)
        caller.send(write_request("/debug/state", "state", method="GET"))
        try:
            answer = await caller.read_answer()
        finally:
            caller.close()
        return json.loads(answer.body)
    return None


async def build_process_play(folder):
    """Start hosts and engines of two versions, as many of each."""
    site = ProcessSite(folder)
    play = ProcessPlay(site)
    await site.build(len(HOSTS), add_upstreams=lambda: add_engines(play, BUILDS))
    await play.wait_started()
    return play


async def add_engines(play, builds):
    """Take over the site's engines, and add others and the routes of the streams.

    They have the versions `builds`, as many of each.
    """
    site = play.site
    engine_service = site.services[0]
    del engine_service["scaling"]
    engine_service["engine"]["slots"] = SLOTS
    for engine in [item for item in site.upstreams.values() if item.service == MODEL]:
        engine.shows_build, engine.slots = False, SLOTS
        engine.build = engine.build if engine.build in builds else builds[0]
        site.list_upstream(engine)
        play.list_group(MODEL, engine.build).append(engine)
    await play.arrive(*builds, prefills=0, decoders=DECODERS - 1)
    site.routes.append(
        make_route("once", "streaming", MODEL, resumable=True, timeoutMs=8000, maxAttempts=1)
    )
