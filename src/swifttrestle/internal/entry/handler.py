"""Handles callers' requests: authentication, admission, attempts at upstreams and the response."""

import hashlib
import threading
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import TypeVar

from swifttrestle.codes import TABLE, Code
from swifttrestle.errors import CallerGoneError, RefusedError, UpstreamBusyError, UpstreamError
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.entry.admission_queue import AdmissionRequest, BlockingAdmissionQueue
from swifttrestle.internal.entry.attempts import Attempt, Attempts, Target
from swifttrestle.internal.entry.crash_guard import describe_request
from swifttrestle.internal.entry.idempotency import IdempotencyRecords
from swifttrestle.internal.entry.quotas import EntryQuotas
from swifttrestle.internal.entry.relay import Relay, RelayContext
from swifttrestle.internal.entry.requests import (
    Completion,
    RequestTerms,
    read_completion,
    read_terms,
)
from swifttrestle.internal.entry.responses import (
    CallerResponse,
    make_error_body,
    make_error_headers,
)
from swifttrestle.internal.entry.waiting_threads import WaitingThreads
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.admission import DeadlineAdmission
from swifttrestle.internal.policy.retry_budget import RetryBudget
from swifttrestle.internal.policy.routing import URGENT, RequestEstimate
from swifttrestle.internal.protocol.calls import EngineCall, PlainResponse, call_plain
from swifttrestle.internal.protocol.prefixes import count_tokens, split_blocks
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.state.crash_records import OpenRequest
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable, excluding
from swifttrestle.internal.transport.http import Exchange, Handler
from swifttrestle.resources import ResourceSet, Service

T = TypeVar("T")


