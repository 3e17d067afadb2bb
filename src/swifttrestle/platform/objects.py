"""Decodes the object store's responses; a malformed object does not affect the others."""

import json
import math
import re
from dataclasses import dataclass
from typing import Any

import orjson

from swifttrestle.errors import BadEntryError, BadPlatformAnswerError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_line
from swifttrestle.internal.decoding import MAX_DEPTH, decode_json, is_too_deep
from swifttrestle.internal.state.store_epochs import StoreRevision

# Digits of a readable whole number; more than those of any that the store uses.
MAX_DIGITS = 400
# Strings, or runs of brackets of one kind.
_STRING_OR_BRACKETS = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{]+|[\]}]+', re.DOTALL)
_OPENING = ("[", "{")
_CLOSING = ("]", "}")


@dataclass(frozen=True)
class StoredObject:
    """One object; `revision` is the revision of its last change."""

    kind: str
    name: str
    revision: StoreRevision
    spec: Any


@dataclass(frozen=True)
class MalformedObject:
    """A malformed object; `name` is empty if the name cannot be read."""

    kind: str
    name: str
    error: BadEntryError
    content: Any


@dataclass(frozen=True)
class Change:
    """One change that a watch returned."""

    item: StoredObject | MalformedObject
    removed: bool


@dataclass(frozen=True)
class Snapshot:
    """The objects of a kind, and the revision from which to watch for changes.

    If the list is not `complete`, it lacks the objects after a page on which no name could be
    read.
    """

    items: tuple[StoredObject, ...]
    revision: StoreRevision
    malformed: tuple[MalformedObject, ...] = ()
    complete: bool = True


@dataclass(frozen=True)
class Changes:
    """The changes that a watch returned, and the revision from which the next watch continues."""

    changes: tuple[Change, ...]
    revision: StoreRevision


@dataclass(frozen=True)
class ListPage:
    """One page of a list; the next page begins after the name `last`.

    That may be the name of a malformed object, of any length and with lone surrogates. It is empty
    if the page has no name.
    """

    items: tuple[StoredObject, ...]
    malformed: tuple[MalformedObject, ...]
    revision: StoreRevision
    more: bool
    last: str


