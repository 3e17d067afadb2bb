"""Hosts leave their addresses in the store, so that they find each other at their start."""

import asyncio
import random

from swifttrestle.errors import NotFoundError, PlatformUnavailableError
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PeerTable
from swifttrestle.platform.store import ObjectStore

PEER_KIND = "swifttrestle-peers"
# Least seconds between two tries, and the most that chance adds to them: a store that comes back
# must not meet all hosts at once.
RETRY_SECONDS = 1.0


async def register_host(
    store: ObjectStore, me: Member, peers: PeerTable, rng: random.Random
) -> None:
    """Write this host's address and learn those of others; retried until it is done."""
    while True:
        try:
            await _write_record(store, me)
            for item in (await store.list(PEER_KIND)).items:
                peers.learn(item.name, str(item.spec.get("ip", "")))
            return
        except (PlatformUnavailableError, AttributeError) as error:
            log_decision("peers not read", reason=str(error))
            await asyncio.sleep(RETRY_SECONDS * (1 + rng.random()))


async def _write_record(store: ObjectStore, me: Member) -> None:
    spec = {"ip": me.ip}
    try:
        known = await store.get(PEER_KIND, me.host)
        if known.spec != spec:
            await store.replace(PEER_KIND, me.host, spec, known.revision)
    except NotFoundError:
        await store.create(PEER_KIND, me.host, spec)
