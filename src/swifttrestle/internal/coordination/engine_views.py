"""What a pool's holder knows of its engines, and what operators read of it."""

from dataclasses import dataclass, field

from swifttrestle.internal.coordination.orders import Order
from swifttrestle.internal.protocol.engine import Engine, EngineState, LoadReport


@dataclass
class EngineView:
    """What the pool's holder knows of one engine in this term."""

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
    """What operators read about a pool."""

    holder: str
    token: int
    former: tuple[str, ...]
    engines: dict[str, dict] = field(default_factory=dict)


def show_view(view: EngineView) -> dict:
    """Return what operators read about one engine."""
    state = view.state
    return {
        "holding": state.holding.plain() if state else None,
        "active": state.active if state else None,
        "order": view.order.order_id if view.order else "",
        "stage": view.order.stage.value if view.order else "",
        "reason": view.reason,
    }
