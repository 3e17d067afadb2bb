"""A stand-in for a model engine: streams, orders, delayed reports, faults on an admin port."""

import os
import random
import threading
import time
from collections import deque
from typing import Any

import fire
import urllib3

from swifttrestle.errors import RefusedError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.protocol.prefixes import count_tokens, split_blocks
from swifttrestle.internal.transport.http import Exchange, Handler, make_client, parse_json_object
from swifttrestle_standins.batch import PRIORITY_RANKS, Batch, Speed, Stream
from swifttrestle_standins.expected_answers import GenerationInput
from swifttrestle_standins.orders import Orders
from swifttrestle_standins.serving import AdminHandler, serve_until_stopped

IMPORT_TOKENS_PER_SECOND = 200_000.0
RETRY_AFTER_SECONDS = 1
MAX_EVENTS_PER_REPLY = 2000


class Engine(Handler):
    """Handler of the engine's public port; holds the state of both ports."""

    def __init__(
        self,
        speed: Speed,
        orders: Orders,
        batch: Batch,
        *,
        report_lag: float,
        event_lag: float,
        event_loss: float,
        seed: int,
        deadly_tokens: int,
    ) -> None:
        """Create an engine with no model loaded; lags in seconds, loss as a share of cache events.

        A stream of exactly `deadly_tokens` tokens exits the process when it starts; 0 disables it.
        """
        self._deadly_tokens = deadly_tokens
        self.speed = speed
        self.orders = orders
        self.batch = batch
        self.boot = f"{os.getpid()}-{time.time_ns()}"
        self._report_lag = report_lag
        self._event_lag = event_lag
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._events: list[tuple[str, int]] = []
        self._events_base = 0
        self._exports: dict[str, int] = {}
        self._lock = threading.Lock()

    def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if self.batch.faults.broken:
            exchange.detach_socket().close()
            return
        try:
            self._answer(exchange)
        except (KeyError, ValueError, TypeError, RefusedError) as error:
            exchange.reply_json(400, {"reason": f"bad request: {error!r}"})

    def _answer(self, exchange: Exchange) -> None:
        match (exchange.method, exchange.path):
            case ("POST", "/v1/stream"):
                self._start_stream(exchange, parse_json_object(exchange.read_body()))
            case ("POST", "/v1/prefill"):
                self._prefill(exchange, parse_json_object(exchange.read_body()))
            case ("POST", "/v1/cancel"):
                body = parse_json_object(exchange.read_body())
                held = self.batch.cancel(str(body["id"]), int(body["attempt"]))
                exchange.reply_json(200, {"held": held})
            case ("GET", "/load"):
                self._report(exchange)
            case ("GET", "/state"):
                exchange.reply_json(200, self.state())
            case ("GET", "/cache-events"):
                self._send_cache_events(exchange)
            case ("GET", "/kv"):
                self._export(exchange)
            case ("POST", "/orders"):
                status, answer = self.orders.take(parse_json_object(exchange.read_body()))
                exchange.reply_json(status, answer)
            case _:
                exchange.reply_json(
                    404, {"reason": f"unknown call {exchange.method} {exchange.path}"}
                )

    def state(self) -> dict[str, Any]:
        """Return the current state, without the delay of reports."""
        holding = self.orders.holding
        return {
            "boot": self.boot,
            "role": holding.role,
            "model": holding.model,
            "version": holding.version,
            "adapters": holding.adapters,
            "changing": self.orders.is_changing,
            "token": self.orders.token,
            "last_order": self.orders.last_order,
            "active": self.batch.active,
        }

    def _refuse(self, exchange: Exchange, reason: str) -> None:
        headers = (("Retry-After", str(RETRY_AFTER_SECONDS)),)
        exchange.reply_json(503, {"reason": reason}, headers)

    def _find_refusal(self, body: dict[str, Any]) -> str:
        holding = self.orders.holding
        if self.orders.is_changing:
            return "away"
        if self.batch.faults.leaving:
            return "leaving"
        if body["model"] != holding.model or body["version"] != holding.version:
            return "model"
        if body.get("adapter") and body["adapter"] not in holding.adapters:
            return "model"
        if self.batch.faults.busy or not self.batch.can_accept(PRIORITY_RANKS[body["priority"]]):
            return "busy"
        return ""

    def _start_stream(self, exchange: Exchange, body: dict[str, Any]) -> None:
        offset, end = int(body["offset"]), int(body["max_tokens"])
        imported = body.get("kv_from")
        role = self.orders.holding.role
        refusal = self._find_refusal(body)
        if not refusal and (role == "prefill" or (role == "decode" and not imported)):
            refusal = "role"
        if refusal:
            self._refuse(exchange, refusal)
            return
        if self._deadly_tokens and end == self._deadly_tokens:
            os._exit(1)
        if self.batch.faults.late_seconds:
            time.sleep(self.batch.faults.late_seconds)
        stream = self._make_stream(body, offset, end)
        if imported and self._import(imported):
            stream.tokens_left = 1
        stream.sock = exchange.detach_socket()
        stream.sock.settimeout(5)
        self.batch.add(stream)

    def _make_stream(self, body: dict[str, Any], offset: int, end: int) -> Stream:
        prompt = str(body["prompt"])
        generation_input = GenerationInput(
            body["model"], body["version"], body.get("adapter", ""), prompt
        )
        return Stream(
            request=str(body["id"]),
            attempt=int(body["attempt"]),
            digest=generation_input.digest,
            offset=offset,
            end=end,
            rank=PRIORITY_RANKS[body["priority"]],
            tokens_left=count_tokens(prompt) + offset,
            prompt_blocks=list(split_blocks(prompt)),
            sock=None,
        )

    def _prefill(self, exchange: Exchange, body: dict[str, Any]) -> None:
        refusal = self._find_refusal(body)
        if not refusal and self.orders.holding.role == "decode":
            refusal = "role"
        if refusal:
            self._refuse(exchange, refusal)
            return
        stream = self._make_stream(body, 0, 1)
        stream.only_prefill = True
        self.batch.add(stream)
        deadline = time.monotonic() + 30
        while not stream.record["end"] and time.monotonic() < deadline:
            time.sleep(0.005)
        if stream.record["end"] != "prefilled":
            self._refuse(exchange, "cut")
            return
        handle = f"{stream.request}.{stream.attempt}"
        with self._lock:
            self._exports[handle] = count_tokens(str(body["prompt"]))
        exchange.reply_json(200, {"handle": handle})

    def _export(self, exchange: Exchange) -> None:
        with self._lock:
            tokens = self._exports.pop(exchange.query.get("handle", ""), None)
        if tokens is None:
            exchange.reply_json(404, {"reason": "no such handle"})
            return
        exchange.reply_json(200, {"tokens": tokens})

    def _import(self, source: dict[str, Any]) -> bool:
        client = make_client(2.0)
        url = f"http://{source['address']}/kv?handle={source['handle']}"
        try:
            response = client.request("GET", url)
        except urllib3.exceptions.HTTPError:
            return False
        if response.status != 200:
            return False
        time.sleep(response.json()["tokens"] / IMPORT_TOKENS_PER_SECOND)
        return True

    def _report(self, exchange: Exchange) -> None:
        if self.batch.faults.no_reports:
            exchange.detach_socket().close()
            return
        with self._lock:
            due = time.monotonic() - self._report_lag
            while len(self._reports) > 1 and self._reports[1][0] <= due:
                self._reports.popleft()
            report = self._reports[0][1] if self._reports else self._build_report()
        exchange.reply_json(200, report)

    def _build_report(self) -> dict[str, Any]:
        batch = self.batch
        return {
            **self.state(),
            "at": time.time(),
            "slots": self.speed.slots,
            "waiting": len(batch.waiting),
            "waiting_tokens": sum(s.tokens_left for s in list(batch.waiting)),
            "decoding": len(batch.decoding),
            "tokens_out": batch.tokens_out,
            "prefilled": batch.prefilled,
            "leaving": batch.faults.leaving,
        }

    def record_reports(self) -> None:
        """Record reports periodically, so that delayed ones can be served."""
        while True:
            with self._lock:
                self._reports.append((time.monotonic(), self._build_report()))
            self._publish_events()
            time.sleep(0.05)

    def _publish_events(self) -> None:
        due = time.monotonic() - self._event_lag
        events = self.batch.cache_events
        while events and events[0][0] <= due:
            _, what, block = events.popleft()
            with self._lock:
                self._events.append((what, block))

    def _send_cache_events(self, exchange: Exchange) -> None:
        since = int(exchange.query.get("since", 0))
        with self._lock:
            start = max(since - self._events_base, 0)
            chosen = self._events[start : start + MAX_EVENTS_PER_REPLY]
            first = self._events_base + start
        delivered = [
            [first + i, what, block]
            for i, (what, block) in enumerate(chosen)
            if self._random.random() >= self._event_loss
        ]
        exchange.reply_json(
            200, {"boot": self.boot, "next": first + len(chosen), "events": delivered}
        )


