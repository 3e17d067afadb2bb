"""Relays a completion to its caller, and resumes it on another engine after a failure.

`StreamRelay` runs the streams. When an engine disconnects, stalls or sends data of another attempt,
`Relay` requests the tokens from the next offset on from another engine with the same model version,
and the caller's response continues without a gap.
"""

import time
from collections.abc import Callable, Generator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import (
    CallerGoneError,
    RefusedError,
    UpstreamBrokenError,
    UpstreamError,
)
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.entry.attempts import Attempt, Attempts
from swifttrestle.internal.entry.responses import CallerResponse
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.calls import READ_BYTES, cancel_stream
from swifttrestle.internal.protocol.tokens import TokenChecker
from swifttrestle.internal.transport.stream_relay import StreamRelay, WaitFor

RESUME_TIMEOUT_SECONDS = 20.0
RESUME_INTERVAL_SECONDS = 0.2
CANCEL_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class RelayContext:
    """Components that all relays of one entry share."""

    stream_relay: StreamRelay
    attempts: Attempts
    executor: ThreadPoolExecutor
    metrics: Metrics
    stall_seconds: float


class Relay:
    """Relays one response; `done` is called once, with the error or None."""

    def __init__(
        self,
        context: RelayContext,
        answer: CallerResponse,
        attempt: Attempt,
        repeatable: bool,
        done: Callable[[RefusedError | CallerGoneError | None], None],
    ) -> None:
        """Relay an attempt that has begun to stream."""
        self._context = context
        self._answer = answer
        self._attempt = attempt
        self._repeatable = repeatable
        self._done = done
        self._failed_upstreams: list[str] = []
        # Whether the engine was silent for as long as a caller waits for its next token.
        self._waited_out = False
        self._checker = self._make_checker()

    def start(self) -> None:
        """Add the attempt's stream to the stream relay."""
        stream = self._attempt.stream
        self._context.stream_relay.add(
            stream.sock, self._answer.sock, self._run(stream.first), self._finish,
            self._leave_silent, self._context.stall_seconds,
        )  # fmt: skip

    def _make_checker(self) -> TokenChecker:
        call = self._attempt.call
        return TokenChecker(call.request_id, call.attempt, call.offset)

    def _run(self, data: bytes) -> Generator[WaitFor, None, None]:
        """Relay one attempt: check the data, deliver it and wait for more."""
        checker = self._checker
        sock = self._attempt.stream.sock
        while True:
            events = checker.take(data)
            if events:
                yield from self._answer.write(events)
            if checker.fault is not None:
                raise checker.fault
            if checker.whole:
                yield from self._answer.end(checker.offset)
                return
            yield WaitFor.DATA
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                data = b""
                continue
            except OSError as error:
                raise UpstreamBrokenError(f"{type(error).__name__}", sent=True) from None
            if not data:
                raise UpstreamBrokenError("the stream ended without a finish event", sent=True)

    def _leave_silent(self, seconds: float) -> bool:
        """Return whether to leave an engine that has sent nothing for so many seconds.

        It is left if another one can take over, or if its caller has waited as long as for a resume
        that fails.
        """
        self._waited_out = seconds >= self._context.stall_seconds + RESUME_TIMEOUT_SECONDS
        return self._waited_out or (
            self._repeatable and self._context.attempts.can_resume(self._attempt)
        )

    def _finish(self, error: BaseException | None) -> None:
        """Handle the end of an attempt; runs in the stream relay's thread, so it must not block."""
        attempt = self._attempt
        tokens = self._checker.offset - attempt.call.offset
        self._context.metrics.count("tokens_relayed_total", tokens)
        self._context.attempts.end(attempt, tokens, failed=isinstance(error, UpstreamError))
        if error is None:
            self._answer.close()
            self._done(None)
        elif isinstance(error, UpstreamError):
            self._context.metrics.count("streams_broken_total", reason=error.code.name)
            self._context.executor.submit(self._resume, error)
        else:
            self._context.executor.submit(
                cancel_stream, attempt.address, attempt.call.request_id, attempt.call.attempt,
                CANCEL_TIMEOUT_SECONDS,
            )  # fmt: skip
            self._answer.close()
            self._done(CallerGoneError(str(error)))

    def _resume(self, error: UpstreamError) -> None:
        """Continue on another engine, or report to the caller that the response is incomplete."""
        attempt, guard = self._attempt, self._context.attempts.guard
        self._failed_upstreams.append(attempt.upstream)
        guard.record_failure(attempt.call.request_id, attempt.upstream, attempt.address, error)
        if not self._repeatable or self._waited_out:
            self._fail(Code.STREAM_BROKEN if self._checker.offset else Code.ANSWER_LOST, error)
            return
        deadline = read_boottime_seconds() + RESUME_TIMEOUT_SECONDS
        failed = list(self._failed_upstreams)
        while read_boottime_seconds() < deadline:
            try:
                # A request that crashes engines must not be resumed on further ones.
                guard.check(attempt.call.request_id)
                self._attempt = self._context.attempts.resume(
                    self._attempt, self._checker.offset, failed
                )
            except RefusedError:
                break
            except UpstreamError as resume_error:
                error = resume_error
                # Engines that failed before may have recovered.
                failed = []
                time.sleep(RESUME_INTERVAL_SECONDS)
                continue
            self._context.metrics.count("streams_resumed_total")
            self._checker = self._make_checker()
            self.start()
            return
        self._fail(Code.STREAM_BROKEN, error)

    def _fail(self, code: Code, error: UpstreamError) -> None:
        refusal = RefusedError(code, f"the response was interrupted and not resumed: {error}")
        self._answer.fail(refusal)
        self._done(refusal)
