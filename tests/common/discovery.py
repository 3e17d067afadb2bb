"""One host's discovery in virtual time, over a store that a test breaks or brings back."""

import asyncio
import random

import orjson

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.coordination.discovery import Discovery
from swifttrestle.internal.coordination.listing_relay import ListingRelay
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import StoreEpochs
from swifttrestle.platform.store import CALL_SECONDS, ObjectStore, _check_status
from swifttrestle_standins.hosted.store import StandInStore
from tests.common.fakes import skip_silently

RECORD = {
    "service": "alerts",
    "address": "10.0.0.9:80",
    "zone": "a",
    "slots": 6,
    "state": "ready",
}
ANSWER_SECONDS = 0.004


class Alone(ListingRelay):
    """The relay of a small fleet: each host watches for itself."""

    def __init__(self):
        self.take = None

    def receive(self, take):
        self.take = take

    def watches(self):
        return True

    def tells(self):
        return False

    def send(self, changes):
        """Nobody hears of changes."""


class Store(ObjectStore):
    """The client of the store, with a path that a test breaks: calls hang, or fail at once."""

    def __init__(self, stand_in=None):
        self.stand_in = stand_in or StandInStore()
        self.calls = 0
        self.epochs = StoreEpochs()
        self.way = "up"
        self.changed = asyncio.Event()

    def set_way(self, way):
        self.way = way
        self.changed.set()
        self.changed = asyncio.Event()

    async def _call(self, method, path, body, seconds=CALL_SECONDS):
        ends = asyncio.get_running_loop().time() + seconds
        answer = asyncio.ensure_future(self._answer(method, path, body))
        broken = asyncio.ensure_future(self._wait_for_loss())
        await asyncio.wait([answer, broken], return_when=asyncio.FIRST_COMPLETED)
        broken.cancel()
        if answer.done() and not broken.done():
            return answer.result()
        answer.cancel()
        if self.way == "silent":
            # What was lost on a connection never comes, also once the store is back.
            await asyncio.sleep(ends - asyncio.get_running_loop().time())
        raise PlatformUnavailableError(f"{path}: {self.way}")

    async def _answer(self, method, path, body=None):
        await asyncio.sleep(ANSWER_SECONDS)
        path, _, query = path.removeprefix("/v1/objects/").partition("?")
        content = b"" if body is None else orjson.dumps(body)
        status, answer = await self.stand_in._answer(method.decode(), path, query, content)
        self.epochs.take(self.stand_in.epoch, asyncio.get_running_loop().time())
        _check_status(status, path)
        return answer

    async def _wait_for_loss(self):
        while self.way == "up":
            await self.changed.wait()


class Host:
    """One host's discovery over a store that a test breaks."""

    def __init__(self, seed, relay=None):
        self.store = Store()
        self.fleet = Fleet()
        self.relay = relay or Alone()
        for name in ("s0", "s1"):
            self.store.stand_in.put("servers", name, RECORD)
        self.discovery = Discovery(
            self.store,
            self.fleet,
            random.Random(seed),
            self.relay,
            changed=lambda: None,
            find_up_since=lambda: float("inf"),
            skipped=skip_silently(),
        )
        self.task = asyncio.ensure_future(self.discovery.run())

    async def lose_store(self, way, seconds):
        self.store.set_way(way)
        await asyncio.sleep(seconds)
        self.store.set_way("up")

    def knows(self, name):
        return name in self.fleet.instances

    def uses(self, name):
        """Return whether an instance gets new work."""
        known = self.fleet.instances.get(name)
        return known is not None and not known.record.leaving
