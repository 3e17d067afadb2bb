"""Delays role changes until they have been wanted for some time.

A role change makes an engine unavailable for seconds, so following a load swing shorter than that
would only cost capacity.
"""

from swifttrestle.internal.policy.role_split import RoleChange
from swifttrestle.internal.state.declared import Role


class RoleChangeDelay:
    """Tracks since when each service has wanted a role change; used by the planning host."""

    def __init__(self) -> None:
        """Start without wanted changes."""
        self._wanted: dict[str, tuple[Role, float]] = {}

    def allows(self, service: str, change: RoleChange | None, seconds: float, now: float) -> bool:
        """Return whether a change is urgent or has been wanted for `seconds`."""
        if change is None:
            self._wanted.pop(service, None)
            return False
        role, since = self._wanted.get(service, (change.role, now))
        if role is not change.role:
            since = now
        self._wanted[service] = change.role, since
        return change.urgent or now - since >= seconds
