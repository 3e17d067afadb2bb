"""Heartbeat datagrams between gateways: membership, open work and configuration version."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_STATED_TOKENS
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.protocol.peer_numbers import (
    MAX_OFFERED,
    MAX_OPEN_REQUESTS,
    MAX_OPEN_TOKENS,
    limit_count,
    limit_number,
    read_seconds,
)
from swifttrestle.internal.state.prompt_cache import PromptPart, SentPrompt

# Fits one packet of a usual link, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400


@dataclass(frozen=True)
class PeerReport:
    """The periodic report of a gateway to its peers.

    `store_seconds` is the time for which the store has answered the sender without interruption, 0
    if it does not. `work` maps an upstream instance to its open prompt tokens and requests.
    `demand` maps a service to the load offered by callers: prompt tokens per second, decode slots,
    and the decode slots that follow a prefill elsewhere. `roles` maps an engine to the role that
    the sender has ordered and the seconds until it takes effect. `known` are some peers from which
    the sender has recently received a heartbeat, as pairs of host and IP. `prompts` are those sent
    to engines since the last report.
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
    """Return the datagram of a report; one that is too large omits `known` and `prompts`."""
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
        _limit_work(report.work),
        limit_demand(report.demand),
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
    """Parse the report of a datagram; raise FrameError."""
    try:
        values: Any = decode_msgpack(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"peer report is not msgpack: {error!r}") from None
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
    raise FrameError("peer report with a missing or wrong field")


def _read_work(work: dict[Any, Any]) -> dict[str, tuple[int, int]]:
    try:
        return _limit_work(work)
    except (TypeError, ValueError) as error:
        raise FrameError(f"peer report: field work malformed: {error!r}") from None


def _limit_work(work: Mapping[Any, Any]) -> dict[str, tuple[int, int]]:
    return {
        str(name): (limit_count(tokens, MAX_OPEN_TOKENS), limit_count(count, MAX_OPEN_REQUESTS))
        for name, (tokens, count) in work.items()
    }


def limit_demand(offered: Mapping[Any, Any]) -> dict[str, tuple[float, float, float]]:
    """Return the load of each service with each number held within its limit.

    Raises TypeError or ValueError for what is no load.
    """
    return {
        str(name): (
            limit_number(read, MAX_OFFERED),
            limit_number(slots, MAX_OFFERED),
            limit_number(read_slots, MAX_OFFERED),
        )
        for name, (read, slots, read_slots) in offered.items()
    }


def _read_demand(offered: dict[Any, Any]) -> dict[str, tuple[float, float, float]]:
    try:
        return limit_demand(offered)
    except (TypeError, ValueError) as error:
        raise FrameError(f"peer report: field demand malformed: {error!r}") from None


def _read_roles(roles: dict[Any, Any]) -> dict[str, tuple[str, float]]:
    try:
        return {str(name): (str(role), read_seconds(wait)) for name, (role, wait) in roles.items()}
    except (TypeError, ValueError) as error:
        raise FrameError(f"peer report: field roles malformed: {error!r}") from None


def _read_known(known: Any) -> tuple[tuple[str, str], ...]:
    try:
        return tuple((str(host), str(ip)) for host, ip in known)
    except (TypeError, ValueError) as error:
        raise FrameError(f"peer report: field known malformed: {error!r}") from None


def _write_prompt(prompt: SentPrompt) -> tuple[Any, ...]:
    return prompt.engine, [(item.part, item.tokens) for item in prompt.parts], prompt.read


def _read_prompts(prompts: Any) -> tuple[SentPrompt, ...]:
    try:
        return tuple(
            SentPrompt(
                str(engine),
                tuple(
                    PromptPart(str(part), limit_count(size, MAX_STATED_TOKENS))
                    for part, size in parts
                ),
                bool(read),
            )
            for engine, parts, read in prompts
        )
    except (TypeError, ValueError) as error:
        raise FrameError(f"peer report: field prompts malformed: {error!r}") from None
