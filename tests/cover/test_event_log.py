"""Log lines are JSON and never block; dropped lines are counted."""

import os
import threading

import orjson
import pytest

from swifttrestle.internal import event_log
from swifttrestle.internal.event_log import MAX_QUEUED_LINES, LineWriter


def test_a_stuck_reader_does_not_block_and_dropped_lines_are_reported():
    reading, writing = os.pipe()
    try:
        writer = LineWriter(writing)
        writer.start("h")
        # Nothing is read, so the pipe fills, the thread blocks, the queue fills and lines drop.
        for number in range(4 * MAX_QUEUED_LINES):
            writer.put("request", {"id": number, "text": "x" * 200})
        assert writer.dropped > 0
        received = []
        drops_reported = threading.Event()

        def read():
            with os.fdopen(reading, "rb", closefd=False) as stream:
                for line in stream:
                    received.append(orjson.loads(line))
                    if "lines_dropped" in received[-1]:
                        drops_reported.set()
                        return

        reader = threading.Thread(target=read, daemon=True)
        reader.start()
        while not drops_reported.wait(0.05):
            writer.put("later", {})
        assert received[0]["event"] == "request"
        assert received[0]["host"] == "h"
        assert received[-1]["lines_dropped"] > 0
    finally:
        os.close(reading)
        os.close(writing)


def test_lines_are_json_with_time_host_and_event(tmp_path, monkeypatch):
    monkeypatch.setattr(event_log, "FLUSH_INTERVAL_SECONDS", 0.0)
    with (tmp_path / "out").open("wb") as out:
        writer = LineWriter(out.fileno())
        writer.start("host-1")
        writer.put("lease taken", {"token": 3})
        writer.flush()
    line = orjson.loads((tmp_path / "out").read_bytes())
    assert (line["host"], line["event"], line["token"]) == ("host-1", "lease taken", 3)


class Unwritable:
    """An object that has no text."""

    def __str__(self):
        raise RuntimeError("no text")


@pytest.mark.parametrize(
    "value",
    [2**64, -(2**63) - 1, "\ud800", {1: 2}, Unwritable()],
    ids=["large", "low", "surrogate", "key", "object"],
)
def test_a_line_that_cannot_be_encoded_is_dropped_and_reported(tmp_path, value):
    with (tmp_path / "out").open("wb") as out:
        writer = LineWriter(out.fileno())
        writer.start("h")
        writer.put("request", {"value": value})
        writer.put("request", {"value": value})
        assert writer.dropped == 2
        writer.put("later", {})
        writer.put("last", {})
        writer.flush()
    lines = [orjson.loads(line) for line in (tmp_path / "out").read_bytes().splitlines()]
    assert [line["event"] for line in lines] == ["later", "last"]
    assert lines[0]["lines_dropped"] == 2
    assert "lines_dropped" not in lines[1]
