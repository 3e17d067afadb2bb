"""Gateways as separate processes, which reach the stand-ins through proxies."""

import asyncio
import json
import os
import shlex
import signal
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path

from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle_standins.hosted.site import Site
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port
from tests.hosted.sites import declare_routes
from tests.soak.cuts import HostCuts
from tests.soak.gateway import CUT_FILE, DIALED_FILE, UNREACHABLE_FILE
from tests.soak.proxy import Proxy
from tests.soak.regions import REGIONS

ZONES = ("hall-a", "hall-b", "hall-c")
# Software versions of the engines in these zones.
BUILDS = ("v1", "v2")
PROGRAM = Path(__file__).resolve().parent / "gateway.py"
CHECKOUT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 4
METRICS_PORT = 9464
# Downtime of an upstream after a crash, and the increment of its reported start time.
DOWN_SECONDS = 0.5
BORN_INCREMENT_MS = 60_000
# Time for which a revoked key may still be served.
REVOKE_MS = 2000
# Keys that are never revoked.
KEY, OTHER_KEY = "key-of-club", "key-of-liaison"
# Keys of workspaces with a quota: one that keeps to it, one that asks for several times of it.
THRIFTY_KEY, GREEDY_KEY = "key-of-thrifty", "key-of-greedy"
# Their quotas in tokens a second, also their bursts, and the tokens of a request that states none.
# The first one asks for some 1,800 tokens a second.
QUOTA_RATES = {"thrifty": 5000, "greedy": 1500}
DEFAULT_TOKENS = 100
# How far hosts may exceed quotas. The slack is some two requests, as in the users' deployment.
QUOTA_WINDOW_SECONDS, QUOTA_OVERAGE, QUOTA_SLACK = 2.0, 0.1, 1200
SCALING = {"min": 1, "max": 4, "bootS": 0.2, "spotPrice": 0.15, "zonePrices": {}}


@dataclass(frozen=True)
class Command:
    """How a gateway is started: its arguments, and the folder that they are relative to."""

    arguments: tuple[str, ...]
    folder: Path

    @classmethod
    def read_deploy_file(cls, checkout=CHECKOUT):
        """Return the command that a checkout's deploy file states."""
        deploy = tomllib.loads((checkout / "deploy" / "system.toml").read_text())
        program, *arguments = shlex.split(deploy["roles"]["gateway"]["run"])
        assert program == "python3", program
        return cls((sys.executable, *arguments), checkout)


# Starts gateways whose connections can be cut.
CUTTABLE = Command((sys.executable, str(PROGRAM)), CHECKOUT)


