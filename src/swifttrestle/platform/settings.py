"""Reads and validates the settings file that the platform provides on each host."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.checks import check_bool, check_integer, check_number, parse_address
from swifttrestle.internal.state.declared import QuotaTolerance

PATH_VARIABLE = "SWIFTTRESTLE_BOOT"
MAX_PORT = 65535
MAX_DURATION_MS = 3_600_000
BYTES_PER_MB = 1_000_000
# Highest number of units by which a quota may be exceeded; whole numbers up to it are exact.
MAX_QUOTA_SLACK = 2**53
# Highest share by which a quota may be exceeded.
MAX_QUOTA_OVERAGE = 100

Address = tuple[str, int]


@dataclass(frozen=True)
class Bounds:
    """Limits that the platform sets; all in seconds, except for retries and quotas.

    `revocation_seconds` is how long a removed key may still be accepted, infinite if there is no
    limit. `usage_window_seconds` is the length of the windows in which workspaces' requests are
    counted, 0 if usage is not counted. `quota` is how far quotas may be exceeded.
    """

    stop: float
    lease: float
    retry_share: float
    retry_window_seconds: float
    retry_extra: float
    revocation_seconds: float = float("inf")
    usage_window_seconds: float = 0.0
    quota: QuotaTolerance = QuotaTolerance()


@dataclass(frozen=True)
class DutySettings:
    """The address of the platform's duty API, and the calls that it requires."""

    address: Address
    usage: bool
    scaling: bool


@dataclass(frozen=True)
class HostSettings:
    """One host's settings.

    `internal_port` is the first port that peers may use. `link_mbps` is the speed of the host's
    network link in megabits per second, 0 if unknown. `regions` has the region of each
    availability zone, as far as known. `memory_bytes` limits the memory of the process, infinite if
    there is no limit.
    """

    host: str
    ip: str
    zone: str
    callers: Address
    readiness: Address
    internal_port: int
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    duties: DutySettings | None = None
    link_mbps: float = 0.0
    memory_bytes: float = float("inf")
    regions: dict[str, str] = field(default_factory=dict)
    # Writes per second that all hosts together may make to the store, 0 if unknown.
    store_writes_per_second: float = 0.0
    # Whether the whole system starts for the first time.
    first_start: bool = False


def load_host_settings(env: Mapping[str, str] = os.environ) -> HostSettings:
    """Read the settings file named by the environment; raise InvalidSettingError."""
    path = env.get(PATH_VARIABLE)
    if not path:
        raise InvalidSettingError(f"{PATH_VARIABLE} is not set; give the path of the settings file")
    try:
        raw = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise InvalidSettingError(f"{PATH_VARIABLE}={path}: {error}; make it readable") from None
    except orjson.JSONDecodeError as error:
        raise InvalidSettingError(f"{path} is not JSON: {error}; correct it") from None
    return read_host_settings(raw)


def read_host_settings(raw: Any) -> HostSettings:
    """Return the settings from the file's values; unknown fields are ignored."""
    table = _Table(raw, "")
    listen = table.table("listen")
    bounds = table.table("bounds")
    limits = table.optional_table("limits")
    return HostSettings(
        host=table.text("nodeName"),
        ip=table.text("ip"),
        zone=table.text("zone"),
        callers=listen.address("front"),
        readiness=listen.address("ready"),
        internal_port=table.first_port("internalPorts"),
        # Seeds are given by their control addresses. Only the host part is used, since peers
        # communicate on the internal ports, which are the same on all hosts.
        seeds=tuple(table.addresses("seeds")),
        link_mbps=limits.optional_number("linkMbps"),
        memory_bytes=limits.optional_number("memoryMb") * BYTES_PER_MB or float("inf"),
        regions=table.texts("zones"),
        store=table.table("platform").address("address"),
        store_writes_per_second=table.table("platform").optional_number("writesPerS"),
        first_start=table.optional_bool("bootstrap"),
        bounds=Bounds(
            stop=bounds.number("graceS", 0, MAX_DURATION_MS / 1000),
            lease=bounds.number("leaseMs", 0, MAX_DURATION_MS) / 1000,
            retry_share=bounds.number("budgetRatio", 0, 100),
            retry_window_seconds=bounds.number("budgetWindowS", 0.1, MAX_DURATION_MS / 1000),
            retry_extra=bounds.number("budgetExtra", 0, 1e9),
            revocation_seconds=_read_revocation(bounds),
            usage_window_seconds=bounds.optional_number("reportWindowS"),
            quota=_read_quota_tolerance(bounds),
        ),
        duties=_read_duties(table.optional_table("cloudApi")),
    )


