"""A stand-in for the platform: object API and host list, and an admin port for faults."""

import threading
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import fire
import orjson

from swifttrestle.errors import RefusedError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.transport.http import Exchange, Handler, parse_json_object
from swifttrestle_standins.serving import AdminHandler, serve_until_stopped

MAX_HISTORY_EVENTS = 20_000
MAX_VALUE_BYTES = 1_000_000
BOOKMARK_INTERVAL_SECONDS = 1.0
WATCH_HEADER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"


@dataclass
class Faults:
    """Injected faults; `lose_answers` is the number of writes to apply without answering."""

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    cut_clients: list[str] = field(default_factory=list)


class TokenBucket:
    """A limit of `rate` calls per second, with bursts of up to one second's calls."""

    def __init__(self, rate: float) -> None:
        """Create a full bucket."""
        self._rate = rate
        self._level = rate
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Store:
    """Objects with versions, and the history of events that watches read."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.changed = threading.Condition()
        self.version = 0
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: deque[dict[str, Any]] = deque(maxlen=MAX_HISTORY_EVENTS)

    def write(self, kind: str, name: str, spec: Any, version: int) -> dict[str, Any] | None:
        """Write if the current version is `version` (0: absent); return None otherwise."""
        with self.changed:
            current = self.objects.get((kind, name))
            if (current["version"] if current else 0) != version:
                return None
            self.version += 1
            stored = {"kind": kind, "name": name, "version": self.version, "spec": spec}
            self.objects[kind, name] = stored
            self._record_event("put", stored)
            return stored

    def delete(self, kind: str, name: str, version: int) -> bool:
        """Delete if the current version is `version`; return False otherwise."""
        with self.changed:
            current = self.objects.get((kind, name))
            if current is None or current["version"] != version:
                return False
            del self.objects[kind, name]
            self.version += 1
            self._record_event("delete", {**current, "version": self.version})
            return True

    def _record_event(self, event: str, stored: dict[str, Any]) -> None:
        self.history.append({"type": event, "version": self.version, "object": stored})
        self.changed.notify_all()

    def since(self, version: int, kinds: set[str]) -> list[dict[str, Any]]:
        """Return the events of `kinds` after a version; the caller holds the lock."""
        recent = []
        for event in reversed(self.history):
            if event["version"] <= version:
                break
            if event["object"]["kind"] in kinds:
                recent.append(event)
        return recent[::-1]


class Platform(Handler):
    """Handler of the platform's public port; holds the state of both ports."""

    def __init__(self, writes: float, reads: float, host_lag: float) -> None:
        """Create an empty platform; limits in calls per second, lag of the host list in seconds."""
        self.store = Store()
        self.faults = Faults()
        self._limits = {"write": TokenBucket(writes), "read": TokenBucket(reads)}
        self._lock = threading.Lock()
        self._calls: Counter[str] = Counter()
        self._host_lag = host_lag
        self._hosts: dict[str, dict[str, str]] = {}
        self._host_changes: list[tuple[float, str, dict[str, str] | None]] = []

    # Public port.

    def handle(self, exchange: Exchange) -> None:
        """Answer one call, or inject a fault."""
        client = exchange.header("User-Agent")
        parts = exchange.path.strip("/").split("/")[2:]
        kind_of_call = "read" if exchange.method == "GET" else "write"
        with self._lock:
            self._calls[f"{client} {exchange.method} {parts[0] if parts else ''}"] += 1
            allowed = self._limits[kind_of_call].take()
        if self._fails_for(client):
            exchange.reply_json(503, {"message": "down"})
            return
        if self.faults.slow_seconds:
            time.sleep(self.faults.slow_seconds)
        if not allowed:
            exchange.reply_json(429, {"message": "rate limit"})
            return
        try:
            self._answer(exchange, client, parts)
        except RefusedError as error:
            exchange.reply_json(400, {"message": error.message})

    def _fails_for(self, client: str) -> bool:
        return self.faults.down or client in self.faults.cut_clients

    def _answer(self, exchange: Exchange, client: str, parts: list[str]) -> None:
        match (exchange.method, *parts):
            case ("GET", "objects", kind):
                self._list(exchange, kind)
            case ("GET", "objects", kind, name):
                self._reply_read(exchange, self.store.objects.get((kind, name)))
            case ("PUT", "objects", kind, name):
                self._write(exchange, kind, name)
            case ("DELETE", "objects", kind, name):
                done = self.store.delete(kind, name, int(exchange.query.get("version", 0)))
                self._reply_write(exchange, {} if done else None)
            case ("GET", "watch"):
                self._watch(exchange, client)
            case ("GET", "hosts"):
                exchange.reply_json(200, {"hosts": self._list_lagging_hosts()})
            case _:
                exchange.reply_json(
                    400, {"message": f"unknown call {exchange.method} {exchange.path}"}
                )

    def _list(self, exchange: Exchange, kind: str) -> None:
        with self.store.changed:
            items = [item for (k, _), item in self.store.objects.items() if k == kind]
            version = self.store.version
        exchange.reply_json(200, {"version": version, "items": items})

    def _reply_read(self, exchange: Exchange, stored: dict[str, Any] | None) -> None:
        if stored is None:
            exchange.reply_json(404, {"message": "not found"})
        else:
            exchange.reply_json(200, stored)

    def _write(self, exchange: Exchange, kind: str, name: str) -> None:
        raw = exchange.read_body()
        if len(raw) > MAX_VALUE_BYTES:
            exchange.reply_json(
                413, {"message": f"object of {len(raw)} bytes exceeds {MAX_VALUE_BYTES}"}
            )
            return
        body = parse_json_object(raw)
        self._reply_write(
            exchange, self.store.write(kind, name, body["spec"], int(body["version"]))
        )

    def _reply_write(self, exchange: Exchange, stored: dict[str, Any] | None) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.detach_socket().close()
            return
        if stored is None:
            exchange.reply_json(409, {"message": "the object has another version; read it again"})
        else:
            exchange.reply_json(200, stored)

    def _watch(self, exchange: Exchange, client: str) -> None:
        since = int(exchange.query.get("since", 0))
        oldest = self.store.history[0]["version"] if self.store.history else 0
        if len(self.store.history) == MAX_HISTORY_EVENTS and since < oldest:
            exchange.reply_json(
                410, {"message": f"version {since} is no longer in the history; list again"}
            )
            return
        kinds = set(exchange.query.get("kinds", "").split(","))
        sock = exchange.detach_socket()
        threading.Thread(
            target=self._send_events, args=(sock, client, kinds, since), daemon=True
        ).start()

    def _send_events(self, sock: Any, client: str, kinds: set[str], since: int) -> None:
        with sock:
            try:
                sock.sendall(WATCH_HEADER)
                while not self._fails_for(client):
                    with self.store.changed:
                        events = self.store.since(since, kinds)
                        if not events:
                            self.store.changed.wait(BOOKMARK_INTERVAL_SECONDS)
                            events = self.store.since(since, kinds)
                        since = self.store.version
                    if self._fails_for(client):
                        return
                    events = events or [{"type": "bookmark", "version": since}]
                    sock.sendall(b"".join(orjson.dumps(event) + b"\n" for event in events))
            except OSError:
                return

    def _list_lagging_hosts(self) -> list[dict[str, str]]:
        with self._lock:
            due = time.monotonic() - self._host_lag
            while self._host_changes and self._host_changes[0][0] <= due:
                _, name, record = self._host_changes.pop(0)
                if record is None:
                    self._hosts.pop(name, None)
                else:
                    self._hosts[name] = {"name": name, **record}
            return list(self._hosts.values())

    # Admin port.

    def change(self, path: str, change: dict[str, Any]) -> Any:
        """Set faults, or hosts: {"hosts": {name: {"zone", "state"} or null}}."""
        if path == "/hosts":
            with self._lock:
                for name, record in change["hosts"].items():
                    self._host_changes.append((time.monotonic(), name, record))
            return {}
        for key, value in change.items():
            setattr(self.faults, key, value)
        with self.store.changed:
            self.store.changed.notify_all()
        return vars(self.faults)

    def records(self) -> dict[str, Any]:
        """Return call counts by client, method and path, and recent writes in order."""
        with self.store.changed:
            history = list(self.store.history)
        with self._lock:
            calls = dict(self._calls)
        return {"calls": calls, "history": history, "version": self.store.version}


class _Admin(AdminHandler):
    """Handler of the platform's admin port."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    def change(self, path: str, change: dict[str, Any]) -> Any:
        """Set faults or hosts."""
        return self._platform.change(path, change)

    def records(self) -> dict[str, Any]:
        """Return call counts and recent writes."""
        return self._platform.records()


def run(
    listen: str = "127.0.0.1:0",
    writes: float = 400,
    reads: float = 2000,
    host_lag: float = 1.0,
) -> None:
    """Run a fake platform; limits in calls per second, lag of the host list in seconds."""
    platform = Platform(writes, reads, host_lag)
    serve_until_stopped("platform", parse_address(listen), platform, _Admin(platform))


def main() -> None:
    """Run the console script."""
    fire.Fire(run)
