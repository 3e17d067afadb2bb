"""Role orders that engines accepted, as hosts share them by gossip."""

from collections.abc import Callable

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Fleet

# Time after an engine should have its new role for which the order is still shared with peers. By
# then the engine's own record shows the role, unless the store is unreachable.
SHARED_SECONDS = 10.0
# Difference of two reported times up to which they count as the same order.
SAME_ORDER_SECONDS = 0.5


class RoleOrders:
    """The latest role order of each engine, with the loop's time at which it takes effect."""

    def __init__(self, fleet: Fleet, now: Callable[[], float]) -> None:
        """Apply orders to `fleet`."""
        self._fleet = fleet
        self._now = now
        self._orders: dict[str, tuple[Role, float]] = {}

    def note(self, engine: str, role: Role, ready_at: float) -> None:
        """Apply an order, unless a newer one is known."""
        known = self._orders.get(engine)
        if known is not None and ready_at < known[1] - SAME_ORDER_SECONDS:
            return
        # A repeated report keeps the first time, which would otherwise grow with each hop.
        tolerance = SAME_ORDER_SECONDS if known is not None and known[0] is role else 0.0
        if known is None or ready_at > known[1] + tolerance:
            self._orders[engine] = (role, ready_at)
        self._fleet.note_ordered_role(engine, *self._orders[engine])

    def list_recent(self) -> dict[str, tuple[str, float]]:
        """Return the orders to share by engine: role, and seconds until it takes effect.

        The seconds are negative once the order should have taken effect.
        """
        now = self._now()
        self._orders = {
            engine: (role, ready_at)
            for engine, (role, ready_at) in self._orders.items()
            if now < ready_at + SHARED_SECONDS
        }
        return {
            engine: (role.value, round(ready_at - now, 2))
            for engine, (role, ready_at) in self._orders.items()
        }

    def apply_shared(self, shared: dict[str, tuple[str, float]], sender: str) -> None:
        """Apply the orders that a peer shares; skip unknown roles."""
        now = self._now()
        for engine, (role, delay) in shared.items():
            if delay < -SHARED_SECONDS:
                continue
            try:
                self.note(engine, Role(role), now + delay)
            except ValueError:
                log_event("unknown role skipped", engine=engine, role=role, sender=sender)
