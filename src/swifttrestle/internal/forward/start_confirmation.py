"""Confirms that an engine is still the start that the list shows, of which the version is known.

The list of a host that is cut off does not show that an engine has restarted under its id and
address, maybe at another version. What the engine itself says on a connection holds for all of that
connection, however old the list is.
"""

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.silence import SilenceLimit, limit_silence
from swifttrestle.internal.transport.upstream import OutgoingRequest, UpstreamConnection
from swifttrestle.platform.engine import (
    REPORT_PATH,
    build_engine_headers,
    is_other_incarnation,
    read_report,
)

MAX_REPORT_BYTES = 64 * 1024


async def confirm_start(
    connection: UpstreamConnection, engine: Instance, silence: SilenceLimit
) -> None:
    """Ask an engine for its start once a connection, if its record has one.

    `engine` remembers if it is another one. Raises UpstreamBrokenError if it does not answer. One
    whose report names no start counts as unchanged.
    """
    if connection.start_confirmed or engine.restarted_unlisted or not engine.record.born:
        return
    try:
        async with limit_silence(silence):
            born = await _read_born(connection, engine)
    except (UpstreamBrokenError, TimeoutError) as error:
        # Nothing of the request itself was sent.
        raise UpstreamBrokenError(f"{engine.name} did not report its start: {error!r}") from None
    if is_other_incarnation(born, engine.record.born):
        engine.restarted_unlisted = True
        log_event("engine restarted unlisted", engine=engine.name, born=born)
    connection.start_confirmed = not engine.restarted_unlisted


async def _read_born(connection: UpstreamConnection, engine: Instance) -> int:
    headers = build_engine_headers(engine.record.instance)
    request = OutgoingRequest(b"GET", REPORT_PATH, headers, Framing.NONE, 0, None)
    head, body = await connection.exchange(request)
    content = await body.read_whole(MAX_REPORT_BYTES)
    await connection.finish(timeout_seconds=0.0)
    return read_report(content).born if head.status == 200 else 0
