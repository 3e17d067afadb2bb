"""Parsing and validation of the bodies and headers that callers send."""

import re
from dataclasses import dataclass
from typing import Any

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.transport.http import Exchange, parse_json_object
from swifttrestle.resources import DAY_MS, PRIORITIES, Service

MAX_MESSAGES = 2000
_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,80}")


@dataclass(frozen=True)
class RequestTerms:
    """How to serve a request; times are in seconds, `started` on the monotonic clock."""

    caller_id: str
    workspace: str
    priority: str
    deadline: float
    started: float
    repeatable: bool

    def remaining(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.started + self.deadline - now


@dataclass(frozen=True)
class Completion:
    """A request for a chat or text completion."""

    service: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


def read_completion(body: bytes, chat: bool) -> Completion:
    """Return the completion of a JSON body; `max_tokens` is 0 if not given."""
    value = parse_json_object(body)
    service = value.get("model")
    if not isinstance(service, str) or not service:
        raise _invalid_field("model", service, "give the name of a service")
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid_field("stream", stream, "give true or false")
    max_tokens = value.get("max_tokens", 0)
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 0:
        raise _invalid_field("max_tokens", max_tokens, "give a whole number above 0")
    prompt = _read_messages(value.get("messages")) if chat else value.get("prompt")
    if not isinstance(prompt, str) or not prompt.strip():
        raise _invalid_field("prompt", prompt, "give a non-empty string")
    return Completion(service, prompt, max_tokens, stream, chat)


def _read_messages(value: Any) -> str:
    if not isinstance(value, list) or not 0 < len(value) <= MAX_MESSAGES:
        raise _invalid_field("messages", value, f"give a list of 1 to {MAX_MESSAGES} messages")
    lines = []
    for message in value:
        if not isinstance(message, dict):
            raise _invalid_field("messages", message, "give objects with role and content")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            raise _invalid_field("messages", message, "give role and content as strings")
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def _invalid_field(field: str, value: Any, hint: str) -> RefusedError:
    return RefusedError(Code.BAD_REQUEST, f"{field}: {str(value)[:60]!r} is invalid; {hint}")


def read_terms(exchange: Exchange, service: Service, workspace: str, now: float) -> RequestTerms:
    """Return the terms from the headers and the service; raise RefusedError with BAD_HEADER."""
    caller_id = exchange.header("X-Request-Id")
    if caller_id and not _REQUEST_ID.fullmatch(caller_id):
        raise _invalid_header(
            "X-Request-Id", caller_id, "letters, digits, '.', '_', '-'; 80 at most"
        )
    priority = exchange.header("X-Priority") or service.priority
    if priority not in PRIORITIES:
        raise _invalid_header("X-Priority", priority, f"one of {', '.join(PRIORITIES)}")
    # Callers may lower the priority of a request but not raise it above the service's.
    rank = max(PRIORITIES.index(priority), PRIORITIES.index(service.priority))
    may_not_repeat = exchange.header("X-May-Not-Repeat").lower()
    if may_not_repeat not in ("", "true", "false"):
        raise _invalid_header("X-May-Not-Repeat", may_not_repeat, "true or false")
    return RequestTerms(
        caller_id,
        workspace,
        PRIORITIES[rank],
        _read_deadline(exchange.header("X-Deadline-Ms"), service) / 1000,
        now,
        service.repeatable and may_not_repeat != "true",
    )


def _read_deadline(text: str, service: Service) -> int:
    if not text:
        return service.deadline_ms
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:12]) <= DAY_MS:
        raise _invalid_header("X-Deadline-Ms", text, f"a whole number from 1 to {DAY_MS}")
    return min(int(text), service.deadline_ms)


def _invalid_header(name: str, value: str, hint: str) -> RefusedError:
    return RefusedError(Code.BAD_HEADER, f"{name}: {value[:60]!r} is invalid; give {hint}")
