"""Quotas of workspaces at running entries: refusals, changes, and what operators see."""

import hashlib
import time

import pytest
import yaml

from bench.fleetfile import KEY, declare_fleet
from swifttrestle_standins.caller import ask
from swifttrestle_standins.fleet import Fleet, wait_until

LIMITED_KEY = "key-of-limited"
ENTRIES = ("n1", "n2")
# Tokens of the workspace over both entries. A request costs 20 to 40 and takes under half a second,
# so that one caller at an entry exceeds its share.
RATE, BURST = 40, 120


def declare(fleet, quota):
    """Apply the limited workspace and wait until it is in force at both entries."""
    digest = hashlib.sha256(LIMITED_KEY.encode()).hexdigest()
    spec = {"key_sha256": [digest], "quota": quota}
    file = fleet.folder / "limited.yaml"
    file.write_text(yaml.safe_dump({"kind": "Workspace", "name": "limited", "spec": spec}))
    done = fleet.ctl("apply", str(file), "--wait=30")
    assert done.returncode == 0, done.stderr


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("live_quotas")
    with Fleet(folder) as started:
        started.add_platform()
        engine = started.add_engine("e1", fencing="checked")
        started.add_controller("c1", "h1", "a")
        for name in ENTRIES:
            started.add_entry(name, "h1", "a")
        declare_fleet(started, folder, {"e1": engine.addresses["listen"]})
        for name in ENTRIES:
            wait_until(lambda name=name: started.dump(name)["upstreams"]["e1"]["holding"])
        yield started


@pytest.fixture
def limited(fleet):
    declare(fleet, {"rate_per_s": RATE, "burst": BURST, "unit": "tokens"})
    wait_until(lambda: all(see(fleet, name)["available"] == BURST / 2 for name in ENTRIES))
    return fleet


def see(fleet, entry):
    return fleet.dump(entry)["quotas"]["limited"]


def call(fleet, entry, key=LIMITED_KEY):
    return ask(fleet.members[entry].addresses["listen"], key, "chat", "one two three")


def call_until_refused(fleet, entry):
    """Send requests one after another; return the answers, the last of which is a refusal."""
    answers = [call(fleet, entry)]
    while answers[-1].whole and len(answers) < 20:
        answers.append(call(fleet, entry))
    return answers


def count_runs(fleet):
    return len(fleet.records("e1")["runs"])


def test_a_request_over_the_quota_is_refused_at_once_and_not_run(limited):
    answers = [answer for entry in ENTRIES for answer in call_until_refused(limited, entry)]
    refused = [answer for answer in answers if not answer.whole]
    assert len(refused) == len(ENTRIES)
    for answer in refused:
        assert (answer.status, answer.error["code"]) == (429, 1023)
        assert answer.error["ran"] == "not run"
        assert answer.total < 1
    runs = count_runs(limited)
    assert call(limited, "n1").status in (200, 429)
    assert call(limited, "n1", KEY).whole
    assert count_runs(limited) >= runs + 1


def test_a_refused_request_is_served_after_its_retry_after(limited):
    refused = call_until_refused(limited, "n1")[-1]
    time.sleep(float(refused.headers["Retry-After"]))
    assert call(limited, "n1").whole


def test_operators_see_the_quota_at_each_entry_and_in_status(limited):
    for entry in ENTRIES:
        call_until_refused(limited, entry)
        seen = see(limited, entry)
        assert (seen["rate_per_s"], seen["entries"]) == (RATE, len(ENTRIES))
        assert seen["admitted"] > 0
        assert seen["refused"] > 0
        address = limited.members[entry].addresses["ops"]
        page = limited.client.request("GET", f"http://{address}/metrics").data.decode()
        for name in ("quota_admitted_tokens_total", "quota_refused_total"):
            assert f'swifttrestle_{name}{{workspace="limited"}}' in page

    def shows_both():
        return "reported by n1, n2" in limited.ctl("status").stdout

    wait_until(shows_both, 30, "both entries in status")
    line = f"quota limited: {RATE} tokens a second, burst {BURST}; in 8 s"
    assert line in limited.ctl("status").stdout


@pytest.mark.parametrize(
    ("quota", "served"),
    [
        ({"rate_per_s": 1, "burst": 1, "unit": "tokens"}, False),
        ({"rate_per_s": 10_000, "burst": 10_000, "unit": "tokens"}, True),
        ({"rate_per_s": 100, "unit": "requests"}, True),
        (None, True),
    ],
    ids=["lowered", "raised", "other unit", "taken away"],
)
def test_a_changed_quota_is_in_force_without_a_restart(limited, quota, served):
    call_until_refused(limited, "n1")
    declare(limited, quota)
    # What a lowered quota had accrued before is spent by the first requests.
    first_answers = [call(limited, "n1").whole for _ in range(8)]
    assert all(first_answers[-3:]) == served
    assert any(first_answers[-3:]) == served


def test_a_missing_quota_is_no_longer_reported(limited):
    wait_until(lambda: "quota limited" in limited.ctl("status").stdout)
    declare(limited, None)
    assert "quota" not in limited.ctl("status").stdout
    assert all(limited.dump(entry)["quotas"] == {} for entry in ENTRIES)


def test_an_invalid_quota_changes_nothing(limited):
    file = limited.folder / "invalid.yaml"
    spec = {"key_sha256": ["0" * 64], "quota": {"rate_per_s": -5, "unit": "words"}}
    file.write_text(yaml.safe_dump({"kind": "Workspace", "name": "limited", "spec": spec}))
    done = limited.ctl("apply", str(file))
    assert done.returncode == 1
    assert "quota.rate_per_s: -5 is out of range" in done.stderr
    assert "quota.unit: 'words' is not a choice" in done.stderr
    assert see(limited, "n1")["rate_per_s"] == RATE
