"""Data class fields that carry their own check and description.

Settings and resources are both read from outside as plain values, both report a bad value
with its mend, and both explain themselves to an operator; this is what they share.
"""

import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import MISSING, field
from typing import Any


def described(
    doc: str, check: Callable[[Any], Any], default: Any = MISSING, *, secret: bool = False
) -> Any:
    """Describe one field; without a default it is required."""
    metadata = {"doc": doc, "check": check, "secret": secret}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def is_required(item: dataclasses.Field) -> bool:
    """Return whether the field has no default."""
    return item.default is MISSING


def write_default(item: dataclasses.Field) -> str:
    """Return the field's default for a help text."""
    if is_required(item):
        return "required"
    default = list(item.default) if isinstance(item.default, tuple) else item.default
    return f"default {default!r}"


def check_field(item: dataclasses.Field, value: Any) -> Any:
    """Return the checked value; raise ValueError with the bad value and the mend."""
    return item.metadata["check"](value)


def find_unknown(kind: type, values: Mapping[str, Any]) -> list[str]:
    """Return the names among the values that are no field of the data class."""
    known = {item.name for item in dataclasses.fields(kind)}
    return sorted(str(name) for name in values if name not in known)
