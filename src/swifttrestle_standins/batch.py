"""Continuous batching of the fake engine: per step, prefill chunks and one token per stream."""

import os
import random
import socket
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS
from swifttrestle_standins.expected_answers import make_token

PREFILL_CHUNK_TOKENS = 512
RESPONSE_HEAD = (
    b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
    b"X-Load: %d/%d\r\n\r\n"
)
PRIORITY_RANKS = {"urgent": 0, "normal": 1, "background": 2}
SEND_SECONDS = 5.0


@dataclass(frozen=True)
class Speed:
    """Engine performance; rates in tokens per second, times in seconds, cache size in blocks."""

    prefill_rate: float = 20_000.0
    step_seconds: float = 0.02
    per_stream_seconds: float = 0.0002
    slots: int = 16
    queue: int = 32
    cache_blocks: int = 2000


@dataclass
class Faults:
    """Injected faults, set through the admin port.

    `*_after` and `*_at` are token offsets; negative means off.
    """

    busy: bool = False
    broken: bool = False
    leaving: bool = False
    no_reports: bool = False
    die_after: int = -1
    truncate_after: int = -1
    double_at: int = -1
    cross_at: int = -1
    late_seconds: float = 0.0
    crash_on_order: str = ""


@dataclass
class Stream:
    """One request in the batch; `tokens_left` counts prompt tokens not prefilled yet."""

    request: str
    attempt: int
    digest: int
    offset: int
    end: int
    rank: int
    tokens_left: int
    prompt_blocks: list[int]
    sock: socket.socket | None
    only_prefill: bool = False
    started: bool = False
    record: dict[str, Any] = field(default_factory=dict)


