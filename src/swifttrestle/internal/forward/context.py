"""What is known of one request while it is served."""

import asyncio
import contextlib
import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.state.declared import RetrySafety, Route, ServiceDeclaration, Workspace
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.request_fingerprints import (
    RequestFingerprint,
    fingerprint_head,
    fingerprint_request,
)
from swifttrestle.internal.transport.caller import IncomingRequest, ResponseWriter
from swifttrestle.internal.transport.messages import Header
from swifttrestle.platform.wire import RequestMetadata


@dataclass
class Context:
    """One request; `deadline` is in the loop's time.

    `urgent` says that no route to the same service has a higher priority. `may_have_run` is
    set once an upstream has been sent a request that it has not proved to have left alone.
    `steps` are the decisions so far, for the request's log line.
    """

    request: IncomingRequest
    reply: ResponseWriter
    facts: RequestMetadata
    headers: list[Header]
    route: Route
    service: ServiceDeclaration
    deadline: float
    config_version: int
    urgent: bool = True
    # Whose key the request carries; None where it carries none.
    workspace: Workspace | None = None
    may_have_run: bool = False
    runs: int = 0
    lost_reads: int = 0
    first_byte: float | None = None
    arrivals: int = 0
    excluded: set[str] = field(default_factory=set)
    steps: list[str] = field(default_factory=list)
    # The loop's times until which permits hold, by the upstream that they are for.
    permits: dict[str, float] = field(default_factory=dict)
    # Whether this request tries out, for all hosts, whether it still crashes its upstreams.
    on_trial: bool = False
    # Where the request was open when its time was over.
    open_to_the_end: Instance | None = None
    # Called at the first byte of an answer that streams.
    on_first_byte: Callable[[], None] | None = None
    # Called once with the workspace's name when the request has begun to run.
    on_run: Callable[[str], None] | None = None
    _name: RequestFingerprint | None = None

    @property
    def priority(self) -> int:
        """The workspace's priority, or the route's where the workspace has none of its own."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.repeat is RetrySafety.IDEMPOTENT

    @property
    def left(self) -> float:
        """Seconds to the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def age(self) -> float:
        """Seconds since the request was read."""
        return asyncio.get_running_loop().time() - self.request.received

    @functools.cached_property
    def fingerprint_head(self) -> bytes:
        """The half of the request's name that is known before its body has arrived."""
        return fingerprint_head(self.request.head, self.workspace.name if self.workspace else "")

    @property
    def name(self) -> RequestFingerprint | None:
        """The request's name, None while its body is not whole; its bytes are read once."""
        if self._name is None:
            workspace = self.workspace.name if self.workspace else ""
            self._name = fingerprint_request(self.request.head, workspace, self.request.body)
        return self._name

    @contextlib.contextmanager
    def open_at(self, instance: Instance) -> Iterator[None]:
        """Keep where the request is open if it is called off there."""
        try:
            yield
        except asyncio.CancelledError:
            self.open_to_the_end = instance
            raise

    def note_first_byte(self) -> None:
        """Keep the request's age at the first byte of its answer."""
        if self.first_byte is not None:
            return
        self.first_byte = self.age
        if self.on_run is not None and self.workspace is not None:
            self.on_run(self.workspace.name)
        if self.on_first_byte is not None:
            self.on_first_byte()

    def note(self, step: str) -> None:
        """Keep a decision, with the request's age in milliseconds, for its log line."""
        self.steps.append(f"{self.age * 1000:.0f}:{step}")

    def refuse(self, code: Code, message: str, retry_after: float) -> RefusedError:
        """Return the final answer for a request that is given up on.

        Where it may have run, the answer must not promise that it has not.
        """
        if self.may_have_run:
            return RefusedError(Code.ANSWER_LOST, message)
        return RefusedError(code, message, retry_after)
