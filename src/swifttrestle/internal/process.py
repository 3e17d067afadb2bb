"""Base of the entry and controller processes: identity, object cache, peers, operators' port."""

import random
import sys
import threading
from collections.abc import Callable
from typing import Any

import orjson

from swifttrestle.errors import InvalidSettingError, SwifttrestleError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.clock import MonotonicClock
from swifttrestle.internal.coordination.membership.membership import (
    MEMBER,
    Membership,
    OpenRequestCounter,
    bind_listener,
    choose_incarnation,
)
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info, setup_logs
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.peers import Identity
from swifttrestle.internal.protocol.platform import RestObjectApi, StoredObject
from swifttrestle.internal.settings import (
    Settings,
    describe_settings,
    load_settings,
    read_environment,
)
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.config import ACCEPTED, ConfigStore, read_shard
from swifttrestle.internal.stopping import catch_stop_signals, wait_until_stopped
from swifttrestle.internal.transport.http import Exchange, Handler, make_server, server_address

OPS_THREADS = 4
EXIT_BAD_SETTING = 2


class Process:
    """The components that entry and controller processes share."""

    def __init__(
        self,
        settings: Settings,
        role: str,
        kinds: tuple[str, ...],
        counter: OpenRequestCounter,
        closings: ClosingTable,
    ) -> None:
        """Bind the peer and operators' ports; `start` starts serving."""
        setup_logs(settings.name, settings.log_format, settings.log_level)
        self.settings = settings
        self.clock = MonotonicClock()
        self.metrics = Metrics()
        self.config = ConfigStore()
        self.closings = closings
        self.stopping = threading.Event()
        self.api = RestObjectApi(settings.platform, settings.name, settings.platform_key)
        self._listener = bind_listener(parse_address(settings.peer_listen))
        host, port = self._listener.getsockname()[:2]
        self.identity = Identity(
            settings.name,
            role,
            settings.host,
            settings.zone,
            settings.peer_advertise or f"{host}:{port}",
            choose_incarnation(self.api, settings.name),
        )
        seed = random.Random(settings.name).getrandbits(32)
        self.cache = ObjectCache(self.api, (MEMBER, ACCEPTED, *kinds), self.clock, seed)
        self.cache.subscribe(self._apply_accepted)
        self.membership = Membership(
            self.identity,
            settings.peer_secret,
            api=self.api,
            cache=self.cache,
            config=self.config,
            closings=self.closings,
            counter=counter,
            clock=self.clock,
            metrics=self.metrics,
            heartbeat=settings.heartbeat_seconds,
            seeds=settings.seeds,
        )
        self._ops_handler = OpsHandler(self)
        self.ops = make_server(parse_address(settings.ops_listen), self._ops_handler, OPS_THREADS)

    def add_dump(self, name: str, read: Callable[[], Any]) -> None:
        """Add a section to the state dump, read with `read`."""
        self._ops_handler.sections[name] = read

    def start(self) -> None:
        """Register, start watching the platform and connecting to peers, and serve operators."""
        self.membership.register_once()
        self.cache.start()
        self.membership.start(self._listener)
        threading.Thread(target=self.ops.serve, name="ops", daemon=True).start()

    def run_until_stopped(self, addresses: dict[str, str], stop: Callable[[], None]) -> None:
        """Print the addresses, wait for SIGTERM or SIGINT, then shut down gracefully."""
        catch_stop_signals(self.stopping)
        addresses |= {"peer": self.identity.peer, "ops": server_address(self.ops)}
        line = orjson.dumps({"ready": self.settings.name, **addresses}).decode()
        sys.stdout.write(line + "\n")
        sys.stdout.flush()
        log_info("started", incarnation=self.identity.incarnation, **addresses)
        wait_until_stopped(self.stopping)
        log_info("stopping")
        stop()
        self.membership.stop()
        self.cache.stop()
        self.ops.stop()
        log_info("stopped")

    def _apply_accepted(self, item: StoredObject, deleted: bool) -> None:
        if item.kind != ACCEPTED or deleted:
            return
        shard = read_shard(item.name, item.spec)
        if shard:
            self.config.apply([shard])

    def dump(self) -> dict[str, Any]:
        """Return this process's state, without secrets."""
        peers = [
            {**vars(view.identity), "epochs": view.epochs, "open": view.open}
            for view in self.membership.list_live_views()
        ]
        return {
            "settings": self.settings.show(),
            "identity": vars(self.identity),
            "epochs": self.config.epochs(),
            "generations": self.closings.snapshot(),
            "object_api": {"connected": self.cache.connected, "listings": self.cache.listings},
            "peers": peers,
            "counters": self.metrics.snapshot(),
        }


class OpsHandler(Handler):
    """The operators' port: /metrics, /debug/state, /healthz."""

    def __init__(self, process: Process) -> None:
        """Serve the state of one process."""
        self._process = process
        self.sections: dict[str, Callable[[], Any]] = {}

    def handle(self, exchange: Exchange) -> None:
        """Respond to one request of an operator."""
        match exchange.path:
            case "/healthz":
                exchange.reply_json(200, {"ok": True})
            case "/metrics":
                exchange.reply(200, self._process.metrics.render(), "text/plain; version=0.0.4")
            case "/debug/state":
                sections = {name: read() for name, read in self.sections.items()}
                exchange.reply_json(200, {**self._process.dump(), **sections})
            case _:
                exchange.reply_json(404, {"error": "use /metrics, /debug/state or /healthz"})


def run_program(
    program: str, kind: type[Settings], flags: dict[str, Any], run: Callable[[Any], None]
) -> None:
    """Load the settings and run; an invalid setting exits with status 2, other errors with 1."""
    try:
        settings = load_settings(kind, flags, read_environment())
    except InvalidSettingError as error:
        sys.stderr.write(f"{program}: {error}\n")
        sys.exit(EXIT_BAD_SETTING)
    try:
        run(settings)
    except (OSError, SwifttrestleError) as error:
        sys.stderr.write(f"{program}: {error}\n")
        sys.exit(1)


def wants_help(program: str, kind: type[Settings]) -> bool:
    """Print the help text if the command line asks for it; return whether it did."""
    if not {"--help", "-h"} & set(sys.argv[1:]):
        return False
    sys.stdout.write(describe_settings(kind, program) + "\n")
    return True