class Batch:
    """All requests of the engine; `run` advances them in a thread of its own."""

    def __init__(self, speed: Speed, seed: int) -> None:
        """Create an empty batch."""
        self.speed = speed
        self.faults = Faults()
        self.lock = threading.Condition()
        self.waiting: list[Stream] = []
        self.decoding: list[Stream] = []
        self.runs: list[dict[str, Any]] = []
        self.cache: OrderedDict[int, bool] = OrderedDict()
        self.cache_events: deque[tuple[float, str, int]] = deque(maxlen=50_000)
        self.tokens_out = 0
        self.prefilled = 0
        self.hit_tokens = 0
        self.events_lost = 0
        self._random = random.Random(seed)

    @property
    def active(self) -> int:
        """Number of waiting and decoding requests."""
        return len(self.waiting) + len(self.decoding)

    def can_accept(self, rank: int) -> bool:
        """Return whether the queue can accept a request; urgent requests have a larger queue."""
        limit = self.speed.slots + self.speed.queue + (self.speed.slots if rank == 0 else 0)
        return self.active < limit

    def add(self, stream: Stream) -> None:
        """Add a request to the batch."""
        stream.record.update(
            id=stream.request,
            digest=stream.digest,
            attempt=stream.attempt,
            offset=stream.offset,
            sent=0,
            end="",
            at=time.time(),
        )
        with self.lock:
            self.runs.append(stream.record)
            cached = self._count_cached(stream.prompt_blocks)
            hit = min(stream.tokens_left - 1, cached * BLOCK_TOKENS)
            stream.tokens_left -= hit
            self.hit_tokens += hit
            self.waiting.append(stream)
            self.waiting.sort(key=lambda s: s.rank)
            self.lock.notify()

    def _count_cached(self, blocks: list[int]) -> int:
        count = 0
        for block in blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            count += 1
        return count

    def cancel(self, request: str, attempt: int) -> bool:
        """Remove a request; return whether it was in the batch."""
        with self.lock:
            for group in (self.waiting, self.decoding):
                for stream in group:
                    if stream.request == request and stream.attempt == attempt:
                        group.remove(stream)
                        self._end(stream, "cancelled")
                        return True
        return False

    def abort_all(self, reason: str) -> int:
        """Abort every stream, as a role change on a busy engine does; return their number."""
        with self.lock:
            held = self.waiting + self.decoding
            self.waiting.clear()
            self.decoding.clear()
            for stream in held:
                self._end(stream, reason)
        return len(held)

    def run(self) -> None:
        """Advance the batch in an endless loop."""
        due = time.monotonic()
        while True:
            with self.lock:
                while not self.active:
                    self.lock.wait()
                    due = time.monotonic()
                spent = self._prefill_some() + self._decode_all()
            due += spent
            pause = due - time.monotonic()
            if pause > 0:
                time.sleep(pause)
            else:
                due = time.monotonic()

    def _prefill_some(self) -> float:
        budget = PREFILL_CHUNK_TOKENS
        while self.waiting and budget > 0 and len(self.decoding) < self.speed.slots:
            stream = self.waiting[0]
            done = min(budget, stream.tokens_left)
            stream.tokens_left -= done
            budget -= done
            self.prefilled += done
            if stream.tokens_left > 0:
                break
            self.waiting.pop(0)
            self._cache_prompt(stream.prompt_blocks)
            if stream.only_prefill:
                self._end(stream, "prefilled")
            else:
                self.decoding.append(stream)
        return (PREFILL_CHUNK_TOKENS - budget) / self.speed.prefill_rate

    def _cache_prompt(self, blocks: list[int]) -> None:
        now = time.monotonic()
        for block in blocks:
            if block not in self.cache:
                self.cache_events.append((now, "stored", block))
            self.cache[block] = True
            self.cache.move_to_end(block)
        while len(self.cache) > self.speed.cache_blocks:
            dropped, _ = self.cache.popitem(last=False)
            self.cache_events.append((now, "dropped", dropped))

    def _decode_all(self) -> float:
        count = len(self.decoding)
        for stream in list(self.decoding):
            self._decode_one(stream)
        return self.speed.step_seconds + count * self.speed.per_stream_seconds

    def _decode_one(self, stream: Stream) -> None:
        faults = self.faults
        sent = stream.record["sent"]
        if 0 <= faults.die_after <= sent:
            os._exit(1)
        if 0 <= faults.truncate_after <= sent:
            faults.truncate_after = -1
            self.decoding.remove(stream)
            self._end(stream, "truncated")
            return
        event = write_event(stream, stream.request)
        if sent == faults.double_at:
            faults.double_at = -1
            event += event
        if sent == faults.cross_at:
            faults.cross_at = -1
            event = write_event(stream, "another-request")
        if not self._send(stream, event):
            self.decoding.remove(stream)
            self._end(stream, "caller gone")
            return
        stream.record["sent"] = sent + 1
        stream.offset += 1
        self.tokens_out += 1
        if stream.offset >= stream.end:
            self.decoding.remove(stream)
            self._send(stream, write_finish(stream))
            self._end(stream, "done")

    def _send(self, stream: Stream, data: bytes) -> bool:
        assert stream.sock is not None
        if not stream.started:
            stream.started = True
            data = RESPONSE_HEAD % (self.active, self.speed.slots) + data
        try:
            stream.sock.sendall(data)
        except OSError:
            return False
        return True

    def _end(self, stream: Stream, reason: str) -> None:
        stream.record["end"] = reason
        stream.record["end_at"] = time.time()
        if stream.sock is not None:
            stream.sock.close()
        stream.record["closed"] = True


def write_event(stream: Stream, request: str) -> bytes:
    """Return the server-sent event of the stream's next token."""
    return (
        b'data: {"id":"%s","attempt":%d,"offset":%d,"choices":[{"index":0,"delta":'
        b'{"content":"%s"}}]}\n\n'
        % (
            request.encode(),
            stream.attempt,
            stream.offset,
            make_token(stream.digest, stream.offset).encode(),
        )
    )


def write_finish(stream: Stream) -> bytes:
    """Return the events that end a complete stream."""
    return (
        b'data: {"id":"%s","attempt":%d,"offset":%d,"choices":[{"index":0,"delta":{},'
        b'"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
        % (stream.request.encode(), stream.attempt, stream.offset)
    )
