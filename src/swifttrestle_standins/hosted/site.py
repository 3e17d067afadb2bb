"""A whole small site in one event loop: the store, upstreams, and gateways on loopback."""

import asyncio
import functools
import socket
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from swifttrestle.gateway import Gateway
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.transport.caller import (
    CallerConnection,
    ConnectionSet,
    RequestHandler,
)
from swifttrestle.platform.settings import HostSettings, read_host_settings
from swifttrestle_standins.hosted.duties import StandInDuties
from swifttrestle_standins.hosted.store import StandInStore
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port

STEP_SECONDS = 0.01
WAIT_SECONDS = 20.0
# Connections that fill the shortest queue of a listener: it takes one more than it names.
QUEUE_FILLERS = 2


async def wait_until(check: Callable[[], Any], what: str = "condition") -> Any:
    """Return the first true value of a check; raise TimeoutError."""
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            while not (value := check()):
                await asyncio.sleep(STEP_SECONDS)
            return value
    except TimeoutError:
        raise TimeoutError(f"{what} did not come within {WAIT_SECONDS:g} s") from None


class Crashing(Enum):
    """How upstreams crash: what their callers and the list see of it."""

    RESET = "connections are reset; it comes back under its id"
    OTHER_ID = "connections are reset; it comes back under another id at its address"
    SILENT = "connections fall silent; its record lapses; it comes back under its id"
    SUPERVISED = "connections are reset behind a port that stays open; it comes back under its id"


class _ServerConnection(CallerConnection):
    """A stand-in's end of a connection."""

    _silent = False

    def fall_silent(self) -> None:
        """Say nothing any more, without closing."""
        self._silent = True

    def _write(self, data: bytes) -> None:
        if not self._silent:
            super()._write(data)


