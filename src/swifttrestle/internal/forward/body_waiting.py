"""Has a request wait for the memory of its body, and refuses it once that would come too late."""

import asyncio

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.state.body_memory import BodyReservation

# Seconds between two predictions of the wait.
RECHECK_SECONDS = 0.1
# Seconds that a request needs at least from its turn to its answer.
MIN_RUN_SECONDS = 0.2
# Retry-After, in seconds: where no prediction is known, and at most.
DEFAULT_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 10.0


async def wait_for_body_memory(ctx: Context, state: GatewayState) -> None:
    """Wait until the request's whole body may be read.

    Raises RefusedError with BODY_MEMORY_FULL for a request that could not be served in time.
    """
    reservation = ctx.request.body.reservation
    if reservation is None or reservation.granted:
        return
    ctx.note("waits for memory")
    state.metrics.count("gateway_bodies_waited_total")
    run_seconds = max(MIN_RUN_SECONDS, state.demand.find_hold_seconds(ctx.route.name))
    # Those that wait already keep their places.
    crowded = reservation.crowded
    while not reservation.granted:
        seconds = reservation.predict_wait(asyncio.get_running_loop().time())
        if crowded or ctx.seconds_left <= run_seconds + (seconds or 0.0):
            state.metrics.count("gateway_bodies_refused_total")
            raise _refuse(reservation, seconds)
        await reservation.wait(RECHECK_SECONDS)


def _refuse(reservation: BodyReservation, seconds: float | None) -> RefusedError:
    retry_seconds = DEFAULT_RETRY_SECONDS if seconds is None else min(seconds, MAX_RETRY_SECONDS)
    message = f"no memory in time for a body of {reservation.needed_bytes} bytes"
    return RefusedError(Code.BODY_MEMORY_FULL, message, retry_seconds)
