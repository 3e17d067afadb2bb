"""Calls that must not run twice, repeated with their request id at the same or another entry."""

import pytest
import yaml

from bench.fleetfile import KEY, make_resources
from swifttrestle_standins.caller import call_service
from swifttrestle_standins.fleet import Fleet, wait_until


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    folder = tmp_path_factory.mktemp("claims")
    with Fleet(folder) as started:
        started.add_platform()
        service = started.add_service("s1")
        started.add_controller("c1", "h1", "a")
        for name in ("n1", "n2"):
            started.add_entry(name, f"h-{name}", "a")
        resources = make_resources({})
        for claim in ("entry", "platform"):
            spec = {"type": "plain", "repeatable": False, "claim": claim}
            resources.append({"kind": "Service", "name": f"by-{claim}", "spec": spec})
        spec = {"type": "plain", "address": service.addresses["listen"], "zone": "a",
                "services": ["by-entry", "by-platform"]}  # fmt: skip
        resources.append({"kind": "Upstream", "name": "s1", "spec": spec})
        file = folder / "declared.yaml"
        file.write_text(yaml.safe_dump_all(resources))
        done = started.ctl("apply", str(file), "--wait=30")
        assert done.returncode == 0, done.stderr
        yield started


def send(fleet, entry, service, request_id):
    address = fleet.members[entry].addresses["listen"]
    return call_service(address, KEY, service, {"x": 1}, {"X-Request-Id": request_id})


def count_runs(fleet, request_id):
    return sum(1 for run in fleet.records("s1")["runs"] if run["id"] == request_id)


@pytest.mark.parametrize(
    ("service", "entries", "runs"),
    [
        ("by-entry", ("n1", "n1"), 1),
        ("by-platform", ("n1", "n1"), 1),
        ("by-platform", ("n1", "n2"), 1),
        # An entry's memory does not cover other entries; see docs/API.md.
        ("by-entry", ("n1", "n2"), 2),
    ],
)
def test_a_repeated_call_runs_as_often_as_the_claim_setting_allows(fleet, service, entries, runs):
    request_id = f"{service}-{'-'.join(entries)}"
    first = send(fleet, entries[0], service, request_id)
    second = send(fleet, entries[1], service, request_id)
    assert first.whole
    assert count_runs(fleet, request_id) == runs
    if runs == 1:
        assert second.error["code"] == 1016


def test_a_call_whose_claim_cannot_be_written_is_refused_and_can_be_retried(fleet):
    fleet.set_fault("platform", down=True)
    refused = send(fleet, "n1", "by-platform", "in-outage")
    assert refused.error["code"] == 1017
    assert refused.error["ran"] == "not run"
    fleet.set_fault("platform", down=False)
    succeeded = wait_until(lambda: send(fleet, "n1", "by-platform", "in-outage").whole)
    assert succeeded
    assert count_runs(fleet, "in-outage") == 1


def test_a_call_whose_claim_got_no_answer_runs_at_most_once(fleet):
    fleet.set_fault("platform", lose_answers=1)
    first = send(fleet, "n1", "by-platform", "lost-claim")
    fleet.set_fault("platform", lose_answers=0)
    second = send(fleet, "n2", "by-platform", "lost-claim")
    assert first.whole or second.error["code"] == 1016
    assert count_runs(fleet, "lost-claim") <= 1


@pytest.mark.parametrize("service", ["by-entry", "by-platform"])
def test_a_refused_call_can_be_retried_under_its_id(fleet, service):
    fleet.set_fault("s1", busy=True)
    refused = send(fleet, "n1", service, f"busy-{service}")
    assert refused.error["ran"] == "not run"
    fleet.set_fault("s1", busy=False)
    assert wait_until(lambda: send(fleet, "n1", service, f"busy-{service}").whole, 15)
    assert count_runs(fleet, f"busy-{service}") == 1
