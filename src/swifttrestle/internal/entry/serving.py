"""What callers meet: who calls, what for, and the way of each request to its answer."""

import hashlib
import threading
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import TypeVar

from swifttrestle.codes import TABLE, Code
from swifttrestle.errors import CallerGoneError, RefusedError, UpstreamBusyError, UpstreamError
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.entry.answers import (
    CallerAnswer,
    make_error_body,
    make_error_headers,
)
from swifttrestle.internal.entry.attempts import Attempt, Attempts, Target
from swifttrestle.internal.entry.crash_guard import name_call
from swifttrestle.internal.entry.idempotency import IdempotencyRecords
from swifttrestle.internal.entry.relay import Relay, RelayParts
from swifttrestle.internal.entry.requests import Completion, Terms, read_completion, read_terms
from swifttrestle.internal.entry.waiting import AdmissionRequest, BlockingAdmissionQueue
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.admission import DeadlineAdmission
from swifttrestle.internal.policy.retry_budget import RetryBudget
from swifttrestle.internal.policy.routing import URGENT, RequestEstimate
from swifttrestle.internal.protocol.calls import EngineCall, PlainAnswer, call_plain
from swifttrestle.internal.protocol.prefixes import count_tokens, split_blocks
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable, excluding
from swifttrestle.internal.transport.http import Exchange, Handler
from swifttrestle.resources import ResourceSet, Service

NORMAL_SHARE = 0.6
SPARE_THREADS = 4
T = TypeVar("T")