class GatewayProcess:
    """One host: its settings file, its addresses and its current process."""

    def __init__(self, name, settings, folder, command):
        self.name = name
        self.settings = settings
        self._command = command
        self.callers = split_address(settings["listen"]["front"])
        self.ready = split_address(settings["listen"]["ready"])
        self.ops_address = (settings["ip"], METRICS_PORT)
        self.process = None
        self.starts = 0
        self._file = folder / f"{name}.json"
        self.cut_file = folder / f"{name}.cut"
        self.dialed_file = folder / f"{name}.dialed"
        self.unreachable_file = folder / f"{name}.unreachable"
        self._log = folder / f"{name}.log"

    async def start(self):
        self.starts += 1
        # Only its first start is one of the whole system, as faults begin once all hosts serve.
        settings = {**self.settings, "bootstrap": self.starts == 1}
        self._file.write_text(json.dumps(settings))
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command.arguments,
                cwd=self._command.folder,
                env={
                    **os.environ,
                    "SWIFTTRESTLE_BOOT": str(self._file),
                    CUT_FILE: str(self.cut_file),
                    DIALED_FILE: str(self.dialed_file),
                    UNREACHABLE_FILE: str(self.unreachable_file),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()


class ProcessSite(Site):
    """A site with proxies before the stand-ins and with gateways in separate processes."""

    def __init__(self, folder, command=CUTTABLE):
        """Keep files in `folder`, and start gateways by `command`."""
        super().__init__()
        self._command = command
        # Times of the revocation of keys, and of their addition after the start of the round, in
        # seconds of the event loop's clock.
        self.removed_keys = {}
        self.added_keys = {}
        # The upstreams that exist from the start; others are started and stopped by orders.
        self.initial_upstreams = []
        self.folder = folder
        self.proxies = {}
        self.hosts = {}
        # The address of the store in the settings of some hosts, by name.
        self.store_addresses = {}
        self.cuts = HostCuts(self.hosts)

    async def _serve(self, name, handler):
        address = await super()._serve(name, handler)
        is_upstream = isinstance(handler, StandInUpstream)
        proxy = Proxy(split_address(address), self.cuts if is_upstream else None)
        self.proxies[name] = proxy
        return await proxy.open()

    async def _crash_and_restart(self, upstream, seconds, born_increment_ms, mode):
        proxy = self.proxies[upstream.instance]
        proxy.stop_accepting()
        await asyncio.sleep(seconds)
        upstream.restart(upstream.born + born_increment_ms)
        await proxy.open(split_address(self.addresses[upstream.instance])[1])
        self.list_upstream(upstream)

    async def build(self, hosts, has_regions=False, add_upstreams=None):
        """Start the stand-ins and the hosts, which are in two regions or in one.

        `add_upstreams` adds further services before the configuration is written.
        """
        await self.start()
        await self.start_duties()
        self.bounds = {"strictRevoke": True, "revokeMs": REVOKE_MS, "reportWindowS": 1}
        self.bounds |= {"quotaWindowS": QUOTA_WINDOW_SECONDS, "quotaOverage": QUOTA_OVERAGE}
        self.bounds["quotaSlack"] = QUOTA_SLACK
        declare_routes(self)
        self.services[0]["scaling"] = SCALING
        self.workspaces = [
            {"name": "club", "apiKeys": [KEY, "passing-0"], "priority": 1},
            {"name": "liaison", "apiKeys": [OTHER_KEY], "priority": 0},
            make_limited("thrifty", THRIFTY_KEY),
            make_limited("greedy", GREEDY_KEY),
        ]
        for number, role in enumerate(("prefill", "decode", "prefill", "decode")):
            zone = ZONES[number // 2]
            engine = StandInEngine(f"e{number}", "model", zone, role)
            engine.build = BUILDS[number // 2]
            engine.shows_build = True
            await self.add_upstream(engine)
        for number in range(3):
            zone = ZONES[number % 2] if has_regions else ZONES[0]
            await self.add_upstream(StandInUpstream(f"s{number}", "alerts", zone))
        self.initial_upstreams = list(self.upstreams.values())
        self.allow_crashes(DOWN_SECONDS, BORN_INCREMENT_MS)
        if add_upstreams is not None:
            await add_upstreams()
        self.declare()
        for number in range(hosts):
            # A large fleet has schedulers and zone aggregators in each zone.
            zones = ZONES if is_large_fleet(hosts) else ZONES[: 1 + has_regions]
            settings = self._build_settings(f"g{number}", number, zones[number % len(zones)])
            if has_regions:
                settings["zones"] = REGIONS
            self.hosts[f"g{number}"] = GatewayProcess(
                f"g{number}", settings, self.folder, self._command
            )
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def add_store_proxies(self, names):
        """Put a proxy between the store and each named host; return the proxies by name."""
        proxies = {}
        for name in names:
            proxy = proxies[name] = Proxy(split_address(self.store_address))
            self.proxies[f"store of {name}"] = proxy
            self.store_addresses[name] = await proxy.open()
        return proxies

    @property
    def revocable_key(self):
        """The key that is revoked next."""
        return self.workspaces[0]["apiKeys"][1]

    def replace_key(self, key):
        """Revoke the revocable key and add `key` instead."""
        former = self.revocable_key
        self.workspaces[0] = {**self.workspaces[0], "apiKeys": [KEY, key]}
        self.declare()
        self.removed_keys[former] = asyncio.get_running_loop().time()
        self.added_keys[key] = self.removed_keys[former]

    def _build_settings(self, name, number, zone):
        ip = pick_ip(number)
        settings = self._make_settings(name, ip, zone)
        settings["seeds"] = [f"{pick_ip(seed)}:1" for seed in range(3)]
        settings["bounds"]["graceS"] = GRACE_SECONDS
        settings["platform"]["address"] = self.store_addresses.get(name, self.store_address)
        ports = {"front": pick_port(ip), "ready": pick_port(ip)}
        settings["listen"] = {use: f"{ip}:{port}" for use, port in ports.items()}
        return settings

    async def close(self):
        for host in self.hosts.values():
            if host.is_running:
                await host.kill()
        for proxy in self.proxies.values():
            proxy.close()
        await self.stop()


def make_limited(name, key):
    """Return the configuration of a workspace with a quota."""
    rate = QUOTA_RATES[name]
    quota = {"unit": "tokens", "ratePerS": rate, "burst": rate, "uncachedTokens": DEFAULT_TOKENS}
    return {"name": name, "apiKeys": [key], "priority": 1, **quota}


def split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