def _read_revocation(bounds: "_Table") -> float:
    if not bounds.optional_bool("strictRevoke"):
        return float("inf")
    return bounds.number("revokeMs", 0, MAX_DURATION_MS) / 1000


def _read_quota_tolerance(bounds: "_Table") -> QuotaTolerance:
    return QuotaTolerance(
        window_seconds=bounds.optional_number("quotaWindowS", MAX_DURATION_MS / 1000),
        overage=bounds.optional_number("quotaOverage", MAX_QUOTA_OVERAGE),
        slack=bounds.optional_number("quotaSlack", MAX_QUOTA_SLACK),
    )


def _read_duties(table: "_Table") -> DutySettings | None:
    if not table.has("address"):
        return None
    names = table.optional_list("duties")
    return DutySettings(table.address("address"), "metering" in names, "autoscale" in names)


class _Table:
    """A JSON object with validated access; errors have the field, its value and the fix."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise InvalidSettingError(f"{path or 'the file'} is {raw!r}; give an object")
        self._raw = raw
        self._path = path

    def table(self, name: str) -> "_Table":
        return _Table(self._find(name), self._path + name + ".")

    def optional_table(self, name: str) -> "_Table":
        return _Table(self._raw.get(name) or {}, self._path + name + ".")

    def optional_number(self, name: str, high: float = float("inf")) -> float:
        if self._raw.get(name) is None:
            return 0.0
        return self.number(name, 0, high)

    def optional_bool(self, name: str) -> bool:
        if self._raw.get(name) is None:
            return False
        return bool(self._check(name, check_bool))

    def optional_list(self, name: str) -> list[Any]:
        value = self._raw.get(name) or []
        if not isinstance(value, list):
            raise InvalidSettingError(f"{self._path}{name} is {value!r}; give a list")
        return value

    def has(self, name: str) -> bool:
        return self._raw.get(name) is not None

    def text(self, name: str) -> str:
        value = self._find(name)
        if not isinstance(value, str) or not value:
            raise InvalidSettingError(f"{self._path}{name} is {value!r}; give a non-empty text")
        return value

    def texts(self, name: str) -> dict[str, str]:
        """Return an optional table of texts, empty if it is missing."""
        value = self._raw.get(name) or {}
        if not isinstance(value, dict) or not all(isinstance(v, str) for v in value.values()):
            raise InvalidSettingError(f"{self._path}{name} is {value!r}; give a table of texts")
        return value

    def number(self, name: str, low: float, high: float) -> float:
        return self._check(name, lambda value: check_number(value, low, high))

    def address(self, name: str) -> Address:
        return self._check(name, parse_address)

    def addresses(self, name: str) -> list[Address]:
        value = self._raw.get(name, [])
        return self._wrap(name, lambda: [parse_address(item) for item in value])

    def first_port(self, name: str) -> int:
        return self._check(name, lambda ports: check_integer(ports[0], 1, MAX_PORT))

    def _find(self, name: str) -> Any:
        if name not in self._raw:
            raise InvalidSettingError(f"{self._path}{name} is missing; add it")
        return self._raw[name]

    def _check(self, name: str, check: Any) -> Any:
        value = self._find(name)
        return self._wrap(name, lambda: check(value))

    def _wrap(self, name: str, read: Any) -> Any:
        try:
            return read()
        except (ValueError, TypeError, IndexError, KeyError) as error:
            raise InvalidSettingError(f"{self._path}{name}: {error}") from None
