"""A small site in one event loop: the store, upstreams, and gateways on loopback."""

import asyncio
import functools
import socket
from collections import defaultdict
from collections.abc import Callable, Coroutine, Sequence
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
from swifttrestle.internal.transport.messages import Framing, Header, write_response_head
from swifttrestle.internal.transport.relay import reset_connection
from swifttrestle.platform.settings import HostSettings, read_host_settings
from swifttrestle_standins.hosted.cuts import CuttableDialer
from swifttrestle_standins.hosted.duties import StandInDuties
from swifttrestle_standins.hosted.endless import EndlessUpstream
from swifttrestle_standins.hosted.store import StandInStore
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from swifttrestle_standins.loopback import pick_ip, pick_port

POLL_SECONDS = 0.01
WAIT_TIMEOUT_SECONDS = 20.0
# Connections that fill a listener's queue of backlog 0; the kernel accepts backlog + 1.
BACKLOG_CONNECTIONS = 2


async def wait_until(check: Callable[[], Any], what: str = "condition") -> Any:
    """Poll `check` and return its first true value; raise TimeoutError."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not (value := check()):
                await asyncio.sleep(POLL_SECONDS)
            return value
    except TimeoutError:
        raise TimeoutError(f"{what} was not reached within {WAIT_TIMEOUT_SECONDS:g} s") from None


class CrashMode(Enum):
    """How upstreams crash, as seen by their callers and in the discovery list."""

    RESET = "connections are reset; restarts with the same id"
    OTHER_ID = "connections are reset; restarts with another id at the same address"
    SILENT = "connections stop responding; the record expires; restarts with the same id"
    SUPERVISED = "connections are reset by a port that stays open; restarts with the same id"


class _ServerConnection(CallerConnection):
    """The server side of a connection to a stand-in."""

    _silenced = False

    def stop_responding(self) -> None:
        """Send nothing any more, without closing the connection."""
        self._silenced = True

    async def start(
        self, status: int, headers: Sequence[Header], framing: Framing, length: int
    ) -> None:
        """Send the head of a response; with framing CLOSE, its body ends with the connection."""
        if framing is not Framing.CLOSE:
            await super().start(status, headers, framing, length)
            return
        self.started = True
        self._framing = framing
        self._write(write_response_head(status, headers, framing, length, keep_alive=True))
        self._keep_alive = False

    def abort(self) -> None:
        """Reset the connection, as only a reset shows that an unframed answer is broken off."""
        if self._framing is Framing.CLOSE and self._transport is not None:
            reset_connection(self._transport)
        else:
            super().abort()

    def _write(self, data: bytes) -> None:
        if not self._silenced:
            super()._write(data)


class _ResettingConnection(asyncio.Protocol):
    """Accepts a connection and resets it, as a supervisor that holds a dead process's socket."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


@dataclass
class RunningGateway:
    """One started gateway, its settings, its metrics address and its paths to upstreams."""

    gateway: Gateway
    settings: HostSettings
    task: asyncio.Task[None]
    metrics_address: tuple[str, int]
    # Its direct paths to the upstreams and to the store, which can be cut.
    paths: CuttableDialer
    store_paths: CuttableDialer


