"""A stand-in for a plain service: answers JSON calls and records each run."""

import threading
import time
from dataclasses import dataclass
from typing import Any

import fire

from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.transport.http import Exchange, Handler
from swifttrestle_standins.serving import AdminHandler, serve_until_stopped


@dataclass
class Faults:
    """Injected faults.

    `drop` closes the connection 'before' or 'after' the run, or 'mid' response; '' is off.
    """

    busy: bool = False
    drop: str = ""
    slow_seconds: float = 0.0


class PlainService(Handler):
    """Handler of the service's public port; echoes the body of each call."""

    def __init__(self) -> None:
        """Create a service without recorded runs."""
        self.faults = Faults()
        self.runs: list[dict[str, Any]] = []
        self.lock = threading.Lock()

    def handle(self, exchange: Exchange) -> None:
        """Run one call."""
        if exchange.path == "/load":
            exchange.reply_json(200, {"boot": "plain", "active": 0, "slots": 64})
            return
        if self.faults.busy:
            exchange.reply_json(503, {"reason": "busy"}, (("Retry-After", "1"),))
            return
        if self.faults.drop == "before":
            exchange.detach_socket().close()
            return
        body = exchange.read_body()
        with self.lock:
            request = exchange.header("X-Request-Id")
            self.runs.append({"id": request, "at": time.time(), "path": exchange.path})
        if self.faults.slow_seconds:
            time.sleep(self.faults.slow_seconds)
        self._answer(exchange, body)

    def _answer(self, exchange: Exchange, body: bytes) -> None:
        if self.faults.drop == "after":
            exchange.detach_socket().close()
            return
        answer = b'{"echo":' + (body or b"null") + b',"path":"%s"}' % exchange.path.encode()
        if self.faults.drop == "mid":
            with exchange.detach_socket() as sock:
                half = answer[: len(answer) // 2]
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + half)
            return
        exchange.reply(200, answer)


class _Admin(AdminHandler):
    """Handler of the service's admin port."""

    def __init__(self, service: PlainService) -> None:
        self._service = service

    def change(self, path: str, change: dict[str, Any]) -> Any:
        """Set faults by name."""
        for key, value in change.items():
            setattr(self._service.faults, key, value)
        return vars(self._service.faults)

    def records(self) -> dict[str, Any]:
        """Return all runs since the process started."""
        with self._service.lock:
            return {"runs": list(self._service.runs)}


def run(listen: str = "127.0.0.1:0") -> None:
    """Run a fake plain service."""
    service = PlainService()
    serve_until_stopped("service", parse_address(listen), service, _Admin(service))


def main() -> None:
    """Run the console script."""
    fire.Fire(run)
