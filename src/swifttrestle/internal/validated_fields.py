"""Data class fields that carry a check and a description.

Settings and resources are parsed from plain values and print their own reference; both use these
fields for validation, error messages and help texts.
"""

import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, field
from typing import Any


@dataclass(frozen=True)
class InvalidField:
    """A field with an invalid value; `message` has the value and what to give instead."""

    name: str
    message: str


class InvalidFieldsError(ValueError):
    """One or more fields of an object are invalid."""

    def __init__(self, faults: tuple[InvalidField, ...]) -> None:
        """Store all faults."""
        super().__init__("; ".join(f"{fault.name}: {fault.message}" for fault in faults))
        self.faults = faults


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


def check_fields(kind: type, values: Mapping[str, Any], label: str) -> dict[str, Any]:
    """Return the checked values of a data class; raise InvalidFieldsError with all faults.

    `label` names the object in messages. Faults in an object that is itself the value of a field
    are named FIELD.NAME.
    """
    known = ", ".join(item.name for item in dataclasses.fields(kind))
    faults = [
        InvalidField(repr(name), f"no field of {label}; remove it or give one of {known}")
        for name in find_unknown(kind, values)
    ]
    checked: dict[str, Any] = {}
    for item in dataclasses.fields(kind):
        if item.name not in values:
            if is_required(item):
                faults.append(InvalidField(item.name, f"missing; {item.metadata['doc']}"))
            continue
        try:
            checked[item.name] = check_field(item, values[item.name])
        except InvalidFieldsError as error:
            faults.extend(InvalidField(f"{item.name}.{f.name}", f.message) for f in error.faults)
        except ValueError as error:
            faults.append(InvalidField(item.name, str(error)))
    if faults:
        raise InvalidFieldsError(tuple(faults))
    return checked
