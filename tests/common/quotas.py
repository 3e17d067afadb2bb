"""A quota gate that records what it is asked, and the declaration of workspaces with quotas."""

import asyncio

from swifttrestle.internal.forward.quotas import Admission, QuotaGate

# The keys of the workspaces that `declare_quota` declares: one with a quota, one without.
LIMITED, FREE = "key-of-club", "key-of-liaison"


class RecordedGate(QuotaGate):
    """Decides as the test says; records the charges that were made and given back."""

    def __init__(self):
        self.decision = Admission(decided_by="counter-1")
        self.charged = []
        self.given_back = []
        # Cleared by a test whose gate does not decide.
        self.replies = asyncio.Event()
        self.replies.set()

    async def admit(self, workspace, cost):
        await self.replies.wait()
        self.charged.append((workspace.name, cost))
        return self.decision

    def give_back(self, workspace, admission):
        assert admission is self.decision
        self.given_back.append(workspace.name)


def install_gate(site, gateway="g0"):
    """Replace a gateway's quota gate by one that records, and return that."""
    gate = RecordedGate()
    site.gateways[gateway].gateway._handler._charger._gate = gate
    return gate


def declare_quota(site, **quota):
    """Declare a workspace with these fields of a quota, and one without; return the version."""
    site.workspaces = [
        {"name": "club", "apiKeys": [LIMITED], "priority": 1, **quota},
        {"name": "liaison", "apiKeys": [FREE], "priority": 0},
    ]
    return site.declare()
