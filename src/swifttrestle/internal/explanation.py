"""Reconstructs the timeline of one request from the log lines of all hosts."""

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from swifttrestle.errors import NotFoundError

# How long before a request's arrival events are shown: longer than any ejection of an upstream.
LOOKBACK_SECONDS = 10.0
# Crashes of its upstream are shown for this long after a request's end.
LOOKAHEAD_SECONDS = 1.0
# Events of a host that may affect all of its requests.
HOST_EVENTS = frozenset(
    (
        "started", "stopping", "stopped", "store lost", "store regained", "live hosts",
        "configuration skipped", "scheduler silent", "list watcher silent", "settings not taken",
        "quota counter", "quota counter silent",
    )
)  # fmt: skip
# Events about upstreams that crashed under a request, on any host.
CRASH_EVENTS = frozenset(
    (
        "upstream crashed", "request quarantined", "request acquitted",
        "prompt part quarantined", "prompt part acquitted",
    )
)  # fmt: skip
_WORD = re.compile(r"[\w.-]+")


@dataclass(frozen=True)
class LogLine:
    """One line of a gateway's log; `time` is in Unix seconds by the host's clock."""

    time: float
    host: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)

    def instances(self) -> set[str]:
        """Return the upstream instances that the line is about."""
        return {str(self.fields[key]) for key in ("instance", "engine") if key in self.fields}

    def request_fingerprints(self) -> set[str]:
        """Return the fingerprints of the requests that the line is about."""
        fingerprints = self.fields.get("open", [self.fields.get("name")])
        return {str(item) for item in fingerprints} if isinstance(fingerprints, list) else set()


def read_log_lines(folder: Path) -> Iterator[LogLine]:
    """Yield the log lines of all files below a folder; other lines are skipped."""
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
    """Return a request's timeline, one event per line; raise NotFoundError if its id is unknown.

    Times are in seconds from the request's arrival, by each host's own clock.
    """
    all_lines = list(lines)
    matches = [
        item
        for item in all_lines
        if item.event == "request" and item.fields.get("id") == request_id
    ]
    if not matches:
        raise NotFoundError(
            f"no log line has request {request_id!r}; give a folder with the logs of all hosts; "
            "a log with lines_dropped is incomplete"
        )
    timeline: list[str] = []
    for request in matches:
        timeline += _build_timeline(request, all_lines)
    return timeline


def _build_timeline(request: LogLine, all_lines: Sequence[LogLine]) -> list[str]:
    arrived_at = request.time - float(request.fields.get("ms", 0)) / 1000
    steps = [str(step) for step in request.fields.get("steps") or ()]
    names = {
        word for step in steps for word in _WORD.findall(step)
    } | request.request_fingerprints()
    events = [(request.time - arrived_at, f"{request.host}: {_describe_end(request)}")]
    events += [_read_step(request.host, step) for step in steps]
    for line in all_lines:
        if _is_relevant(line, request, names, arrived_at):
            events.append(
                (line.time - arrived_at, f"{line.host}: {line.event} {_list_fields(line)}")
            )
    events.append((0.0, f"{request.host}: request {request.fields.get('id')} arrives"))
    return [f"{at:+9.3f} s  {text}" for at, text in sorted(events)]


def _is_relevant(line: LogLine, request: LogLine, names: set[str], arrived_at: float) -> bool:
    if line.event in CRASH_EVENTS:
        # A quarantine lasts for minutes, so the crashes before it have no lower time limit.
        in_time = line.time <= request.time + LOOKAHEAD_SECONDS
        return in_time and bool(line.request_fingerprints() & names)
    if line.event == "request" or line.time > request.time:
        return False
    if line.event == "configuration in force":
        version = line.fields.get("version")
        return line.host == request.host and version == request.fields.get("config")
    if line.time < arrived_at - LOOKBACK_SECONDS:
        return False
    return bool(line.instances() & names) or _is_host_event(line, request)


def _is_host_event(line: LogLine, request: LogLine) -> bool:
    """Return whether a line may concern all requests of the request's host."""
    return line.host == request.host and line.event in HOST_EVENTS


def _describe_end(request: LogLine) -> str:
    fields = request.fields
    return (
        f"ends with {fields.get('code')}: {fields.get('outcome')} (route {fields.get('route')}, "
        f"configuration {fields.get('config')}, list {fields.get('list_age')} s old"
        f"{_describe_quota(fields.get('quota'))})"
    )


def _describe_quota(charge: Any) -> str:
    """Return what a request was charged to its workspace's quota, empty if nothing."""
    if not isinstance(charge, dict):
        return ""
    text = f", quota of {charge.get('workspace')}: cost {charge.get('cost')}"
    if charge.get("decided_by"):
        text += f", decided by {charge['decided_by']}"
    if charge.get("missing"):
        text += f", over by {charge['missing']}"
    return text + (", given back" if charge.get("given_back") else "")


def _read_step(host: str, step: str) -> tuple[float, str]:
    milliseconds, _, text = step.partition(":")
    at = float(milliseconds) / 1000 if milliseconds.isdigit() else 0.0
    return at, f"{host}: {text or step}"


def _list_fields(line: LogLine) -> str:
    return " ".join(f"{name}={value}" for name, value in line.fields.items())
