"""Datagrams between gateways: who lives, what is open where, which configuration is newest."""

from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.state.prompt_cache import PromptPart, SentPrompt

# Kept under one packet of the usual links, so that a datagram is never split.
MAX_DATAGRAM_BYTES = 1400


@dataclass(frozen=True)
class PeerReport:
    """What one gateway tells its peers.

    `holds_duty_lease` says that the sender holds the lease on engines' roles, `store_unreachable`
    that it
    cannot reach the store now, `store_seconds` for how long the store has answered it without a
    break (0 where it does not). `work` maps an upstream instance to its open prompt tokens and
    requests; `demand` maps a service to the prompt tokens a second, the decode slots and those of
    them that follow a reading, as callers offer them; `roles` maps an engine to the role that the
    sender has ordered it to and the seconds until it has that. `known` are
    some peers that the sender has heard of late, as pairs of host and IP. `prompts` are those
    that the sender has sent to engines since its last report.
    """

    host: str
    ip: str
    zone: str
    link_mbps: float
    incarnation: int
    config_version: int
    leaving: bool
    holds_duty_lease: bool
    store_unreachable: bool
    store_seconds: float
    work: dict[str, tuple[int, int]]
    demand: dict[str, tuple[float, float, float]]
    roles: dict[str, tuple[str, float]]
    known: tuple[tuple[str, str], ...] = ()
    prompts: tuple[SentPrompt, ...] = ()


def pack_report(report: PeerReport) -> bytes:
    """Return the datagram of a report; peers known are left out where it grows too large."""
    values = [
        report.host,
        report.ip,
        report.zone,
        report.link_mbps,
        report.incarnation,
        report.config_version,
        report.leaving,
        report.holds_duty_lease,
        report.store_unreachable,
        report.store_seconds,
        report.work,
        report.demand,
        report.roles,
        report.known,
        [_write_prompt(item) for item in report.prompts],
    ]
    data: bytes = msgpack.packb(values)
    if len(data) > MAX_DATAGRAM_BYTES:
        values[-2:] = (), ()
        data = msgpack.packb(values)
    return data


def unpack_report(data: bytes) -> PeerReport:
    """Return the report of a datagram; raise FrameError."""
    try:
        values: Any = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"a datagram is not msgpack: {error!r}") from None
    match values:
        case [
            str(host),
            str(ip),
            str(zone),
            float(link_mbps),
            int(incarnation),
            int(version),
            bool(leaving),
            bool(holds_duty_lease),
            bool(store_unreachable),
            float(store_seconds),
            dict(work),
            dict(offered),
            dict(roles),
            known,
            prompts,
        ]:
            return PeerReport(
                host,
                ip,
                zone,
                link_mbps,
                incarnation,
                version,
                leaving,
                holds_duty_lease,
                store_unreachable,
                store_seconds,
                _read_work(work),
                _read_demand(offered),
                _read_roles(roles),
                _read_known(known),
                _read_prompts(prompts),
            )
    raise FrameError("a datagram is no report")


def _read_work(work: dict[Any, Any]) -> dict[str, tuple[int, int]]:
    try:
        return {str(name): (int(tokens), int(count)) for name, (tokens, count) in work.items()}
    except (TypeError, ValueError) as error:
        raise FrameError(f"a report's work cannot be read: {error!r}") from None


def _read_demand(offered: dict[Any, Any]) -> dict[str, tuple[float, float, float]]:
    try:
        return {
            str(name): (float(read), float(slots), float(read_slots))
            for name, (read, slots, read_slots) in offered.items()
        }
    except (TypeError, ValueError) as error:
        raise FrameError(f"a report's demand cannot be read: {error!r}") from None


def _read_roles(roles: dict[Any, Any]) -> dict[str, tuple[str, float]]:
    try:
        return {str(name): (str(role), float(wait)) for name, (role, wait) in roles.items()}
    except (TypeError, ValueError) as error:
        raise FrameError(f"a report's roles cannot be read: {error!r}") from None


def _read_known(known: Any) -> tuple[tuple[str, str], ...]:
    try:
        return tuple((str(host), str(ip)) for host, ip in known)
    except (TypeError, ValueError) as error:
        raise FrameError(f"a report's peers cannot be read: {error!r}") from None


def _write_prompt(prompt: SentPrompt) -> tuple[Any, ...]:
    return prompt.engine, [(item.part, item.tokens) for item in prompt.parts], prompt.read


def _read_prompts(prompts: Any) -> tuple[SentPrompt, ...]:
    try:
        return tuple(
            SentPrompt(
                str(engine),
                tuple(PromptPart(str(part), int(size)) for part, size in parts),
                bool(read),
            )
            for engine, parts, read in prompts
        )
    except (TypeError, ValueError) as error:
        raise FrameError(f"a report's prompts cannot be read: {error!r}") from None
