"""What callers send: bodies and headers, checked as they come in."""

import re
from dataclasses import dataclass
from typing import Any

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.transport.http import Exchange, parse_json_object
from swifttrestle.resources import DAY_MS, PRIORITIES, Service

MAX_MESSAGES = 2000
_ID = re.compile(r"[A-Za-z0-9._-]{1,80}")


@dataclass(frozen=True)
class Terms:
    """How a request is to be treated; times in seconds, `started` on the monotonic clock."""

    caller_id: str
    workspace: str
    priority: str
    deadline: float
    started: float
    repeatable: bool

    def left(self, now: float) -> float:
        """Return the seconds to the deadline."""
        return self.started + self.deadline - now


@dataclass(frozen=True)
class Completion:
    """A chat or text completion."""

    service: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool


def read_completion(body: bytes, chat: bool) -> Completion:
    """Return the completion of a JSON body; `max_tokens` is 0 where none is given."""
    value = parse_json_object(body)
    service = value.get("model")
    if not isinstance(service, str) or not service:
        raise _bad("model", service, "give the name of a service")
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad("stream", stream, "give true or false")
    limit = value.get("max_tokens", 0)
    if not isinstance(limit, int) or isinstance(limit, bool) or limit < 0:
        raise _bad("max_tokens", limit, "give a whole number above 0")
    prompt = _read_messages(value.get("messages")) if chat else value.get("prompt")
    if not isinstance(prompt, str) or not prompt.strip():
        raise _bad("prompt", prompt, "give a non-empty string")
    return Completion(service, prompt, limit, stream, chat)


def _read_messages(value: Any) -> str:
    if not isinstance(value, list) or not 0 < len(value) <= MAX_MESSAGES:
        raise _bad("messages", value, f"give a list of 1 to {MAX_MESSAGES} messages")
    lines = []
    for message in value:
        if not isinstance(message, dict):
            raise _bad("messages", message, "give objects with role and content")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            raise _bad("messages", message, "give role and content as strings")
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def _bad(field: str, value: Any, mend: str) -> RefusedError:
    return RefusedError(Code.BAD_REQUEST, f"{field}: {str(value)[:60]!r} is wrong; {mend}")


def read_terms(exchange: Exchange, service: Service, workspace: str, now: float) -> Terms:
    """Return the terms that headers and service give; raise RefusedError with BAD_HEADER."""
    caller_id = exchange.header("X-Request-Id")
    if caller_id and not _ID.fullmatch(caller_id):
        raise _bad_header("X-Request-Id", caller_id, "letters, digits, '.', '_', '-'; 80 at most")
    priority = exchange.header("X-Priority") or service.priority
    if priority not in PRIORITIES:
        raise _bad_header("X-Priority", priority, f"one of {', '.join(PRIORITIES)}")
    # A caller may lower its request's priority, never raise it above the service's.
    rank = max(PRIORITIES.index(priority), PRIORITIES.index(service.priority))
    fixed = exchange.header("X-May-Not-Repeat").lower()
    if fixed not in ("", "true", "false"):
        raise _bad_header("X-May-Not-Repeat", fixed, "true or false")
    return Terms(
        caller_id,
        workspace,
        PRIORITIES[rank],
        _read_deadline(exchange.header("X-Deadline-Ms"), service) / 1000,
        now,
        service.repeatable and fixed != "true",
    )


def _read_deadline(text: str, service: Service) -> int:
    if not text:
        return service.deadline_ms
    if not text.isascii() or not text.isdigit() or not 0 < int(text[:12]) <= DAY_MS:
        raise _bad_header("X-Deadline-Ms", text, f"a whole number from 1 to {DAY_MS}")
    return min(int(text), service.deadline_ms)


def _bad_header(name: str, value: str, mend: str) -> RefusedError:
    return RefusedError(Code.BAD_HEADER, f"{name}: {value[:60]!r} is wrong; give {mend}")
