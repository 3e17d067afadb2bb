"""HTTP pages of a gateway for the load balancer and operators: readiness, metrics and state."""

import asyncio
from collections.abc import Callable
from urllib.parse import parse_qs

import orjson

from swifttrestle.internal.coordination.configuration.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.discovery.discovery import Discovery
from swifttrestle.internal.coordination.duties.duties import Duties
from swifttrestle.internal.coordination.membership.gossip import Gossip
from swifttrestle.internal.coordination.quotas.limiter import QuotaLimiter
from swifttrestle.internal.coordination.sharing.relaying import Relaying
from swifttrestle.internal.event_log import WRITER
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.pages import Page, PageHandler
from swifttrestle.internal.state.body_memory import BodyMemory
from swifttrestle.internal.state.fingerprints import parse_fingerprint
from swifttrestle.internal.state_dump import describe_fleet, describe_quarantine
from swifttrestle.platform.store import ObjectStore

READY_PATH = b"/v1/ready"
# A POST with the query name=NAME ends the quarantine of a request on all hosts.
LIFT_PATH = b"/debug/quarantine/lift"


class OperatorPages:
    """The pages of one process."""

    def __init__(
        self,
        host: str,
        is_ready: Callable[[], bool],
        state: GatewayState,
        configuration: ConfigurationWatcher,
        gossip: Gossip,
        discovery: Discovery,
        duties: Duties,
        store: ObjectStore,
        relaying: Relaying,
        limiter: QuotaLimiter,
        body_memory: BodyMemory,
    ) -> None:
        """Serve the state of these components."""
        self._host = host
        self._is_ready = is_ready
        self._state = state
        self._configuration = configuration
        self._gossip = gossip
        self._discovery = discovery
        self._duties = duties
        self._store = store
        self._relaying = relaying
        self._limiter = limiter
        self._body_memory = body_memory
        self._add_gauges()

    def make_handler(self) -> PageHandler:
        """Return the handler of the operators' address."""
        return PageHandler(
            {b"/metrics": self._make_metrics_page, b"/debug/state": self._make_state_page},
            {LIFT_PATH: self._lift_quarantine},
        )

    def make_readiness_page(self) -> Page:
        """Return the readiness page of the load balancer."""
        return Page(200 if self._is_ready() else 503)

    def _make_metrics_page(self) -> Page:
        return Page(200, b"text/plain; version=0.0.4", self._state.metrics.render())

    def _make_state_page(self) -> Page:
        state = {
            "host": self._host,
            "zone": self._state.zone,
            "region": self._state.fleet.topology.find_region(self._state.zone),
            "version": self._configuration.version,
            "ready": self._is_ready(),
            "live": self._gossip.live_hosts(),
            "store": self._store.epochs.describe(),
            "instances": describe_fleet(self._state.fleet),
            "conditions": self._state.conditions.describe(_now()),
            "cut_paths": self._relaying.own.describe(_now()),
            "relayed_for_peers": self._relaying.server.open,
            "duties": self._duties.describe(),
            "quotas": self._limiter.describe(_now()),
            "body_memory": self._body_memory.describe(),
            "quarantine": describe_quarantine(self._state.guard.quarantine, _now()),
        }
        return Page(200, b"application/json", orjson.dumps(state))

    def _lift_quarantine(self, query: bytes) -> Page:
        try:
            fingerprint = parse_fingerprint(parse_qs(query.decode("latin-1")).get("name", [""])[0])
        except ValueError as error:
            return Page(400, content=f"name: {error}\n".encode())
        if self._state.guard.quarantine.find(fingerprint) is None:
            return Page(404, content=f"name: {fingerprint} is unknown; see /debug/state\n".encode())
        self._state.guard.clear_crashes(fingerprint, "an operator")
        return Page(200, content=f"{fingerprint} is no longer quarantined\n".encode())

    def _add_gauges(self) -> None:
        gauges: list[tuple[str, str, Callable[[], float]]] = [
            ("config_version", "Configuration in force", lambda: self._configuration.version),
            ("live_hosts", "Hosts that live", lambda: len(self._gossip.live_hosts())),
            (
                "removals_held_back",
                "Instances that the list lacks and that are in use",
                lambda: len(self._discovery.removals),
            ),
            (
                "quarantined_requests",
                "Requests that are kept from upstreams, or were until a while ago",
                lambda: len(self._state.guard.quarantine.list_quarantined()),
            ),
            (
                "upstream_paths_cut",
                "Upstreams that this host reaches through peers alone",
                lambda: len(self._relaying.own.paths.cuts),
            ),
            (
                "peer_relays_open",
                "Connections to upstreams that this host relays for peers",
                lambda: self._relaying.server.open,
            ),
            ("store_epoch", "Epoch of the object store", lambda: self._store.epochs.current),
            (
                "store_returns",
                "Returns of the object store from a copy",
                lambda: self._store.epochs.returns,
            ),
            ("store_calls", "Calls to the object store", lambda: self._store.calls),
            ("upstream_connections", "Connections opened", lambda: self._state.pool.opened),
            (
                "body_memory_granted_bytes",
                "Memory granted to the bodies of open requests",
                lambda: self._body_memory.granted_bytes,
            ),
            (
                "body_memory_waiting_bytes",
                "Bytes read of bodies that wait for memory",
                lambda: self._body_memory.waiting_bytes,
            ),
            (
                "body_memory_waiting_requests",
                "Requests whose bodies wait for memory",
                lambda: self._body_memory.waiting,
            ),
            ("lines_dropped", "Log lines dropped", lambda: WRITER.dropped),
        ]
        for name, doc, read in gauges:
            self._state.metrics.add_gauge(name, doc, read)


def _now() -> float:
    return asyncio.get_running_loop().time()
