"""The client of the stand-in store without a network: calls that take a time, hang, or fail."""

import asyncio
from typing import Any

import orjson

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.state.store_epochs import StoreEpochs
from swifttrestle.platform.store import CALL_SECONDS, ObjectStore, check_status
from swifttrestle_standins.hosted.store import StandInStore

ANSWER_SECONDS = 0.004


class DirectStore(ObjectStore):
    """Calls to a stand-in in the same loop; `way` is how they fail: up, busy, or silent."""

    def __init__(
        self, stand_in: StandInStore | None = None, answer_seconds: float = ANSWER_SECONDS
    ) -> None:
        """Call a store, whose answers take so many seconds."""
        self.stand_in = stand_in or StandInStore()
        self.epochs = StoreEpochs()
        self.calls = 0
        self.way = "up"
        self._answer_seconds = answer_seconds
        self._changed = asyncio.Event()

    def set_way(self, way: str) -> None:
        """Have calls fail in a way from now on, also those that are under way."""
        self.way = way
        self._changed.set()
        self._changed = asyncio.Event()

    async def _call(
        self, method: bytes, path: str, body: Any, seconds: float = CALL_SECONDS
    ) -> Any:
        self.calls += 1
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

    async def _answer(self, method: bytes, path: str, body: Any = None) -> Any:
        await asyncio.sleep(self._answer_seconds)
        path, _, query = path.removeprefix("/v1/objects/").partition("?")
        content = b"" if body is None else orjson.dumps(body)
        status, answer = await self.stand_in._answer(method.decode(), path, query, content)
        self.epochs.take(self.stand_in.epoch, asyncio.get_running_loop().time())
        check_status(status, path)
        return answer

    async def _wait_for_loss(self) -> None:
        while self.way == "up":
            await self._changed.wait()
