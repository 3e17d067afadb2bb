"""Settings of the processes, from flags or else environment variables, checked at start.

Each program has one frozen data class. A field's metadata holds its check and description, from
which the help text, the error messages and docs/SETTINGS.md are made.
"""

import dataclasses
import os
from collections.abc import Mapping
from dataclasses import dataclass, fields
from functools import partial
from typing import Any, TypeVar

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.checks import (
    check_address,
    check_choice,
    check_integer,
    check_name,
    check_number,
)
from swifttrestle.internal.validated_fields import (
    check_field,
    format_default,
    is_required,
    validated_field,
)

ENV_PREFIX = "SWIFTTRESTLE_"
MIN_SECRET_CHARS = 16
S = TypeVar("S", bound="Settings")


def check_secret(value: Any) -> str:
    """Return a secret of at least MIN_SECRET_CHARS characters; errors do not show the value."""
    if not isinstance(value, str) or len(value) < MIN_SECRET_CHARS:
        raise ValueError(f"the secret is too short; give at least {MIN_SECRET_CHARS} characters")
    return value


def check_addresses(value: Any) -> str:
    """Return a comma-separated list of addresses, which may be empty."""
    for item in filter(None, str(value).split(",")):
        check_address(item)
    return str(value)


def check_platform(value: Any) -> str:
    """Return the base address of the platform's object API."""
    if not str(value).startswith(("http://", "https://")):
        raise ValueError(f"{value!r} is not an address of the object API; give http://HOST:PORT")
    return str(value).rstrip("/")


@dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of every process."""

    name: str = validated_field("Unique name of this process, kept across restarts.", check_name)
    host: str = validated_field("Name of the host, as in the platform's host list.", check_name)
    zone: str = validated_field("Availability zone of the host.", check_name)
    platform: str = validated_field(
        "Base address of the object API.", check_platform, "http://127.0.0.1:7000"
    )
    platform_key: str = validated_field(
        "Key for the object API; empty if it needs none.", str, "", secret=True
    )
    peer_listen: str = validated_field(
        "Address for streams from peers; port 0: any.", check_address, "127.0.0.1:0"
    )
    peer_advertise: str = validated_field(
        "Address that peers connect to; empty: the one listened on.", check_addresses, ""
    )
    peer_secret: str = validated_field(
        "Secret shared by the system's processes.", check_secret, secret=True
    )
    peer_seeds: str = validated_field(
        "Peers to connect to at start, comma-separated.", check_addresses, ""
    )
    ops_listen: str = validated_field(
        "Operators' port: /metrics, /debug/state.", check_address, "127.0.0.1:0"
    )
    log_format: str = validated_field(
        "Format of log lines: text or json.",
        partial(check_choice, choices=("text", "json")),
        "text",
    )
    log_level: str = validated_field(
        "Lowest level of log lines.",
        partial(check_choice, choices=("DEBUG", "INFO", "WARNING", "ERROR")),
        "INFO",
    )
    heartbeat_seconds: float = validated_field(
        "Seconds between heartbeats to a peer.", partial(check_number, low=0.05, high=60), 1.0
    )

    @property
    def seeds(self) -> tuple[str, ...]:
        """The addresses of `peer_seeds`."""
        return tuple(filter(None, self.peer_seeds.split(",")))

    def show(self) -> dict[str, Any]:
        """Return all settings for the state dump, with secrets masked."""
        values = {}
        for item in fields(self):
            is_secret = item.metadata["secret"]
            values[item.name] = "(secret)" if is_secret else getattr(self, item.name)
        return values


@dataclass(frozen=True, kw_only=True)
class EntrySettings(Settings):
    """Settings of `swifttrestle-entry`."""

    listen: str = validated_field("Address for callers.", check_address, "127.0.0.1:8080")
    threads: int = validated_field(
        "Threads for requests that wait or have no first token yet.",
        partial(check_integer, low=8, high=1024),
        96,
    )
    max_body_bytes: int = validated_field(
        "Maximum size of a request's body, in bytes.",
        partial(check_integer, low=1024, high=1 << 30),
        4000000,
    )
    max_header_bytes: int = validated_field(
        "Maximum size of a request's header, in bytes.",
        partial(check_integer, low=1024, high=1 << 20),
        32768,
    )
    max_streams: int = validated_field(
        "Maximum number of streams open at once.", partial(check_integer, low=1, high=100000), 4000
    )
    stall_seconds: float = validated_field(
        "Seconds without a token after which a stream is resumed on another engine.",
        partial(check_number, low=0.2, high=600),
        10.0,
    )
    connect_seconds: float = validated_field(
        "Seconds to connect to an upstream.", partial(check_number, low=0.05, high=60), 1.0
    )
    report_seconds: float = validated_field(
        "Seconds between load reports read from an upstream.",
        partial(check_number, low=0.05, high=60),
        0.5,
    )
    stop_seconds: float = validated_field(
        "Maximum seconds a planned stop waits for open requests.",
        partial(check_number, low=0, high=3600),
        120.0,
    )
    seed: int = validated_field(
        "Seed of random choices; 0 derives one from the name.",
        partial(check_integer, low=0, high=1 << 62),
        0,
    )


@dataclass(frozen=True, kw_only=True)
class ControllerSettings(Settings):
    """Settings of `swifttrestle-controller`."""

    lease_seconds: float = validated_field(
        "Seconds a lease lasts after a renewal.", partial(check_number, low=0.5, high=300), 8.0
    )
    lease_margin_seconds: float = validated_field(
        "Seconds before its end at which a holder stops, and after it before another takes over.",
        partial(check_number, low=0.05, high=60),
        1.0,
    )
    tick_seconds: float = validated_field(
        "Seconds between checks of a pool.", partial(check_number, low=0.02, high=60), 0.5
    )
    host_lag_seconds: float = validated_field(
        "Seconds by which the host list may lag.", partial(check_number, low=0, high=600), 10.0
    )
    status_seconds: float = validated_field(
        "Minimum seconds between two writes of status.",
        partial(check_number, low=0.1, high=600),
        2.0,
    )


def load_settings(kind: type[S], flags: Mapping[str, Any], env: Mapping[str, str]) -> S:
    """Return checked settings; raise InvalidSettingError with the name, the value and the fix."""
    fields_by_name = {item.name: item for item in fields(kind)}
    for flag in flags:
        if flag not in fields_by_name:
            raise InvalidSettingError(f"--{flag} is not a setting; see --help for the known ones")
    values: dict[str, Any] = {}
    for name, item in fields_by_name.items():
        found = _find_value(name, flags, env)
        if found is None:
            if is_required(item):
                raise InvalidSettingError(
                    f"{_describe_source(name)} is not set; give {item.metadata['doc']}"
                )
            continue
        source, raw = found
        values[name] = _check_value(item, source, raw)
    return kind(**values)


def _describe_source(name: str) -> str:
    return f"--{name} (or {ENV_PREFIX}{name.upper()})"


def _find_value(
    name: str, flags: Mapping[str, Any], env: Mapping[str, str]
) -> tuple[str, Any] | None:
    if name in flags:
        return f"--{name}", flags[name]
    variable = ENV_PREFIX + name.upper()
    if variable in env:
        return variable, env[variable]
    return None


def _check_value(item: dataclasses.Field, source: str, raw: Any) -> Any:
    try:
        return check_field(item, _convert(item, raw))
    except ValueError as error:
        raise InvalidSettingError(f"{source}: {error}") from None


def _convert(item: dataclasses.Field, raw: Any) -> Any:
    # The command-line library parses the values of flags and may turn the text `123` into a
    # number; environment variables are always text.
    target_type = (
        item.type
        if isinstance(item.type, type)
        else {"int": int, "float": float}.get(str(item.type), str)
    )
    if target_type is str:
        return str(raw)
    try:
        return target_type(raw)
    except (TypeError, ValueError):
        raise ValueError(f"{raw!r} is not a number; give a {target_type.__name__}") from None


def describe_settings(kind: type[Settings], program: str) -> str:
    """Return the help text of a program: each flag, its default and its description."""
    lines = [f"{program}: flags, each also as {ENV_PREFIX}<NAME> in the environment", ""]
    for item in fields(kind):
        lines.append(f"  --{item.name}=VALUE  ({format_default(item)})")
        lines.append(f"      {item.metadata['doc']}")
    return "\n".join(lines)


def read_environment() -> Mapping[str, str]:
    """Return the environment of this process."""
    return os.environ
