"""Gateways as separate processes, and the stand-ins that they meet through proxies."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle_standins.hosted.site import Site
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port
from tests.hosted.sites import declare_routes
from tests.soak.proxy import Proxy

ZONES = ("hall-a", "hall-b", "hall-c")
PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "gateway.py"
GRACE_SECONDS = 4
METRICS_PORT = 9464
# How long an upstream is away after a crash, and by how much its next start is later.
AWAY_SECONDS = 0.5
LATER_START_MS = 60_000
# For how long a key may be served after it was taken away, and the keys that stay.
REVOKE_MS = 2000
KEY, OTHER_KEY = "key-of-club", "key-of-liaison"
SCALING = {"min": 1, "max": 4, "bootS": 0.2, "spotPrice": 0.15, "zonePrices": {}}


class GatewayProcess:
    """One host: its settings file, its address, and the process that runs there now."""

    def __init__(self, name, settings, folder):
        self.name = name
        self.settings = settings
        self.callers = split(settings["listen"]["front"])
        self.ready = split(settings["listen"]["ready"])
        self.pages = (settings["ip"], METRICS_PORT)
        self.process = None
        self.starts = 0
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._file.write_text(json.dumps(settings))

    async def start(self):
        self.starts += 1
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                env={**os.environ, "SWIFTTRESTLE_BOOT": str(self._file)},
                stdout=log,
                stderr=log,
            )

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.runs:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()


class ProcessSite(Site):
    """A site whose stand-ins are reached through proxies, and whose gateways are processes."""

    def __init__(self, folder):
        super().__init__()
        # When each key that was taken away was acknowledged as such, in the loop's time.
        # The loop's times at which keys were taken away, and brought after the beginning.
        self.removed_keys = {}
        self.brought_keys = {}
        # The upstreams that were there at the start; others come and go by orders.
        self.fixed = []
        self.folder = folder
        self.proxies = {}
        self.hosts = {}

    async def _serve(self, name, handler):
        address = await super()._serve(name, handler)
        proxy = Proxy(split(address))
        self.proxies[name] = proxy
        return await proxy.open()

    async def _stay_away(self, upstream, seconds, later_start, way):
        proxy = self.proxies[upstream.instance]
        proxy.shut()
        await asyncio.sleep(seconds)
        upstream.restart(upstream.born + later_start)
        await proxy.open(split(self.addresses[upstream.instance])[1])
        self.list_upstream(upstream)

    async def build(self, hosts):
        await self.start()
        await self.start_duties()
        self.bounds = {"strictRevoke": True, "revokeMs": REVOKE_MS, "reportWindowS": 1}
        declare_routes(self)
        self.services[0]["scaling"] = SCALING
        self.workspaces = [
            {"name": "club", "apiKeys": [KEY, "passing-0"], "priority": 1},
            {"name": "liaison", "apiKeys": [OTHER_KEY], "priority": 0},
        ]
        for number, role in enumerate(("prefill", "decode", "prefill", "decode")):
            zone = ZONES[number // 2]
            await self.add_upstream(StandInEngine(f"e{number}", "model", zone, role))
        for number in range(3):
            await self.add_upstream(StandInUpstream(f"s{number}", "alerts", "hall-a"))
        self.fixed = list(self.upstreams.values())
        self.allow_crashes(AWAY_SECONDS, LATER_START_MS)
        self.declare()
        for number in range(hosts):
            # A large fleet has schedulers and representatives in each zone.
            zone = ZONES[number % len(ZONES)] if is_large_fleet(hosts) else ZONES[0]
            settings = self._settings_of(f"g{number}", number, zone)
            self.hosts[f"g{number}"] = GatewayProcess(f"g{number}", settings, self.folder)
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    @property
    def passing_key(self):
        """The key that is to be taken away next."""
        return self.workspaces[0]["apiKeys"][1]

    def replace_key(self, key):
        """Take the passing key away, and give another one in its place."""
        former = self.passing_key
        self.workspaces[0] = {**self.workspaces[0], "apiKeys": [KEY, key]}
        self.declare()
        self.removed_keys[former] = asyncio.get_running_loop().time()
        self.brought_keys[key] = self.removed_keys[former]

    def _settings_of(self, name, number, zone):
        ip = pick_ip(number)
        settings = self._make_settings(name, ip, zone)
        settings["seeds"] = [f"{pick_ip(seed)}:1" for seed in range(3)]
        settings["bounds"]["graceS"] = GRACE_SECONDS
        ports = {"front": pick_port(ip), "ready": pick_port(ip)}
        settings["listen"] = {use: f"{ip}:{port}" for use, port in ports.items()}
        return settings

    async def close(self):
        for host in self.hosts.values():
            if host.runs:
                await host.kill()
        for proxy in self.proxies.values():
            proxy.close()
        await self.stop()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
