"""Handles callers' requests: routing, forwarding, errors and the request log."""

import asyncio
from collections.abc import Callable

import orjson

from swifttrestle.codes import TABLE, Code, Ran
from swifttrestle.errors import CallerGoneError, RefusedError, SwifttrestleError
from swifttrestle.internal.forward.body_waiting import wait_for_body_memory
from swifttrestle.internal.forward.booking import Booker
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.continuation import prepare_continuation
from swifttrestle.internal.forward.engines import EngineForwarder
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.open_requests import STOPPING_RETRY_SECONDS, OpenRequests
from swifttrestle.internal.forward.plain import PlainForwarder
from swifttrestle.internal.forward.quota_charges import QuotaCharger
from swifttrestle.internal.forward.request_log import log_request
from swifttrestle.internal.policy.revocation import (
    CONFIRM_RETRY_SECONDS,
    Verdict,
    check_key,
)
from swifttrestle.internal.state.declared import Limits, Route, Workspace
from swifttrestle.internal.state.routes import RouteTable, pick_service
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter
from swifttrestle.internal.transport.messages import Header, RequestHead
from swifttrestle.platform.wire import (
    REQUEST_ID,
    RequestMetadata,
    check_stated_tokens,
    find_keys,
    read_request_metadata,
    set_workspace_header,
    strip_request_headers,
    write_request_id,
)

# Retry-After, in seconds, of a host without a configuration.
UNCONFIGURED_RETRY_SECONDS = 0.5
# Retry-After, in seconds, of a request whose deadline passed before it was sent.
DEADLINE_RETRY_SECONDS = 0.1
# Seconds before the deadline at which a request is cancelled, so that the error arrives in time.
ANSWER_MARGIN_SECONDS = 0.01


