"""Quotas of workspaces as the request handler sees them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from swifttrestle.internal.state.declared import Workspace


@dataclass(frozen=True)
class Admission:
    """The decision on one request's charge.

    `seconds` is 0 if the request is admitted, otherwise the time after which it would fit.
    `missing` are the units by which it was over the quota, `decided_by` the host that decided.
    `receipt` identifies the charge where it is given back; it is None if nothing was charged.
    """

    seconds: float = 0.0
    missing: int = 0
    decided_by: str = ""
    receipt: object = None

    @property
    def is_granted(self) -> bool:
        """Whether the request may be served."""
        return self.seconds <= 0


@dataclass(frozen=True)
class QuotaCharge:
    """What a request was charged or refused, for its log line.

    `decided_by` is the host that decided, `missing` the units by which the request was over the
    quota, 0 if it was admitted.
    """

    workspace: str
    cost: int
    decided_by: str
    missing: int
    given_back: bool = False


class QuotaGate(ABC):
    """Charges requests to the quotas of their workspaces."""

    @abstractmethod
    async def admit(self, workspace: Workspace, cost: int) -> Admission:
        """Charge a request of a workspace that has a quota; return whether it fits."""

    @abstractmethod
    def give_back(self, workspace: Workspace, admission: Admission) -> None:
        """Give back the charge of a request that did not run."""


class NoQuotas(QuotaGate):
    """Admits all requests: for hosts without peers."""

    async def admit(self, workspace: Workspace, cost: int) -> Admission:
        """Admit the request."""
        return Admission()

    def give_back(self, workspace: Workspace, admission: Admission) -> None:
        """Do nothing, as nothing was charged."""
