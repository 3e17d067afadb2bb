"""Log lines: one for each decision, bounded, never blocking."""

import os
import threading

import orjson

from swifttrestle.internal import event_log
from swifttrestle.internal.event_log import QUEUE_LINES, LineWriter


def test_a_reader_that_is_stuck_holds_nobody_up_and_what_was_dropped_is_told():
    reading, writing = os.pipe()
    try:
        writer = LineWriter(writing)
        writer.start("h")
        # Nobody reads: the pipe fills, the thread blocks, the queue fills, lines are dropped.
        for number in range(4 * QUEUE_LINES):
            writer.put("request", {"id": number, "text": "x" * 200})
        assert writer.dropped > 0
        seen = []
        told = threading.Event()

        def read():
            with os.fdopen(reading, "rb", closefd=False) as stream:
                for line in stream:
                    seen.append(orjson.loads(line))
                    if "lines_dropped" in seen[-1]:
                        told.set()
                        return

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        while not told.wait(0.05):
            writer.put("later", {})
        assert seen[0]["event"] == "request"
        assert seen[0]["host"] == "h"
        assert seen[-1]["lines_dropped"] > 0
    finally:
        os.close(reading)
        os.close(writing)


def test_lines_are_json_with_time_host_and_event(tmp_path, monkeypatch):
    monkeypatch.setattr(event_log, "DRAIN_SECONDS", 0.0)
    with (tmp_path / "out").open("wb") as out:
        writer = LineWriter(out.fileno())
        writer.start("host-1")
        writer.put("lease taken", {"token": 3})
        writer.flush()
    line = orjson.loads((tmp_path / "out").read_bytes())
    assert (line["host"], line["event"], line["token"]) == ("host-1", "lease taken", 3)
