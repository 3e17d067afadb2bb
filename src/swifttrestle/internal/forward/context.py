"""The state of one request while it is served."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.answer import Answer
from swifttrestle.internal.forward.quotas import QuotaCharge
from swifttrestle.internal.policy.retry_window import WindowedRetryBudget
from swifttrestle.internal.state.crash_records import OpenRequest
from swifttrestle.internal.state.declared import RetrySafety, Route, ServiceDeclaration, Workspace
from swifttrestle.internal.state.fingerprints import (
    Fingerprint,
    fingerprint_head,
    fingerprint_part,
    fingerprint_request,
)
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.caller import IncomingRequest, ResponseWriter
from swifttrestle.internal.transport.messages import Header
from swifttrestle.platform.wire import RequestMetadata

# Maximum number of a prompt's parts that a crash may count against.
MAX_SHARED_PARTS = 16


@dataclass
class Context:
    """One request; `deadline` is in the loop's time.

    `urgent` is set if no route to the same service has a higher priority. `may_have_run` is set
    once the request was sent to an upstream, unless that states that it did not run. `runs` counts
    attempts that may have run, `failed_prefills` failed prefills, and `sent_attempts` all attempts
    that were sent. `steps` are the decisions so far, for the request's log line.
    """

    request: IncomingRequest
    reply: ResponseWriter
    request_metadata: RequestMetadata
    headers: list[Header]
    route: Route
    service: ServiceDeclaration
    deadline: float
    config_version: int
    urgent: bool = True
    # The workspace of the request's key; None without a key.
    workspace: Workspace | None = None
    may_have_run: bool = False
    runs: int = 0
    failed_prefills: int = 0
    # Prefills that were given up because their engine was silent.
    silent_prefills: int = 0
    first_byte: float | None = None
    sent_attempts: int = 0
    # Calls that were sent to upstreams, prefills included, without those that an upstream stated
    # not to have run. Unlike `may_have_run`, it is 0 while the first connection is established.
    calls_sent: int = 0
    # Calls to upstreams that are in progress, from before their connection is made.
    open_calls: int = 0
    # The charge to the workspace's quota; None without a quota.
    quota_charge: QuotaCharge | None = None
    excluded: set[str] = field(default_factory=set)
    # The software version at which the answer must go on; None while any one may begin it.
    build: str | None = None
    steps: list[str] = field(default_factory=list)
    # Expiry of rate limit permits in the loop's time, by instance.
    permits: dict[str, float] = field(default_factory=dict)
    # The query for a permit of an upstream that may take over from a silent one.
    permit_query: "asyncio.Task[None] | None" = None
    # The budget from which the next attempt was taken when the last one was given up.
    _reserved_from: WindowedRetryBudget | None = None
    # Whether this request is the trial of a quarantined one.
    is_trial: bool = False
    # The instance at which the request was open when it was cancelled.
    cancelled_instance: Instance | None = None
    # Whether one engine wrote a stream from its first event to its end.
    stream_written: bool = False
    # Called at the first byte of the answer.
    on_first_byte: Callable[[], None] | None = None
    # Called with the workspace's name at the first byte of the answer.
    count_request: Callable[[str], None] | None = None
    _cached_fingerprint: Fingerprint | None = None
    # What goes to the caller from upstreams.
    answer: Answer = field(init=False)

    def __post_init__(self) -> None:
        """Start without an answer."""
        self.answer = Answer(self.reply)

    @property
    def priority(self) -> int:
        """The workspace's priority, or the route's where the workspace has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.repeat is RetrySafety.IDEMPOTENT

    @property
    def may_run_again(self) -> bool:
        """Whether its route and its answer allow a run besides the present one."""
        if not self.repeatable or not self.answer.accepts_run:
            return False
        return self.runs + 1 < self.route.max_attempts

    @property
    def seconds_left(self) -> float:
        """Seconds to the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def age(self) -> float:
        """Seconds since the request was received."""
        return asyncio.get_running_loop().time() - self.request.received

    @functools.cached_property
    def fingerprint_head(self) -> bytes:
        """The half of the request's fingerprint that does not depend on its body."""
        return fingerprint_head(self.request.head, self.workspace.name if self.workspace else "")

    @property
    def fingerprint(self) -> Fingerprint | None:
        """The request's fingerprint; None until its body is complete."""
        if self._cached_fingerprint is None:
            workspace = self.workspace.name if self.workspace else ""
            self._cached_fingerprint = fingerprint_request(
                self.request.head, workspace, self.request.body
            )
        return self._cached_fingerprint

    @functools.cached_property
    def shared_parts(self) -> tuple[str, ...]:
        """The names of the prompt's parts that other prompts may have: all but the last."""
        if self.service.engine is None:
            return ()
        return tuple(item.part for item in self.request_metadata.parts[:-1][:MAX_SHARED_PARTS])

    @functools.cached_property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """The fingerprints of the prompt's shared parts."""
        return tuple(fingerprint_part(name) for name in self.shared_parts)

    def describe_open(self) -> OpenRequest:
        """Return what may be to blame in this request if its upstream crashes."""
        return OpenRequest(self.fingerprint, self.shared_parts)

    @contextlib.contextmanager
    def record_cancellation(self, instance: Instance) -> Iterator[None]:
        """Record the instance if the request is cancelled while it is open there."""
        try:
            yield
        except asyncio.CancelledError:
            self.cancelled_instance = instance
            raise

    @contextlib.contextmanager
    def record_call(self) -> Iterator[None]:
        """Count a call to an upstream as in progress."""
        self.open_calls += 1
        try:
            yield
        finally:
            self.open_calls -= 1

    def note_first_byte(self) -> None:
        """Record the request's age at the first byte of its answer."""
        if self.first_byte is not None:
            return
        self.first_byte = self.age
        if self.count_request is not None and self.workspace is not None:
            self.count_request(self.workspace.name)
        if self.on_first_byte is not None:
            self.on_first_byte()

    def note_call_sent(self) -> None:
        """Record that the first byte of a call is sent to an upstream."""
        self.calls_sent += 1

    def note_call_not_run(self) -> None:
        """Record that an upstream stated that it did not run a call that was sent."""
        self.calls_sent -= 1

    def reserve_retry(self, budget: WindowedRetryBudget) -> bool:
        """Take the next attempt from a retry budget already; return whether that is allowed."""
        if not budget.take(asyncio.get_running_loop().time()):
            return False
        self._reserved_from = budget
        return True

    def use_reserved_retry(self) -> bool:
        """Return whether the next attempt was taken from the budget, and use that up."""
        reserved, self._reserved_from = self._reserved_from, None
        return reserved is not None

    def withdraw_retry(self) -> None:
        """Give a reserved attempt back, since the last one goes on."""
        if self._reserved_from is not None:
            self._reserved_from.give_back()
            self._reserved_from = None

    def note(self, step: str) -> None:
        """Add a decision, with the request's age in milliseconds, to its log line."""
        self.steps.append(f"{self.age * 1000:.0f}:{step}")

    def refuse(self, code: Code, message: str, retry_after: float) -> RefusedError:
        """Return the error that ends the request.

        Where the request may have run, the code must not state that it has not.
        """
        if self.may_have_run:
            return RefusedError(Code.ANSWER_LOST, message)
        return RefusedError(code, message, retry_after)
