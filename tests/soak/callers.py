"""Callers with persistent connections, and their observations of each request."""

import asyncio
import contextlib
from dataclasses import dataclass

from swifttrestle_standins.hosted.upstreams import make_content, make_event
from tests.common.http import Answer, RawCaller, write_request
from tests.hosted.sites import LONG, SHORT
from tests.soak.processes import KEY, OTHER_KEY

# Must exceed the timeout of the routes, which is about 2 s.
CALLER_TIMEOUT_SECONDS = 4.0
EVENTS = 4
STREAMS = {"verdict": LONG, "chat": SHORT}
# Time after which a request may be ended: the lower one of the caller's deadline and the shortest
# timeout of the routes.
DEADLINE_SECONDS = {"verdict": 1.8, "chat": 1.8, "goal": 1.5, "card": 1.5}
# Kinds of requests that may run only once.
RUN_ONCE_KINDS = ("chat", "goal")


@dataclass(frozen=True)
class Observation:
    """One request as seen by its caller.

    `answer` is None if the caller timed out; its status is 0 if the connection ended without one.
    """

    name: str
    kind: str
    host: str
    answer: Answer | None
    began: float
    ended: float
    key: str = ""


def expected_body(kind, name):
    if kind in STREAMS:
        return b"".join(make_event(name, number) for number in range(1, EVENTS + 1))
    return make_content(name)


def write_request_of_kind(kind, name, key):
    if kind in STREAMS:
        usage = STREAMS[kind]
        return write_request(
            f"/{kind}/a", name, X_Token_Usage=usage, X_Deadline_Ms="2000", X_Key=key
        )
    return write_request(f"/{kind}/a", name, X_Deadline_Ms="1500", X_Key=key)


class CallerSet:
    """Concurrent callers that send one request at a time until they are stopped."""

    def __init__(self, site, rng, count):
        self._site = site
        self._rng = rng
        self._count = count
        self._tasks = []
        self._numbers = iter(range(1, 1_000_000))
        self.observations = []

    def start(self):
        self._tasks = [asyncio.ensure_future(self._run()) for _ in range(self._count)]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self):
        while True:
            host = self._rng.choice(list(self._site.hosts.values()))
            try:
                async with asyncio.timeout(1.0):
                    caller = await RawCaller.connect(host.callers)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            # Sends several requests on one connection, with the same key even after its revocation.
            key = self._rng.choice((KEY, OTHER_KEY, self._site.revocable_key))
            with contextlib.suppress(OSError):
                for _ in range(self._rng.randint(1, 30)):
                    if not await self._ask(caller, host.name, key):
                        break
            caller.close()

    async def _ask(self, caller, host, key):
        """Send one request; return whether the connection can be reused."""
        kind = self._rng.choice(("verdict", "chat", "goal", "goal", "card"))
        name = f"{kind}-{next(self._numbers)}"
        loop = asyncio.get_running_loop()
        began = loop.time()
        caller.send(write_request_of_kind(kind, name, key))
        answer = None
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                answer = await caller.read_answer()
        except TimeoutError:
            # The outcome of the request stays unknown.
            pass
        self.observations.append(Observation(name, kind, host, answer, began, loop.time(), key))
        await asyncio.sleep(self._rng.random() * 0.02)
        return answer is not None and answer.whole and answer.headers.get("connection") != "close"