@dataclass
class Site:
    """The components of a site; call `start` first, then add upstreams and gateways."""

    store: StandInStore = field(default_factory=StandInStore)
    store_address: str = ""
    # The platform's duty API, if the site has one.
    duties: StandInDuties | None = None
    duties_address: str = ""
    upstreams: dict[str, StandInUpstream] = field(default_factory=dict)
    gateways: dict[str, RunningGateway] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    services: list[dict[str, Any]] = field(default_factory=list)
    routes: list[dict[str, Any]] = field(default_factory=list)
    # Workspaces with their keys; None if callers need no key.
    workspaces: list[dict[str, Any]] | None = None
    # The region of each zone, in the settings of gateways added later.
    regions: dict[str, str] = field(default_factory=dict)
    # Bounds that override the defaults in the settings of gateways added later.
    bounds: dict[str, Any] = field(default_factory=dict)
    # Limits of the process, in the settings of gateways added later.
    process_limits: dict[str, Any] = field(default_factory=dict)
    # Limits of the store, in the settings of gateways added later.
    store_limits: dict[str, Any] = field(default_factory=dict)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _connection_sets: dict[str, ConnectionSet] = field(default_factory=dict)
    # The instances that crashed, in order.
    crashes: list[str] = field(default_factory=list)
    # Times of the crashes (seconds of the event loop's clock) by the body of their request.
    crash_times: dict[bytes, list[float]] = field(default_factory=lambda: defaultdict(list))
    # Restarts in progress by instance.
    _restart_tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    # The instances whose port is open but resets all connections.
    _resetting: set[str] = field(default_factory=set)
    _peer_port: int = 0
    _version: int = 0
    # Whether any gateway has been ready; later ones join a system that has run before.
    _was_ready: bool = False

    async def start(self) -> None:
        """Start the store."""
        self._peer_port = pick_port(pick_ip(0))
        self.store_address = await self._serve("store", self.store)

    async def start_duties(self) -> StandInDuties:
        """Start the duty API; gateways added later report usage and order upstreams."""
        self.duties = StandInDuties(self)
        self.duties_address = await self._serve("duties", self.duties)
        return self.duties

    async def add_upstream(self, upstream: StandInUpstream) -> StandInUpstream:
        """Start an upstream and write its discovery record."""
        self.addresses[upstream.instance] = await self._serve(upstream.instance, upstream)
        self.upstreams[upstream.instance] = upstream
        if isinstance(upstream, StandInEngine):
            upstream.on_role_change = self.list_upstream
        self.list_upstream(upstream)
        return upstream

    async def add_endless_upstream(self, upstream: EndlessUpstream) -> EndlessUpstream:
        """Start an upstream whose responses have no end, and write its discovery record."""
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        record = upstream.record(f"{host}:{port}")
        self.store.put("servers", upstream.instance, record)
        return upstream

    def list_upstream(self, upstream: StandInUpstream, state: str = "ready") -> None:
        """Write an upstream's discovery record."""
        record = upstream.record(self.addresses[upstream.instance], state)
        self.store.put("servers", upstream.instance, record)

    def is_draining(self, upstream: StandInUpstream) -> bool:
        """Return whether an upstream's record is in the state draining."""
        known = self.store.objects.get(("servers", upstream.instance))
        return known is not None and known["spec"]["state"] == "draining"

    def unlist_upstream(self, upstream: StandInUpstream) -> None:
        """Remove an upstream's discovery record."""
        self.store.remove("servers", upstream.instance)

    def declare(self, **limits: int) -> int:
        """Write the next configuration version; return its number."""
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
        gateway.upstream_pool.dialer = paths = CuttableDialer()
        gateway.store_pool.dialer = store_paths = CuttableDialer()
        task = asyncio.ensure_future(gateway.run())
        running = RunningGateway(gateway, settings, task, (ip, port), paths, store_paths)
        self.gateways[name] = running
        return running

    async def wait_ready(self, *names: str) -> None:
        """Wait until the named gateways are ready, or all of them."""
        for name in names or self.gateways:
            await wait_until(self.gateways[name].gateway.is_ready, f"{name} ready")
            self._was_ready = True

    async def stop_upstream(self, upstream: StandInUpstream) -> None:
        """Stop an upstream like a crash: reset its connections and close its port."""
        self._servers = [
            item for item in self._servers if not self._close_if_serving(item, upstream)
        ]
        for connection in list(self._connection_sets[upstream.instance].open):
            connection.abort()

    def restart_upstream(self, upstream: StandInUpstream, born: int, cut: bool = True) -> None:
        """Restart an upstream with the same instance id.

        Its connections are reset with `cut`; otherwise they stop responding, like those to a host
        that lost power.
        """
        for connection in list(self._connection_sets[upstream.instance].open):
            assert isinstance(connection, _ServerConnection)
            if cut:
                connection.abort()
            else:
                connection.stop_responding()
        upstream.restart(born)
        self.list_upstream(upstream)

    def allow_crashes(
        self, down_seconds: float, born_increment_ms: int, mode: CrashMode = CrashMode.RESET
    ) -> None:
        """Make deadly requests crash upstreams.

        An upstream is down for `down_seconds`. Each restart raises its reported start time by
        `born_increment_ms`.
        """
        for upstream in self.upstreams.values():
            crash_and_restart = functools.partial(
                self._crash_and_restart, upstream, down_seconds, born_increment_ms, mode
            )
            upstream.crash = functools.partial(self._crash, upstream, crash_and_restart)

    def count_crashed(self) -> int:
        """Return the number of upstreams that are down after a crash."""
        return len(self._restart_tasks)

    def _crash(
        self,
        upstream: StandInUpstream,
        crash_and_restart: Callable[[], Coroutine[Any, Any, None]],
        content: bytes,
    ) -> None:
        if upstream.instance in self._restart_tasks:
            return
        name = upstream.instance
        self.crashes.append(name)
        self.crash_times[content].append(asyncio.get_running_loop().time())
        task = asyncio.ensure_future(crash_and_restart())
        self._restart_tasks[name] = task
        task.add_done_callback(lambda _: self._restart_tasks.pop(name, None))

    async def _crash_and_restart(
        self, upstream: StandInUpstream, seconds: float, born_increment_ms: int, mode: CrashMode
    ) -> None:
        if mode is CrashMode.SUPERVISED:
            await self._reset_and_restart(upstream, seconds, born_increment_ms)
            return
        former = upstream.instance
        blackhole_sockets: list[socket.socket] = []
        if mode is CrashMode.SILENT:
            blackhole_sockets = self._blackhole(upstream)
        else:
            await self.stop_upstream(upstream)
        if mode is not CrashMode.RESET:
            # Its discovery record expires.
            self.unlist_upstream(upstream)
        await asyncio.sleep(seconds)
        address = self.addresses[former]
        await self.stop_upstream(upstream)
        for item in blackhole_sockets:
            item.close()
        upstream.restart(upstream.born + born_increment_ms)
        if mode is CrashMode.OTHER_ID:
            upstream.instance = f"{former.partition('-')[0]}-{upstream.born}"
            self.upstreams[upstream.instance] = self.upstreams.pop(former)
            self.addresses[upstream.instance] = address
        await self._serve(upstream.instance, upstream, *parse_address(address))
        self.list_upstream(upstream)

    async def _reset_and_restart(
        self, upstream: StandInUpstream, seconds: float, born_increment_ms: int
    ) -> None:
        self._resetting.add(upstream.instance)
        for connection in list(self._connection_sets[upstream.instance].open):
            connection.abort()
        await asyncio.sleep(seconds)
        self._resetting.discard(upstream.instance)
        upstream.restart(upstream.born + born_increment_ms)
        self.list_upstream(upstream)

    def _blackhole(self, upstream: StandInUpstream) -> list[socket.socket]:
        """Make an upstream stop responding, on open connections and on new ones.

        New connections work again once the returned sockets are closed.
        """
        for connection in list(self._connection_sets[upstream.instance].open):
            assert isinstance(connection, _ServerConnection)
            connection.stop_responding()
        self._servers = [
            item for item in self._servers if not self._close_if_serving(item, upstream)
        ]
        return blackhole_address(*parse_address(self.addresses[upstream.instance]))

    def cut_store_connections(self) -> None:
        """Reset all connections to the store."""
        for connection in list(self._connection_sets["store"].open):
            connection.abort()

    def blackhole_connections(self) -> None:
        """Make all open connections to the store and to upstreams stop responding."""
        for connections in self._connection_sets.values():
            for connection in list(connections.open):
                assert isinstance(connection, _ServerConnection)
                connection.stop_responding()

    async def stop(self) -> None:
        """Stop all components."""
        if self.duties is not None:
            self.duties.stop()
        for task in list(self._restart_tasks.values()):
            task.cancel()
        for running in self.gateways.values():
            running.task.cancel()
        tasks = [running.task for running in self.gateways.values()]
        await asyncio.gather(*tasks, return_exceptions=True)
        for connections in self._connection_sets.values():
            for connection in list(connections.open):
                connection.abort()
        for server in self._servers:
            server.close()

    def _close_if_serving(self, server: asyncio.Server, upstream: StandInUpstream) -> bool:
        host, port = server.sockets[0].getsockname()[:2]
        if f"{host}:{port}" != self.addresses[upstream.instance]:
            return False
        server.close()
        return True

    async def _serve(
        self, name: str, handler: RequestHandler, host: str = "127.0.0.1", port: int = 0
    ) -> str:
        connections = ConnectionSet()
        self._connection_sets[name] = connections
        loop = asyncio.get_running_loop()

        def accept() -> asyncio.BaseProtocol:
            if name in self._resetting:
                return _ResettingConnection()
            return _ServerConnection(handler, connections)

        server = await loop.create_server(accept, host, port)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def _is_first_start(self) -> bool:
        """Return whether no gateway of this site has been ready yet."""
        ready = any(running.gateway.is_ready() for running in self.gateways.values())
        self._was_ready = self._was_ready or ready
        return not self._was_ready

    def _make_settings(self, name: str, ip: str, zone: str) -> dict[str, Any]:
        seeds = [f"{running.settings.ip}:1" for running in self.gateways.values()]
        return {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "listen": {"front": f"{ip}:{pick_port(ip)}", "ready": f"{ip}:{pick_port(ip)}"},
            "internalPorts": [self._peer_port, self._peer_port],
            "seeds": seeds[:3],
            "bootstrap": self._is_first_start(),
            "heartbeatMs": 1200,
            "limits": {"maxFds": 1000, **self.process_limits},
            "bounds": {
                "drainMs": 2000, "graceS": 4, "configApplyMs": 2000, "leaseMs": 1000,
                "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 50,
                **self.bounds,
            },
            "zones": self.regions,
            "platform": {"address": self.store_address, **self.store_limits},
            **self._make_duty_settings(),
        }  # fmt: skip

    def _make_duty_settings(self) -> dict[str, Any]:
        if not self.duties_address:
            return {}
        duties = ["metering", "autoscale"]
        return {"cloudApi": {"address": self.duties_address, "duties": duties}}


def blackhole_address(host: str, port: int) -> list[socket.socket]:
    """Make new connections to an address hang by filling the listener's queue."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(0)
    waiting = []
    for _ in range(BACKLOG_CONNECTIONS):
        connection = socket.socket()
        connection.setblocking(False)
        connection.connect_ex((host, port))
        waiting.append(connection)
    return [listener, *waiting]


def make_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return the configuration of a route for the path /name/ of site.example."""
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
    """Return the configuration of a service of model engines."""
    engine = {
        "slots": slots,
        "kvCapacity": 100_000,
        "tokenKvBytes": 1000,
        "linkMbps": 10_000,
        "kvHoldS": 5,
        "swapS": 0.2,
    }
    return {"name": name, "maxConns": 100, "engine": engine}
