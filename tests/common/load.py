"""Callers of a scenario: each call has a prompt of its own, so any answer can be checked."""

import itertools
import threading
import time
from dataclasses import dataclass, field

from swifttrestle_standins.caller import Answer, ask, call_service
from swifttrestle_standins.words import Question, make_answer

GIVE_UP = 60.0
_numbers = itertools.count()


@dataclass
class Call:
    """One call of a load and what came back."""

    id: str
    service: str
    prompt: str
    tokens: int
    answer: Answer | None = None
    began: float = 0.0
    tries: int = 0

    def is_right(self, versions: tuple[str, ...]) -> bool:
        """Whether the answer is whole and the one to its own question."""
        if self.answer is None or not self.answer.whole:
            return False
        if self.service == "alerts":
            return f'"id": "{self.id}"' in self.answer.text
        wanted = [
            make_answer(Question("small", version, "", f"user: {self.prompt}"), self.tokens)
            for version in versions
        ]
        return self.answer.text in wanted

    @property
    def digests(self) -> set[int]:
        """The digests under which an engine would have noted a run."""
        return {Question("small", v, "", f"user: {self.prompt}").digest for v in ("v1", "v2")}


@dataclass
class Load:
    """Some calls made at once or one after another, over the given entries."""

    key: str
    entries: list[str]
    service: str
    count: int
    tokens: int
    headers: dict[str, str]
    pace: float = 0.0
    again: bool = False
    hang_up_after: int = -1
    calls: list[Call] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Start one thread a call; with a pace they start so many seconds apart."""
        for index in range(self.count):
            number = next(_numbers)
            call = Call(f"call-{number}", self.service, f"question {number} " * 3, self.tokens)
            self.calls.append(call)
            thread = threading.Thread(target=self._run, args=(call, index), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run(self, call: Call, index: int) -> None:
        self.stopped.wait(index * self.pace)
        call.began = time.time()
        give_up = time.monotonic() + GIVE_UP
        while True:
            call.tries += 1
            entry = self.entries[(index + call.tries) % len(self.entries)]
            call.answer = self._ask(entry, call)
            # A caller behind a balancer comes again through another entry, but only where
            # it was told that nothing ran, or could not connect at all.
            refused = call.answer.error.get("ran") == "not run"
            unmet = call.answer.lost == "ConnectionRefusedError"
            if not self.again or not (refused or unmet) or time.monotonic() > give_up:
                return
            self.stopped.wait(0.1)

    def _ask(self, entry: str, call: Call) -> Answer:
        headers = {"X-Request-Id": call.id, **self.headers}
        if self.service == "alerts":
            return call_service(entry, self.key, "alerts", {"id": call.id}, headers)
        return ask(
            entry, self.key, self.service, call.prompt, max_tokens=call.tokens,
            headers=headers, hang_up_after=self.hang_up_after,
        )  # fmt: skip

    def join(self) -> None:
        """Wait for the end of every call."""
        for thread in self.threads:
            thread.join(120)
            assert not thread.is_alive(), "a call neither ended nor failed"
