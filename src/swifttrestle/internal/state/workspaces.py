"""The lookup of workspaces by callers' keys, for the configuration in force."""

import hashlib
from collections.abc import Iterable

from swifttrestle.internal.state.declared import Workspace


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key; the key itself is neither stored nor compared.

    A lookup by digest leaks no timing information about similar keys.
    """
    return hashlib.sha256(key).digest()


class WorkspaceKeys:
    """Finds workspaces by key; built once per configuration version."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        listed = tuple(workspaces)
        self._owners = {digest: item for item in listed for digest in item.key_digests}
        priorities = [item.priority for item in listed if item.priority is not None]
        self.highest_priority = min(priorities, default=None)

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that owns a key, or None."""
        return self._owners.get(digest_key(key))
