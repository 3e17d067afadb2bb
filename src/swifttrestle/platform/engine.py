"""Messages of a model engine: KV handles, reports, cached prompt parts and role orders."""

from dataclasses import dataclass
from typing import Any

import orjson

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.checks import (
    MAX_INT64,
    MAX_STATED_TOKENS,
    check_header_value,
    check_integer,
)
from swifttrestle.internal.decoding import decode_json
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.prompt_cache import PromptPart

REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"
CACHED_PARTS_PATH = b"/v1/kv-list"
_HANDLE_PATH_PREFIX = "/v1/kv-handle/"


@dataclass(frozen=True)
class KvHandle:
    """A KV cache that an engine holds for one request until it is fetched or freed."""

    name: str
    tokens: int


@dataclass(frozen=True)
class EngineReport:
    """An engine's state, as of shortly before the response.

    `orders_taken` is the field `seq` on the wire and counts orders since the engine's start.
    `born` is the time of that start in Unix milliseconds, 0 if the engine does not report it.
    """

    role: Role
    changing: bool
    orders_taken: int
    queued: int
    running: int
    born: int = 0


@dataclass(frozen=True)
class RoleOrder:
    """An order to change an engine's role, refused if `orders_taken` is not the engine's count."""

    role: Role
    holder: str
    fence: int
    orders_taken: int


def read_handle(body: bytes) -> KvHandle:
    """Return the KV handle of a prefill response; raise UpstreamBrokenError."""
    raw = _decode(body)
    try:
        name = check_header_value(str(raw["kvHandle"]))
        return KvHandle(name, _limit_tokens(raw.get("tokens", 0)))
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise UpstreamBrokenError(f"an engine's handle cannot be read: {error!r}") from None


def read_report(body: bytes) -> EngineReport:
    """Return an engine's report; raise UpstreamBrokenError."""
    raw = _decode(body)
    try:
        return EngineReport(
            role=Role(raw["phase"]),
            changing=bool(raw.get("busy", False)),
            orders_taken=_read_count(raw, "seq"),
            queued=_read_count(raw, "queued"),
            running=_read_count(raw, "running"),
            born=_read_born(raw),
        )
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise UpstreamBrokenError(f"an engine's report cannot be read: {error!r}") from None


@dataclass(frozen=True)
class CachedParts:
    """The prompt parts in an engine's cache; `born` is as in EngineReport."""

    parts: tuple[PromptPart, ...]
    born: int = 0


def read_cached_parts(body: bytes) -> CachedParts:
    """Return an engine's cached prompt parts, named as in bookings; raise UpstreamBrokenError.

    Each entry of `held` is an empty text, the part's id, its tokens and the model.
    """
    raw = _decode(body)
    try:
        parts = tuple(
            PromptPart(f"{model}/{part}", _limit_tokens(tokens))
            for _, part, tokens, model in raw["held"]
        )
        return CachedParts(parts, _read_born(raw))
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise UpstreamBrokenError(
            f"an engine's list of cached parts cannot be read: {error!r}"
        ) from None


def is_other_incarnation(reported: int, known: int) -> bool:
    """Return whether a reported start time of an engine differs from the known one.

    Both are in Unix milliseconds, or 0 if not reported, which matches any start.
    """
    return bool(reported and known) and reported != known


def _read_count(raw: dict[str, Any], name: str) -> int:
    return check_integer(int(raw.get(name, 0)), 0, MAX_INT64)


def _limit_tokens(value: Any) -> int:
    return max(0, min(MAX_STATED_TOKENS, int(value)))


def _read_born(raw: dict[str, Any]) -> int:
    return check_integer(raw.get("born", 0), 0, MAX_INT64)


def write_order(order: RoleOrder) -> bytes:
    """Return the body of an order."""
    return orjson.dumps(
        {
            "opType": "phase",
            "phase": order.role.value,
            "holder": order.holder,
            "fenceToken": order.fence,
            "expectedRev": order.orders_taken,
        }
    )


def build_engine_headers(instance: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of a gateway's own call to one instance of an engine."""
    return [(b"Host", b"engine"), (b"X-Expect-Instance", instance.encode())]


def format_kv_source(address: tuple[str, int], handle: KvHandle) -> str:
    """Return the value of X-Kv-Source: where a decode engine fetches a KV cache."""
    return f"{address[0]}:{address[1]}/{handle.name}"


def build_handle_path(handle: KvHandle) -> bytes:
    """Return the path at which a handle is freed."""
    return (_HANDLE_PATH_PREFIX + handle.name).encode()


def _decode(body: bytes) -> dict[str, Any]:
    try:
        raw = decode_json(body)
    except ValueError as error:
        raise UpstreamBrokenError(f"an engine's answer cannot be decoded: {error}") from None
    if not isinstance(raw, dict):
        raise UpstreamBrokenError("an engine's answer is not a JSON object")
    return raw
