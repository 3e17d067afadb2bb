"""Decoding of what lies in the platform's store: the configuration and the discovery records."""

from collections.abc import Callable
from typing import Any, TypeVar

from swifttrestle.errors import BadPlatformAnswerError
from swifttrestle.internal.checks import split_address
from swifttrestle.internal.state.declared import (
    Configuration,
    EngineTraits,
    Limits,
    Repeat,
    Role,
    Route,
    ServiceDeclaration,
    Target,
    UpstreamRecord,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
UPSTREAM_KIND = "servers"

T = TypeVar("T")


def read_upstream(instance: str, spec: Any) -> UpstreamRecord:
    """Return one discovery record; raise BadPlatformAnswerError.

    Its field `seq` counts heartbeats; it is not the engine's count of orders of the same name.
    """
    return _decode(f"record of {instance}", lambda: _read_upstream(instance, spec))


def read_configuration(spec: Any) -> Configuration:
    """Return one configuration version; raise BadPlatformAnswerError."""
    return _decode("configuration", lambda: _read_configuration(spec))


def _decode(what: str, read: Callable[[], T]) -> T:
    try:
        return read()
    except (KeyError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
        raise BadPlatformAnswerError(f"{what} cannot be read: {error!r}") from None


def _read_upstream(instance: str, spec: Any) -> UpstreamRecord:
    return UpstreamRecord(
        instance=instance,
        service=str(spec["service"]),
        address=split_address(spec["address"]),
        zone=str(spec.get("zone", "")),
        slots=int(spec.get("slots", 1)),
        leaving=spec.get("state") == "draining",
        role=Role(spec.get("phase") or "none"),
    )


def _read_configuration(spec: Any) -> Configuration:
    services = [_read_service(item) for item in spec.get("services", [])]
    return Configuration(
        version=int(spec["version"]),
        routes=tuple(_read_route(item) for item in spec.get("routes", [])),
        services={service.name: service for service in services},
        limits=_read_limits(spec.get("limits") or {}),
    )


def _read_route(item: Any) -> Route:
    streaming = item["type"] == "streaming"
    resumable = bool(item.get("resumable", False))
    repeatable = item["type"] == "safe" or (streaming and resumable)
    return Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        prefix=str(item["pathPrefix"]),
        repeat=Repeat.IDEMPOTENT if repeatable else Repeat.AT_MOST_ONCE,
        streaming=streaming,
        resumable=resumable,
        timeout=float(item["timeoutMs"]) / 1000,
        objective=float(item.get("targetLatencyMs") or item["timeoutMs"]) / 1000,
        gap_objective=float(item.get("targetGapMs") or 0) / 1000,
        priority=int(item.get("priority", 0)),
        max_attempts=max(1, int(item.get("maxAttempts", 1))),
        targets=_read_targets(item),
    )


def _read_targets(item: Any) -> tuple[Target, ...]:
    # A route that is split names its shares in `backends`, any other one its `service`.
    shares = item.get("backends")
    if not shares:
        return (Target(str(item["service"]), 1.0),)
    targets = (Target(str(share["service"]), float(share["weight"])) for share in shares)
    return tuple(target for target in targets if target.weight > 0)


def _read_service(item: Any) -> ServiceDeclaration:
    engine = item.get("engine")
    return ServiceDeclaration(
        name=str(item["name"]),
        max_connections=int(item.get("maxConns") or 100),
        engine=_read_traits(engine) if engine else None,
    )


def _read_traits(engine: Any) -> EngineTraits:
    return EngineTraits(
        slots=int(engine["slots"]),
        kv_tokens=int(engine["kvCapacity"]),
        kv_bytes_per_token=float(engine.get("tokenKvBytes") or 0),
        # `linkMbps` is in megabits a second.
        link_bytes_per_second=float(engine.get("linkMbps") or 0) * 125_000,
        handle_seconds=float(engine.get("kvHoldS") or 0),
        role_change_seconds=float(engine.get("swapS") or 0),
    )


def _read_limits(item: Any) -> Limits:
    default = Limits()
    return Limits(
        header_bytes=int(item.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(item.get("maxBodyBytes") or default.body_bytes),
        header_seconds=float(item.get("headerTimeoutMs") or default.header_seconds * 1000) / 1000,
        idle_seconds=float(item.get("idleTimeoutMs") or default.idle_seconds * 1000) / 1000,
    )
