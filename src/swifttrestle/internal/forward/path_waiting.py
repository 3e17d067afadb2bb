"""How long a request waits for a path to an upstream that it does not reach."""

from swifttrestle.errors import UpstreamError, UpstreamUnreachedError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.transport.dialer import CONNECT_TIMEOUT_SECONDS

# Seconds until upstreams that failed are tried again.
RETRY_SECONDS = 0.1
# Share of a request's time by which its connection must be made; the rest is for the answer.
LATEST_CONNECT_SHARE = 0.8
# Age in seconds up to which a stream waits for a path: the time in which a host finds its paths.
# Its caller is better served by another host then.
MAX_STREAM_WAIT_SECONDS = 1.0


def waits_for_path(ctx: Context, failure: UpstreamError) -> bool:
    """Return whether a stream that no engine got is tried again, by a path found meanwhile."""
    if not isinstance(failure, UpstreamUnreachedError) or not failure.may_be_path:
        return False
    return ctx.age < MAX_STREAM_WAIT_SECONDS and may_connect_later(ctx)


def may_connect_later(ctx: Context) -> bool:
    """Return whether another connection would still come in time for an answer."""
    if ctx.may_have_run or ctx.answer.begun:
        return False
    total = ctx.age + ctx.seconds_left
    return ctx.age + RETRY_SECONDS + CONNECT_TIMEOUT_SECONDS < total * LATEST_CONNECT_SHARE
