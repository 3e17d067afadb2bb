"""The continuous batch of the fake engine: prefill chunks and one token a stream each step."""

import os
import random
import socket
import threading
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS
from swifttrestle_standins.words import make_word

PREFILL_CHUNK = 512
HEADER = (
    b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
    b"X-Load: %d/%d\r\n\r\n"
)
RANK = {"urgent": 0, "normal": 1, "background": 2}
SEND_SECONDS = 5.0


@dataclass(frozen=True)
class Speed:
    """How fast the engine is; rates in tokens a second, times in seconds."""

    prefill_rate: float = 20_000.0
    step_seconds: float = 0.02
    per_stream_seconds: float = 0.0002
    slots: int = 16
    queue: int = 32
    cache_blocks: int = 2000


@dataclass
class Faults:
    """How the engine fails now; each is set through the admin port."""

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
    """One request in the batch; `left` counts prompt tokens still to prefill."""

    request: str
    attempt: int
    digest: int
    offset: int
    end: int
    rank: int
    left: int
    prompt_blocks: list[int]
    sock: socket.socket | None
    only_prefill: bool = False
    started: bool = False
    record: dict[str, Any] = field(default_factory=dict)


class Batch:
    """All requests that the engine holds, and the thread that advances them."""

    def __init__(self, speed: Speed, seed: int) -> None:
        """Start empty."""
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
        """Requests held now."""
        return len(self.waiting) + len(self.decoding)

    def has_room(self, rank: int) -> bool:
        """Return whether a request may come in; urgent ones may use a larger queue."""
        limit = self.speed.slots + self.speed.queue + (self.speed.slots if rank == 0 else 0)
        return self.active < limit

    def add(self, stream: Stream) -> None:
        """Take a request into the batch."""
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
            hit = min(stream.left - 1, cached * BLOCK_TOKENS)
            stream.left -= hit
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
        """Drop a request; True if it was held."""
        with self.lock:
            for group in (self.waiting, self.decoding):
                for stream in group:
                    if stream.request == request and stream.attempt == attempt:
                        group.remove(stream)
                        self._end(stream, "cancelled")
                        return True
        return False

    def cut_all(self, reason: str) -> int:
        """Break every stream off, as a role change on a busy engine would."""
        with self.lock:
            held = self.waiting + self.decoding
            self.waiting.clear()
            self.decoding.clear()
            for stream in held:
                self._end(stream, reason)
        return len(held)

    def run(self) -> None:
        """Advance the batch for ever."""
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
        budget = PREFILL_CHUNK
        while self.waiting and budget > 0 and len(self.decoding) < self.speed.slots:
            stream = self.waiting[0]
            done = min(budget, stream.left)
            stream.left -= done
            budget -= done
            self.prefilled += done
            if stream.left > 0:
                break
            self.waiting.pop(0)
            self._remember(stream.prompt_blocks)
            if stream.only_prefill:
                self._end(stream, "prefilled")
            else:
                self.decoding.append(stream)
        return (PREFILL_CHUNK - budget) / self.speed.prefill_rate

    def _remember(self, blocks: list[int]) -> None:
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
            data = HEADER % (self.active, self.speed.slots) + data
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
    """Return the event of the stream's next token."""
    return (
        b'data: {"id":"%s","attempt":%d,"offset":%d,"choices":[{"index":0,"delta":'
        b'{"content":"%s"}}]}\n\n'
        % (
            request.encode(),
            stream.attempt,
            stream.offset,
            make_word(stream.digest, stream.offset).encode(),
        )
    )


def write_finish(stream: Stream) -> bytes:
    """Return the finish mark."""
    return (
        b'data: {"id":"%s","attempt":%d,"offset":%d,"choices":[{"index":0,"delta":{},'
        b'"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
        % (stream.request.encode(), stream.attempt, stream.offset)
    )
