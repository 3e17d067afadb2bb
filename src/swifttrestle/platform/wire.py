"""Header names of the platform's protocol, and the translation of requests and answers."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.internal.state.prompt_cache import PromptPart

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-request-id"
ANSWER_SIGNATURE = b"x-server-signature"
NOT_RUN = b"x-not-executed"
EVENT_ID = b"last-event-id"
DEADLINE = b"x-deadline-ms"
EXPECTED_INSTANCE = b"x-expect-instance"
INSTANCE = b"x-instance-id"
PROMPT_PARTS = b"x-prompt-prefix"
# The sizes of the prompt and of the longest answer, in tokens, by a comma.
TOKEN_SIZES = b"x-token-usage"
MODEL = b"x-model"
STAGE = b"x-stage"
KV_SOURCE = b"x-kv-source"
FETCH_FROM = b"kv-fetch"
PRIORITY = b"x-request-priority"
KEY = b"x-key"
WORKSPACE = b"x-tenant"

# What only the system may set; a caller's own values are dropped.
_SYSTEM_HEADERS = frozenset(
    (STAGE, KV_SOURCE, PRIORITY, EXPECTED_INSTANCE, DEADLINE, b"x-expect-version",
     b"x-kv-hold", b"x-kv-backup", b"x-pin-ms", FETCH_FROM)
)  # fmt: skip
# What concerns one connection only.
_CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade",
     b"transfer-encoding", b"content-length", b"expect", b"proxy-authenticate",
     b"proxy-authorization")
)  # fmt: skip


@dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a request say; `patience` is in seconds, None where not given."""

    request_id: bytes
    patience: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


def read_request_metadata(headers: Sequence[Header]) -> RequestMetadata:
    """Return the facts of a request; what cannot be read counts as not given."""
    found = {name.lower(): value for name, value in headers}
    sizes = found.get(TOKEN_SIZES, b"").split(b",")
    return RequestMetadata(
        request_id=found.get(REQUEST_ID, b""),
        patience=_read_milliseconds(found.get(DEADLINE)),
        model=found.get(MODEL, b"").decode("latin-1"),
        prompt_tokens=_read_whole(sizes[0]),
        output_tokens=_read_whole(sizes[1]) if len(sizes) > 1 else 0,
        parts=_read_parts(found.get(PROMPT_PARTS, b"")),
    )


def _read_whole(value: bytes) -> int:
    return int(value) if value.strip().isdigit() else 0


def _read_milliseconds(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return max(0.0, milliseconds) / 1000 if math.isfinite(milliseconds) else None


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        if name and tokens.isdigit():
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


@dataclass(frozen=True)
class ForwardingHeaders:
    """What the system adds to a forwarded request; `left` is in seconds.

    `fetch_from` is the address of another engine, from which this one first copies what that one
    keeps of the prompt beyond its own.
    """

    instance: str
    left: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ""
    last_event: bytes | None = None
    fetch_from: tuple[str, int] | None = None


def strip_request_headers(headers: Sequence[Header]) -> list[Header]:
    """Return a caller's headers without those of its connection and those of the system."""
    named = _list_named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if (low := name.lower()) not in _CONNECTION_HEADERS
        and low not in _SYSTEM_HEADERS
        and low not in named
    ]


def find_keys(headers: Sequence[Header]) -> list[bytes]:
    """Return the values of all key headers of a request."""
    return [value for name, value in headers if name.lower() == KEY]


def set_workspace_header(stripped: Sequence[Header], workspace: str | None) -> list[Header]:
    """Return a request's headers with its workspace's name in place of the caller's key.

    What the caller itself wrote for a workspace is dropped, also where no workspace is named.
    """
    headers = [item for item in stripped if item[0].lower() not in (KEY, WORKSPACE)]
    if workspace is not None:
        headers.append((b"X-Tenant", workspace.encode()))
    return headers


def build_forward_headers(stripped: Sequence[Header], added: ForwardingHeaders) -> list[Header]:
    """Return the headers of one forwarded request, without its framing."""
    headers = list(stripped)
    if added.last_event is not None:
        headers = [item for item in headers if item[0].lower() != EVENT_ID]
        headers.append((b"Last-Event-Id", added.last_event))
    headers.append((b"X-Deadline-Ms", str(max(1, int(added.left * 1000))).encode()))
    headers.append((b"X-Expect-Instance", added.instance.encode()))
    if added.priority is not None:
        headers.append((b"X-Request-Priority", str(added.priority).encode()))
    if added.prefill_only:
        headers.append((b"X-Stage", b"prefill"))
    if added.kv_source:
        headers.append((b"X-Kv-Source", added.kv_source.encode()))
    if added.fetch_from is not None:
        host, port = added.fetch_from
        headers.append((b"Kv-Fetch", f"{host}:{port}".encode()))
    return headers


def strip_answer_headers(headers: Sequence[Header]) -> list[Header]:
    """Return an upstream's headers without those of its connection."""
    named = _list_named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if (low := name.lower()) not in _CONNECTION_HEADERS and low not in named
    ]


def _list_named_by_connection(headers: Sequence[Header]) -> frozenset[bytes]:
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return frozenset(named)


@dataclass(frozen=True)
class ResponseMetadata:
    """What the head of an upstream's answer proves.

    `replaced` says that another instance now answers at the address. An engine also answers
    421 to a request that is not for its role, and names itself.
    """

    request_id: bytes
    signed: bool
    not_run: bool
    replaced: bool


def read_response_metadata(
    status: int, headers: Sequence[Header], expected: str
) -> ResponseMetadata:
    """Return what an answer proves; only 421 and the explicit header say that nothing ran.

    `expected` is the instance that the request was meant for.
    """
    found = {name.lower(): value for name, value in headers}
    return ResponseMetadata(
        request_id=found.get(REQUEST_ID, b""),
        signed=ANSWER_SIGNATURE in found,
        not_run=status == _MISDIRECTED or NOT_RUN in found,
        replaced=status == _MISDIRECTED and found.get(INSTANCE) != expected.encode(),
    )


def is_from_instance(status: int, headers: Sequence[Header], expected: str) -> bool:
    """Return whether an answer is one of the expected instance, not of a later one there."""
    return status != _MISDIRECTED or not read_response_metadata(status, headers, expected).replaced


def has_request_id(headers: Sequence[Header]) -> bool:
    """Return whether an answer is one to a request, not to a call of the system itself."""
    return any(name.lower() == REQUEST_ID for name, _ in headers)


def write_request_id(request_id: bytes) -> Header:
    """Return the header that tells a caller which request an answer belongs to."""
    return (b"X-Request-Id", request_id)


_MISDIRECTED = 421