class _ResettingConnection(asyncio.Protocol):
    """Takes a connection and resets it, as a supervisor that holds a dead process's socket."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


@dataclass
class RunningGateway:
    """One started gateway and where it listens."""

    gateway: Gateway
    settings: HostSettings
    task: asyncio.Task[None]
    metrics_address: tuple[str, int]


@dataclass
class Site:
    """The parts of a site; `start` brings the store up, then add upstreams and gateways."""

    store: StandInStore = field(default_factory=StandInStore)
    store_address: str = ""
    # The platform's duty calls, where the site has them.
    duties: StandInDuties | None = None
    duties_address: str = ""
    upstreams: dict[str, StandInUpstream] = field(default_factory=dict)
    gateways: dict[str, RunningGateway] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    services: list[dict[str, Any]] = field(default_factory=list)
    routes: list[dict[str, Any]] = field(default_factory=list)
    # Who may call, with which keys; None where nobody needs one.
    workspaces: list[dict[str, Any]] | None = None
    # Bounds that the settings of the next gateways name besides the usual ones.
    bounds: dict[str, Any] = field(default_factory=dict)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _sets: dict[str, ConnectionSet] = field(default_factory=dict)
    # The instances that crashed, in order, and those that are away after it.
    crashes: list[str] = field(default_factory=list)
    # The loop's times of the crashes by the body of the request that brought them about.
    crash_times: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    _away: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # The instances whose port is open while nobody serves behind it.
    _resetting: set[str] = field(default_factory=set)
    _peer_port: int = 0
    _version: int = 0

    async def start(self) -> None:
        """Start the store."""
        self._peer_port = pick_port(pick_ip(0))
        self.store_address = await self._serve("store", self.store)

    async def start_duties(self) -> StandInDuties:
        """Have the next gateways report usage and order upstreams."""
        self.duties = StandInDuties(self)
        self.duties_address = await self._serve("duties", self.duties)
        return self.duties

    async def add_upstream(self, upstream: StandInUpstream) -> StandInUpstream:
        """Start an upstream and list it."""
        self.addresses[upstream.instance] = await self._serve(upstream.instance, upstream)
        self.upstreams[upstream.instance] = upstream
        if isinstance(upstream, StandInEngine):
            upstream.on_role_change = self.list_upstream
        self.list_upstream(upstream)
        return upstream

    def list_upstream(self, upstream: StandInUpstream, state: str = "ready") -> None:
        """Write an upstream's discovery record."""
        record = upstream.record(self.addresses[upstream.instance], state)
        self.store.put("servers", upstream.instance, record)

    def leaves(self, upstream: StandInUpstream) -> bool:
        """Return whether an upstream's record says that it leaves."""
        known = self.store.objects.get(("servers", upstream.instance))
        return known is not None and known["spec"]["state"] == "draining"

    def unlist_upstream(self, upstream: StandInUpstream) -> None:
        """Remove an upstream's discovery record."""
        self.store.remove("servers", upstream.instance)

    def declare(self, **limits: int) -> int:
        """Write the next version of the configuration; return its number."""
        self._version += 3
        spec = {
            "version": self._version,
            "routes": list(self.routes),
            "services": list(self.services),
            "limits": {
                "maxHeaderBytes": 8192,
                "maxBodyBytes": 100_000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **limits,
            },
        }
        if self.workspaces is not None:
            spec["tenants"] = list(self.workspaces)
        self.store.put("config", "main", spec)
        return self._version

    async def add_gateway(
        self, name: str, number: int, zone: str = "hall-a", incarnation: int | None = None
    ) -> RunningGateway:
        """Start a gateway on a loopback address of its own."""
        ip = pick_ip(number)
        settings = read_host_settings(self._make_settings(name, ip, zone))
        port = pick_port(ip)
        gateway = Gateway(settings, metrics_port=port, incarnation=incarnation)
        task = asyncio.ensure_future(gateway.run())
        running = RunningGateway(gateway, settings, task, (ip, port))
        self.gateways[name] = running
        return running

    async def wait_ready(self, *names: str) -> None:
        """Wait until gateways say that they are ready."""
        for name in names or self.gateways:
            await wait_until(self.gateways[name].gateway.is_ready, f"{name} ready")

    async def stop_upstream(self, upstream: StandInUpstream) -> None:
        """Stop an upstream as a crash does: its connections are reset, its port is closed."""
        self._servers = [item for item in self._servers if not self._is_of(item, upstream)]
        for connection in list(self._sets[upstream.instance].open):
            connection.abort()

    def restart_upstream(self, upstream: StandInUpstream, born: int, cut: bool = True) -> None:
        """Start an upstream again under its instance; with `cut` its connections are reset.

        Without, they stay silent, as those to a host that lost power do.
        """
        for connection in list(self._sets[upstream.instance].open):
            assert isinstance(connection, _ServerConnection)
            if cut:
                connection.abort()
            else:
                connection.fall_silent()
        upstream.restart(born)
        self.list_upstream(upstream)

    def allow_crashes(
        self, away_seconds: float, later_start: int, way: Crashing = Crashing.RESET
    ) -> None:
        """Have deadly requests crash upstreams; each starts again `later_start` ms later."""
        for upstream in self.upstreams.values():
            stay_away = functools.partial(self._stay_away, upstream, away_seconds, later_start, way)
            upstream.crash = functools.partial(self._crash, upstream, stay_away)

    def count_away(self) -> int:
        """Return how many upstreams are away after a crash."""
        return len(self._away)

    def _crash(
        self,
        upstream: StandInUpstream,
        stay_away: Callable[[], Coroutine[Any, Any, None]],
        content: bytes,
    ) -> None:
        if upstream.instance in self._away:
            return
        name = upstream.instance
        self.crashes.append(name)
        self.crash_times[content].append(asyncio.get_running_loop().time())
        task = asyncio.ensure_future(stay_away())
        self._away[name] = task
        task.add_done_callback(lambda _: self._away.pop(name, None))

    async def _stay_away(
        self, upstream: StandInUpstream, seconds: float, later_start: int, way: Crashing
    ) -> None:
        if way is Crashing.SUPERVISED:
            await self._stay_reset(upstream, seconds, later_start)
            return
        former = upstream.instance
        silent: list[socket.socket] = []
        if way is Crashing.SILENT:
            silent = self._fall_silent(upstream)
        else:
            await self.stop_upstream(upstream)
        if way is not Crashing.RESET:
            # What it kept in the list lapses.
            self.unlist_upstream(upstream)
        await asyncio.sleep(seconds)
        address = self.addresses[former]
        await self.stop_upstream(upstream)
        for item in silent:
            item.close()
        upstream.restart(upstream.born + later_start)
        if way is Crashing.OTHER_ID:
            upstream.instance = f"{former.partition('-')[0]}-{upstream.born}"
            self.upstreams[upstream.instance] = self.upstreams.pop(former)
            self.addresses[upstream.instance] = address
        await self._serve(upstream.instance, upstream, *parse_address(address))
        self.list_upstream(upstream)

    async def _stay_reset(
        self, upstream: StandInUpstream, seconds: float, later_start: int
    ) -> None:
        self._resetting.add(upstream.instance)
        for connection in list(self._sets[upstream.instance].open):
            connection.abort()
        await asyncio.sleep(seconds)
        self._resetting.discard(upstream.instance)
        upstream.restart(upstream.born + later_start)
        self.list_upstream(upstream)

    def _fall_silent(self, upstream: StandInUpstream) -> list[socket.socket]:
        """Have an upstream say nothing any more, neither on old connections nor on new ones.

        Closing what is returned ends the silence of its address.
        """
        for connection in list(self._sets[upstream.instance].open):
            assert isinstance(connection, _ServerConnection)
            connection.fall_silent()
        self._servers = [item for item in self._servers if not self._is_of(item, upstream)]
        return silence_address(*parse_address(self.addresses[upstream.instance]))

    def cut_store_connections(self) -> None:
        """Reset all connections to the store."""
        for connection in list(self._sets["store"].open):
            connection.abort()

    def silence_connections(self) -> None:
        """Have all open connections to the store and to upstreams say nothing any more."""
        for connections in self._sets.values():
            for connection in list(connections.open):
                assert isinstance(connection, _ServerConnection)
                connection.fall_silent()

    async def stop(self) -> None:
        """Stop everything."""
        if self.duties is not None:
            self.duties.stop()
        for task in list(self._away.values()):
            task.cancel()
        for running in self.gateways.values():
            running.task.cancel()
        tasks = [running.task for running in self.gateways.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        for connections in self._sets.values():
            for connection in list(connections.open):
                connection.abort()
        for server in self._servers:
            server.close()

    def _is_of(self, server: asyncio.Server, upstream: StandInUpstream) -> bool:
        host, port = server.sockets[0].getsockname()[:2]
        if f"{host}:{port}" != self.addresses[upstream.instance]:
            return False
        server.close()
        return True

    async def _serve(
        self, name: str, handler: RequestHandler, host: str = "127.0.0.1", port: int = 0
    ) -> str:
        connections = ConnectionSet()
        self._sets[name] = connections
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.Protocol:
            if name in self._resetting:
                return _ResettingConnection()
            return _ServerConnection(handler, connections)

        server = await loop.create_server(accept, host, port)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def _make_settings(self, name: str, ip: str, zone: str) -> dict[str, Any]:
        seeds = [f"{running.settings.ip}:1" for running in self.gateways.values()]
        return {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "listen": {"front": f"{ip}:{pick_port(ip)}", "ready": f"{ip}:{pick_port(ip)}"},
            "internalPorts": [self._peer_port, self._peer_port],
            "seeds": seeds[:3],
            "bootstrap": True,
            "heartbeatMs": 1200,
            "limits": {"maxFds": 1000},
            "bounds": {
                "drainMs": 2000, "graceS": 4, "configApplyMs": 2000, "leaseMs": 1000,
                "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 50,
                **self.bounds,
            },
            "platform": {"address": self.store_address},
            **self._make_duty_settings(),
        }  # fmt: skip

    def _make_duty_settings(self) -> dict[str, Any]:
        if not self.duties_address:
            return {}
        duties = ["metering", "autoscale"]
        return {"cloudApi": {"address": self.duties_address, "duties": duties}}


def silence_address(host: str, port: int) -> list[socket.socket]:
    """Have new connections to an address neither come up nor be refused: its queue is full."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    waiting = []
    for _ in range(QUEUE_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((host, port))
        waiting.append(filler)
    return [listener, *waiting]


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return one declared route under the path /name/ of site.example."""
    return {
        "name": name,
        "host": "site.example",
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }


def make_model_service(name: str, slots: int = 8) -> dict[str, Any]:
    """Return one declared service of model engines."""
    engine = {
        "slots": slots,
        "kvCapacity": 100_000,
        "tokenKvBytes": 1000,
        "linkMbps": 10_000,
        "kvHoldS": 5,
        "swapS": 0.2,
    }
    return {"name": name, "maxConns": 100, "engine": engine}
