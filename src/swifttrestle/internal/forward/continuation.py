"""Prepares requests for streams that may be taken up, which go on where they began."""

import asyncio

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.stream_directory import TakeUp
from swifttrestle.internal.policy.stream_builds import Continuation, KnownBy
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.routes import RouteTable

# Retry-After where no upstream may continue a stream: one may change its role meanwhile.
RETRY_AFTER_SECONDS = 0.2
# The same where none has the stream's version, which then hardly comes back.
VERSION_GONE_RETRY_SECONDS = 1.0


async def prepare_continuation(ctx: Context, state: GatewayState, table: RouteTable) -> None:
    """Set the service and the software version at which a taken-up stream goes on.

    Raises RefusedError if they are unknown while there is a choice, or have no upstream.
    """
    metadata = ctx.request_metadata
    if not ctx.route.resumable:
        return
    if not metadata.last_event:
        _set_required_build(ctx, state)
        return
    stream = metadata.resumed_stream
    take_up = TakeUp(ctx.route, _read_url(ctx))
    found = await state.streams.find_continuation(stream, ctx.service.name, take_up)
    name, source = stream.decode("latin-1"), found.known_by
    ctx.note(f"stream {name} began at {found.origin}, known by {source.value}")
    state.metrics.count("gateway_streams_taken_up_total", known_by=source.name.lower())
    inferred = found.known_by is KnownBy.ONE_BUILD
    if not found.allowed or (inferred and len(ctx.route.targets) > 1):
        raise _refuse(ctx, "no host knows where the stream began")
    if found.origin is None:
        return
    _set_origin(ctx, found, table)
    now = asyncio.get_running_loop().time()
    if not state.list_usable(ctx.service.name, now, ctx.urgent, ctx.build):
        seconds = RETRY_AFTER_SECONDS if _is_listed(ctx, state) else VERSION_GONE_RETRY_SECONDS
        reason = f"no upstream is available where the stream began: {found.origin}"
        raise _refuse(ctx, reason, seconds)


def _is_listed(ctx: Context, state: GatewayState) -> bool:
    """Return whether a listed upstream may go on with the stream, be it later."""
    listed = state.fleet.list_service(ctx.service.name)
    return any(item.may_continue(ctx.build) for item in listed)


def _set_required_build(ctx: Context, state: GatewayState) -> None:
    """Set the version at which a new stream must begin, if there is one that can serve it."""
    required = state.streams.find_required_origin(ctx.route)
    if required is None or required.service != ctx.service.name:
        return
    now = asyncio.get_running_loop().time()
    usable = state.list_usable(ctx.service.name, now, ctx.urgent, required.build)
    if any(item.role is not Role.PREFILL for item in usable):
        ctx.build = required.build


def _set_origin(ctx: Context, found: Continuation, table: RouteTable) -> None:
    assert found.origin is not None
    service = table.configuration.services.get(found.origin.service)
    if service is None or service.name not in (item.service for item in ctx.route.targets):
        raise _refuse(ctx, f"the route leads no more to where the stream began: {found.origin}")
    ctx.service = service
    ctx.build = found.origin.build


def _read_url(ctx: Context) -> str:
    """Return the path of a request behind the host of its route, as configurations name them."""
    path = ctx.request.head.target.partition(b"?")[0].decode("latin-1")
    return ctx.route.host + path


def _refuse(ctx: Context, reason: str, retry_after: float = RETRY_AFTER_SECONDS) -> RefusedError:
    return ctx.refuse(Code.STREAM_VERSION_GONE, reason, retry_after)
