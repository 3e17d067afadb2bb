"""Decodes the configuration and the discovery records of the platform's store."""

from collections.abc import Callable
from typing import Any, TypeVar

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.checks import (
    MAX_INT64,
    MAX_NEED,
    MAX_SLOTS,
    check_bool,
    check_choice,
    check_integer,
    check_line,
    check_number,
    check_text,
    parse_ip_address,
)
from swifttrestle.internal.state.declared import (
    Configuration,
    EngineTraits,
    Limits,
    Quota,
    QuotaUnit,
    RetrySafety,
    Role,
    Route,
    Scaling,
    ServiceDeclaration,
    Target,
    UpstreamRecord,
    Workspace,
)
from swifttrestle.internal.state.workspaces import digest_key

CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"
# Number of the least urgent priority; smaller numbers are more urgent, as in engines.
LOWEST_PRIORITY = 9
# Highest number in a quota: whole numbers up to it are exact in any reader of JSON.
MAX_QUOTA_NUMBER = 2**53
# Highest number that is no count, such as a time: MAX_INT64 as it is rounded.
MAX_NUMBER = float(MAX_INT64)
# Longest key, limited by the size of request headers.
MAX_KEY_CHARS = 16 * 1024
_DRAINING = "draining"
# Shown in errors instead of a value that may contain keys.
_HIDDEN = "(not shown: it may contain keys)"
_STATES = ("ready", _DRAINING)
_PHASES = (Role.PREFILL.value, Role.DECODE.value)
_QUOTA_UNITS = tuple(unit.value for unit in QuotaUnit)

T = TypeVar("T")


def read_upstream(instance: str, spec: Any) -> UpstreamRecord:
    """Return one discovery record; raise BadEntryError.

    Unused fields are checked too, since an invalid one shows that another program has written the
    record. Its field `seq` counts heartbeats, unlike the `seq` of an engine's report.
    """
    fields = _Fields(f"record of {instance}", spec)
    fields.read_optional("seq", lambda value: check_integer(value, 0, MAX_INT64))
    fields.read_optional("coldRemainingMs", lambda value: check_number(value, 0, MAX_INT64))
    fields.read_optional("models", _check_list)
    return UpstreamRecord(
        instance=instance,
        service=fields.read("service", check_line),
        address=fields.read("address", parse_ip_address),
        zone=fields.read("zone", check_line),
        slots=fields.read("slots", lambda value: check_integer(value, 1, MAX_SLOTS)),
        leaving=fields.read("state", lambda value: check_choice(value, _STATES)) == _DRAINING,
        role=Role(
            fields.read_optional("phase", lambda value: check_choice(value, _PHASES)) or "none"
        ),
        born=fields.read_optional("born", lambda value: check_integer(value, 1, MAX_INT64)) or 0,
        reclaimable=fields.read_optional("spot", check_bool) or False,
        leaves_in=_to_seconds(
            fields.read_optional("leaves_ms", lambda value: check_number(value, 0, MAX_INT64))
        ),
        build=fields.read_optional("version", check_line) or "",
    )


def _to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / 1000


class _Fields:
    """The fields of one entry, each checked when it is read."""

    def __init__(self, subject: str, spec: Any) -> None:
        """Read from `spec`; raise BadEntryError if it is not a JSON object."""
        if not isinstance(spec, dict):
            raise BadEntryError(subject, "spec", spec, "it is not a JSON object")
        self._subject = subject
        self._spec = spec

    def read(self, name: str, check: Callable[[Any], T]) -> T:
        """Return a required field; raise BadEntryError."""
        if self._spec.get(name) is None:
            raise BadEntryError(self._subject, name, None, "it is missing")
        return self._check(name, check)

    def read_optional(self, name: str, check: Callable[[Any], T]) -> T | None:
        """Return an optional field, None if it is missing; raise BadEntryError."""
        return self._check(name, check) if self._spec.get(name) is not None else None

    def _check(self, name: str, check: Callable[[Any], T]) -> T:
        value = self._spec[name]
        try:
            return check(value)
        except ValueError as error:
            raise BadEntryError(self._subject, name, value, str(error)) from None


def _check_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError(f"{value!r:.80} is not a list; give a list")
    return value


def read_configuration(spec: Any) -> Configuration:
    """Return a configuration; raise BadEntryError, which does not show the content."""
    try:
        return _read_configuration(spec)
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise BadEntryError("configuration", "spec", _HIDDEN, repr(error)) from None


def _read_configuration(spec: Any) -> Configuration:
    services = [_read_service(item) for item in spec.get("services", [])]
    return Configuration(
        version=check_integer(spec["version"], 1, MAX_INT64),
        routes=tuple(_read_route(item) for item in spec.get("routes", [])),
        services={service.name: service for service in services},
        limits=_read_limits(spec.get("limits") or {}),
        workspaces=_read_workspaces(spec.get("tenants")),
    )


def _read_workspaces(raw: Any) -> tuple[Workspace, ...] | None:
    """Return the workspaces, or None if no keys are needed; errors do not show keys."""
    if raw is None:
        return None
    if not isinstance(raw, list):
        raise BadEntryError("configuration", "tenants", _HIDDEN, "it is not a list")
    workspaces = tuple(_read_workspace(item) for item in raw)
    used_digests: set[bytes] = set()
    for item in workspaces:
        if used_digests & item.key_digests:
            raise BadEntryError(
                f"workspace {item.name}", "apiKeys", _HIDDEN, "another workspace has the same key"
            )
        used_digests |= item.key_digests
    return workspaces


