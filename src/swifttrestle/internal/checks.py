"""Checks of arguments as they come in; each message shows the bad value and the mend.

Each check returns the value it was given, so that it can stand in an assignment, and
raises ValueError otherwise. Callers wrap that error with the name of the field.
"""

import ipaddress
import re
from collections.abc import Collection
from typing import Any, TypeVar

NAME_LIMIT = 100
# Characters of a name that others choose: four times what the platform's own have.
TEXT_LIMIT = 253
_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
_HEX64 = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65535
# The largest count, number or time that another's word may hold: a signed number of 64 bits.
MAX_INT64 = 2**63 - 1

T = TypeVar("T")


def check_name(value: Any) -> str:
    """Return a resource name: lower-case letters, digits, '-' and '.', at most 100 long."""
    if not isinstance(value, str) or len(value) > NAME_LIMIT or not _NAME.fullmatch(value):
        raise ValueError(
            f"{value!r} is not a name; use lower-case letters, digits, '-' and '.', "
            f"at most {NAME_LIMIT}, starting and ending with a letter or digit"
        )
    return value


def check_text(value: Any) -> str:
    """Return a text that is not empty, at most TEXT_LIMIT characters long, all of them UTF-8."""
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT:
        raise ValueError(f"{value!r:.80} is not a text; give 1 to {TEXT_LIMIT} characters")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{value!r:.80} holds bytes that are no UTF-8; write it again") from None
    return value


def check_bool(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not a truth value; give true or false")
    return value


def check_integer(value: Any, low: int, high: int) -> int:
    """Return a whole number between low and high, both included."""
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError(f"{value!r} is out of range; give a whole number from {low} to {high}")
    return value


def check_number(value: Any, low: float, high: float) -> float:
    """Return a number between low and high, both included, as a float."""
    good = isinstance(value, int | float) and not isinstance(value, bool)
    if not good or not low <= value <= high:
        raise ValueError(f"{value!r} is out of range; give a number from {low:g} to {high:g}")
    return float(value)


def check_choice(value: Any, choices: Collection[str]) -> str:
    """Return one of the choices."""
    if not isinstance(value, str) or value not in choices:
        raise ValueError(f"{value!r} is not a choice; give one of {', '.join(sorted(choices))}")
    return value


def check_names(value: Any) -> tuple[str, ...]:
    """Return a tuple of names from a list without doubles."""
    if not isinstance(value, list | tuple):
        raise ValueError(f"{value!r} is not a list; give a list of names")
    names = tuple(check_name(item) for item in value)
    if len(set(names)) != len(names):
        raise ValueError(f"{value!r} names one thing twice; drop the double")
    return names


def check_sha256(value: Any) -> str:
    """Return a SHA-256 digest in hexadecimal."""
    if not isinstance(value, str) or not _HEX64.fullmatch(value):
        raise ValueError(
            f"{str(value)[:8]!r}... is not a SHA-256 digest; give 64 lower-case hexadecimal "
            "digits, as printed by `swifttrestle-ctl hash`"
        )
    return value


def parse_address(value: Any) -> tuple[str, int]:
    """Return host and port of 'host:port'."""
    host, _, port = str(value).rpartition(":")
    numeric = port.isascii() and port.isdigit()
    if not isinstance(value, str) or not host or not numeric or int(port) > MAX_PORT:
        raise ValueError(f"{value!r} is not an address; give HOST:PORT, such as 127.0.0.1:8080")
    return host, int(port)


def split_ip_address(value: Any) -> tuple[str, int]:
    """Return host and port of 'IP:PORT'; a name would have to be looked up at each connection."""
    host, port = parse_address(value)
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r:.80} is not an IP number; give IP:PORT") from None
    if ip.is_unspecified or ip.is_multicast or not port:
        raise ValueError(f"{value!r:.80} is nobody's address; give the IP and port of one host")
    return host, port


def check_address(value: Any) -> str:
    """Return an address written as 'host:port'."""
    parse_address(value)
    return str(value)