class EntryHandler(Handler):
    """Answers callers' requests; called in the HTTP server's worker threads."""

    def __init__(
        self,
        *,
        config: ConfigStore,
        table: UpstreamTable,
        line: BlockingAdmissionQueue,
        parts: RelayParts,
        claims: IdempotencyRecords,
        metrics: Metrics,
        threads: int,
        max_streams: int,
        connect_seconds: float,
    ) -> None:
        """Serve with so many worker threads and at most so many open streams."""
        self._config = config
        self._table = table
        self._queue = line
        self._parts = parts
        self._attempts: Attempts = parts.attempts
        self._guard = parts.attempts.guard
        self._claims = claims
        self._metrics = metrics
        self._threads = threads
        self._max_streams = max_streams
        self._connect_seconds = connect_seconds
        self._lock = threading.Lock()
        self._held = 0
        self._keys: dict[str, str] = {}
        self._budget = RetryBudget(config.current.policy.retry_ratio)
        self.open_requests = 0
        self.stopping = False
        self.idle = threading.Condition(self._lock)
        config.subscribe(self._configure)

    def _configure(self, current: ResourceSet) -> None:
        self._keys = {
            digest: workspace.name
            for workspace in current.workspaces.values()
            for digest in workspace.key_sha256
        }
        self._budget.ratio = current.policy.retry_ratio
        self._table.configure(current)
        self._queue.notify()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request, or refuse it with a numbered code."""
        match (exchange.method, exchange.path):
            case ("GET", "/healthz"):
                exchange.reply_json(200, {"ok": True})
            case ("GET", "/readyz"):
                ready = bool(self._keys) and not self.stopping
                exchange.reply_json(200 if ready else 503, {"ready": ready})
            case _:
                self._answer(exchange)

    def _answer(self, exchange: Exchange) -> None:
        try:
            self._enter()
        except RefusedError as error:
            self._refuse(exchange, error)
            return
        handed = False
        try:
            handed = self._route(exchange)
        except RefusedError as error:
            self._refuse(exchange, error)
        finally:
            if not handed:
                self._leave()

    def _refuse(self, exchange: Exchange, error: RefusedError) -> None:
        exchange.discard_body()
        self._metrics.count("refused_total", code=error.code.name)
        body = make_error_body(error, exchange.header("X-Request-Id"))
        exchange.reply_json(TABLE[error.code].status, body, make_error_headers(error))

    def _enter(self) -> None:
        with self._lock:
            if self.stopping:
                raise RefusedError(Code.STOPPING, "this entry is stopping", 0)
            if self.open_requests >= self._max_streams:
                raise RefusedError(Code.OVERLOADED, "too many open streams", 1)
            self.open_requests += 1

    def _leave(self) -> None:
        with self._lock:
            self.open_requests -= 1
            self.idle.notify_all()

    def _route(self, exchange: Exchange) -> bool:
        """Return whether the request's end is left to a relay."""
        parts = exchange.path.strip("/").split("/")
        match (exchange.method, parts):
            case ("POST", ["v1", "chat", "completions"]):
                return self._complete(exchange, chat=True)
            case ("POST", ["v1", "completions"]):
                return self._complete(exchange, chat=False)
            case ("POST", ["services", name, *rest]):
                self._call_service(exchange, name, "/" + "/".join(rest))
                return False
        raise RefusedError(Code.BAD_REQUEST, "no such path; see docs/API.md")

    def _find_workspace(self, exchange: Exchange) -> str:
        if not self._keys:
            raise RefusedError(Code.NOT_CONFIGURED, "no configuration is in force yet", 1)
        scheme, _, key = exchange.header("Authorization").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        workspace = self._keys.get(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise RefusedError(Code.UNKNOWN_KEY, "send Authorization: Bearer KEY")
        return workspace

    def _find_service(self, name: str, kind: str, workspace: str) -> Service:
        service = self._config.current.services.get(name)
        allowed = service and (not service.workspaces or workspace in service.workspaces)
        if service is None or not allowed or service.type != kind:
            raise RefusedError(Code.UNKNOWN_SERVICE, f"no {kind} service {name[:60]!r} for you")
        return service

    # Completions.

    def _complete(self, exchange: Exchange, chat: bool) -> bool:
        started = read_boottime_seconds()
        workspace = self._find_workspace(exchange)
        body = exchange.read_body()
        asked = read_completion(body, chat)
        service = self._find_service(asked.service, "model", workspace)
        terms = read_terms(exchange, service, workspace, started)
        work, selection = self._describe(asked, service, terms)
        call = self._make_call(asked, service, terms, work)
        name = name_call(workspace, exchange.path, body)
        watched = self._watch(call.request_id, name)
        with watched, self._claim(service, terms), _Hold(self, terms.priority):
            attempt = self._open_first(call, selection, work, terms)
        self._metrics.count("accepted_total", service=service.name)
        answer = CallerAnswer(
            exchange.detach_socket(), call.request_id, terms.caller_id, asked.stream
        )
        Relay(
            self._parts, answer, attempt, terms.repeatable,
            self._make_done(service, terms, call.request_id),
        ).start()  # fmt: skip
        return True

    def _describe(
        self, asked: Completion, service: Service, terms: Terms
    ) -> tuple[RequestEstimate, UpstreamRequirements]:
        blocks = split_blocks(asked.prompt)
        prompt_tokens = count_tokens(asked.prompt)
        limit = min(asked.max_tokens or service.max_tokens, service.max_tokens)
        return (
            RequestEstimate(prompt_tokens, limit, terms.priority),
            UpstreamRequirements(service, prompt_tokens, blocks),
        )

    def _make_call(
        self, asked: Completion, service: Service, terms: Terms, work: RequestEstimate
    ) -> EngineCall:
        return EngineCall(
            request_id=self._attempts.make_id(),
            attempt=1,
            offset=0,
            max_tokens=work.output_tokens,
            model=service.model,
            version="",
            adapter=self._table.adapter_label(service),
            prompt=asked.prompt,
            priority=terms.priority,
        )

    def _open_first(
        self, call: EngineCall, selection: UpstreamRequirements, work: RequestEstimate, terms: Terms
    ) -> Attempt:
        """Wait for room and open a stream; a refusal or a loss may be tried again."""

        def try_open(target: Target, number: int) -> Attempt:
            numbered = EngineCall(**{**vars(call), "attempt": number})
            left = terms.left(read_boottime_seconds())
            return self._attempts.open(target, numbered, selection, work, left)

        return self._try(call.request_id, selection, work, terms, try_open)

    def _try(
        self,
        request_id: str,
        selection: UpstreamRequirements,
        work: RequestEstimate,
        terms: Terms,
        attempt: Callable[[Target, int], T],
    ) -> T:
        """Make attempts within the deadline, the budget and what may be repeated."""
        policy = self._config.current.policy
        self._budget.note_request(read_boottime_seconds())
        failed: list[str] = []
        lost: UpstreamError | None = None
        number = 0
        while True:
            number += 1
            try:
                self._guard.check(request_id)
                target = self._admit(selection, work, terms, failed)
            except RefusedError as refusal:
                raise _temper(refusal, lost) from None
            try:
                return attempt(target, number)
            except UpstreamError as error:
                failed.append(target.candidate.name)
                lost = error if error.sent else lost
                last = number >= policy.attempts or (lost and not terms.repeatable)
                if last or not self._budget.take(read_boottime_seconds()):
                    raise _temper(_make_final(error), lost) from None
                self._metrics.count("retries_total", reason=error.code.name)

    def _admit(
        self,
        selection: UpstreamRequirements,
        work: RequestEstimate,
        terms: Terms,
        failed: list[str],
    ) -> Target:
        policy = self._config.current.policy
        wanted = excluding(selection, failed)
        taken: list[Target] = []

        def take(available: tuple) -> bool:
            target = self._attempts.take(available, work)
            if target is not None:
                taken.append(target)
            return target is not None

        limit = policy.queue_limit * (2 if terms.priority == URGENT else 1)
        request_for_room = AdmissionRequest(
            terms,
            work,
            DeadlineAdmission(policy.urgent_reserve),
            limit,
            find=lambda: self._table.candidates(wanted) or self._table.candidates(selection),
            take=take,
        )
        self._queue.admit(selection.service.model or selection.service.name, request_for_room)
        return taken[0]

    def _make_done(
        self, service: Service, terms: Terms, request_id: str
    ) -> Callable[[RefusedError | CallerGoneError | None], None]:
        def done(error: RefusedError | CallerGoneError | None) -> None:
            self._guard.end(request_id, answered=error is None)
            outcome = "whole" if error is None else error.code.name
            in_time = "yes" if terms.left(read_boottime_seconds()) >= 0 else "no"
            self._metrics.count(
                "ended_total", service=service.name, outcome=outcome, in_time=in_time
            )
            self._queue.notify()
            self._leave()

        return done

    # Plain services.

    def _call_service(self, exchange: Exchange, name: str, path: str) -> None:
        started = read_boottime_seconds()
        workspace = self._find_workspace(exchange)
        service = self._find_service(name, "plain", workspace)
        body = exchange.read_body()
        terms = read_terms(exchange, service, workspace, started)
        request_id = self._attempts.make_id()
        selection = UpstreamRequirements(service)
        work = RequestEstimate(1, 1, terms.priority)

        def try_call(target: Target, number: int) -> PlainAnswer:
            left = max(0.05, terms.left(read_boottime_seconds()))
            headers = {"X-Request-Id": terms.caller_id or request_id}
            headers["X-Attempt"] = str(number)
            upstream = target.candidate.name
            address = self._table.address(upstream)
            try:
                answer = call_plain(
                    address, path, body, headers,
                    connect_seconds=min(left, self._connect_seconds), seconds=left,
                )  # fmt: skip
            except UpstreamError as error:
                self._attempts.note_failure(upstream, error)
                self._guard.note_failure(request_id, upstream, address, error)
                raise
            finally:
                self._table.end(upstream)
                self._queue.notify()
            return answer

        watched = self._watch(request_id, name_call(workspace, exchange.path, body))
        with watched, self._claim(service, terms), _Hold(self, terms.priority):
            answer = self._try(request_id, selection, work, terms, try_call)
        self._guard.end(request_id, answered=True)
        self._metrics.count("accepted_total", service=name)
        self._metrics.count("ended_total", service=name, outcome="whole", in_time="yes")
        ids = (("X-Request-Id", terms.caller_id or request_id),)
        exchange.reply(answer.status, answer.body, answer.content_type, ids)

    @contextmanager
    def _watch(self, request_id: str, name: RequestFingerprint) -> Iterator[None]:
        """Have the guard know the request; where it fails, its id is forgotten."""
        self._guard.begin(request_id, name)
        try:
            yield
        except BaseException:
            self._guard.end(request_id, answered=False)
            raise

    def _claim(self, service: Service, terms: Terms) -> AbstractContextManager[None]:
        if terms.repeatable or not terms.caller_id:
            return nullcontext()
        return self._claims.hold(service, terms.workspace, terms.caller_id)

    # Threads: a request that waits, or has no first token yet, holds one.

    def hold_thread(self, priority: str) -> None:
        """Count a held thread; refuse where too few would be left for what is more urgent."""
        most = self._threads - SPARE_THREADS
        if priority != URGENT:
            most = int(self._threads * NORMAL_SHARE)
        with self._lock:
            if self._held >= most:
                raise RefusedError(Code.OVERLOADED, "too many requests wait", 1)
            self._held += 1

    def release_thread(self) -> None:
        """Count a thread that is free again."""
        with self._lock:
            self._held -= 1


class _Hold:
    """Holds one of the handler's threads for as long as a request waits."""

    def __init__(self, handler: EntryHandler, priority: str) -> None:
        self._handler = handler
        self._priority = priority

    def __enter__(self) -> None:
        self._handler.hold_thread(self._priority)

    def __exit__(self, *_: object) -> None:
        self._handler.release_thread()


def _temper(refusal: RefusedError, lost: UpstreamError | None) -> RefusedError:
    """Return the refusal, or "may have run" where an earlier attempt was lost on its way."""
    if lost is None:
        return refusal
    return RefusedError(Code.ANSWER_LOST, f"an attempt was lost: {lost}; then {refusal.message}")


def _make_final(error: UpstreamError) -> RefusedError:
    """Return what a caller is told when no further attempt is made."""
    code = Code.OVERLOADED if isinstance(error, UpstreamBusyError) else Code.UPSTREAM_REFUSED
    return RefusedError(code, f"the last attempt was refused: {error}", error.retry_after or 1.0)
