"""Invalid input at the ports of running processes, and the output of the operators' tools."""

import json
import socket

import pytest

from bench.fleetfile import KEY, declare_fleet
from swifttrestle.internal.checks import parse_address
from swifttrestle_standins.caller import ask, send
from swifttrestle_standins.fleet import SECRET, Fleet, wait_until

CHAT = "/v1/chat/completions"
GOOD = {"model": "chat", "messages": [{"role": "user", "content": "hi"}]}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("live_entry")
    with Fleet(folder) as started:
        started.add_platform()
        engine = started.add_engine("e1", fencing="checked")
        started.add_controller("c1", "h1", "a")
        started.add_entry("n1", "h1", "a", max_body_bytes=20_000)
        declare_fleet(started, folder, {"e1": engine.addresses["listen"]})
        wait_until(lambda: started.dump("n1")["upstreams"]["e1"]["holding"])
        yield started


def serves_requests(fleet):
    answer = ask(fleet.members["n1"].addresses["listen"], KEY, "chat", "still there?")
    return answer.whole


@pytest.mark.parametrize(
    ("path", "key", "body", "headers", "status", "code"),
    [
        (CHAT, "wrong", GOOD, {}, 401, 1002),
        (CHAT, KEY, {**GOOD, "model": "no-such"}, {}, 404, 1003),
        (CHAT, KEY, b"{not json", {}, 400, 1001),
        (CHAT, KEY, b"\xff\xfe\x00", {}, 400, 1001),
        (CHAT, KEY, b"[" * 15_000, {}, 400, 1001),
        (CHAT, KEY, {**GOOD, "max_tokens": -1}, {}, 400, 1001),
        (CHAT, KEY, GOOD, {"X-Deadline-Ms": "soon"}, 400, 1005),
        (CHAT, KEY, GOOD, {"X-Request-Id": "a b\x01"}, 400, 1005),
        (CHAT, KEY, GOOD, {"X-Deadline-Ms": "10"}, 503, 1011),
        ("/nowhere", KEY, GOOD, {}, 400, 1001),
        ("/services/chat/x", KEY, GOOD, {}, 404, 1003),
    ],
)
def test_an_invalid_request_gets_its_result_code(  # noqa: PLR0917
    fleet, path, key, body, headers, status, code
):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    address = fleet.members["n1"].addresses["listen"]
    answer = send(address, path, key, raw, headers=headers)
    assert (answer.status, answer.error.get("code")) == (status, code), answer
    assert answer.error["ran"] == "not run"
    assert serves_requests(fleet)


@pytest.mark.parametrize("size", [25_000, 400_000])
def test_a_body_over_the_limit_is_refused(fleet, size):
    address = fleet.members["n1"].addresses["listen"]
    answer = send(address, CHAT, KEY, b"x" * size, headers={})
    assert answer.status == 413 or answer.lost
    assert serves_requests(fleet)


@pytest.mark.parametrize("noise", [b"", b"GET / HTTP/1.1\r\n\r\n", b"swt1" + b"\0" * 48])
def test_a_connection_without_the_secret_is_rejected_on_the_peer_port(fleet, noise):
    before = fleet.dump("n1")["counters"]
    with socket.create_connection(parse_address(fleet.members["n1"].addresses["peer"])) as sock:
        sock.sendall(noise)
        sock.shutdown(socket.SHUT_WR)
        sock.settimeout(10)
        while sock.recv(4096):
            pass

    def count_rejected(counters):
        return sum(v for k, v in counters.items() if k.startswith("peers_turned_away"))

    wait_until(lambda: count_rejected(fleet.dump("n1")["counters"]) > count_rejected(before))
    assert serves_requests(fleet)


def test_no_secret_is_in_dump_log_or_status(fleet):
    text = json.dumps(fleet.dump("n1")) + json.dumps(fleet.dump("c1")) + fleet.ctl("status").stdout
    text += fleet.members["n1"].log.read_text() + fleet.members["c1"].log.read_text()
    assert SECRET not in text
    assert KEY not in text


def test_the_metrics_page_has_counters_and_gauges(fleet):
    assert serves_requests(fleet)
    address = fleet.members["n1"].addresses["ops"]
    page = fleet.client.request("GET", f"http://{address}/metrics").data.decode()
    assert 'swifttrestle_accepted_total{service="chat"}' in page
    assert "swifttrestle_open_streams" in page


@pytest.mark.parametrize(
    ("args", "text"),
    [
        (("get", "Upstream"), "e1"),
        (("get", "Upstream", "e1", "--output=json"), '"fencing": "checked"'),
        (("get", "Service", "--output=yaml"), "kind: Service"),
        (("explain", "Upstream"), "fencing token"),
        (("explain",), "Drain:"),
        (("status",), "in force on 1 of 1 entries"),
        (("hash", "a-key"), "2a8a1240"),
    ],
)
def test_the_output_of_the_operators_program(fleet, args, text):
    done = fleet.ctl(*args)
    assert done.returncode == 0, done.stderr
    assert text in done.stdout
