"""What operators and upstreams have declared: routes, services, limits, upstream records."""

from dataclasses import dataclass, field
from enum import Enum


class RetrySafety(Enum):
    """How often a request of a route may run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at most once"


class Role(Enum):
    """What an engine does: read prompts, or make tokens (and read prompts slowly)."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = "none"


@dataclass(frozen=True)
class EngineTraits:
    """What a service declares of its engines; sizes in tokens and bytes, times in seconds."""

    slots: int
    kv_tokens: int
    kv_bytes_per_token: float
    link_bytes_per_second: float
    handle_seconds: float
    role_change_seconds: float


@dataclass(frozen=True)
class Scaling:
    """In which bounds the upstreams of a service may be ordered, and what they cost.

    `least` and `most` hold for each availability zone, for both kinds of upstreams together.
    `prices` are those of one second of a lasting upstream, by zone; one that may be reclaimed
    costs `reclaimable_price` of it, 1 where the platform offers none.
    """

    least: int
    most: int
    boot_seconds: float
    prices: dict[str, float]
    reclaimable_price: float = 1.0

    def find_price(self, zone: str, reclaimable: bool) -> float:
        """Return the price of one second of an upstream of a kind in a zone."""
        return self.prices.get(zone, 1.0) * (self.reclaimable_price if reclaimable else 1.0)


@dataclass(frozen=True)
class ServiceDeclaration:
    """One service; `engine` is None for a plain service, `scaling` for a fixed number."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: Scaling | None = None


@dataclass(frozen=True)
class Workspace:
    """Who may call, with a priority of its own; None where its routes' priorities hold.

    Of its keys only digests are kept, so that no log, dump or error can show a key.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None


@dataclass(frozen=True)
class Target:
    """One share of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """One route; times in seconds, `priority` 0 is the most urgent."""

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


@dataclass(frozen=True)
class Limits:
    """What a caller may send; sizes in bytes, times in seconds.

    The defaults hold only until the first configuration is known.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One whole version of the operators' configuration.

    `workspaces` is None where callers need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceDeclaration] = field(default_factory=dict)
    limits: Limits = Limits()
    workspaces: tuple[Workspace, ...] | None = None


@dataclass(frozen=True)
class UpstreamRecord:
    """What an upstream says of itself in the discovery list.

    An upstream may start again under the `instance` that it had; `born` then tells its starts
    apart. It is the Unix time of the start in milliseconds, 0 where the upstream tells none.
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
    # Seconds to its end as it told them when it began to leave, None where it did not.
    leaves_in: float | None = None

    @property
    def start(self) -> str:
        """The name of one start: what is believed, open or ordered there goes by it.

        No two starts share a name, also where an instance that tells no start has an `@` in it.
        """
        if not self.born and "@" not in self.instance:
            return self.instance
        return f"{self.instance}@{self.born or ''}"
