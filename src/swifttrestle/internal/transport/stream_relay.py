"""The relay of open streams: one thread with one generator task per stream.

A task reads and writes its own sockets and yields what it waits for. Sockets stay registered for
reading, so that a token costs one read, one write and a wake-up shared with other tokens, but no
thread switch; see docs/design/relay.md.
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

# Interval of the check for stalled streams.
SWEEP_SECONDS = 0.25


class WaitFor(Enum):
    """The event for which a task waits."""

    DATA = "upstream data"
    WRITABLE = "space in the caller's socket buffer"


Task = Generator[WaitFor, None, None]
Finish = Callable[[BaseException | None], None]
# Returns whether to leave an upstream that has sent nothing for so many seconds; must not block.
LeaveSilent = Callable[[float], bool]


@dataclass(eq=False)
class _Stream:
    """One open stream; `progress_at` is the time of its last progress."""

    upstream: socket.socket
    caller: socket.socket
    task: Task
    finish: Finish
    leave_silent: LeaveSilent
    stall_seconds: float
    waiting_for: WaitFor = WaitFor.DATA
    progress_at: float = field(default_factory=read_boottime_seconds)
    done: bool = False


class StreamRelay:
    """Relays streams until their tasks end, and then calls each stream's `finish`."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = os.pipe()
        os.set_blocking(self._wake_read, False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._incoming: deque[_Stream] = deque()
        self._streams: set[_Stream] = set()

    def start(self) -> None:
        """Start the relay thread."""
        threading.Thread(target=self._run, name="pump", daemon=True).start()

    @property
    def open_streams(self) -> int:
        """The number of open streams."""
        return len(self._streams) + len(self._incoming)

    def add(
        self,
        upstream: socket.socket,
        caller: socket.socket,
        task: Task,
        finish: Finish,
        leave_silent: LeaveSilent,
        stall_seconds: float,
    ) -> None:
        """Add a stream, from any thread, and make its sockets non-blocking.

        From `stall_seconds` without progress on, `leave_silent` is asked at each sweep.
        """
        upstream.setblocking(False)
        caller.setblocking(False)
        self._incoming.append(_Stream(upstream, caller, task, finish, leave_silent, stall_seconds))
        os.write(self._wake_write, b"\0")

    def _run(self) -> None:
        next_sweep = read_boottime_seconds() + SWEEP_SECONDS
        while True:
            events = self._selector.select(SWEEP_SECONDS)
            now = read_boottime_seconds()
            for key, mask in events:
                if key.data is None:
                    self._add_incoming()
                else:
                    self._serve(key.data, key.fileobj, mask, now)
            if now >= next_sweep:
                next_sweep = now + SWEEP_SECONDS
                self._sweep(now)

    def _add_incoming(self) -> None:
        os.read(self._wake_read, 65536)
        while self._incoming:
            stream = self._incoming.popleft()
            self._streams.add(stream)
            try:
                self._selector.register(stream.upstream, selectors.EVENT_READ, stream)
                self._selector.register(stream.caller, selectors.EVENT_READ, stream)
            except (OSError, ValueError, KeyError) as error:
                self._end(stream, UpstreamBrokenError(f"cannot relay: {error!r}", sent=True))
                continue
            self._step(stream)

    def _serve(self, stream: _Stream, sock: object, mask: int, now: float) -> None:
        if stream.done:
            return
        if sock is stream.caller and mask & selectors.EVENT_READ and _is_closed(stream.caller):
            self._throw(stream, CallerGoneError("the caller closed its connection"))
            return
        ready = (
            sock is stream.upstream
            if stream.waiting_for is WaitFor.DATA
            else mask & selectors.EVENT_WRITE
        )
        if ready:
            stream.progress_at = now
            self._step(stream)

    def _step(self, stream: _Stream) -> None:
        try:
            waiting_for = next(stream.task)
        except StopIteration:
            self._end(stream, None)
            return
        except Exception as error:
            self._end(stream, error)
            return
        if waiting_for is not stream.waiting_for:
            self._change_waiting(stream, waiting_for)

    def _change_waiting(self, stream: _Stream, waiting_for: WaitFor) -> None:
        stream.waiting_for = waiting_for
        if waiting_for is WaitFor.WRITABLE:
            # Do not read from the engine until the caller has received the pending bytes.
            self._selector.unregister(stream.upstream)
            self._selector.modify(
                stream.caller, selectors.EVENT_READ | selectors.EVENT_WRITE, stream
            )
        else:
            self._selector.modify(stream.caller, selectors.EVENT_READ, stream)
            self._selector.register(stream.upstream, selectors.EVENT_READ, stream)

    def _sweep(self, now: float) -> None:
        for stream in list(self._streams):
            silent_seconds = now - stream.progress_at
            if silent_seconds < stream.stall_seconds:
                continue
            if stream.waiting_for is WaitFor.WRITABLE:
                self._throw(stream, CallerGoneError(f"no progress for {stream.stall_seconds:g} s"))
            elif _leaves_silent(stream, silent_seconds):
                self._throw(
                    stream, UpstreamBrokenError(f"no token for {silent_seconds:.1f} s", sent=True)
                )

    def _throw(self, stream: _Stream, error: Exception) -> None:
        try:
            stream.task.throw(error)
        except StopIteration:
            self._end(stream, None)
        except Exception as raised:
            self._end(stream, raised)
        else:
            self._end(stream, error)

    def _end(self, stream: _Stream, error: BaseException | None) -> None:
        stream.done = True
        self._streams.discard(stream)
        for sock in (stream.upstream, stream.caller):
            try:
                self._selector.unregister(sock)
            except (KeyError, ValueError):
                continue
        stream.upstream.close()
        try:
            stream.finish(error)
        except Exception:
            logger.exception("finish callback of a stream failed")


def _leaves_silent(stream: _Stream, seconds: float) -> bool:
    try:
        return stream.leave_silent(seconds)
    except Exception:
        # The thread serves all streams; this one's end is reported as for a stalled upstream.
        logger.exception("question about a silent upstream failed")
        return True


def _is_closed(sock: socket.socket) -> bool:
    """Return whether the caller has disconnected; further bytes from it are discarded."""
    try:
        return sock.recv(4096) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
