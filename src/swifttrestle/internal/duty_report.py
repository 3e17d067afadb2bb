"""The output of `swifttrestle-ctl duties`: capacity and usage from a gateway's state dump."""

from collections.abc import Iterator
from typing import Any


def describe_duties(duties: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that describe the `duties` of a state dump."""
    if not duties["held_here"]:
        holder = next(iter(duties["candidates"]), "nobody")
        yield f"the duties are held by {holder}; run `duties` with its operators' address"
    for service, plan in sorted(duties["capacity"].items()):
        yield f"{service}: {plan['need']} needed without any one zone's reclaimable ones"
        for zone, item in sorted(plan["zones"].items()):
            yield f"  {zone}: {_describe_zone(item)}"
    for window in duties["usage"]:
        requests = sum(window["counts"].values())
        yield f"usage window {window['window']}: {window['state']}, {requests} requests"
        for workspace, count in sorted(window["counts"].items()):
            yield f"  {workspace}: {count}"


def _describe_zone(item: dict[str, Any]) -> str:
    parts = [
        f"{item[kind]['standing']} {kind} of {item[kind]['planned']} planned"
        for kind in ("lasting", "reclaimable")
    ]
    if item["none_to_be_had"]:
        parts.append("no reclaimable ones available")
    parts.append(f"{item['price_per_second']:g} a second")
    return ", ".join(parts)
