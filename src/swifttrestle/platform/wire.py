"""Headers of the platform's protocol: their names, and how they are read and rewritten."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.internal.checks import MAX_INT64, MAX_STATED_TOKENS
from swifttrestle.internal.state.prompt_cache import PromptPart

Header = tuple[bytes, bytes]

REQUEST_ID = b"x-request-id"
ANSWER_SIGNATURE = b"x-server-signature"
NOT_RUN = b"x-not-executed"
EVENT_ID = b"last-event-id"
# The request id of the attempt that brought the first event of the stream that a caller takes up.
RESUMED_STREAM = b"resumes"
DEADLINE = b"x-deadline-ms"
EXPECTED_INSTANCE = b"x-expect-instance"
INSTANCE = b"x-instance-id"
PROMPT_PARTS = b"x-prompt-prefix"
# The sizes of the prompt and of the longest response in tokens, separated by a comma.
TOKEN_SIZES = b"x-token-usage"
MODEL = b"x-model"
STAGE = b"x-stage"
KV_SOURCE = b"x-kv-source"
FETCH_FROM = b"kv-fetch"
PRIORITY = b"x-request-priority"
KEY = b"x-key"
WORKSPACE = b"x-tenant"

# Longest number that is read, leading zeros included.
MAX_DIGITS = len(str(MAX_INT64))

# Headers that only gateways may set; callers' values are dropped.
_GATEWAY_HEADERS = frozenset(
    (STAGE, KV_SOURCE, PRIORITY, EXPECTED_INSTANCE, DEADLINE, b"x-expect-version",
     b"x-kv-hold", b"x-kv-backup", b"x-pin-ms", FETCH_FROM)
)  # fmt: skip
# Hop-by-hop headers.
_HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade",
     b"transfer-encoding", b"content-length", b"expect", b"proxy-authenticate",
     b"proxy-authorization")
)  # fmt: skip


@dataclass(frozen=True)
class RequestMetadata:
    """Metadata from a request's headers; without a valid deadline, `deadline_seconds` is None.

    A caller that takes up a stream names the last event that it has got, and as `resumed_stream`
    the id of the request that brought its first one; both are empty for a new stream.
    """

    request_id: bytes
    deadline_seconds: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event: bytes = b""
    resumed_stream: bytes = b""

    @property
    def stream(self) -> bytes:
        """The id of the stream that the request begins or takes up."""
        return self.resumed_stream or self.request_id


def read_request_metadata(headers: Sequence[Header]) -> RequestMetadata:
    """Return the metadata of a request; values that cannot be read count as missing."""
    found = {name.lower(): value for name, value in headers}
    sizes = found.get(TOKEN_SIZES, b"").split(b",")
    return RequestMetadata(
        request_id=found.get(REQUEST_ID, b""),
        deadline_seconds=_read_milliseconds(found.get(DEADLINE)),
        model=found.get(MODEL, b"").decode("latin-1"),
        prompt_tokens=_read_integer(sizes[0]),
        output_tokens=_read_integer(sizes[1]) if len(sizes) > 1 else 0,
        parts=_read_parts(found.get(PROMPT_PARTS, b"")),
        last_event=found.get(EVENT_ID, b""),
        resumed_stream=found.get(RESUMED_STREAM, b"") if EVENT_ID in found else b"",
    )


def check_stated_tokens(metadata: RequestMetadata) -> None:
    """Raise ValueError with the header, the number and the limit if one of tokens is above it."""
    if metadata.prompt_tokens > MAX_STATED_TOKENS:
        raise _exceed("X-Token-Usage", metadata.prompt_tokens, "prompt tokens")
    if metadata.output_tokens > MAX_STATED_TOKENS:
        raise _exceed("X-Token-Usage", metadata.output_tokens, "response tokens")
    for item in metadata.parts:
        if item.tokens > MAX_STATED_TOKENS:
            raise _exceed("X-Prompt-Prefix", item.tokens, "tokens of a prompt part")


def _exceed(header: str, number: int, unit: str) -> ValueError:
    return ValueError(f"{header}: {number} {unit}; the limit is {MAX_STATED_TOKENS}")


def _read_integer(value: bytes) -> int:
    return _read_count(value.strip().decode("latin-1")) or 0


def _read_count(digits: str) -> int | None:
    """Return a whole number of at most MAX_INT64, or None."""
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    count = int(digits)
    return count if count <= MAX_INT64 else None


def _read_milliseconds(value: bytes | None) -> float | None:
    try:
        milliseconds = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return max(0.0, milliseconds) / 1000 if math.isfinite(milliseconds) else None


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, digits = item.strip().partition(":")
        tokens = _read_count(digits)
        if name and tokens is not None:
            parts.append(PromptPart(name, tokens))
    return tuple(parts)


@dataclass(frozen=True)
class ForwardingHeaders:
    """Headers that the gateway adds to a forwarded request.

    `remaining` is the time until the deadline in seconds.

    `fetch_from` is the address of another engine, from which the upstream first copies the cached
    prompt parts that it lacks.
    """

    instance: str
    remaining: float
    priority: int | None = None
    prefill_only: bool = False
    kv_source: str = ""
    last_event: bytes | None = None
    fetch_from: tuple[str, int] | None = None


def strip_request_headers(headers: Sequence[Header]) -> list[Header]:
    """Return a caller's headers without hop-by-hop headers and those only gateways may set."""
    connection_names = _list_connection_names(headers)
    return [
        (name, value)
        for name, value in headers
        if (lower_name := name.lower()) not in _HOP_BY_HOP_HEADERS
        and lower_name not in _GATEWAY_HEADERS
        and lower_name not in connection_names
    ]


