"""The log line and the counters of each request."""

import asyncio
from collections.abc import Sequence

from swifttrestle.codes import Code
from swifttrestle.internal.event_log import log_event, round_age
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.quotas import QuotaCharge
from swifttrestle.internal.transport.caller import IncomingRequest
from swifttrestle.platform.wire import REQUEST_ID


def log_request(
    state: GatewayState, request: IncomingRequest, ctx: Context | None, code: Code, outcome: str
) -> None:
    """Count an answered or refused request and write its log line.

    `ctx` is None for a request that was refused before its route and workspace were known.
    """
    now = asyncio.get_running_loop().time()
    route = ctx.route.name if ctx else ""
    kind = ("stream" if ctx.route.streaming else "plain") if ctx else "none"
    metrics = state.metrics
    metrics.count("gateway_requests_total", route=route, code=code.name)
    metrics.observe("gateway_request_seconds", now - request.received, kind=kind, code=code.name)
    if ctx is not None and ctx.first_byte is not None:
        metrics.observe("gateway_first_byte_seconds", ctx.first_byte, kind=kind)
    log_event(
        "request",
        id=request.head.find(REQUEST_ID).decode("latin-1"),
        route=route,
        workspace=ctx.workspace.name if ctx and ctx.workspace else "",
        config=ctx.config_version if ctx else 0,
        list_age=round_age(now - state.fleet.confirmed_at),
        code=code.name,
        outcome=outcome,
        tokens=[ctx.request_metadata.prompt_tokens, ctx.request_metadata.output_tokens]
        if ctx
        else None,
        ms=round((now - request.received) * 1000, 1),
        steps=_list_steps(ctx),
        **_make_quota_field(ctx),
        **_make_parts_field(ctx),
        **_make_resumption_fields(ctx),
        **_make_fingerprint_field(ctx, code),
    )


def _make_quota_field(ctx: Context | None) -> dict[str, QuotaCharge]:
    """Return the log field with what was charged to the workspace's quota, or refused."""
    return {"quota": ctx.quota_charge} if ctx is not None and ctx.quota_charge else {}


def _make_parts_field(ctx: Context | None) -> dict[str, tuple[str, ...]]:
    """Return the log field with the parts of a prompt that it may share with others."""
    return {"parts": ctx.shared_parts} if ctx is not None and ctx.shared_parts else {}


def _make_resumption_fields(ctx: Context | None) -> dict[str, str]:
    """Return the log fields with the stream that a caller takes up, and its last event there."""
    if ctx is None or not ctx.request_metadata.resumed_stream:
        return {}
    metadata = ctx.request_metadata
    return {
        "stream": metadata.resumed_stream.decode("latin-1"),
        "after_event": metadata.last_event.decode("latin-1"),
    }


def _make_fingerprint_field(ctx: Context | None, code: Code) -> dict[str, str]:
    """Return the log field with the request's fingerprint if it may have failed at an upstream."""
    if ctx is None:
        return {}
    may_have_failed = ctx.may_have_run and code is not Code.OK
    if not (may_have_failed or ctx.runs or ctx.failed_prefills or code is Code.QUARANTINED):
        return {}
    fingerprint = ctx.fingerprint
    return {"name": str(fingerprint)} if fingerprint else {}


def _list_steps(ctx: Context | None) -> Sequence[str]:
    return ctx.steps if ctx else ()
