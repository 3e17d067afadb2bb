"""Declarations of operators and upstreams: routes, services, limits and upstream records."""

from dataclasses import dataclass, field
from enum import Enum


class RetrySafety(Enum):
    """Whether a request of a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"


class Role(Enum):
    """The work of an engine: prefill, or decode with slower prefill; NONE for other upstreams."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"


@dataclass(frozen=True)
class EngineTraits:
    """Properties that a service declares for its engines."""

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_bytes_per_second: float
    handle_ttl_seconds: float
    role_change_seconds: float


@dataclass(frozen=True)
class Scaling:
    """Bounds on the number of upstreams of a service, and their prices.

    `min_upstreams` and `max_upstreams` bound the upstreams of an availability zone, non-reclaimable
    and reclaimable ones together. `prices` is the price of one second of a non-reclaimable
    upstream, by zone. A reclaimable one costs `reclaimable_price` times as much; the factor is 1 if
    the platform offers none.
    """

    min_upstreams: int
    max_upstreams: int
    boot_seconds: float
    prices: dict[str, float]
    reclaimable_price: float = 1.0

    def find_price(self, zone: str, reclaimable: bool) -> float:
        """Return the price of one second of an upstream in a zone."""
        return self.prices.get(zone, 1.0) * (self.reclaimable_price if reclaimable else 1.0)


@dataclass(frozen=True)
class ServiceDeclaration:
    """One service; `engine` is None for a plain service, `scaling` for a fixed size."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: Scaling | None = None


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True)
class Quota:
    """A workspace's limit over all hosts: units per second, and a burst on top.

    `default_cost` is the cost of a request that states no token counts.
    """

    rate: float
    burst: float = 0.0
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_cost: int = 0

    def find_cost(self, tokens: int) -> int:
        """Return the cost of a request that states so many tokens, 0 if it states none."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return max(1, tokens or self.default_cost)


# Window, in seconds, in which a single request may use up a quota where the platform names none.
DEFAULT_WINDOW_SECONDS = 60.0


@dataclass(frozen=True)
class QuotaTolerance:
    """How far the platform lets a workspace exceed its quota in a window of `window_seconds`.

    `overage` is a share of what the quota allows in the window, `slack` is added in its units.
    """

    window_seconds: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def find_excess(self, quota: Quota) -> float:
        """Return the units by which a quota may be exceeded in a window."""
        return (quota.rate * self.window_seconds + quota.burst) * self.overage + self.slack

    def find_limit(self, quota: Quota) -> float:
        """Return the cost above which a quota allows a request at no time; at least 1."""
        window = self.window_seconds or DEFAULT_WINDOW_SECONDS
        return max(1.0, quota.rate * window + quota.burst + self.find_excess(quota))


@dataclass(frozen=True)
class Workspace:
    """A group of callers; `priority` overrides that of the routes unless it is None.

    Only digests of its keys are stored, so that no log, dump or error can reveal a key. Without a
    limit, `quota` is None.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True)
class Target:
    """A service that gets a weighted share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route.

    Times are in seconds; `objective` bounds the time to the first token and `gap_objective` the
    time between two tokens. The `priority` 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: RetrySafety
    streaming: bool
    resumable: bool
    timeout: float
    objective: float
    gap_objective: float
    priority: int
    max_attempts: int
    targets: tuple[Target, ...]
    public: bool = False

    @property
    def location(self) -> str:
        """The host and the path prefix of its requests, which name it to callers."""
        return self.host + self.prefix


@dataclass(frozen=True)
class Limits:
    """Limits on callers' requests; the defaults apply until the first configuration is known."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration; `workspaces` is None if callers need no key."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] | None = None


@dataclass(frozen=True)
class UpstreamRecord:
    """The record of an upstream in the discovery list.

    An upstream may restart under the same `instance`; `born` tells its incarnations apart. It is
    the Unix time of the start in milliseconds, 0 if the upstream does not report it.
    """

    instance: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    leaving: bool
    role: Role = Role.NONE
    born: int = 0
    reclaimable: bool = False
    # Seconds until its end, as reported when it began to drain; None if not reported.
    leaves_in: float | None = None
    # The version of its software; empty if not reported.
    build: str = ""

    @property
    def start(self) -> str:
        """The unique name of this incarnation, which keys all its state and orders.

        Names stay unique even for an instance without `born` whose name contains an `@`.
        """
        if not self.born and "@" not in self.instance:
            return self.instance
        return f"{self.instance}@{self.born or ''}"