def find_keys(headers: Sequence[Header]) -> list[bytes]:
    """Return the values of all key headers of a request."""
    return [value for name, value in headers if name.lower() == KEY]


def set_workspace_header(stripped: Sequence[Header], workspace: str | None) -> list[Header]:
    """Return a request's headers with the workspace's name instead of the caller's key.

    A workspace header that the caller sent is always dropped.
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
    headers.append((b"X-Deadline-Ms", str(max(1, int(added.remaining * 1000))).encode()))
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
    """Return an upstream's headers without hop-by-hop headers."""
    connection_names = _list_connection_names(headers)
    return [
        (name, value)
        for name, value in headers
        if (lower_name := name.lower()) not in _HOP_BY_HOP_HEADERS
        and lower_name not in connection_names
    ]


def _list_connection_names(headers: Sequence[Header]) -> frozenset[bytes]:
    """Return the header names that Connection headers list as hop-by-hop."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names.update(token.strip().lower() for token in value.split(b","))
    return frozenset(names)


@dataclass(frozen=True)
class ResponseMetadata:
    """Metadata from the head of an upstream's response.

    `replaced` is set if another instance now listens at the address. An engine also responds with
    421 to a request that its role does not serve, but then with its own instance id.
    """

    request_id: bytes
    signed: bool
    not_run: bool
    replaced: bool


def read_response_metadata(
    status: int, headers: Sequence[Header], expected: str
) -> ResponseMetadata:
    """Return the metadata of a response; only 421 and X-Not-Executed mean that nothing ran.

    `expected` is the instance that the request was sent to.
    """
    found = {name.lower(): value for name, value in headers}
    return ResponseMetadata(
        request_id=found.get(REQUEST_ID, b""),
        signed=ANSWER_SIGNATURE in found,
        not_run=status == _MISDIRECTED_REQUEST or NOT_RUN in found,
        replaced=status == _MISDIRECTED_REQUEST and found.get(INSTANCE) != expected.encode(),
    )


def is_from_instance(status: int, headers: Sequence[Header], expected: str) -> bool:
    """Return whether a response is from the expected instance, not from one that replaced it."""
    return (
        status != _MISDIRECTED_REQUEST
        or not read_response_metadata(status, headers, expected).replaced
    )


def has_request_id(headers: Sequence[Header]) -> bool:
    """Return whether a response belongs to a caller's request, not to a gateway's own call."""
    return any(name.lower() == REQUEST_ID for name, _ in headers)


def write_request_id(request_id: bytes) -> Header:
    """Return the header with the request id of a response."""
    return (b"X-Request-Id", request_id)


_MISDIRECTED_REQUEST = 421
