"""Decoding of the store's answers, object by object: one that cannot be read hides no other."""

import json
import math
from dataclasses import dataclass
from typing import Any

import orjson

from swifttrestle.errors import BadEntryError, BadPlatformAnswerError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_text
from swifttrestle.internal.state.store_epochs import StoreRevision


@dataclass(frozen=True)
class StoredObject:
    """One object; `revision` is that of its last change."""

    kind: str
    name: str
    revision: StoreRevision
    spec: Any


@dataclass(frozen=True)
class MalformedObject:
    """An object that cannot be read; `name` is empty where that cannot be read either."""

    kind: str
    name: str
    error: BadEntryError
    content: Any


@dataclass(frozen=True)
class Change:
    """One change that a watch saw."""

    item: StoredObject | MalformedObject
    removed: bool


@dataclass(frozen=True)
class Snapshot:
    """The objects of a kind, and the store's revision from which a watch goes on.

    `malformed` are those that could not be read. Where the list is not `complete`, objects behind
    a page without any readable name are missing from it.
    """

    items: tuple[StoredObject, ...]
    revision: StoreRevision
    malformed: tuple[MalformedObject, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class Changes:
    """What a watch returned, and the revision from which the next one goes on."""

    changes: tuple[Change, ...]
    revision: StoreRevision


@dataclass(frozen=True)
class Page:
    """One page of a list; `last` is the name after which the next one begins."""

    items: tuple[StoredObject, ...]
    malformed: tuple[MalformedObject, ...]
    revision: StoreRevision
    more: bool
    last: str


def decode_answer(path: str, content: bytes) -> Any:
    """Return the JSON of an answer; raise BadPlatformAnswerError.

    Bytes that are no UTF-8 stay in the texts that hold them, as lone surrogates, and numbers that
    JSON does not have become such texts, so that only the objects which hold these cannot be
    read, and not all that came with them.
    """
    try:
        return orjson.loads(content) if content else None
    except orjson.JSONDecodeError:
        pass
    try:
        text = content.decode("utf-8", "surrogateescape")
        return json.loads(text, strict=False, parse_constant=_mark, parse_float=_read_float)
    except (ValueError, RecursionError) as error:
        raise BadPlatformAnswerError(f"{path}: the answer is not JSON: {error!r}") from None


def _mark(text: str) -> str:
    """Return a text that no writer of JSON takes."""
    return "\udcff" + text


def _read_float(text: str) -> float | str:
    value = float(text)
    return value if math.isfinite(value) else _mark(text)


def read_object(kind: str, raw: Any, epoch: int = 0) -> StoredObject:
    """Return one object of an answer of the store's `epoch`; raise BadEntryError."""
    what = f"object of kind {kind}"
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        raise BadEntryError(what, "metadata", raw, "it is missing or no map")
    metadata = raw["metadata"]
    try:
        name = check_text(metadata.get("name"))
    except ValueError as error:
        raise BadEntryError(what, "metadata.name", metadata.get("name"), str(error)) from None
    revision = metadata.get("revision")
    try:
        number = check_integer(revision, 0, MAX_INT64)
    except ValueError as error:
        raise BadEntryError(what, "metadata.revision", revision, str(error)) from None
    try:
        # Whatever JSON does not allow is a lone surrogate by now, and refused by its writer.
        orjson.dumps(raw)
    except TypeError as error:
        raise BadEntryError(what, "spec", raw.get("spec"), str(error)) from None
    return StoredObject(kind, name, StoreRevision(epoch, number), raw.get("spec"))


def read_page(kind: str, raw: Any, epoch: int = 0) -> Page:
    """Return one page of a list; raise BadPlatformAnswerError where it is none."""
    try:
        raw_items = list(raw["items"])
        number = check_integer(raw["timestamp"], 0, MAX_INT64)
        more = bool(raw.get("hasMore")) and bool(raw_items)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadPlatformAnswerError(f"a list cannot be read: {error!r}") from None
    read = [_try_object(kind, item, epoch) for item in raw_items]
    items = tuple(item for item in read if isinstance(item, StoredObject))
    malformed = tuple(item for item in read if isinstance(item, MalformedObject))
    last = next((item.name for item in reversed(read) if item.name), "")
    return Page(items, malformed, StoreRevision(epoch, number), more, last)


def read_changes(kind: str, raw: Any, epoch: int = 0) -> Changes:
    """Return what a watch answered; raise BadPlatformAnswerError where it is no answer to one."""
    try:
        events = list(raw["events"])
        number = check_integer(raw["timestamp"], 0, MAX_INT64)
    except (KeyError, TypeError, ValueError) as error:
        raise BadPlatformAnswerError(f"a watch cannot be read: {error!r}") from None
    read = tuple(_read_change(kind, event, epoch) for event in events)
    return Changes(read, StoreRevision(epoch, number))


def _read_change(kind: str, event: Any, epoch: int) -> Change:
    if not isinstance(event, dict):
        error = BadEntryError(f"event of kind {kind}", "object", event, "the event is no map")
        return Change(MalformedObject(kind, "", error, event), False)
    # A removal counts by its name alone: what the object held does not matter any more.
    return Change(_try_object(kind, event.get("object"), epoch), event.get("removed") is True)


def _try_object(kind: str, raw: Any, epoch: int) -> StoredObject | MalformedObject:
    try:
        return read_object(kind, raw, epoch)
    except BadEntryError as error:
        return MalformedObject(kind, _find_name(raw), error, raw)


def _find_name(raw: Any) -> str:
    """Return the name of an object that cannot be read, "" where that cannot be read either."""
    try:
        return check_text(raw["metadata"]["name"])
    except (KeyError, TypeError, ValueError):
        return ""
