"""Streams' origins as they are stored: routes' defaults, and the notes of each host."""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.checks import MAX_INT64, check_integer
from swifttrestle.internal.policy.default_origins import DefaultOrigin
from swifttrestle.internal.protocol.stream_builds import MAX_NAME_CHARACTERS, MAX_STREAM_BYTES
from swifttrestle.internal.state.stream_builds import StreamOrigin

STREAM_KIND = "swifttrestle-streams"
DEFAULTS_NAME = "defaults"
# The name of a host's notes is this and the host's name.
NOTES_PREFIX = "notes."


@dataclass(frozen=True)
class StoredDefaults:
    """Default origins by the location of their route, and the store's epoch that they hold in.

    A store that was restored from a copy lacks notes, so that streams without one may have begun
    anywhere.
    """

    defaults: Mapping[str, DefaultOrigin]
    epoch: int


@dataclass(frozen=True)
class StoredNotes:
    """Where a host's streams began; not all of them if it is not `complete`."""

    origins: Mapping[bytes, StreamOrigin]
    complete: bool = True


def format_defaults(stored: StoredDefaults) -> dict[str, Any]:
    """Return the stored form of routes' default origins."""
    routes = {
        name: [item.origin.service, item.origin.build, item.settled]
        for name, item in stored.defaults.items()
    }
    return {"routes": routes, "epoch": stored.epoch}


def parse_defaults(spec: Any) -> StoredDefaults:
    """Return routes' default origins; raise BadEntryError."""
    match spec:
        case {"routes": dict(routes), "epoch": int(epoch)}:
            defaults = {name: _parse_default(item) for name, item in routes.items()}
            return StoredDefaults(defaults, _check_epoch(epoch))
    raise BadEntryError("default origins", "routes", spec, "a field is missing or of another type")


def _check_epoch(epoch: int) -> int:
    try:
        return check_integer(epoch, 0, MAX_INT64)
    except ValueError as error:
        raise BadEntryError("default origins", "epoch", epoch, str(error)) from None


def format_notes(notes: StoredNotes) -> dict[str, Any]:
    """Return the stored form of a host's notes."""
    streams: dict[StreamOrigin, list[str]] = defaultdict(list)
    for stream, origin in notes.origins.items():
        streams[origin].append(stream.decode("latin-1"))
    groups = [[item.service, item.build, names] for item, names in streams.items()]
    return {"origins": groups, "complete": notes.complete}


def parse_notes(spec: Any) -> StoredNotes:
    """Return a host's notes; raise BadEntryError."""
    match spec:
        case {"origins": list(groups), "complete": bool(complete)}:
            origins = {
                stream: origin for group in groups for stream, origin in _parse_group(group).items()
            }
            return StoredNotes(origins, complete)
    raise BadEntryError(
        "notes of streams", "origins", spec, "a field is missing or of another type"
    )


def _parse_group(raw: Any) -> dict[bytes, StreamOrigin]:
    match raw:
        case [service, build, list(names)]:
            origin = _parse_origin("origins", service, build)
            return {_parse_stream(name): origin for name in names}
    raise BadEntryError("notes of streams", "origins", raw, "it is no origin with its streams")


def _parse_stream(raw: Any) -> bytes:
    try:
        stream: bytes = raw.encode("latin-1")
    except (AttributeError, UnicodeError) as error:
        raise BadEntryError("notes of streams", "origins", raw, str(error)) from None
    if len(stream) > MAX_STREAM_BYTES:
        raise BadEntryError("notes of streams", "origins", raw, f"over {MAX_STREAM_BYTES} bytes")
    return stream


def _parse_default(raw: Any) -> DefaultOrigin:
    match raw:
        case [service, build, bool(settled)]:
            return DefaultOrigin(_parse_origin("routes", service, build), settled)
    raise BadEntryError("default origins", "routes", raw, "it is no service and version")


def _parse_origin(field: str, service: Any, build: Any) -> StreamOrigin:
    for name in (service, build):
        if not isinstance(name, str) or len(name) > MAX_NAME_CHARACTERS:
            raise BadEntryError("a stream's origin", field, name, "it is no service or version")
    return StreamOrigin(service, build)
