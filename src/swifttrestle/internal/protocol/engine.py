"""The control interface of model engines: load reports and orders.

Requests go through `open_stream` in `protocol.calls`. Another kind of engine needs another subclass
of `Engine`.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from swifttrestle.errors import StaleTokenError, UpstreamBrokenError
from swifttrestle.internal.decoding import decode_json
from swifttrestle.internal.transport.bounded_responses import read_bounded
from swifttrestle.internal.transport.http import make_client

# Maximum bytes of an engine's state or load report.
MAX_REPORT_BYTES = 256 * 1024
CONTROL_TIMEOUT_SECONDS = 2.0
STATUS_OK, STATUS_CONFLICT = 200, 409


@dataclass(frozen=True)
class EngineAssignment:
    """The model, adapters and role that an engine has or is to have; adapters as name@version."""

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"

    def plain(self) -> dict[str, Any]:
        """Return the values for JSON."""
        return {**vars(self), "adapters": list(self.adapters)}


def read_assignment(value: dict[str, Any]) -> EngineAssignment:
    """Parse an assignment."""
    return EngineAssignment(
        str(value["model"]),
        str(value["version"]),
        tuple(str(item) for item in value.get("adapters", ())),
        str(value.get("role", "mixed")),
    )


@dataclass(frozen=True)
class EngineState:
    """The state that an engine reports; `boot` identifies its incarnation."""

    boot: str
    holding: EngineAssignment
    changing: bool
    last_order: str
    active: int


@dataclass(frozen=True)
class LoadReport:
    """A load report, made at the engine's time `at`; it may be out of date."""

    state: EngineState
    at: float
    slots: int
    waiting: int
    waiting_tokens: int
    decoding: int
    tokens_out: int
    prefilled: int
    leaving: bool = False
    extra: dict[str, Any] = field(default_factory=dict)


class Engine(ABC):
    """The control interface of one engine."""

    @abstractmethod
    def read_state(self) -> EngineState:
        """Return the engine's current state; raise UpstreamBrokenError."""

    @abstractmethod
    def read_load(self) -> LoadReport:
        """Return the latest load report; raise UpstreamBrokenError."""

    @abstractmethod
    def send_order(self, order_id: str, fence: int, wanted: EngineAssignment | None) -> None:
        """Order an assignment; with None, only raise the fencing token.

        Raises StaleTokenError, or UpstreamBrokenError, after which the order may have taken effect.
        """


class HttpEngine(Engine):
    """The control interface over HTTP and JSON."""

    def __init__(self, address: str, client: urllib3.PoolManager | None = None) -> None:
        """Connect to the engine at HOST:PORT."""
        self._base = f"http://{address}"
        self._client = client or make_client(CONTROL_TIMEOUT_SECONDS)

    def read_state(self) -> EngineState:
        """Return the engine's current state; raise UpstreamBrokenError."""
        return read_engine_state(self._call("GET", "/state"))

    def read_load(self) -> LoadReport:
        """Return the latest load report; raise UpstreamBrokenError."""
        return read_load_report(self._call("GET", "/load"))

    def send_order(self, order_id: str, fence: int, wanted: EngineAssignment | None) -> None:
        """Order an assignment; with None, only raise the fencing token."""
        order: dict[str, Any] = {"order_id": order_id, "token": fence, "action": "raise"}
        if wanted is not None:
            order |= {"action": "hold", "wanted": wanted.plain()}
        self._call("POST", "/orders", orjson.dumps(order))

    def _call(self, method: str, path: str, body: bytes | None = None) -> dict[str, Any]:
        try:
            response = self._client.request(
                method, self._base + path, body=body, preload_content=False
            )
            content = read_bounded(response, MAX_REPORT_BYTES, CONTROL_TIMEOUT_SECONDS)
        except (HTTPError, OSError) as error:
            raise UpstreamBrokenError(f"{path}: {type(error).__name__}", sent=True) from None
        if response.status == STATUS_CONFLICT and b"stale" in content:
            raise StaleTokenError(f"the engine at {self._base} has a newer fencing token")
        if response.status != STATUS_OK:
            raise UpstreamBrokenError(f"{path}: status {response.status}")
        try:
            value = decode_json(content)
        except ValueError as error:
            message = f"{path}: response cannot be decoded: {error}"
            raise UpstreamBrokenError(message) from None
        if not isinstance(value, dict):
            raise UpstreamBrokenError(f"{path}: response is not a JSON object")
        return value


def read_engine_state(value: dict[str, Any]) -> EngineState:
    """Parse an engine state; raise UpstreamBrokenError."""
    try:
        return EngineState(
            str(value["boot"]),
            read_assignment(value),
            bool(value["changing"]),
            str(value["last_order"]),
            int(value["active"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UpstreamBrokenError(f"engine state malformed: {error!r}") from None


def read_load_report(value: dict[str, Any]) -> LoadReport:
    """Parse a load report; raise UpstreamBrokenError."""
    state = read_engine_state(value)
    try:
        return LoadReport(
            state,
            float(value["at"]),
            int(value["slots"]),
            int(value["waiting"]),
            int(value["waiting_tokens"]),
            int(value["decoding"]),
            int(value["tokens_out"]),
            int(value["prefilled"]),
            bool(value.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UpstreamBrokenError(f"load report malformed: {error!r}") from None