def _read_workspace(raw: Any) -> Workspace:
    if not isinstance(raw, dict):
        raise BadEntryError("configuration", "tenants", _HIDDEN, "a workspace is not a JSON object")
    name = _Fields("workspace", raw).read("name", check_text)
    fields = _Fields(f"workspace {name}", raw)
    keys = raw.get("apiKeys")
    if not isinstance(keys, list) or not all(_is_key(key) for key in keys):
        reason = f"it is not a list of texts of 1 to {MAX_KEY_CHARS} characters"
        raise BadEntryError(f"workspace {name}", "apiKeys", _HIDDEN, reason)
    priority = fields.read_optional(
        "priority", lambda value: check_integer(value, 0, LOWEST_PRIORITY)
    )
    digests = frozenset(digest_key(key.encode()) for key in keys)
    return Workspace(name, digests, priority, _read_quota(fields))


def _read_quota(fields: _Fields) -> Quota | None:
    """Return a workspace's quota, None if its rate is 0 or missing.

    The other fields are checked in any case, so that a rate that is set later cannot make an
    invalid one effective.
    """
    unit = fields.read_optional("unit", lambda value: check_choice(value, _QUOTA_UNITS))
    rate = fields.read_optional("ratePerS", _check_quota_number)
    burst = fields.read_optional("burst", _check_quota_number)
    default_cost = fields.read_optional(
        "uncachedTokens", lambda value: check_integer(value, 0, MAX_QUOTA_NUMBER)
    )
    if not rate:
        return None
    return Quota(rate, burst or 0.0, QuotaUnit(unit or QuotaUnit.REQUESTS.value), default_cost or 0)


def _check_quota_number(value: Any) -> float:
    return check_number(value, 0, MAX_QUOTA_NUMBER)


def _is_key(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_KEY_CHARS


def _read_scaling(raw: Any) -> Scaling:
    fields = _Fields("scaling", raw)
    prices = raw.get("zonePrices") or {}
    return Scaling(
        min_upstreams=fields.read_optional("min", _limit_upstreams) or 0,
        max_upstreams=fields.read("max", _limit_upstreams),
        boot_seconds=fields.read_optional("bootS", lambda value: check_number(value, 0, 1e6))
        or 0.0,
        prices={str(zone): _to_number(price) for zone, price in prices.items()},
        reclaimable_price=_read_reclaimable_price(fields),
    )


def _read_reclaimable_price(fields: "_Fields") -> float:
    price = fields.read_optional("spotPrice", lambda value: check_number(value, 0, 1e6))
    return 1.0 if price is None else price


def _read_route(item: Any) -> Route:
    streaming = item["type"] == "streaming"
    resumable = bool(item.get("resumable", False))
    repeatable = item["type"] == "safe" or (streaming and resumable)
    return Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        prefix=str(item["pathPrefix"]),
        repeat=RetrySafety.IDEMPOTENT if repeatable else RetrySafety.AT_MOST_ONCE,
        streaming=streaming,
        resumable=resumable,
        timeout=_to_number(item["timeoutMs"]) / 1000,
        objective=_to_number(item.get("targetLatencyMs") or item["timeoutMs"]) / 1000,
        gap_objective=_to_number(item.get("targetGapMs") or 0) / 1000,
        priority=_to_priority(item.get("priority", 0)),
        max_attempts=max(1, _to_count(item.get("maxAttempts", 1))),
        targets=_read_targets(item),
        public=bool(item.get("public", False)),
    )


def _read_targets(item: Any) -> tuple[Target, ...]:
    # A route has either weighted `backends` or one `service`.
    shares = item.get("backends")
    if not shares:
        return (Target(str(item["service"]), 1.0),)
    targets = (Target(str(share["service"]), _to_number(share["weight"])) for share in shares)
    return tuple(target for target in targets if target.weight > 0)


def _read_service(item: Any) -> ServiceDeclaration:
    engine = item.get("engine")
    return ServiceDeclaration(
        name=str(item["name"]),
        max_connections=_to_count(item.get("maxConns") or 100),
        engine=_read_traits(engine) if engine else None,
        scaling=_read_scaling(item["scaling"]) if item.get("scaling") else None,
    )


def _read_traits(engine: Any) -> EngineTraits:
    return EngineTraits(
        slots=_to_count(engine["slots"]),
        kv_tokens=_to_count(engine["kvCapacity"]),
        kv_bytes_per_token=_to_number(engine.get("tokenKvBytes") or 0),
        # `linkMbps` is in megabits per second.
        link_bytes_per_second=_to_number(engine.get("linkMbps") or 0) * 125_000,
        handle_ttl_seconds=_to_number(engine.get("kvHoldS") or 0),
        role_change_seconds=_to_number(engine.get("swapS") or 0),
    )


def _read_limits(item: Any) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=_to_count(item.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=_to_count(item.get("maxBodyBytes") or default.body_bytes),
        header_seconds=_to_number(item.get("headerTimeoutMs") or default.header_seconds * 1000)
        / 1000,
        idle_seconds=_to_number(item.get("idleTimeoutMs") or default.idle_seconds * 1000) / 1000,
    )


def _limit_upstreams(value: Any) -> int:
    """Return a number of upstreams, at most as many as are planned."""
    return min(MAX_NEED, check_integer(value, 0, MAX_INT64))


def _to_count(value: Any) -> int:
    """Return a whole number from 0 to MAX_INT64, which may be given as a text; raise ValueError."""
    return check_integer(int(value), 0, MAX_INT64)


def _to_priority(value: Any) -> int:
    return check_integer(int(value), -MAX_INT64, MAX_INT64)


def _to_number(value: Any) -> float:
    """Return a number from 0 to MAX_NUMBER, which may be given as a text; raise ValueError."""
    return check_number(float(value), 0, MAX_NUMBER)
