"""The quota of a workspace as operators declare it, and its validation."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from swifttrestle.internal.checks import check_choice, check_number
from swifttrestle.internal.validated_fields import check_fields, validated_field

QUOTA_UNITS = ("tokens", "requests")
# Upper bound of the integers that all readers of JSON keep exact.
MAX_QUOTA = 2**53


@dataclass(frozen=True, kw_only=True)
class WorkspaceQuota:
    """How much all requests of a workspace may cost, over all entries together."""

    rate_per_s: float = validated_field(
        "Units a second; 0 for no limit.", partial(check_number, low=0, high=MAX_QUOTA)
    )
    burst: float = validated_field(
        "Units that may be used at once after a pause, at least half a second of the rate.",
        partial(check_number, low=0, high=MAX_QUOTA),
        0.0,
    )
    unit: str = validated_field(
        "'requests', or 'tokens': the prompt's and the most that the response may have.",
        partial(check_choice, choices=QUOTA_UNITS),
        "requests",
    )


def check_quota(value: Any) -> WorkspaceQuota | None:
    """Return a quota, or None for null."""
    if value is None:
        return None
    if not isinstance(value, Mapping):
        raise ValueError(f"{value!r} is not an object; give rate_per_s, burst and unit")
    return WorkspaceQuota(**check_fields(WorkspaceQuota, value, "quota"))
