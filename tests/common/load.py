"""Callers of a scenario; each call has a unique prompt, so that its answer can be checked."""

import itertools
import threading
import time
from dataclasses import dataclass, field

from swifttrestle_standins.caller import Answer, ask, call_service
from swifttrestle_standins.expected_answers import GenerationInput, make_answer

RETRY_TIMEOUT_SECONDS = 60.0
_numbers = itertools.count()


@dataclass
class Call:
    """One call of a load and its last answer."""

    id: str
    service: str
    prompt: str
    tokens: int
    answer: Answer | None = None
    started_at: float = 0.0
    attempts: int = 0

    def is_correct(self, versions: tuple[str, ...]) -> bool:
        """Return whether the answer is complete and matches the request."""
        if self.answer is None or not self.answer.whole:
            return False
        if self.service == "alerts":
            return f'"id": "{self.id}"' in self.answer.text
        expected = [
            make_answer(GenerationInput("small", version, "", f"user: {self.prompt}"), self.tokens)
            for version in versions
        ]
        return self.answer.text in expected

    @property
    def digests(self) -> set[int]:
        """The digests under which engines record runs of this call."""
        return {
            GenerationInput("small", v, "", f"user: {self.prompt}").digest for v in ("v1", "v2")
        }


@dataclass
class Load:
    """Some calls through the given entries, all at once or `interval_seconds` apart."""

    key: str
    entries: list[str]
    service: str
    count: int
    tokens: int
    headers: dict[str, str]
    interval_seconds: float = 0.0
    retry: bool = False
    disconnect_after_tokens: int = -1
    calls: list[Call] = field(default_factory=list)
    threads: list[threading.Thread] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Start one thread per call."""
        for index in range(self.count):
            number = next(_numbers)
            call = Call(f"call-{number}", self.service, f"question {number} " * 3, self.tokens)
            self.calls.append(call)
            thread = threading.Thread(target=self._run, args=(call, index), daemon=True)
            self.threads.append(thread)
            thread.start()

    def _run(self, call: Call, index: int) -> None:
        self.stopped.wait(index * self.interval_seconds)
        call.started_at = time.time()
        deadline = time.monotonic() + RETRY_TIMEOUT_SECONDS
        while True:
            call.attempts += 1
            entry = self.entries[(index + call.attempts) % len(self.entries)]
            call.answer = self._ask(entry, call)
            # Retries through another entry, like a load balancer, but only if the call did not
            # run or the connection was refused.
            refused = call.answer.error.get("ran") == "not run"
            unreachable = call.answer.lost == "ConnectionRefusedError"
            if not self.retry or not (refused or unreachable) or time.monotonic() > deadline:
                return
            self.stopped.wait(0.1)

    def _ask(self, entry: str, call: Call) -> Answer:
        headers = {"X-Request-Id": call.id, **self.headers}
        if self.service == "alerts":
            return call_service(entry, self.key, "alerts", {"id": call.id}, headers)
        return ask(
            entry, self.key, self.service, call.prompt, max_tokens=call.tokens,
            headers=headers, disconnect_after_tokens=self.disconnect_after_tokens,
        )  # fmt: skip

    def join(self) -> None:
        """Wait until every call has ended."""
        for thread in self.threads:
            thread.join(120)
            assert not thread.is_alive(), "a call did not end within 120 s"
