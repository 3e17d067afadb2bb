"""Registers hosts' addresses in the store, so that hosts find each other at their start."""

import asyncio
import ipaddress
import random

from swifttrestle.errors import BadEntryError, NotFoundError
from swifttrestle.internal.checks import check_text
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.coordination.store.store_retry import retry_until_done
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PeerTable
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

PEER_KIND = "swifttrestle-peers"
# Seconds for each host of the fleet over which hosts spread their calls after a restore of the
# store, which limits the rate of the fleet's calls. That is 20 calls a second of a whole fleet.
RESTORE_SPREAD_SECONDS_PER_HOST = 0.05


async def register_host(
    store: ObjectStore,
    me: Member,
    peers: PeerTable,
    rng: random.Random,
    skipped: SkippedEntries,
) -> None:
    """Write this host's address and read those of others; retry until done."""

    async def write_and_read() -> None:
        await _write_record(store, me)
        snapshot = await store.list(PEER_KIND)
        for malformed in snapshot.malformed:
            skipped.skip(PEER_KIND, malformed.name, malformed.error, malformed.content)
        for item in snapshot.items:
            _add_peer(item, peers, skipped)

    await retry_until_done(write_and_read, "peers not read", rng)


async def restore_registration(
    store: ObjectStore, me: Member, hosts: int, rng: random.Random
) -> None:
    """Write this host's address again if a restored store lacks it; `hosts` is the fleet's size."""
    await asyncio.sleep(rng.random() * hosts * RESTORE_SPREAD_SECONDS_PER_HOST)
    await retry_until_done(lambda: _write_record(store, me), "own address not kept", rng)


async def _write_record(store: ObjectStore, me: Member) -> None:
    spec = {"ip": me.ip}
    try:
        known = await store.get(PEER_KIND, me.host)
        if known.spec != spec:
            await store.replace(PEER_KIND, me.host, spec, known.revision)
    except NotFoundError:
        await store.create(PEER_KIND, me.host, spec)
    except BadEntryError:
        # Another writer stored an invalid entry under this host's name; it is overwritten.
        await store.replace(PEER_KIND, me.host, spec, None)


def _add_peer(item: StoredObject, peers: PeerTable, skipped: SkippedEntries) -> None:
    """Add one host's address; skip an invalid entry."""
    try:
        peers.add_peer(item.name, _read_ip(item))
    except BadEntryError as error:
        skipped.skip(PEER_KIND, item.name, error, item.spec)


def _read_ip(item: StoredObject) -> str:
    """Return the address of an entry; raise BadEntryError."""
    ip = item.spec.get("ip") if isinstance(item.spec, dict) else None
    try:
        return str(ipaddress.ip_address(check_text(ip)))
    except ValueError as error:
        raise BadEntryError(f"peer {item.name}", "ip", ip, str(error)) from None
