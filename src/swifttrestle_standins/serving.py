"""Server of the stand-in processes: a public port, an admin port, and a line with addresses."""

import sys
import threading
from abc import abstractmethod
from typing import Any

import orjson

from swifttrestle.internal.stopping import catch_stop_signals, wait_until_stopped
from swifttrestle.internal.transport.http import (
    Exchange,
    Handler,
    make_server,
    parse_json_object,
    server_address,
)

THREADS = 48
ADMIN_THREADS = 4


class AdminHandler(Handler):
    """Base of admin ports: POST /fault sets faults, GET /records returns records."""

    def handle(self, exchange: Exchange) -> None:
        """Answer one admin request."""
        if exchange.method == "POST":
            change = parse_json_object(exchange.read_body())
            exchange.reply_json(200, self.change(exchange.path, change))
            return
        exchange.reply_json(200, self.records())

    @abstractmethod
    def change(self, path: str, change: dict[str, Any]) -> Any:
        """Apply a change and return the resulting faults."""

    @abstractmethod
    def records(self) -> dict[str, Any]:
        """Return the recorded calls and actions."""


def print_ready(name: str, **addresses: str) -> None:
    """Print the addresses as one line of JSON, for the parent process."""
    sys.stdout.write(orjson.dumps({"ready": name, **addresses}).decode() + "\n")
    sys.stdout.flush()


def serve_until_stopped(
    name: str, address: tuple[str, int], handler: Handler, admin: AdminHandler
) -> None:
    """Serve both ports until SIGTERM or SIGINT."""
    server = make_server(address, handler, THREADS)
    admin_server = make_server((address[0], 0), admin, ADMIN_THREADS)
    stop = threading.Event()
    catch_stop_signals(stop)
    for each in (server, admin_server):
        threading.Thread(target=each.serve, daemon=True).start()
    print_ready(name, listen=server_address(server), admin=server_address(admin_server))
    wait_until_stopped(stop)
    for each in (server, admin_server):
        each.stop()