class _Admin(AdminHandler):
    """Handler of the engine's admin port: faults, and records of runs and orders."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def change(self, path: str, change: dict[str, Any]) -> Any:
        """Set faults by name."""
        for key, value in change.items():
            if key == "crash_on_order":
                self._engine.orders.crash_on_order = value
            else:
                setattr(self._engine.batch.faults, key, value)
        return vars(self._engine.batch.faults)

    def records(self) -> dict[str, Any]:
        """Return all runs and orders since the process started."""
        batch = self._engine.batch
        with batch.lock:
            runs = [dict(run) for run in batch.runs]
        return {
            "boot": self._engine.boot,
            "runs": runs,
            "orders": list(self._engine.orders.log),
            "tokens_out": batch.tokens_out,
            "hit_tokens": batch.hit_tokens,
            "prefilled": batch.prefilled,
        }


def run(
    *,
    listen: str = "127.0.0.1:0",
    fencing: str = "ignored",
    slots: int = 16,
    queue: int = 32,
    step: float = 0.02,
    per_stream: float = 0.0002,
    prefill_rate: float = 20_000.0,
    cache_blocks: int = 2000,
    away: float = 1.0,
    report_lag: float = 0.3,
    event_lag: float = 0.5,
    event_loss: float = 0.05,
    state_file: str = "",
    seed: int = 1,
    deadly_tokens: int = 0,
) -> None:
    """Run a fake engine; times in seconds, rates in tokens per second."""
    speed = Speed(prefill_rate, step, per_stream, slots, queue, cache_blocks)
    batch = Batch(speed, seed)
    orders = Orders(fencing == "checked", away, state_file, batch.abort_all)
    engine = Engine(
        speed,
        orders,
        batch,
        report_lag=report_lag,
        event_lag=event_lag,
        event_loss=event_loss,
        seed=seed,
        deadly_tokens=deadly_tokens,
    )
    for work in (batch.run, engine.record_reports):
        threading.Thread(target=work, daemon=True).start()
    serve_until_stopped("engine", parse_address(listen), engine, _Admin(engine))


def main() -> None:
    """Run the console script."""
    fire.Fire(run)