class GatewayHandler(RequestHandler):
    """Serves requests by the configuration in force."""

    def __init__(
        self,
        state: GatewayState,
        booker: Booker,
        charger: QuotaCharger,
        find_table: Callable[[], RouteTable | None],
        find_confirmed_at: Callable[[], float] = lambda: float("-inf"),
        revocation_bound: float = float("inf"),
        count_request: Callable[[str], None] | None = None,
    ) -> None:
        """Book engines by `booker`, charge quotas by `charger`, read the table by `find_table`.

        `find_confirmed_at` returns when that table was last confirmed to be the newest version, and
        `revocation_bound` is the number of seconds for which a removed key may still be accepted.
        `count_request` is called with the workspace of each request when its answer begins.
        """
        self._state = state
        self._charger = charger
        self._find_table = find_table
        self._find_confirmed_at = find_confirmed_at
        self._revocation_bound = revocation_bound
        self._count_request = count_request
        self._plain = PlainForwarder(state)
        self._engines = EngineForwarder(state, booker)
        self.open_requests = OpenRequests(state.demand.find_hold_seconds)

    def limits(self) -> Limits:
        """Return the limits in force."""
        table = self._find_table()
        return table.configuration.limits if table else Limits()

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one request."""
        outcome = "error"
        ctx: Context | None = None
        code = Code.OK
        try:
            table = self._get_table()
            ctx = self._make_context(request, reply, table)
            await self._serve(ctx, table)
            outcome = "answered"
        except RefusedError as error:
            code = error.code
            outcome = error.message
            await self._answer_refusal(request, reply, error)
        except SwifttrestleError as error:
            code = error.code
            outcome = str(error)
            await self._answer_refusal(request, reply, RefusedError(Code.ANSWER_LOST, str(error)))
        except asyncio.CancelledError:
            code = CallerGoneError.code
            outcome = "the caller disconnected"
            raise
        finally:
            log_request(self._state, request, ctx, code, outcome)

    def _get_table(self) -> RouteTable:
        table = self._find_table()
        if table is None:
            raise RefusedError(
                Code.NOT_CONFIGURED,
                "this host has no configuration yet",
                UNCONFIGURED_RETRY_SECONDS,
            )
        return table

    def _make_context(
        self, request: IncomingRequest, reply: ResponseWriter, table: RouteTable
    ) -> Context:
        route = self._find_route(table, request.head)
        self.open_requests.check(route.name, route.timeout, request.received)
        workspace = self._find_workspace(table, route, request)
        metadata = _read_metadata(request.head)
        service = table.configuration.services.get(pick_service(route, self._state.rng))
        if service is None:
            raise RefusedError(
                Code.UNKNOWN_SERVICE, f"route {route.name} names no declared service"
            )
        seconds = (
            route.timeout
            if metadata.deadline_seconds is None
            else min(metadata.deadline_seconds, route.timeout)
        )
        return Context(
            request,
            reply,
            metadata,
            self._write_headers(table, request.head, workspace),
            route,
            service,
            request.received + seconds,
            table.configuration.version,
            urgent=table.is_urgent(route, service.name, workspace),
            workspace=workspace,
            count_request=self._count_request,
        )

    def _find_workspace(
        self, table: RouteTable, route: Route, request: IncomingRequest
    ) -> Workspace | None:
        """Return the workspace of a request's key; None where it needs none and has none.

        Raises RefusedError for an unknown key, or where the configuration was not confirmed
        recently. Its age is measured at the request's receipt, since a later removal of the key
        does not affect the request.
        """
        if table.keys is None:
            return None
        keys = find_keys(request.head.headers)
        if route.public and not keys:
            return None
        # With several keys the workspace would be ambiguous.
        workspace = table.keys.find(keys[0]) if len(keys) == 1 else None
        age = request.received - self._find_confirmed_at()
        self._state.metrics.observe("gateway_key_belief_seconds", max(0.0, age))
        verdict = check_key(workspace is not None, age, self._revocation_bound)
        if verdict is Verdict.ALLOWED:
            return workspace
        self._state.metrics.count("gateway_keys_refused_total", reason=verdict.value)
        if verdict is Verdict.UNKNOWN:
            raise RefusedError(Code.UNKNOWN_KEY, "the API key belongs to no workspace")
        raise RefusedError(
            Code.KEY_UNCONFIRMED,
            "this host has not confirmed its API keys recently; retry at another host",
            CONFIRM_RETRY_SECONDS,
        )

    @staticmethod
    def _write_headers(
        table: RouteTable, head: RequestHead, workspace: Workspace | None
    ) -> list[Header]:
        """Return the headers to forward: without the key, and with the workspace's name."""
        stripped = strip_request_headers(head.headers)
        if table.keys is None:
            return stripped
        return set_workspace_header(stripped, workspace.name if workspace else None)

    def _find_route(self, table: RouteTable, head: RequestHead) -> Route:
        host = head.find(b"host").decode("latin-1")
        path = head.target.partition(b"?")[0].decode("latin-1")
        route = table.find(host, path)
        if route is None:
            raise RefusedError(Code.UNKNOWN_SERVICE, "no route matches the host and path")
        return route

    async def _serve(self, ctx: Context, table: RouteTable) -> None:
        scope = asyncio.timeout(max(0.0, ctx.seconds_left - ANSWER_MARGIN_SECONDS))
        with self.open_requests.enter(ctx, scope) as entry:
            try:
                async with scope:
                    await wait_for_body_memory(ctx, self._state)
                    await self._forward(ctx, table)
            except TimeoutError:
                if entry.stopped:
                    raise self._refuse_to_stop(ctx) from None
                raise self._refuse_at_deadline(ctx) from None

    async def _forward(self, ctx: Context, table: RouteTable) -> None:
        async with self._charger.charge(ctx, table):
            await self._state.guard.check(ctx)
            await prepare_continuation(ctx, self._state, table)
            forwarder = self._engines if ctx.service.engine else self._plain
            await forwarder.serve(ctx)

    def _refuse_to_stop(self, ctx: Context) -> RefusedError:
        ctx.note("stop")
        self._state.metrics.count(
            "gateway_stop_refusals_total", ran="unknown" if ctx.may_have_run else "no"
        )
        return ctx.refuse(
            Code.STOPPING, "this host stops before the answer's end", STOPPING_RETRY_SECONDS
        )

    def _refuse_at_deadline(self, ctx: Context) -> RefusedError:
        ctx.note("deadline")
        if ctx.cancelled_instance is not None:
            self._state.crash_detector.note_timeout(ctx.cancelled_instance, ctx.describe_open())
        if ctx.may_have_run:
            return RefusedError(Code.ANSWER_LATE, "the deadline passed")
        return ctx.refuse(Code.DEADLINE_PASSED, "the deadline passed", DEADLINE_RETRY_SECONDS)

    async def _answer_refusal(
        self, request: IncomingRequest, reply: ResponseWriter, error: RefusedError
    ) -> None:
        if reply.started:
            self._state.metrics.count("gateway_answers_cut_total", code=error.code.name)
            reply.abort()
            return
        headers: list[Header] = [(b"Content-Type", b"application/json")]
        request_id = request.head.find(REQUEST_ID)
        if request_id:
            headers.append(write_request_id(request_id))
        if error.retry_after is not None and error.ran is Ran.NOT_RUN:
            headers.append((b"Retry-After", f"{error.retry_after:.3f}".encode()))
        content = orjson.dumps(
            {"code": int(error.code), "error": error.code.name, "message": error.message}
        )
        await reply.send_whole(TABLE[error.code].status, headers, content)


def _read_metadata(head: RequestHead) -> RequestMetadata:
    """Return the metadata of a request; raise RefusedError for a number above its limit."""
    metadata = read_request_metadata(head.headers)
    try:
        check_stated_tokens(metadata)
    except ValueError as error:
        raise RefusedError(Code.BAD_HEADER, str(error)) from None
    return metadata
