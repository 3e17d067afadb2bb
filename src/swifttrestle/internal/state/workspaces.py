"""Which workspace a caller's key belongs to, by the configuration in force."""

import hashlib
from collections.abc import Iterable

from swifttrestle.internal.state.declared import Workspace


def digest_key(key: bytes) -> bytes:
    """Return what stands for a key: the key itself is neither kept nor compared.

    A look-up by digest takes as long for a key that is nearly right as for any other.
    """
    return hashlib.sha256(key).digest()


class WorkspaceKeys:
    """Finds workspaces by key; built once for each configuration version."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        """Index the keys."""
        listed = tuple(workspaces)
        self._owners = {digest: item for item in listed for digest in item.key_digests}
        priorities = [item.priority for item in listed if item.priority is not None]
        self.highest_priority = min(priorities, default=None)

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._owners.get(digest_key(key))
