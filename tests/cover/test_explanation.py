"""The timeline of a request from the logs of several hosts."""

import orjson
import pytest

from swifttrestle.ctl import Ctl
from swifttrestle.errors import NotFoundError
from swifttrestle.internal.explanation import LogLine, explain_request, read_log_lines

REQUEST = LogLine(
    100.2,
    "h1",
    "request",
    {
        "id": "r1", "route": "verdicts", "config": 3, "list_age": 0.4, "code": "ANSWER_LOST",
        "outcome": "reset", "ms": 200.0,
        "steps": ["5:reader p1 wait=10ms decoder d1 open=2 by h2", "150:read 9000 tokens",
                  "190:decoder d1 failed: reset"],
    },
)  # fmt: skip


@pytest.mark.parametrize(
    ("line", "shown"),
    [
        (LogLine(95.0, "h2", "instance left out", {"instance": "d1", "reason": "reset"}), True),
        (LogLine(99.0, "h3", "role ordered", {"engine": "p1", "role": "decode"}), True),
        (LogLine(95.0, "h2", "instance left out", {"instance": "d2", "reason": "reset"}), False),
        (LogLine(80.0, "h2", "instance left out", {"instance": "d1", "reason": "reset"}), False),
        (LogLine(101.0, "h2", "instance left out", {"instance": "d1", "reason": "reset"}), False),
        (LogLine(20.0, "h1", "configuration in force", {"version": 3}), True),
        (LogLine(20.0, "h1", "configuration in force", {"version": 2}), False),
        (LogLine(20.0, "h2", "configuration in force", {"version": 3}), False),
        (LogLine(99.0, "h1", "store lost", {"by": "discovery"}), True),
        (LogLine(99.0, "h2", "store lost", {"by": "discovery"}), False),
        (LogLine(99.0, "h1", "request", {"id": "r2", "steps": []}), False),
    ],
)
def test_only_events_that_may_concern_the_request_are_shown(line, shown):
    timeline = explain_request([REQUEST, line], "r1")
    assert len(timeline) == 5 + shown


NAMED = LogLine(100.2, "h1", "request", {**REQUEST.fields, "name": "aa-bb"})


@pytest.mark.parametrize(
    ("line", "shown"),
    [
        (LogLine(100.3, "h2", "upstream crashed", {"open": ["cc-dd", "aa-bb"]}), True),
        (LogLine(100.3, "h2", "upstream crashed", {"open": ["cc-dd"]}), False),
        (LogLine(20.0, "h2", "request quarantined", {"name": "aa-bb", "crashes": ["d7"]}), True),
        (LogLine(20.0, "h2", "request acquitted", {"name": "aa-bb"}), True),
        (LogLine(20.0, "h2", "request quarantined", {"name": "cc-dd"}), False),
        (LogLine(102.0, "h2", "request quarantined", {"name": "aa-bb"}), False),
    ],
)  # fmt: skip
def test_crash_events_of_the_request_are_shown_however_old_they_are(line, shown):
    timeline = explain_request([NAMED, line], "r1")
    assert len(timeline) == 5 + shown


@pytest.mark.parametrize(
    ("charge", "shown"),
    [
        ({"decided_by": "h2", "missing": 17}, "cost 550, decided by h2, over by 17)"),
        ({"decided_by": "h2", "missing": 0}, "cost 550, decided by h2)"),
        (
            {"decided_by": "h2", "missing": 0, "given_back": True},
            "cost 550, decided by h2, given back)",
        ),
        ({"decided_by": "", "missing": 0}, "cost 550)"),
    ],
    ids=["refused", "charged", "given back", "quota just taken away"],
)
def test_the_charge_to_a_quota_is_shown(charge, shown):
    # Guards against a refusal whose decision cannot be traced to a host.
    quota = {"workspace": "club", "cost": 550, **charge}
    request = LogLine(100.2, "h1", "request", {**REQUEST.fields, "quota": quota})
    silent = LogLine(99.0, "h1", "quota counter silent", {"keeper": "h3"})
    timeline = explain_request([request, silent], "r1")
    assert timeline[-1].endswith(f"quota of club: {shown}")
    assert "quota counter silent" in timeline[0]


def test_the_timeline_is_sorted_and_starts_at_the_arrival():
    early = LogLine(99.0, "h3", "instance left out", {"instance": "d1"})
    timeline = explain_request([REQUEST, early], "r1")
    assert [line.split()[0] for line in timeline] == [
        "-1.000", "+0.000", "+0.005", "+0.150", "+0.190", "+0.200",
    ]  # fmt: skip
    assert "by h2" in timeline[2]
    assert "ends with ANSWER_LOST" in timeline[-1]


def write_logs(folder):
    (folder / "h1").mkdir()
    line = {"time": REQUEST.time, "host": "h1", "event": "request", **REQUEST.fields}
    lines = [b"no line of a gateway", b'{"time": "x"}', b"[]", orjson.dumps(line)]
    (folder / "h1" / "out.log").write_bytes(b"\n".join(lines))


def test_lines_are_read_from_all_files_and_other_content_is_skipped(tmp_path):
    write_logs(tmp_path)
    assert list(read_log_lines(tmp_path)) == [REQUEST]


def test_the_command_prints_the_timeline_or_reports_an_unknown_request(tmp_path, capsys):
    write_logs(tmp_path)
    Ctl().explain_request("r1", str(tmp_path))
    assert "decoder d1 failed: reset" in capsys.readouterr().out
    with pytest.raises(NotFoundError, match="lines_dropped"):
        Ctl().explain_request("r9", str(tmp_path))
