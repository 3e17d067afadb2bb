"""The story of one request, told from the log lines of all hosts."""

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from swifttrestle.errors import NotFoundError

# Seconds before a request's arrival in which a change of belief may explain what became of it:
# the longest time that an upstream is left out, and some more.
LOOK_BACK_SECONDS = 10.0
# Seconds after a request's end in which it may still turn out that its upstream had crashed.
LOOK_ON_SECONDS = 1.0
# Events of a host that concern all of its requests.
HOST_EVENTS = frozenset(
    (
        "started", "stopping", "stopped", "store lost", "store regained", "live hosts",
        "configuration skipped", "scheduler silent", "list watcher silent", "settings not taken",
    )
)  # fmt: skip
# Events about what a request did to upstreams, on any host.
CRASH_EVENTS = frozenset(("upstream crashed", "request quarantined", "request acquitted"))
_WORD = re.compile(r"[\w.-]+")


@dataclass(frozen=True)
class LogLine:
    """One line of a gateway's log; `time` is the host's time of day in seconds."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def names(self) -> set[str]:
        """Return the upstream instances that the line is about."""
        return {str(self.fields[key]) for key in ("instance", "engine") if key in self.fields}

    def request_names(self) -> set[str]:
        """Return the names of requests, whatever their ids, that the line is about."""
        names = self.fields.get("open", [self.fields.get("name")])
        return {str(name) for name in names} if isinstance(names, list) else set()


def read_log_lines(folder: Path) -> Iterator[LogLine]:
    """Return the lines of all files below a folder; what is no line of a gateway is left out."""
    for path in sorted(item for item in folder.rglob("*") if item.is_file()):
        for raw in path.read_bytes().splitlines():
            line = _read_line(raw)
            if line is not None:
                yield line


def _read_line(raw: bytes) -> LogLine | None:
    try:
        values = orjson.loads(raw)
        return LogLine(
            float(values.pop("time")), str(values.pop("host")), str(values.pop("event")), values
        )
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def explain_request(lines: Iterable[LogLine], request_id: str) -> list[str]:
    """Return the story of a request in order of time; raise NotFoundError where no line has it.

    Times are seconds from its arrival, by each host's own clock.
    """
    known = list(lines)
    mine = [
        item for item in known if item.event == "request" and item.fields.get("id") == request_id
    ]
    if not mine:
        raise NotFoundError(
            f"no line tells of request {request_id!r}; give the folder that has the logs of all "
            "hosts, and look for lines_dropped in them"
        )
    story: list[str] = []
    for request in mine:
        story += _explain_one(request, known)
    return story


def _explain_one(request: LogLine, known: Sequence[LogLine]) -> list[str]:
    arrived = request.time - float(request.fields.get("ms", 0)) / 1000
    steps = [str(step) for step in request.fields.get("steps") or ()]
    named = {word for step in steps for word in _WORD.findall(step)} | request.request_names()
    told = [(request.time - arrived, f"{request.host}: {_describe_end(request)}")]
    told += [_read_step(request.host, step) for step in steps]
    for line in known:
        if _concerns(line, request, named, arrived):
            told.append((line.time - arrived, f"{line.host}: {line.event} {_list_fields(line)}"))
    told.append((0.0, f"{request.host}: request {request.fields.get('id')} arrives"))
    return [f"{at:+9.3f} s  {text}" for at, text in sorted(told)]


def _concerns(line: LogLine, request: LogLine, named: set[str], arrived: float) -> bool:
    if line.event in CRASH_EVENTS:
        # A quarantine lasts for minutes, so that what led to it may be long before.
        told = line.time <= request.time + LOOK_ON_SECONDS
        return told and bool(line.request_names() & named)
    if line.event == "request" or line.time > request.time:
        return False
    if line.event == "configuration in force":
        version = line.fields.get("version")
        return line.host == request.host and version == request.fields.get("config")
    if line.time < arrived - LOOK_BACK_SECONDS:
        return False
    return bool(line.names() & named) or _is_of_host(line, request)


def _is_of_host(line: LogLine, request: LogLine) -> bool:
    """Return whether a line is about the request's host, and so about all requests there."""
    return line.host == request.host and line.event in HOST_EVENTS


def _describe_end(request: LogLine) -> str:
    fields = request.fields
    return (
        f"ends with {fields.get('code')}: {fields.get('outcome')} (route {fields.get('route')}, "
        f"configuration {fields.get('config')}, list {fields.get('list_age')} s old)"
    )


def _read_step(host: str, step: str) -> tuple[float, str]:
    milliseconds, _, text = step.partition(":")
    at = float(milliseconds) / 1000 if milliseconds.isdigit() else 0.0
    return at, f"{host}: {text or step}"


def _list_fields(line: LogLine) -> str:
    return " ".join(f"{name}={value}" for name, value in line.fields.items())
