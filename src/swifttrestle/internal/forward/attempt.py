"""One attempt of a request at one instance: sends it, checks the answer and delivers it."""

import functools
from dataclasses import dataclass

from swifttrestle.errors import (
    CrossedAnswerError,
    FailedByUpstreamError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamLeavingError,
    UpstreamSilentError,
)
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.liveness import lives_on
from swifttrestle.internal.forward.start_confirmation import confirm_start
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead, is_success
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.internal.transport.silence import SilenceLimit, limit_silence
from swifttrestle.internal.transport.upstream import OutgoingRequest, UpstreamConnection
from swifttrestle.platform.wire import (
    ForwardingHeaders,
    build_forward_headers,
    read_response_metadata,
    strip_answer_headers,
)

# Answers of a known length up to this size are buffered before the first byte goes to the caller,
# so that a broken one can be retried or replaced by an error.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
# Limit for buffering an answer of unknown length.
MAX_BUFFERED_UNSIZED_ANSWER_BYTES = 64 * MAX_BUFFERED_ANSWER_BYTES
FIRST_ERROR_STATUS = 500
MAX_REFUSAL_BYTES = 64 * 1024


@dataclass(frozen=True)
class AttemptPlan:
    """How to make one attempt; `silence` limits the wait for the answer's head.

    `retry_failure` turns a server error into an exception, for another attempt.
    """

    instance: Instance
    forwarding: ForwardingHeaders
    silence: SilenceLimit
    retry_failure: bool = False


def build_request(ctx: Context, forwarding: ForwardingHeaders) -> OutgoingRequest:
    """Return the request as it is sent to an upstream."""
    head = ctx.request.head
    return OutgoingRequest(
        head.method,
        head.target,
        build_forward_headers(ctx.headers, forwarding),
        head.framing,
        head.length,
        ctx.request.body,
        ctx.note_call_sent,
    )


async def read_head(
    ctx: Context, connection: UpstreamConnection, plan: AttemptPlan
) -> tuple[ResponseHead, Body]:
    """Send the request and return the checked head of its answer.

    Raises UpstreamBusyError or UpstreamLeavingError where the upstream stated that the request
    did not run, and UpstreamBrokenError where that is unknown.
    """
    try:
        async with limit_silence(plan.silence):
            head, body = await connection.exchange(build_request(ctx, plan.forwarding))
    except TimeoutError:
        raise UpstreamSilentError(
            f"{plan.instance.name} sent no answer head before the timeout"
        ) from None
    metadata = read_response_metadata(head.status, head.headers, plan.instance.record.instance)
    # An engine may refuse a request before it has read the id.
    if metadata.request_id != ctx.request_metadata.request_id and not (
        metadata.not_run and not metadata.request_id
    ):
        raise CrossedAnswerError(
            f"{plan.instance.name} answered with the id of another request", sent=True
        )
    if metadata.not_run:
        await body.read_whole(MAX_REFUSAL_BYTES)
        ctx.note_call_not_run()
        if metadata.replaced:
            raise UpstreamLeavingError(f"{plan.instance.name} was replaced at its address")
        raise UpstreamBusyError(f"{plan.instance.name} refused with {head.status}")
    if is_success(head.status) and not metadata.signed:
        raise UpstreamBrokenError(
            f"the answer {head.status} of {plan.instance.name} has no signature", sent=True
        )
    return head, body


async def make_attempt(
    ctx: Context, pool: ConnectionPool, plan: AttemptPlan, relay: EventRelay | None = None
) -> None:
    """Make one attempt, and record in the context whether the request may have run.

    Raises what `deliver` raises. A request that is cancelled counts as having run.
    """
    ran_before = ctx.may_have_run
    ctx.may_have_run = True
    try:
        await deliver(ctx, pool, plan, relay)
    except (UpstreamBusyError, UpstreamLeavingError):
        ctx.may_have_run = ran_before
        raise
    except UpstreamBrokenError as error:
        ctx.may_have_run = ran_before or error.sent
        raise


async def deliver(
    ctx: Context, pool: ConnectionPool, plan: AttemptPlan, relay: EventRelay | None = None
) -> None:
    """Make one attempt and deliver its answer to the caller.

    Raises what `read_head` raises, and UpstreamBrokenError where the answer broke off.
    """
    instance = plan.instance
    async with pool.acquire(instance.name, instance.record.address) as connection:
        if connection.relay:
            ctx.note(f"through {connection.relay}")
        # The instance may have started to drain while the connection was established.
        if instance.leaving:
            raise UpstreamLeavingError(f"{instance.name} is draining")
        if ctx.route.resumable and instance.record.role is not Role.NONE:
            await confirm_start(connection, instance, plan.silence)
            if not instance.may_continue(ctx.build):
                raise UpstreamBusyError(f"{instance.name} may be of another version")
        try:
            head, body = await read_head(ctx, connection, plan)
        except (UpstreamBusyError, UpstreamLeavingError):
            # The connection can be reused: the refusal was read to its end.
            await connection.finish(timeout_seconds=0.0)
            raise
        if head.status >= FIRST_ERROR_STATUS and plan.retry_failure:
            raise FailedByUpstreamError(f"status {head.status} from {instance.name}", sent=True)
        if ctx.answer.begun and not is_success(head.status):
            raise FailedByUpstreamError(
                f"status {head.status} from {instance.name} does not continue the answer", sent=True
            )
        if relay is not None and ctx.route.streaming and is_success(head.status):
            check = functools.partial(lives_on, pool, instance)
            await relay.relay(ctx, head, body, instance.build, check)
        elif head.framing is Framing.LENGTH and head.length > MAX_BUFFERED_ANSWER_BYTES:
            await _stream_answer(ctx, head, body)
        else:
            await _send_buffered(ctx, head, body)
        await pool.mark_reusable(connection, head)


async def _send_buffered(ctx: Context, head: ResponseHead, body: Body) -> None:
    content = await body.read_whole(max(head.length, MAX_BUFFERED_UNSIZED_ANSWER_BYTES))
    headers = strip_answer_headers(head.headers)
    ctx.note_first_byte()
    if head.framing is Framing.NONE:
        await ctx.answer.begin(head.status, headers, Framing.NONE, 0)
    else:
        await ctx.answer.begin(head.status, headers, Framing.LENGTH, len(content))
        await ctx.answer.send(content)
    await ctx.answer.end()


async def _stream_answer(ctx: Context, head: ResponseHead, body: Body) -> None:
    headers = strip_answer_headers(head.headers)
    ctx.note_first_byte()
    await ctx.answer.begin(head.status, headers, head.framing, head.length)
    async for chunk in body.chunks():
        await ctx.answer.send(chunk)
    await ctx.answer.end()
