"""A client of the stand-in store without a network, whose calls take time, hang, or fail."""

import asyncio
from typing import Any

import orjson

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.state.store_epochs import StoreEpochs
from swifttrestle.platform.store import WRITE_TIMEOUT_SECONDS, ObjectStore, check_status
from swifttrestle_standins.hosted.store import StandInStore

ANSWER_SECONDS = 0.004


class DirectStore(ObjectStore):
    """Calls a stand-in in the same event loop.

    `failure_mode` is "up" (no failures), "busy" (calls fail at once) or "silent" (calls time out).
    """

    def __init__(
        self, stand_in: StandInStore | None = None, answer_seconds: float = ANSWER_SECONDS
    ) -> None:
        """Create a client of `stand_in`, or of a new store, with a fixed response time."""
        self.stand_in = stand_in or StandInStore()
        self.epochs = StoreEpochs()
        self.calls = 0
        self.failure_mode = "up"
        self._answer_seconds = answer_seconds
        self._changed = asyncio.Event()

    def set_failure_mode(self, failure_mode: str) -> None:
        """Set the failure mode, also for calls in progress."""
        self.failure_mode = failure_mode
        self._changed.set()
        self._changed = asyncio.Event()

    async def _call(
        self, method: bytes, path: str, body: Any, seconds: float = WRITE_TIMEOUT_SECONDS
    ) -> Any:
        self.calls += 1
        deadline = asyncio.get_running_loop().time() + seconds
        answer = asyncio.ensure_future(self._answer(method, path, body))
        failed = asyncio.ensure_future(self._wait_for_failure())
        await asyncio.wait([answer, failed], return_when=asyncio.FIRST_COMPLETED)
        failed.cancel()
        if answer.done() and not failed.done():
            return answer.result()
        answer.cancel()
        if self.failure_mode == "silent":
            # A lost response never arrives, even if the store recovers before the timeout.
            await asyncio.sleep(deadline - asyncio.get_running_loop().time())
        raise PlatformUnavailableError(f"{path}: {self.failure_mode}")

    async def _answer(self, method: bytes, path: str, body: Any = None) -> Any:
        await asyncio.sleep(self._answer_seconds)
        path, _, query = path.removeprefix("/v1/objects/").partition("?")
        content = b"" if body is None else orjson.dumps(body)
        status, answer = await self.stand_in._answer(method.decode(), path, query, content)
        self.epochs.take(self.stand_in.epoch, asyncio.get_running_loop().time())
        check_status(status, path)
        return answer

    async def _wait_for_failure(self) -> None:
        while self.failure_mode == "up":
            await self._changed.wait()
