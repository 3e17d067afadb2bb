"""`make demo`: declares resources and serves requests on stand-ins.

Exits with status 1 if an answer is incomplete or wrong. With --serve it runs until Ctrl-C.
"""

import hashlib
import sys
import tempfile
import threading
from pathlib import Path

import fire
import yaml

from swifttrestle_standins.caller import ask, call_service
from swifttrestle_standins.expected_answers import GenerationInput, make_answer
from swifttrestle_standins.fleet import Fleet, wait_until

KEY = "demo-key-of-the-fan-app"
ZONES = ("hall-a", "hall-b")
TOKENS = 24


def print_line(line: str) -> None:
    """Write one line to standard output and flush it."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def start_fleet(fleet: Fleet) -> list[dict]:
    """Start stand-ins, controllers and entries; return the resources that describe them."""
    fleet.add_platform()
    resources = [
        {"kind": "Workspace", "name": "fan-app",
         "spec": {"key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}},
        {"kind": "Model", "name": "small", "spec": {"versions": ["v1"], "version": "v1"}},
        {"kind": "Service", "name": "chat", "spec": {"type": "model", "model": "small"}},
        {"kind": "Service", "name": "alerts",
         "spec": {"type": "plain", "priority": "urgent", "repeatable": False,
                  "deadline_ms": 2000}},
    ]  # fmt: skip
    for zone in ZONES:
        engine = fleet.add_engine(f"engine-{zone}", fencing="checked")
        service = fleet.add_service(f"alerts-{zone}")
        resources += [
            {"kind": "Upstream", "name": f"engine-{zone}",
             "spec": {"type": "engine", "address": engine.addresses["listen"], "zone": zone,
                      "model": "small", "fencing": "checked"}},
            {"kind": "Upstream", "name": f"alerts-{zone}",
             "spec": {"type": "plain", "address": service.addresses["listen"], "zone": zone,
                      "services": ["alerts"]}},
        ]  # fmt: skip
        host = f"host-{zone}"
        fleet.set_hosts(**{host.replace("-", "_"): {"zone": zone, "state": "live"}})
        fleet.add_controller(f"controller-{zone}", host, zone)
        fleet.add_entry(f"entry-{zone}", host, zone)
    return resources


def run_calls(fleet: Fleet) -> bool:
    """Send requests to each entry, streamed and not; return whether all answers are correct."""
    all_correct = True
    for zone in ZONES:
        address = fleet.members[f"entry-{zone}"].addresses["listen"]
        for stream in (True, False):
            prompt = f"who scored in {zone}?"
            expected = make_answer(GenerationInput("small", "v1", "", f"user: {prompt}"), TOKENS)
            answer = ask(address, KEY, "chat", prompt, max_tokens=TOKENS, stream=stream)
            is_correct = answer.whole and answer.text == expected
            print_line(
                f"{zone} chat stream={stream}: {'right' if is_correct else 'WRONG'}: {answer.text}"
            )
            all_correct = all_correct and is_correct
        answer = call_service(address, KEY, "alerts", {"goal": zone})
        is_correct = answer.whole and f'"goal": "{zone}"' in answer.text
        print_line(
            f"{zone} alert: {'right' if is_correct else 'WRONG'}: {answer.text or answer.error}"
        )
        all_correct = all_correct and is_correct
    return all_correct


def run(serve: bool = False) -> None:
    """Run the demo; --serve keeps all processes running afterwards."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        resources = start_fleet(fleet)
        file = Path(folder) / "resources.yaml"
        file.write_text(yaml.safe_dump_all(resources))
        applied = fleet.ctl("apply", str(file), "--wait=30")
        print_line(applied.stdout + applied.stderr)
        for zone in ZONES:
            wait_until(lambda zone=zone: _is_loaded(fleet, zone), what="the model order")
        all_correct = run_calls(fleet)
        print_line(fleet.ctl("status").stdout)
        if serve:
            _serve_until_interrupted(fleet)
    if not all_correct:
        sys.exit(1)


def _is_loaded(fleet: Fleet, zone: str) -> bool:
    """Return whether the entry of a zone knows the models of both engines."""
    reports = fleet.dump(f"entry-{zone}")["upstreams"]
    known = [reports.get(f"engine-{each}", {}).get("holding") for each in ZONES]
    return all(held == "small@v1" for held in known)


def _serve_until_interrupted(fleet: Fleet) -> None:
    for name, started in fleet.members.items():
        print_line(f"{name}: {started.addresses}")
    print_line(f"key of the workspace fan-app: {KEY}")
    print_line("running; press Ctrl-C to stop")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print_line("stopping")


if __name__ == "__main__":
    fire.Fire(run)
