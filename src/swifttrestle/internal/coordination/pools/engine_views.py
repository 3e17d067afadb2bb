"""The state of a pool's engines as its holder knows it, and the status shown to operators."""

from dataclasses import dataclass, field

from swifttrestle.internal.coordination.pools.orders import Order
from swifttrestle.internal.protocol.engine import Engine, EngineState, LoadReport


@dataclass
class EngineView:
    """The state of one engine as known to the pool's holder in this term."""

    engine: Engine
    order: Order | None = None
    order_read: bool = False
    raised_boot: str = ""
    state: EngineState | None = None
    report: LoadReport | None = None
    reason: str = ""
    closing_since: float = 0.0
    changed_at: float = float("-inf")
    refused_until: float = 0.0
    unseen_since: float | None = None


@dataclass(frozen=True)
class PoolStatus:
    """The status of a pool, for operators."""

    holder: str
    token: int
    former: tuple[str, ...]
    engines: dict[str, dict] = field(default_factory=dict)


def describe_view(view: EngineView) -> dict:
    """Return the status of one engine, for operators."""
    state = view.state
    return {
        "holding": state.holding.plain() if state else None,
        "active": state.active if state else None,
        "order": view.order.order_id if view.order else "",
        "stage": view.order.stage.value if view.order else "",
        "reason": view.reason,
    }
