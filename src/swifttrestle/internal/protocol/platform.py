"""Clients for the platform's object API and host list.

`RestObjectApi` contains all details of the wire format; another platform needs only another
subclass. Any failure to get a valid response is raised as PlatformUnavailableError, after which
a write may have taken effect.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import orjson
import urllib3
from urllib3.exceptions import HTTPError

from swifttrestle.errors import (
    BadPlatformAnswerError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    RateLimitedError,
)
from swifttrestle.internal.decoding import decode_json
from swifttrestle.internal.transport.http import make_client

CALL_TIMEOUT_SECONDS = 5.0
WATCH_READ_TIMEOUT_SECONDS = 10.0
# Largest accepted watch event or error body, in bytes.
MAX_LINE_BYTES = 2_000_000
STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT, STATUS_GONE, STATUS_LIMIT = 200, 404, 409, 410, 429


@dataclass(frozen=True)
class StoredObject:
    """An object as stored by the platform; `version` rises with each write to it."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any]


@dataclass(frozen=True)
class Listing:
    """All objects of a kind, and the version from which to watch for changes."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchEvent:
    """One change; `stored` is None for a bookmark, which only shows that the watch is alive."""

    version: int
    deleted: bool
    stored: StoredObject | None


@dataclass(frozen=True)
class HostRecord:
    """One host of the host list; `state` is 'live' or 'leaving'."""

    name: str
    zone: str
    state: str


class ObjectApi(ABC):
    """Access to versioned objects, with conditional updates and watches."""

    @abstractmethod
    def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""

    @abstractmethod
    def read(self, kind: str, name: str) -> StoredObject:
        """Return one object; raise NotFoundError."""

    @abstractmethod
    def write(self, kind: str, name: str, spec: dict[str, Any], version: int) -> StoredObject:
        """Write if the object has this version, 0 if it must not exist; raise ConflictError."""

    @abstractmethod
    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete if the object has this version; raise ConflictError."""

    @abstractmethod
    def watch(self, kinds: tuple[str, ...], since: int) -> Iterator[WatchEvent]:
        """Yield changes after a version; raise NotFoundError if it is too old."""


class HostList(ABC):
    """Access to the list of live and leaving hosts, which may be out of date."""

    @abstractmethod
    def read_hosts(self) -> tuple[HostRecord, ...]:
        """Return all hosts that the platform lists."""


class RestObjectApi(ObjectApi, HostList):
    """The object API and the host list over HTTP and JSON."""

    def __init__(self, base: str, client_name: str, key: str = "") -> None:
        """Use the platform at the URL `base`; `client_name` is sent as the user agent."""
        self._base = base + "/api/v1"
        self._headers = {"User-Agent": client_name}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._client = make_client(CALL_TIMEOUT_SECONDS)

    def list(self, kind: str) -> Listing:
        """Return all objects of a kind."""
        value = self._call("GET", f"/objects/{quote(kind)}")
        items = value.get("items")
        if not isinstance(items, list):
            raise BadPlatformAnswerError(f"list of {kind}: items must be a list")
        return Listing(_read_version(value), tuple(_read_object(item) for item in items))

    def read(self, kind: str, name: str) -> StoredObject:
        """Return one object; raise NotFoundError."""
        return _read_object(self._call("GET", _path(kind, name)))

    def write(self, kind: str, name: str, spec: dict[str, Any], version: int) -> StoredObject:
        """Write if the object has this version, 0 if it must not exist; raise ConflictError."""
        body = orjson.dumps({"spec": spec, "version": version})
        return _read_object(self._call("PUT", _path(kind, name), body))

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete if the object has this version; raise ConflictError."""
        self._call("DELETE", f"{_path(kind, name)}?version={version}")

    def read_hosts(self) -> tuple[HostRecord, ...]:
        """Return all hosts that the platform lists."""
        try:
            items = self._call("GET", "/hosts")["hosts"]
            return tuple(HostRecord(i["name"], i["zone"], i["state"]) for i in items)
        except (KeyError, TypeError) as error:
            raise BadPlatformAnswerError(f"host list malformed: {error!r}") from None

    def watch(self, kinds: tuple[str, ...], since: int) -> Iterator[WatchEvent]:
        """Yield changes after a version; raise NotFoundError if it is too old."""
        url = f"{self._base}/watch?kinds={','.join(kinds)}&since={since}"
        timeout = urllib3.Timeout(connect=2.0, read=WATCH_READ_TIMEOUT_SECONDS)
        try:
            response = self._client.request(
                "GET", url, headers=self._headers, preload_content=False, timeout=timeout
            )
            try:
                if response.status != STATUS_OK:
                    _raise_for_status(response.status, response.read(MAX_LINE_BYTES))
                yield from _read_events(response)
            finally:
                # A connection with an unread stream cannot be reused.
                response.close()
        except (HTTPError, OSError) as error:
            raise PlatformUnavailableError(f"watch failed: {type(error).__name__}") from None

    def _call(self, method: str, path: str, body: bytes | None = None) -> dict[str, Any]:
        try:
            response = self._client.request(
                method, self._base + path, body=body, headers=self._headers
            )
        except (HTTPError, OSError) as error:
            message = f"{method} {path}: {type(error).__name__}"
            raise PlatformUnavailableError(message) from None
        if response.status != STATUS_OK:
            _raise_for_status(response.status, response.data)
        return _parse_object(response.data)


def _path(kind: str, name: str) -> str:
    return f"/objects/{quote(kind)}/{quote(name)}"


def _raise_for_status(status: int, body: bytes) -> None:
    text = body[:200].decode("utf-8", "replace")
    if status in (STATUS_NOT_FOUND, STATUS_GONE):
        raise NotFoundError(text)
    if status == STATUS_CONFLICT:
        raise ConflictError(text)
    if status == STATUS_LIMIT:
        raise RateLimitedError(text)
    raise PlatformUnavailableError(f"status {status}: {text}")


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        value = decode_json(data)
    except ValueError as error:
        raise BadPlatformAnswerError(f"response cannot be decoded: {error}") from None
    if not isinstance(value, dict):
        raise BadPlatformAnswerError("response is not a JSON object")
    return value


def _read_version(value: dict[str, Any]) -> int:
    version = value.get("version")
    if not isinstance(version, int):
        raise BadPlatformAnswerError(f"version {version!r} is not an integer")
    return version


def _read_object(value: Any) -> StoredObject:
    if not isinstance(value, dict) or not isinstance(value.get("spec"), dict):
        raise BadPlatformAnswerError("object without a spec")
    kind, name = value.get("kind"), value.get("name")
    if not isinstance(kind, str) or not isinstance(name, str):
        raise BadPlatformAnswerError("object without a kind or without a name")
    return StoredObject(kind, name, _read_version(value), value["spec"])


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[WatchEvent]:
    pending = b""
    # `read1` returns the bytes that have arrived; `stream` would wait for the whole amount.
    while piece := response.read1(65536):
        pending += piece
        *lines, pending = pending.split(b"\n")
        if len(pending) > MAX_LINE_BYTES:
            raise BadPlatformAnswerError(f"watch event of over {MAX_LINE_BYTES} bytes")
        for line in lines:
            yield _read_event(line)
    raise PlatformUnavailableError("watch ended by the platform")


def _read_event(line: bytes) -> WatchEvent:
    value = _parse_object(line)
    version = _read_version(value)
    if value.get("type") == "bookmark":
        return WatchEvent(version, False, None)
    return WatchEvent(version, value.get("type") == "delete", _read_object(value.get("object")))
