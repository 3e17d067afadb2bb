"""One host's discovery in virtual time, on a store that a test makes unavailable."""

import asyncio
import random

from swifttrestle.internal.coordination.discovery.discovery import Discovery
from swifttrestle.internal.coordination.discovery.listing_relay import ListingRelay
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle_standins.hosted.direct import DirectStore
from tests.common.fakes import make_skipped_entries

RECORD = {
    "service": "alerts",
    "address": "10.0.0.9:80",
    "zone": "a",
    "slots": 6,
    "state": "ready",
}


class StandaloneRelay(ListingRelay):
    """The relay of a small fleet, in which each host watches the store itself."""

    def __init__(self):
        self.take = None

    def set_receiver(self, take):
        self.take = take

    def should_watch(self):
        return True

    def should_relay(self):
        return False

    def send(self, changes):
        """Discard the changes: there are no other hosts."""


class Host:
    """One host's discovery, with its store and its table of upstreams."""

    def __init__(self, seed, relay=None):
        self.store = DirectStore()
        self.fleet = Fleet()
        self.relay = relay or StandaloneRelay()
        for name in ("s0", "s1"):
            self.store.stand_in.put("servers", name, RECORD)
        self.discovery = Discovery(
            self.store,
            self.fleet,
            random.Random(seed),
            self.relay,
            changed=lambda: None,
            find_up_since=lambda: float("inf"),
            skipped=make_skipped_entries(),
        )
        self.task = asyncio.ensure_future(self.discovery.run())

    async def lose_store(self, failure_mode, seconds):
        self.store.set_failure_mode(failure_mode)
        await asyncio.sleep(seconds)
        self.store.set_failure_mode("up")

    def knows(self, name):
        return name in self.fleet.instances

    def uses(self, name):
        """Return whether an instance gets new requests."""
        known = self.fleet.instances.get(name)
        return known is not None and not known.record.leaving
