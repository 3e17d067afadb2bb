"""Model engines: typed calls and reports, behind abstract classes.

`HttpEngine` is the control side (reports, orders); `open_stream` in `protocol.calls` is the
request side. Another kind of engine needs another subclass.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import Any

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from swifttrestle.errors import StaleTokenError, UpstreamBrokenError
from swifttrestle.internal.transport.http import make_client

CONTROL_SECONDS = 2.0
STATUS_OK, STATUS_CONFLICT = 200, 409


@dataclass(frozen=True)
class Holding:
    """What an engine holds or is to hold; adapters are written name@version."""

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"

    def plain(self) -> dict[str, Any]:
        """Return plain values."""
        return {**vars(self), "adapters": list(self.adapters)}


def read_holding(value: dict[str, Any]) -> Holding:
    """Return the holding of plain values."""
    return Holding(
        str(value["model"]),
        str(value["version"]),
        tuple(str(item) for item in value.get("adapters", ())),
        str(value.get("role", "mixed")),
    )


@dataclass(frozen=True)
class EngineState:
    """An engine's own word on itself; `boot` changes with each start of it."""

    boot: str
    holding: Holding
    changing: bool
    last_order: str
    active: int


@dataclass(frozen=True)
class LoadReport:
    """A load report, some time old; tokens and requests are counts."""

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
    """The control side of one engine."""

    @abstractmethod
    def read_state(self) -> EngineState:
        """Ask the engine itself; raise UpstreamBrokenError."""

    @abstractmethod
    def read_load(self) -> LoadReport:
        """Return its latest load report; raise UpstreamBrokenError."""

    @abstractmethod
    def send_order(self, order_id: str, fence: int, wanted: Holding | None) -> None:
        """Order a holding, or with None only raise the fencing number.

        Raises StaleTokenError, or UpstreamBrokenError: then it may have taken effect.
        """


class HttpEngine(Engine):
    """The control side over HTTP and JSON."""

    def __init__(self, address: str, client: urllib3.PoolManager | None = None) -> None:
        """Talk to the engine at HOST:PORT."""
        self._base = f"http://{address}"
        self._client = client or make_client(CONTROL_SECONDS)

    def read_state(self) -> EngineState:
        """Ask the engine itself; raise UpstreamBrokenError."""
        return read_engine_state(self._call("GET", "/state"))

    def read_load(self) -> LoadReport:
        """Return its latest load report; raise UpstreamBrokenError."""
        return read_load_report(self._call("GET", "/load"))

    def send_order(self, order_id: str, fence: int, wanted: Holding | None) -> None:
        """Order a holding, or with None only raise the fencing number."""
        order: dict[str, Any] = {"order_id": order_id, "token": fence, "action": "raise"}
        if wanted is not None:
            order |= {"action": "hold", "wanted": wanted.plain()}
        self._call("POST", "/orders", orjson.dumps(order))

    def _call(self, method: str, path: str, body: bytes | None = None) -> dict[str, Any]:
        try:
            response = self._client.request(method, self._base + path, body=body)
        except (HTTPError, OSError) as error:
            raise UpstreamBrokenError(f"{path}: {type(error).__name__}", sent=True) from None
        if response.status == STATUS_CONFLICT and b"stale" in response.data:
            raise StaleTokenError(f"the engine at {self._base} has seen a newer number")
        if response.status != STATUS_OK:
            raise UpstreamBrokenError(f"{path}: status {response.status}")
        try:
            value = orjson.loads(response.data)
        except orjson.JSONDecodeError:
            raise UpstreamBrokenError(f"{path}: no JSON") from None
        if not isinstance(value, dict):
            raise UpstreamBrokenError(f"{path}: no JSON object")
        return value


def read_engine_state(value: dict[str, Any]) -> EngineState:
    """Return the state of plain values; raise UpstreamBrokenError."""
    try:
        return EngineState(
            str(value["boot"]),
            read_holding(value),
            bool(value["changing"]),
            str(value["last_order"]),
            int(value["active"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise UpstreamBrokenError(f"a state cannot be read: {error!r}") from None


def read_load_report(value: dict[str, Any]) -> LoadReport:
    """Return the report of plain values; raise UpstreamBrokenError."""
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
        raise UpstreamBrokenError(f"a report cannot be read: {error!r}") from None
