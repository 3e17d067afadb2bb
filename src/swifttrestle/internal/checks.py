"""Validation of input values.

Each check returns the value, so that it can be used in an assignment, or raises ValueError with
the rejected value and what to give instead. Callers add the name of the field.
"""

import ipaddress
import re
from collections.abc import Collection
from typing import Any, TypeVar

MAX_NAME_CHARS = 100
# Longest text taken from the platform, in characters.
MAX_TEXT_CHARS = 253
# A hundred times what the largest engines have.
MAX_SLOTS = 100_000
_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]*[a-z0-9])?")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")
_BROADCAST = ipaddress.IPv4Address("255.255.255.255")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65535
# Upper bound of counts, numbers and times in input: the largest signed 64-bit integer.
MAX_INT64 = 2**63 - 1
# Most tokens of one prompt, response or prompt part. It is far above what engines hold, and sums
# over all requests of a fleet stay below MAX_INT64.
MAX_STATED_TOKENS = 2**32 - 1
# Most requests of one workspace in one window; sums over the hosts of a fleet stay below MAX_INT64.
MAX_COUNTED_REQUESTS = 2**48
# Most upstreams that one service is taken to need, about ten times the largest fleet.
MAX_NEED = 100_000

T = TypeVar("T")


def check_name(value: Any) -> str:
    """Return a resource name: lower-case letters, digits, '-' and '.', at most 100 long."""
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS or not _NAME.fullmatch(value):
        raise ValueError(
            f"{value!r} is not a name; use lower-case letters, digits, '-' and '.', "
            f"at most {MAX_NAME_CHARS}, starting and ending with a letter or digit"
        )
    return value


def check_text(value: Any) -> str:
    """Return a non-empty text of at most MAX_TEXT_CHARS characters that can be encoded as UTF-8."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise ValueError(
            f"{value!r:.80} is not a valid text; give 1 to {MAX_TEXT_CHARS} characters"
        )
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{value!r:.80} is not valid UTF-8; give UTF-8 text") from None
    return value


def check_line(value: Any) -> str:
    """Return a text as `check_text`, without control characters."""
    return check_header_value(check_text(value))


def check_header_value(value: str) -> str:
    """Return a text without control characters, which would end a header line."""
    if _CONTROL_CHARACTER.search(value):
        raise ValueError(f"{value!r:.80} has a control character; give a text without any")
    return value


def check_bool(value: Any) -> bool:
    """Return a boolean."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is not a boolean; give true or false")
    return value


def check_integer(value: Any, low: int, high: int) -> int:
    """Return an integer between low and high, inclusive."""
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError(f"{value!r} is out of range; give a whole number from {low} to {high}")
    return value


def check_number(value: Any, low: float, high: float) -> float:
    """Return a number between low and high, inclusive, as a float."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise ValueError(f"{value!r} is out of range; give a number from {low:g} to {high:g}")
    return float(value)


def check_choice(value: Any, choices: Collection[str]) -> str:
    """Return one of the choices."""
    if not isinstance(value, str) or value not in choices:
        raise ValueError(f"{value!r} is not a choice; give one of {', '.join(sorted(choices))}")
    return value


def check_names(value: Any) -> tuple[str, ...]:
    """Return a tuple of names from a list without duplicates."""
    if not isinstance(value, list | tuple):
        raise ValueError(f"{value!r} is not a list; give a list of names")
    names = tuple(check_name(item) for item in value)
    if len(set(names)) != len(names):
        raise ValueError(f"{value!r} contains a duplicate; remove it")
    return names


def check_sha256(value: Any) -> str:
    """Return a SHA-256 digest in hexadecimal."""
    if not isinstance(value, str) or not _SHA256_HEX.fullmatch(value):
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


def parse_ip_address(value: Any) -> tuple[str, int]:
    """Return host and port of 'IP:PORT'.

    Host names are rejected, since each connection would have to resolve them, and scopes of IPv6
    addresses, which are names of one host's own interfaces.
    """
    host, port = parse_address(value)
    try:
        ip = ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{host!r:.80} is not an IP address; give IP:PORT") from None
    if "%" in host:
        raise ValueError(f"{host!r:.80} has a scope; give an address that all hosts reach")
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST or not port:
        raise ValueError(f"{value!r:.80} is not the address of one host; give its IP and port")
    return host, port


def check_address(value: Any) -> str:
    """Return an address written as 'host:port'."""
    parse_address(value)
    return str(value)
