"""Datagrams by which a zone's representatives tell who lives, in a large fleet.

A roster is the list of a zone's live hosts as one representative hears them. It is named by
its digest, so that a summary of a few bytes confirms it again and again; its entries cross
the network only where a host does not know them yet.
"""

import hashlib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.state.members import Member

# Entries in one datagram: some 45 bytes each, under one packet of the usual links.
ENTRIES_PER_PART = 24
# Parts that a roster may have; more is no roster but a fault.
MOST_PARTS = 64


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
        """Return the roster of members in any order."""
        return cls(zone, tuple(sorted(members, key=lambda member: member.host)))

    def digest(self) -> bytes:
        """Return the name of this roster: equal for equal members."""
        entries = [(item.host, item.ip, item.link_mbps) for item in self.members]
        data = msgpack.packb((self.zone, entries))
        return hashlib.blake2b(data, digest_size=8).digest()


@dataclass(frozen=True)
class RosterConfirmation:
    """Confirms a roster: its digest, and how many seconds ago it was true."""

    digest: bytes
    age: float


@dataclass(frozen=True)
class RosterSummary:
    """What a representative tells its zone and the other zones' representatives.

    `own` is the mark of its own zone's roster, `others` are those that it heard from other
    representatives. `role_holder` is the host of its zone that holds the lease on roles, if
    any. `demand` is what the callers of all its zone offer, by service; `roles` maps an engine
    to the role that it has been ordered to and the seconds until it has that, below zero where
    it should have it already.
    """

    host: str
    zone: str
    link_mbps: float
    incarnation: int
    config_version: int
    store_unreachable: bool
    role_holder: str
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
            marks = [(mark.digest, mark.age) for mark in (message.own, *message.others)]
            values: list[Any] = [
                RosterMessageKind.SUMMARY,
                message.host,
                message.zone,
                message.link_mbps,
                message.incarnation,
                message.config_version,
                message.store_unreachable,
                message.role_holder,
                marks,
                message.demand,
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
    """Return the message of a datagram; raise FrameError."""
    try:
        return _read(msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"a roster datagram cannot be read: {error!r}") from None


def _read(values: Any) -> RosterMessage:
    match values:
        case [
            RosterMessageKind.SUMMARY, str(host), str(zone), float(link), int(incarnation),
            int(version), bool(store_unreachable), str(holder), [own, *others], dict(demand),
            dict(roles),
        ]:  # fmt: skip
            return RosterSummary(
                host, zone, link, incarnation, version, store_unreachable, holder,
                _read_mark(own), tuple(map(_read_mark, others)),
                {
                    str(name): (float(read), float(slots), float(read_slots))
                    for name, (read, slots, read_slots) in demand.items()
                },
                {str(name): (str(role), float(wait)) for name, (role, wait) in roles.items()},
            )  # fmt: skip
        case [RosterMessageKind.WANTED, list(digests)]:
            return RosterRequest(tuple(_read_digest(item) for item in digests))
        case [
            RosterMessageKind.PART, digest, str(zone), int(number), int(parts), list(entries)
        ] if 0 <= number < parts <= MOST_PARTS:  # fmt: skip
            return RosterPart(
                _read_digest(digest), zone, number, parts, _read_members(zone, entries)
            )
    raise FrameError("a roster datagram is of no known kind")


def _read_mark(value: Any) -> RosterConfirmation:
    digest, age = value
    return RosterConfirmation(_read_digest(digest), float(age))


def _read_digest(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("a digest is no bytes")
    return value


def _read_members(zone: str, entries: Sequence[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(host), str(ip), zone, float(link)) for host, ip, link in entries)
