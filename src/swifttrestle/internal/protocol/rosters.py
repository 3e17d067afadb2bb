"""Datagrams by which zone aggregators report live hosts, in a large fleet.

A roster lists the live hosts of a zone, by the heartbeats that one aggregator receives. It is
identified by its digest, so that a small summary confirms it periodically; its entries are sent
only to hosts that do not have them yet.
"""

import hashlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.protocol.gossip import limit_demand
from swifttrestle.internal.protocol.peer_numbers import read_seconds
from swifttrestle.internal.state.members import Member

# Entries per datagram, of about 45 bytes each, so that it fits one packet of a usual link.
ENTRIES_PER_PART = 24
# Maximum number of parts accepted per roster.
MAX_PARTS = 64


class RosterMessageKind(IntEnum):
    """The first field of a roster datagram."""

    SUMMARY = 1
    WANTED = 2
    PART = 3


@dataclass(frozen=True)
class Roster:
    """The live hosts of one zone, in order of name."""

    zone: str
    members: tuple[Member, ...]

    @classmethod
    def of(cls, zone: str, members: Iterable[Member]) -> "Roster":
        """Return the roster of members given in any order."""
        return cls(zone, tuple(sorted(members, key=lambda member: member.host)))

    def digest(self) -> bytes:
        """Return the digest that identifies this roster; equal for equal members."""
        entries = [(item.host, item.ip, item.link_mbps) for item in self.members]
        data = msgpack.packb((self.zone, entries))
        return hashlib.blake2b(data, digest_size=8).digest()


@dataclass(frozen=True)
class RosterConfirmation:
    """Confirms that the roster with this digest was current `age` seconds ago."""

    digest: bytes
    age: float


@dataclass(frozen=True)
class RosterSummary:
    """The periodic report of a zone aggregator to its zone and to other aggregators.

    `own` confirms the roster of its own zone, `others` those received from other aggregators.
    `duty_lease_holder` is the host that holds the duty lease, or empty if the sender knows none;
    only aggregators of the holder's zone know it first-hand. `demand` is the load offered by all
    callers of its zone, by service. `roles` maps an engine to its ordered role
    and the seconds until that takes effect, negative if that time has passed.
    """

    host: str
    zone: str
    link_mbps: float
    incarnation: int
    config_version: int
    store_unreachable: bool
    duty_lease_holder: str
    own: RosterConfirmation
    others: tuple[RosterConfirmation, ...] = ()
    demand: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    roles: dict[str, tuple[str, float]] = field(default_factory=dict)


@dataclass(frozen=True)
class RosterRequest:
    """Asks for the entries of rosters."""

    digests: tuple[bytes, ...]


@dataclass(frozen=True)
class RosterPart:
    """Some entries of a roster; `number` counts from 0 to `parts` - 1."""

    digest: bytes
    zone: str
    number: int
    parts: int
    members: tuple[Member, ...]


RosterMessage = RosterSummary | RosterRequest | RosterPart


def split_roster(roster: Roster) -> Iterator[RosterPart]:
    """Yield the parts of a roster, each for one datagram."""
    digest = roster.digest()
    starts = range(0, max(1, len(roster.members)), ENTRIES_PER_PART)
    for number, start in enumerate(starts):
        members = roster.members[start : start + ENTRIES_PER_PART]
        yield RosterPart(digest, roster.zone, number, len(starts), members)


def pack_roster_message(message: RosterMessage) -> bytes:
    """Return the datagram of a message."""
    match message:
        case RosterSummary():
            confirmed = [(roster.digest, roster.age) for roster in (message.own, *message.others)]
            values: list[Any] = [
                RosterMessageKind.SUMMARY,
                message.host,
                message.zone,
                message.link_mbps,
                message.incarnation,
                message.config_version,
                message.store_unreachable,
                message.duty_lease_holder,
                confirmed,
                limit_demand(message.demand),
                message.roles,
            ]
        case RosterRequest(digests):
            values = [RosterMessageKind.WANTED, digests]
        case RosterPart(digest, zone, number, parts, members):
            entries = [(item.host, item.ip, item.link_mbps) for item in members]
            values = [RosterMessageKind.PART, digest, zone, number, parts, entries]
    data: bytes = msgpack.packb(values)
    return data


def unpack_roster_message(data: bytes) -> RosterMessage:
    """Parse a datagram; raise FrameError."""
    try:
        return _read(decode_msgpack(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"roster datagram malformed: {error!r}") from None


def _read(values: Any) -> RosterMessage:
    match values:
        case [
            RosterMessageKind.SUMMARY, str(host), str(zone), float(link), int(incarnation),
            int(version), bool(store_unreachable), str(holder), [own, *others], dict(demand),
            dict(roles),
        ]:  # fmt: skip
            return RosterSummary(
                host, zone, link, incarnation, version, store_unreachable, holder,
                _read_confirmation(own), tuple(map(_read_confirmation, others)),
                limit_demand(demand),
                {
                    str(name): (str(role), read_seconds(wait))
                    for name, (role, wait) in roles.items()
                },
            )  # fmt: skip
        case [RosterMessageKind.WANTED, list(digests)]:
            return RosterRequest(tuple(_read_digest(item) for item in digests))
        case [
            RosterMessageKind.PART, digest, str(zone), int(number), int(parts), list(entries)
        ] if 0 <= number < parts <= MAX_PARTS:  # fmt: skip
            return RosterPart(
                _read_digest(digest), zone, number, parts, _read_members(zone, entries)
            )
    raise FrameError("roster datagram of an unknown kind or with a wrong field")


def _read_confirmation(value: Any) -> RosterConfirmation:
    digest, age = value
    return RosterConfirmation(_read_digest(digest), read_seconds(age))


def _read_digest(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError(f"{value!r:.80} is not a digest in bytes")
    return value


def _read_members(zone: str, entries: Sequence[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(host), str(ip), zone, float(link)) for host, ip, link in entries)
