"""The relay pump: one thread that carries many open streams, one task a stream.

A task is a generator that reads and writes its own sockets straight down and yields what it
waits for. Sockets stay registered for reading, so a token costs one wake-up shared with all
other tokens that have arrived, one read and one write, and no switch of threads. The ways
weighed and their figures are in docs/design/relay.md.
"""

import os
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum

from loguru import logger

from swifttrestle.errors import CallerGoneError, UpstreamBrokenError
from swifttrestle.internal.clock import read_boottime_seconds

SWEEP_SECONDS = 0.25


class WaitFor(Enum):
    """What a task waits for."""

    DATA = "upstream data"
    WRITABLE = "room towards the caller"


Task = Generator[WaitFor, None, None]
Finish = Callable[[BaseException | None], None]


@dataclass(eq=False)
class _Line:
    """One stream in the pump."""

    upstream: socket.socket
    caller: socket.socket
    task: Task
    finish: Finish
    stall_seconds: float
    want: WaitFor = WaitFor.DATA
    moved_at: float = field(default_factory=read_boottime_seconds)
    done: bool = False


class Pump:
    """Carries streams until their tasks end; each end is told to the stream's `finish`."""

    def __init__(self) -> None:
        """Prepare; `start` begins."""
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._incoming: deque[_Line] = deque()
        self._lines: set[_Line] = set()

    def start(self) -> None:
        """Carry streams in a thread of its own."""
        threading.Thread(target=self._run, name="pump", daemon=True).start()

    @property
    def open_streams(self) -> int:
        """Streams carried now."""
        return len(self._lines) + len(self._incoming)

    def add(
        self,
        upstream: socket.socket,
        caller: socket.socket,
        task: Task,
        finish: Finish,
        stall_seconds: float,
    ) -> None:
        """Carry one stream; safe from any thread. The sockets are set to not block."""
        upstream.setblocking(False)
        caller.setblocking(False)
        self._incoming.append(_Line(upstream, caller, task, finish, stall_seconds))
        os.write(self._wake_write, b"\0")

    def _run(self) -> None:
        next_sweep = read_boottime_seconds() + SWEEP_SECONDS
        while True:
            events = self._selector.select(SWEEP_SECONDS)
            now = read_boottime_seconds()
            for key, mask in events:
                if key.data is None:
                    self._take_incoming()
                else:
                    self._serve(key.data, key.fileobj, mask, now)
            if now >= next_sweep:
                next_sweep = now + SWEEP_SECONDS
                self._sweep(now)

    def _take_incoming(self) -> None:
        os.read(self._wake_read, 65536)
        while self._incoming:
            line = self._incoming.popleft()
            self._lines.add(line)
            try:
                self._selector.register(line.upstream, selectors.EVENT_READ, line)
                self._selector.register(line.caller, selectors.EVENT_READ, line)
            except (OSError, ValueError, KeyError) as error:
                self._end(line, UpstreamBrokenError(f"cannot be carried: {error!r}", sent=True))
                continue
            self._step(line)

    def _serve(self, line: _Line, sock: object, mask: int, now: float) -> None:
        if line.done:
            return
        if sock is line.caller and mask & selectors.EVENT_READ and _is_closed(line.caller):
            self._throw(line, CallerGoneError("the caller closed its connection"))
            return
        ready = sock is line.upstream if line.want is WaitFor.DATA else mask & selectors.EVENT_WRITE
        if ready:
            line.moved_at = now
            self._step(line)

    def _step(self, line: _Line) -> None:
        try:
            want = next(line.task)
        except StopIteration:
            self._end(line, None)
            return
        except Exception as error:
            self._end(line, error)
            return
        if want is not line.want:
            self._change_want(line, want)

    def _change_want(self, line: _Line, want: WaitFor) -> None:
        line.want = want
        if want is WaitFor.WRITABLE:
            # Reading from the engine waits until the caller has taken what there is.
            self._selector.unregister(line.upstream)
            self._selector.modify(line.caller, selectors.EVENT_READ | selectors.EVENT_WRITE, line)
        else:
            self._selector.modify(line.caller, selectors.EVENT_READ, line)
            self._selector.register(line.upstream, selectors.EVENT_READ, line)

    def _sweep(self, now: float) -> None:
        for line in list(self._lines):
            if now - line.moved_at < line.stall_seconds:
                continue
            if line.want is WaitFor.WRITABLE:
                self._throw(line, CallerGoneError("the caller takes nothing"))
            else:
                self._throw(line, UpstreamBrokenError("no token for too long", sent=True))

    def _throw(self, line: _Line, error: Exception) -> None:
        try:
            line.task.throw(error)
        except StopIteration:
            self._end(line, None)
        except Exception as raised:
            self._end(line, raised)
        else:
            self._end(line, error)

    def _end(self, line: _Line, error: BaseException | None) -> None:
        line.done = True
        self._lines.discard(line)
        for sock in (line.upstream, line.caller):
            try:
                self._selector.unregister(sock)
            except (KeyError, ValueError):
                continue
        line.upstream.close()
        try:
            line.finish(error)
        except Exception:
            logger.exception("the end of a stream failed")


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the caller has hung up; what it sends beyond its request is dropped."""
    try:
        return sock.recv(4096) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
