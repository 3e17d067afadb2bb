"""`make demo`: the main job on embedded stand-ins, from declared resources to answers.

Exits with 1 when an answer is short or wrong. With --serve it stays up until Ctrl-C.
"""

import hashlib
import sys
import tempfile
import threading
from pathlib import Path

import fire
import yaml

from swifttrestle_standins.caller import ask, call_service
from swifttrestle_standins.fleet import Fleet, wait_until
from swifttrestle_standins.words import Question, make_answer

KEY = "demo-key-of-the-fan-app"
ZONES = ("hall-a", "hall-b")
TOKENS = 24


def say(line: str) -> None:
    """Print one line of the demo."""
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def start_fleet(fleet: Fleet) -> list[dict]:
    """Start stand-ins, controllers and entries; return the resources to declare."""
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
    """Call each entry, streamed and whole, and print each answer; return whether all are right."""
    good = True
    for zone in ZONES:
        address = fleet.members[f"entry-{zone}"].addresses["listen"]
        for stream in (True, False):
            prompt = f"who scored in {zone}?"
            wanted = make_answer(Question("small", "v1", "", f"user: {prompt}"), TOKENS)
            answer = ask(address, KEY, "chat", prompt, max_tokens=TOKENS, stream=stream)
            right = answer.whole and answer.text == wanted
            say(f"{zone} chat stream={stream}: {'right' if right else 'WRONG'}: {answer.text}")
            good = good and right
        answer = call_service(address, KEY, "alerts", {"goal": zone})
        right = answer.whole and f'"goal": "{zone}"' in answer.text
        say(f"{zone} alert: {'right' if right else 'WRONG'}: {answer.text or answer.error}")
        good = good and right
    return good


def run(serve: bool = False) -> None:
    """Run the demo; --serve keeps everything up afterwards."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        resources = start_fleet(fleet)
        file = Path(folder) / "resources.yaml"
        file.write_text(yaml.safe_dump_all(resources))
        applied = fleet.ctl("apply", str(file), "--wait=30")
        say(applied.stdout + applied.stderr)
        for zone in ZONES:
            wait_until(lambda zone=zone: _is_loaded(fleet, zone), what="the model order")
        good = run_calls(fleet)
        say(fleet.ctl("status").stdout)
        if serve:
            _stay_up(fleet)
    if not good:
        sys.exit(1)


def _is_loaded(fleet: Fleet, zone: str) -> bool:
    """Whether the entry of a zone has learned of both engines' models."""
    reports = fleet.dump(f"entry-{zone}")["upstreams"]
    known = [reports.get(f"engine-{each}", {}).get("holding") for each in ZONES]
    return all(held == "small@v1" for held in known)


def _stay_up(fleet: Fleet) -> None:
    for name, started in fleet.members.items():
        say(f"{name}: {started.addresses}")
    say(f"key of the workspace fan-app: {KEY}")
    say("running; Ctrl-C ends it")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        say("ending")


if __name__ == "__main__":
    fire.Fire(run)
