"""Prepares requests that take up a stream, which goes on at the software version that began it."""

import asyncio

from swifttrestle.codes import Code
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.gateway_state import GatewayState

# Retry-After where no upstream may continue a stream: one may change its role meanwhile.
RETRY_AFTER_SECONDS = 0.2


async def find_build(ctx: Context, state: GatewayState) -> None:
    """Set the version at which a stream that the caller takes up goes on.

    Raises RefusedError if it is unknown while there are several, or has no upstream.
    """
    metadata = ctx.request_metadata
    if not ctx.route.resumable or not metadata.last_event:
        return
    stream = metadata.resumed_stream
    continuation = await state.streams.find_continuation(stream, ctx.service.name)
    ctx.note(f"stream {stream.decode('latin-1')} began at {continuation.build}")
    if not continuation.allowed:
        raise ctx.refuse(
            Code.STREAM_VERSION_GONE,
            "no host knows the software version that began the stream",
            RETRY_AFTER_SECONDS,
        )
    ctx.build = continuation.build
    now = asyncio.get_running_loop().time()
    if not state.list_usable(ctx.service.name, now, ctx.urgent, ctx.build):
        raise ctx.refuse(
            Code.STREAM_VERSION_GONE,
            f"no upstream of the version {ctx.build} that began the stream is available",
            RETRY_AFTER_SECONDS,
        )
