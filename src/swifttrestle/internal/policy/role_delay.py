"""How long a change of roles must be wanted before it is ordered.

A change takes an engine away for seconds, and offered work swings within seconds: a split that
is wanted for a shorter time than the change takes is over before it could serve anybody.
"""

from swifttrestle.internal.policy.role_split import RoleChange
from swifttrestle.internal.state.declared import Role


class RoleChangeDelay:
    """Since when each service's engines are wanted in another role; used by the planning host."""

    def __init__(self) -> None:
        """Start with nothing wanted."""
        self._wanted: dict[str, tuple[Role, float]] = {}

    def allows(self, service: str, change: RoleChange | None, seconds: float, now: float) -> bool:
        """Return whether a change has been wanted for `seconds`, or cannot wait."""
        if change is None:
            self._wanted.pop(service, None)
            return False
        role, since = self._wanted.get(service, (change.role, now))
        if role is not change.role:
            since = now
        self._wanted[service] = change.role, since
        return change.urgent or now - since >= seconds
