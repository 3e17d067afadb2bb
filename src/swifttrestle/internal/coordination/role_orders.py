"""Orders of roles that engines have taken, as hosts tell each other of them."""

from collections.abc import Callable

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Fleet

# Seconds for which peers are told of an order after its engine should have the role: the
# engine's own record tells it by then, unless the store is away.
REPORTED_PEER_TIMEOUT_SECONDS = 10.0
# Seconds by which two words of one order may differ, for the time that they were on their way.
SAME_ORDER_SECONDS = 0.5


class RoleOrders:
    """The orders of late, each with the loop's time at which its engine should have the role."""

    def __init__(self, fleet: Fleet, now: Callable[[], float]) -> None:
        """Write into a fleet."""
        self._fleet = fleet
        self._now = now
        self._orders: dict[str, tuple[Role, float]] = {}

    def note(self, engine: str, role: Role, ready_at: float) -> None:
        """Take an order over, unless a newer one is known."""
        known = self._orders.get(engine)
        if known is not None and ready_at < known[1] - SAME_ORDER_SECONDS:
            return
        if known is None or ready_at > known[1] + SAME_ORDER_SECONDS:
            # A second word of one order keeps its time, which would else grow from host to host.
            self._orders[engine] = (role, ready_at)
        self._fleet.note_ordered_role(engine, *self._orders[engine])

    def list_recent(self) -> dict[str, tuple[str, float]]:
        """Return what to tell peers: the role, and the seconds until or since its engine has it."""
        now = self._now()
        self._orders = {
            engine: (role, ready_at)
            for engine, (role, ready_at) in self._orders.items()
            if now < ready_at + REPORTED_PEER_TIMEOUT_SECONDS
        }
        return {
            engine: (role.value, round(ready_at - now, 2))
            for engine, (role, ready_at) in self._orders.items()
        }

    def take(self, told: dict[str, tuple[str, float]], sender: str) -> None:
        """Take over what a peer tells."""
        now = self._now()
        for engine, (role, wait) in told.items():
            if wait < -REPORTED_PEER_TIMEOUT_SECONDS:
                continue
            try:
                self.note(engine, Role(role), now + wait)
            except ValueError:
                log_event("role skipped", engine=engine, role=role, sender=sender)