def decode_answer(path: str, content: bytes) -> Any:
    """Return the decoded JSON of a response; raise BadPlatformAnswerError.

    Invalid UTF-8, numbers that JSON does not allow or that are too long, and values that are nested
    too deeply are decoded to texts with lone surrogates, which `read_object` rejects. So only the
    objects with such values are malformed.
    """
    try:
        return decode_json(content) if content else None
    except ValueError:
        pass
    try:
        return _decode_slowly(content.decode("utf-8", "surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise BadPlatformAnswerError(f"{path}: the answer is not JSON: {error!r}") from None


def _decode_slowly(text: str) -> Any:
    """Return decoded JSON with its invalid values marked; raise ValueError."""
    try:
        value = _load_marked(text)
    except RecursionError:
        value = None
    if value is not None and not is_too_deep(value):
        return value
    return _load_marked(_cut_deep_values(text))


def _load_marked(text: str) -> Any:
    return json.loads(
        text,
        strict=False,
        parse_constant=_mark_invalid,
        parse_float=_read_float,
        parse_int=_read_integer,
    )


def _mark_invalid(text: str) -> str:
    """Return a text with a lone surrogate, which cannot be encoded as JSON."""
    return "\udcff" + text


def _cut_deep_values(text: str) -> str:
    """Replace the values below MAX_DEPTH by texts that are no valid ones."""
    parts, depth, kept_to = [], 0, 0
    for token in _STRING_OR_BRACKETS.finditer(text):
        first, count = token[0][0], len(token[0])
        if first in _OPENING:
            if depth <= MAX_DEPTH < depth + count:
                parts += [
                    text[kept_to : token.start() + MAX_DEPTH - depth],
                    json.dumps(_mark_invalid("too deep")),
                ]
            depth += count
        elif first in _CLOSING:
            if depth - count <= MAX_DEPTH < depth:
                kept_to = token.start() + depth - MAX_DEPTH
            depth -= count
    return "".join([*parts, text[kept_to:]])


def _read_integer(text: str) -> int | str:
    return int(text) if len(text) <= MAX_DIGITS else _mark_invalid(text[:MAX_DIGITS])


def _read_float(text: str) -> float | str:
    value = float(text)
    return value if math.isfinite(value) else _mark_invalid(text)


def read_object(kind: str, raw: Any, epoch: int = 0) -> StoredObject:
    """Return one object of a response of the store's `epoch`; raise BadEntryError."""
    subject = f"object of kind {kind}"
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        raise BadEntryError(subject, "metadata", raw, "it is missing or not a JSON object")
    metadata = raw["metadata"]
    try:
        name = check_line(metadata.get("name"))
    except ValueError as error:
        raise BadEntryError(subject, "metadata.name", metadata.get("name"), str(error)) from None
    revision = metadata.get("revision")
    try:
        number = check_integer(revision, 0, MAX_INT64)
    except ValueError as error:
        raise BadEntryError(subject, "metadata.revision", revision, str(error)) from None
    try:
        # Values that are not valid JSON are lone surrogates here, which cannot be encoded.
        orjson.dumps(raw)
    except TypeError as error:
        raise BadEntryError(subject, "spec", raw.get("spec"), str(error)) from None
    return StoredObject(kind, name, StoreRevision(epoch, number), raw.get("spec"))


def read_page(kind: str, raw: Any, epoch: int = 0) -> ListPage:
    """Return one page of a list; raise BadPlatformAnswerError."""
    try:
        raw_items = list(raw["items"])
        number = check_integer(raw["timestamp"], 0, MAX_INT64)
        more = bool(raw.get("hasMore")) and bool(raw_items)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadPlatformAnswerError(f"a list of the store cannot be read: {error!r}") from None
    read = [_read_object_or_error(kind, item, epoch) for item in raw_items]
    items = tuple(item for item in read if isinstance(item, StoredObject))
    malformed = tuple(item for item in read if isinstance(item, MalformedObject))
    last = next(filter(None, map(_find_any_name, reversed(raw_items))), "")
    return ListPage(items, malformed, StoreRevision(epoch, number), more, last)


def _find_any_name(raw: Any) -> str:
    """Return the name of an object, valid or not, or "" if it has none."""
    try:
        name = raw["metadata"]["name"]
    except (KeyError, TypeError):
        return ""
    return name if isinstance(name, str) else ""


def read_changes(kind: str, raw: Any, epoch: int = 0) -> Changes:
    """Return the changes of a watch's response; raise BadPlatformAnswerError."""
    try:
        events = list(raw["events"])
        number = check_integer(raw["timestamp"], 0, MAX_INT64)
    except (KeyError, TypeError, ValueError) as error:
        raise BadPlatformAnswerError(f"the response to a watch cannot be read: {error!r}") from None
    read = tuple(_read_change(kind, event, epoch) for event in events)
    return Changes(read, StoreRevision(epoch, number))


def _read_change(kind: str, event: Any, epoch: int) -> Change:
    if not isinstance(event, dict):
        error = BadEntryError(
            f"event of kind {kind}", "object", event, "the event is not a JSON object"
        )
        return Change(MalformedObject(kind, "", error, event), False)
    # Of a removed object only the name matters, so its content may be malformed.
    return Change(
        _read_object_or_error(kind, event.get("object"), epoch), event.get("removed") is True
    )


def _read_object_or_error(kind: str, raw: Any, epoch: int) -> StoredObject | MalformedObject:
    try:
        return read_object(kind, raw, epoch)
    except BadEntryError as error:
        return MalformedObject(kind, _find_name(raw), error, raw)


def _find_name(raw: Any) -> str:
    """Return the name of a malformed object, or "" if the name cannot be read."""
    try:
        return check_line(raw["metadata"]["name"])
    except (KeyError, TypeError, ValueError):
        return ""