class EntryHandler(Handler):
    """Handles callers' requests in the HTTP server's worker threads."""

    def __init__(
        self,
        *,
        config: ConfigStore,
        table: UpstreamTable,
        queue: BlockingAdmissionQueue,
        relay_context: RelayContext,
        claims: IdempotencyRecords,
        quotas: EntryQuotas,
        metrics: Metrics,
        threads: int,
        max_streams: int,
        connect_seconds: float,
    ) -> None:
        """Serve with `threads` worker threads and at most `max_streams` open requests."""
        self._config = config
        self._table = table
        self._queue = queue
        self._relay_context = relay_context
        self._attempts: Attempts = relay_context.attempts
        self._guard = relay_context.attempts.guard
        self._claims = claims
        self._metrics = metrics
        self._waiting_threads = WaitingThreads(threads)
        self._quotas = quotas
        self._max_streams = max_streams
        self._connect_seconds = connect_seconds
        self._lock = threading.Lock()
        self._workspace_by_digest: dict[str, str] = {}
        self._budget = RetryBudget(config.current.policy.retry_ratio)
        self.open_requests = 0
        self.stopping = False
        self.request_ended = threading.Condition(self._lock)
        config.subscribe(self._configure)

    def _configure(self, current: ResourceSet) -> None:
        self._workspace_by_digest = {
            digest: workspace.name
            for workspace in current.workspaces.values()
            for digest in workspace.key_sha256
        }
        self._budget.ratio = current.policy.retry_ratio
        self._quotas.configure(current.workspaces)
        self._table.configure(current)
        self._queue.notify()

    def handle(self, exchange: Exchange) -> None:
        """Respond to one request, or refuse it with a result code."""
        match (exchange.method, exchange.path):
            case ("GET", "/healthz"):
                exchange.reply_json(200, {"ok": True})
            case ("GET", "/readyz"):
                ready = bool(self._workspace_by_digest) and not self.stopping
                exchange.reply_json(200 if ready else 503, {"ready": ready})
            case _:
                self._serve(exchange)

    def _serve(self, exchange: Exchange) -> None:
        try:
            self._begin_request()
        except RefusedError as error:
            self._refuse(exchange, error)
            return
        handed_over = False
        try:
            handed_over = self._route(exchange)
        except RefusedError as error:
            self._refuse(exchange, error)
        finally:
            if not handed_over:
                self._end_request()

    def _refuse(self, exchange: Exchange, error: RefusedError) -> None:
        exchange.discard_body()
        self._metrics.count("refused_total", code=error.code.name)
        body = make_error_body(error, exchange.header("X-Request-Id"))
        exchange.reply_json(TABLE[error.code].status, body, make_error_headers(error))

    def _begin_request(self) -> None:
        with self._lock:
            if self.stopping:
                raise RefusedError(Code.STOPPING, "this entry is stopping", 0)
            if self.open_requests >= self._max_streams:
                raise RefusedError(Code.OVERLOADED, "too many open streams", 1)
            self.open_requests += 1

    def _end_request(self) -> None:
        with self._lock:
            self.open_requests -= 1
            self.request_ended.notify_all()

    def _route(self, exchange: Exchange) -> bool:
        """Serve a request by its path; return whether it was handed over to a relay."""
        segments = exchange.path.strip("/").split("/")
        match (exchange.method, segments):
            case ("POST", ["v1", "chat", "completions"]):
                return self._complete(exchange, chat=True)
            case ("POST", ["v1", "completions"]):
                return self._complete(exchange, chat=False)
            case ("POST", ["services", name, *rest]):
                self._call_service(exchange, name, "/" + "/".join(rest))
                return False
        raise RefusedError(Code.BAD_REQUEST, "no such path; see docs/API.md")

    def _authenticate(self, exchange: Exchange) -> str:
        """Return the workspace of the request's key; raise RefusedError."""
        if not self._workspace_by_digest:
            raise RefusedError(Code.NOT_CONFIGURED, "no configuration is in force yet", 1)
        scheme, _, key = exchange.header("Authorization").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        workspace = self._workspace_by_digest.get(digest)
        if scheme.lower() != "bearer" or workspace is None:
            raise RefusedError(Code.UNKNOWN_KEY, "send Authorization: Bearer KEY")
        return workspace

    def _find_service(self, name: str, kind: str, workspace: str) -> Service:
        service = self._config.current.services.get(name)
        allowed = service and (not service.workspaces or workspace in service.workspaces)
        if service is None or not allowed or service.type != kind:
            raise RefusedError(
                Code.UNKNOWN_SERVICE, f"no {kind} service {name[:60]!r} is open to this workspace"
            )
        return service

    # Completions.

    def _complete(self, exchange: Exchange, chat: bool) -> bool:
        started = read_boottime_seconds()
        workspace = self._authenticate(exchange)
        body = exchange.read_body()
        completion = read_completion(body, chat)
        service = self._find_service(completion.service, "model", workspace)
        terms = read_terms(exchange, service, workspace, started)
        work, requirements = self._plan(completion, service, terms)
        call = self._make_call(completion, service, terms, work)
        described = describe_request(workspace, exchange.path, body, requirements.blocks)
        charged = self._quotas.charge(workspace, work.prompt_tokens + work.output_tokens)
        with charged, self._hold_resources(service, terms, call.request_id, described):
            attempt = self._open_first(call, requirements, work, terms)
        self._metrics.count("accepted_total", service=service.name)
        answer = CallerResponse(
            exchange.detach_socket(), call.request_id, terms.caller_id, completion.stream
        )
        Relay(
            self._relay_context, answer, attempt, terms.repeatable,
            self._make_done(service, terms, call.request_id),
        ).start()  # fmt: skip
        return True

    def _plan(
        self, completion: Completion, service: Service, terms: RequestTerms
    ) -> tuple[RequestEstimate, UpstreamRequirements]:
        blocks = split_blocks(completion.prompt)
        prompt_tokens = count_tokens(completion.prompt)
        max_tokens = min(completion.max_tokens or service.max_tokens, service.max_tokens)
        return (
            RequestEstimate(prompt_tokens, max_tokens, terms.priority),
            UpstreamRequirements(service, prompt_tokens, blocks),
        )

    def _make_call(
        self, completion: Completion, service: Service, terms: RequestTerms, work: RequestEstimate
    ) -> EngineCall:
        return EngineCall(
            request_id=self._attempts.make_id(),
            attempt=1,
            offset=0,
            max_tokens=work.output_tokens,
            model=service.model,
            version="",
            adapter=self._table.adapter_label(service),
            prompt=completion.prompt,
            priority=terms.priority,
        )

    def _open_first(
        self,
        call: EngineCall,
        requirements: UpstreamRequirements,
        work: RequestEstimate,
        terms: RequestTerms,
    ) -> Attempt:
        """Wait for capacity and open a stream, with retries."""

        def open_stream(target: Target, number: int) -> Attempt:
            numbered_call = EngineCall(**{**vars(call), "attempt": number})
            remaining = terms.remaining(read_boottime_seconds())
            return self._attempts.open(target, numbered_call, requirements, work, remaining)

        return self._attempt_with_retries(call.request_id, requirements, work, terms, open_stream)

    def _attempt_with_retries(
        self,
        request_id: str,
        requirements: UpstreamRequirements,
        work: RequestEstimate,
        terms: RequestTerms,
        attempt: Callable[[Target, int], T],
    ) -> T:
        """Make attempts until one succeeds, a limit is reached or a repetition is not allowed."""
        policy = self._config.current.policy
        self._budget.note_request(read_boottime_seconds())
        failed: list[str] = []
        lost_error: UpstreamError | None = None
        number = 0
        while True:
            number += 1
            try:
                self._guard.check(request_id)
                target = self._admit(requirements, work, terms, failed)
            except RefusedError as refusal:
                raise _note_lost_attempt(refusal, lost_error) from None
            try:
                return attempt(target, number)
            except UpstreamError as error:
                failed.append(target.candidate.name)
                lost_error = error if error.sent else lost_error
                is_last = number >= policy.attempts or (lost_error and not terms.repeatable)
                if is_last or not self._budget.take(read_boottime_seconds()):
                    raise _note_lost_attempt(_refuse_after_attempts(error), lost_error) from None
                self._metrics.count("retries_total", reason=error.code.name)

    def _admit(
        self,
        requirements: UpstreamRequirements,
        work: RequestEstimate,
        terms: RequestTerms,
        failed: list[str],
    ) -> Target:
        policy = self._config.current.policy
        untried = excluding(requirements, failed)
        targets: list[Target] = []

        def take(candidates: tuple) -> bool:
            target = self._attempts.select(candidates, work)
            if target is not None:
                targets.append(target)
            return target is not None

        limit = policy.queue_limit * (2 if terms.priority == URGENT else 1)
        admission_request = AdmissionRequest(
            terms,
            work,
            DeadlineAdmission(policy.urgent_reserve),
            limit,
            find=lambda: self._table.candidates(untried) or self._table.candidates(requirements),
            take=take,
        )
        self._queue.admit(
            requirements.service.model or requirements.service.name, admission_request
        )
        return targets[0]

    def _make_done(
        self, service: Service, terms: RequestTerms, request_id: str
    ) -> Callable[[RefusedError | CallerGoneError | None], None]:
        def done(error: RefusedError | CallerGoneError | None) -> None:
            self._guard.end(request_id, answered=error is None)
            outcome = "whole" if error is None else error.code.name
            in_time = "yes" if terms.remaining(read_boottime_seconds()) >= 0 else "no"
            self._metrics.count(
                "ended_total", service=service.name, outcome=outcome, in_time=in_time
            )
            self._queue.notify()
            self._end_request()

        return done

    # Plain services.

    def _call_service(self, exchange: Exchange, name: str, path: str) -> None:
        started = read_boottime_seconds()
        workspace = self._authenticate(exchange)
        service = self._find_service(name, "plain", workspace)
        body = exchange.read_body()
        terms = read_terms(exchange, service, workspace, started)
        request_id = self._attempts.make_id()
        requirements = UpstreamRequirements(service)
        work = RequestEstimate(1, 1, terms.priority)

        def try_call(target: Target, number: int) -> PlainResponse:
            remaining = max(0.05, terms.remaining(read_boottime_seconds()))
            headers = {"X-Request-Id": terms.caller_id or request_id}
            headers["X-Attempt"] = str(number)
            upstream = target.candidate.name
            address = self._table.address(upstream)
            try:
                answer = call_plain(
                    address, path, body, headers,
                    connect_seconds=min(remaining, self._connect_seconds), seconds=remaining,
                )  # fmt: skip
            except UpstreamError as error:
                self._attempts.record_failure(upstream, error)
                self._guard.record_failure(request_id, upstream, address, error)
                raise
            finally:
                self._table.end(upstream)
                self._queue.notify()
            return answer

        described = describe_request(workspace, exchange.path, body)
        charged = self._quotas.charge(workspace, 0)
        with charged, self._hold_resources(service, terms, request_id, described):
            answer = self._attempt_with_retries(request_id, requirements, work, terms, try_call)
        self._guard.end(request_id, answered=True)
        self._metrics.count("accepted_total", service=name)
        self._metrics.count("ended_total", service=name, outcome="whole", in_time="yes")
        id_headers = (("X-Request-Id", terms.caller_id or request_id),)
        exchange.reply(answer.status, answer.body, answer.content_type, id_headers)

    @contextmanager
    def _hold_resources(
        self, service: Service, terms: RequestTerms, request_id: str, described: OpenRequest
    ) -> Iterator[None]:
        """Have the crash guard track the request, record its id and occupy a waiting thread."""
        with (
            self._track(request_id, described),
            self._claim(service, terms),
            self._waiting_threads.hold(terms.priority),
        ):
            yield

    @contextmanager
    def _track(self, request_id: str, described: OpenRequest) -> Iterator[None]:
        """Have the crash guard track the request; stop that if the `with` block raises."""
        self._guard.begin(request_id, described)
        try:
            yield
        except BaseException:
            self._guard.end(request_id, answered=False)
            raise

    def _claim(self, service: Service, terms: RequestTerms) -> AbstractContextManager[None]:
        if terms.repeatable or not terms.caller_id:
            return nullcontext()
        return self._claims.hold(service, terms.workspace, terms.caller_id)


def _note_lost_attempt(refusal: RefusedError, lost_error: UpstreamError | None) -> RefusedError:
    """Return the refusal, or ANSWER_LOST if an earlier attempt may have run."""
    if lost_error is None:
        return refusal
    return RefusedError(
        Code.ANSWER_LOST,
        f"the response of an attempt was lost: {lost_error}; then {refusal.message}",
    )


def _refuse_after_attempts(error: UpstreamError) -> RefusedError:
    """Return the refusal of a request whose last attempt failed."""
    code = Code.OVERLOADED if isinstance(error, UpstreamBusyError) else Code.UPSTREAM_REFUSED
    return RefusedError(code, f"the last attempt failed: {error}", error.retry_after or 1.0)
