"""Data class fields that carry a check and a description.

Settings and resources are parsed from plain values and print their own reference; both use these
fields for validation, error messages and help texts.
"""

import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import MISSING, field
from typing import Any


def validated_field(
    doc: str, check: Callable[[Any], Any], default: Any = MISSING, *, secret: bool = False
) -> Any:
    """Return a field with its description and check; without a default it is required."""
    metadata = {"doc": doc, "check": check, "secret": secret}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def is_required(item: dataclasses.Field) -> bool:
    """Return whether the field has no default."""
    return item.default is MISSING


def format_default(item: dataclasses.Field) -> str:
    """Return the field's default for a help text."""
    if is_required(item):
        return "required"
    default = list(item.default) if isinstance(item.default, tuple) else item.default
    return f"default {default!r}"


def check_field(item: dataclasses.Field, value: Any) -> Any:
    """Return the checked value; raise ValueError with the value and what to give instead."""
    return item.metadata["check"](value)


def find_unknown(kind: type, values: Mapping[str, Any]) -> list[str]:
    """Return the keys of `values` that are not fields of the data class."""
    known = {item.name for item in dataclasses.fields(kind)}
    return sorted(str(name) for name in values if name not in known)
