"""The scenario language: a text file per scenario, one step per line.

    start platform|engine|service|entry|controller NAME [flag=value ...]
    declare [policy-field=value ...]       resources for everything started so far, in force
    load NAME [service= count= tokens= entries= pace= retry= header:X=value
              disconnect_after_tokens=]
    when CONDITION [seconds=N]             waits until the condition holds
    fault STANDIN key=value ...            sets faults through the stand-in's admin port
    signal PROCESS KILL|STOP|CONT|TERM     sends a signal
    restart PROCESS                        starts an ended process with the same flags
    stop PROCESS                           stops gracefully; the exit status must be 0
    host NAME off                          removes a host from the platform's list
    ctl ARG ... [! TEXT]                   must succeed, or with '!' fail and print the text
    edit KIND NAME field=value ...         writes a raw object, bypassing swifttrestle-ctl
    save KIND NAME as=FILE                 saves a resource to a file, with its version
    change FILE field=value ...            edits a saved file
    apply FILE [ARG ...]                   applies a saved file
    mark NAME ENGINE                       records the number of runs of an engine
    expect CONDITION                       must hold now

Conditions are the `is_...` methods of `Scenario`: a name, then arguments. At the end of every
scenario all loads are joined and all invariants are checked on the stand-ins' records.
"""

import contextlib
import shlex
import signal
import threading
import time
from pathlib import Path

import yaml
from urllib3.exceptions import ProtocolError

from bench.fleetfile import KEY, make_resources
from swifttrestle_standins.fleet import Fleet, wait_until
from tests.common import invariants
from tests.common.load import Load

WAIT_SECONDS = 60.0
SAMPLE_SECONDS = 0.1


def read_value(text):
    """Return the value of a flag, parsed as YAML."""
    return yaml.safe_load(text) if text else ""


def split_flags(words):
    """Split words into those without '=' and a dictionary of flags."""
    plain = [word for word in words if "=" not in word]
    pairs = (word.split("=", 1) for word in words if "=" in word)
    return plain, {key: read_value(value) for key, value in pairs}


class Scenario:
    """Runs one scenario file."""

    def __init__(self, folder: Path, programs: dict[str, str] | None = None) -> None:
        """Prepare a run; `programs` replaces the program of a kind of process."""
        self.programs = programs or {}
        self.fleet = Fleet(folder)
        self.folder = folder
        self.loads: dict[str, Load] = {}
        self.kinds: dict[str, str] = {}
        self.saved_runs: dict[str, list[dict]] = {}
        self.samples: dict[str, list[dict[str, int]]] = {}
        self.marks: dict[str, dict] = {}
        self.repeatable = False
        self._finished = threading.Event()

    def run(self, path: Path) -> None:
        """Run all steps, then check all invariants."""
        threading.Thread(target=self._sample_epochs, daemon=True).start()
        with self.fleet:
            for number, line in enumerate(path.read_text().splitlines(), 1):
                words = shlex.split(line, comments=True)
                if not words:
                    continue
                try:
                    getattr(self, f"do_{words[0]}")(*words[1:])
                except Exception as error:
                    raise AssertionError(
                        f"{path.name}:{number}: {line}\n{error!r}\n{self._tail_logs()}"
                    ) from error
            self._check_all()
        self._finished.set()

    # Steps.

    def do_start(self, kind, name, *words):
        _, flags = split_flags(words)
        zone = flags.pop("zone", "a")
        self.kinds[name] = kind
        if kind == "platform":
            self.fleet.add_platform(**flags)
        elif kind == "engine":
            self.fleet.add_engine(name, **flags)
        elif kind == "service":
            self.fleet.add_service(name)
        else:
            host = flags.pop("host", f"host-{name}")
            self.fleet.set_hosts(**{host.replace("-", "_"): {"zone": zone, "state": "live"}})
            if kind in self.programs and "program" not in flags:
                flags["program"] = self.programs[kind]
            getattr(self.fleet, f"add_{kind}")(name, host, zone, **flags)

    def do_declare(self, *words):
        _, policy = split_flags(words)
        self.repeatable = repeatable = policy.pop("alerts_repeatable", False)
        resources = make_resources({}, **policy)
        for name in self._list_names("engine"):
            started = self.fleet.members[name]
            spec = {
                "type": "engine",
                "address": started.addresses["listen"],
                "zone": "a",
                "model": "small",
                "fencing": started.flags.get("fencing", "ignored"),
            }
            resources.append({"kind": "Upstream", "name": name, "spec": spec})
        if self._list_names("service"):
            spec = {"type": "plain", "priority": "urgent", "repeatable": repeatable,
                    "deadline_ms": 5000}  # fmt: skip
            resources.append({"kind": "Service", "name": "alerts", "spec": spec})
        for name in self._list_names("service"):
            spec = {"type": "plain", "address": self.fleet.members[name].addresses["listen"],
                    "zone": "a", "services": ["alerts"]}  # fmt: skip
            resources.append({"kind": "Upstream", "name": name, "spec": spec})
        file = self.folder / "declared.yaml"
        file.write_text(yaml.safe_dump_all(resources))
        self.do_ctl("apply", str(file), "--wait=40")
        for entry in self._list_names("entry"):
            wait_until(lambda entry=entry: self.is_ready(entry), WAIT_SECONDS, f"{entry} ready")

    def do_load(self, name, *words):
        _, flags = split_flags(words)
        entries = flags.get("entries", ",".join(self._list_names("entry"))).split(",")
        headers = {k[7:]: str(v) for k, v in flags.items() if k.startswith("header:")}
        self.loads[name] = Load(
            KEY,
            [self.fleet.members[entry].addresses["listen"] for entry in entries],
            flags.get("service", "chat"),
            flags.get("count", 1),
            flags.get("tokens", 20),
            headers,
            flags.get("pace", 0.0),
            flags.get("retry", False),
            flags.get("disconnect_after_tokens", -1),
        )
        self.loads[name].start()

    def do_when(self, condition, *words):
        plain, flags = split_flags(words)
        seconds = flags.pop("seconds", WAIT_SECONDS)
        check = getattr(self, f"is_{condition}")
        wait_until(lambda: check(*plain, **flags), seconds, f"{condition} {words}")

    def do_expect(self, condition, *words):
        plain, flags = split_flags(words)
        assert getattr(self, f"is_{condition}")(*plain, **flags), f"{condition} {words}"

    def do_fault(self, name, *words):
        _, flags = split_flags(words)
        self.fleet.set_fault(name, **flags)

    def do_signal(self, name, number):
        if number == "KILL":
            self._save_runs(name)
        self.fleet.members[name].signal(getattr(signal, f"SIG{number}"))
        if number == "KILL":
            self.fleet.members[name].process.wait()

    def do_restart(self, name):
        started = self.fleet.members[name]
        wait_until(lambda: not started.running, 30, f"the end of {name}")
        started.start()

    def do_stop(self, name):
        self._save_runs(name)
        assert self.fleet.members[name].stop() == 0

    def do_host(self, name, _off):
        self.fleet.set_hosts(**{name.replace("-", "_"): None})

    def do_ctl(self, *words):
        if "!" in words:
            at = words.index("!")
            done = self.fleet.ctl(*words[:at])
            assert done.returncode != 0, done.stdout
            assert " ".join(words[at + 1 :]) in done.stderr, done.stderr
            return
        done = self.fleet.ctl(*words)
        assert done.returncode == 0, done.stdout + done.stderr

    def do_edit(self, kind, name, *words):
        _, flags = split_flags(words)
        platform = self.fleet.members["platform"].addresses["listen"]
        path = f"/api/v1/objects/{kind}/{name}"
        stored = self.fleet.call("GET", platform, path)
        spec = {k: v for k, v in stored.get("spec", {}).items() if k != "nonce"} | flags
        body = {"spec": spec, "version": stored.get("version", 0)}
        with contextlib.suppress(ProtocolError):
            # If the answer is lost, the write may have been applied; the read below decides.
            self.fleet.call("PUT", platform, path, body)
        assert self.fleet.call("GET", platform, path)["spec"] == spec

    def do_save(self, kind, name, *words):
        """Save a resource to a file, with the version that was read."""
        _, flags = split_flags(words)
        text = self.fleet.ctl("get", kind, name, "--output=yaml").stdout
        (self.folder / f"{flags['as']}.yaml").write_text(text)

    def do_change(self, file, *words):
        """Edit a saved file."""
        path = self.folder / f"{file}.yaml"
        document = yaml.safe_load(path.read_text())
        document["spec"] |= split_flags(words)[1]
        path.write_text(yaml.safe_dump(document))

    def do_apply(self, file, *words):
        self.do_ctl("apply", str(self.folder / f"{file}.yaml"), *words)

    def do_mark(self, name, engine):
        """Record the current number of runs of an engine."""
        self.marks[name] = {"engine": engine, "runs": len(self._runs(engine))}

    # Conditions.

    def is_ready(self, entry):
        """Whether the entry knows the model of every engine."""
        views = self.fleet.dump(entry)["upstreams"]
        return all(views.get(name, {}).get("holding") for name in self._list_names("engine"))

    def is_streaming(self, load, tokens=1):
        """Whether every call of a load has been sent that many tokens by an engine."""
        sent = {}
        for engine in self._list_names("engine"):
            if self.fleet.members[engine].running:
                for run in self._runs(engine):
                    sent[run["digest"]] = max(run["sent"], sent.get(run["digest"], 0))
        calls = self.loads[load].calls
        return all(max(sent.get(d, 0) for d in call.digests) >= tokens for call in calls)

    def is_running(self, count):
        """Whether exactly `count` engine processes run."""
        running = [name for name in self._list_names("engine") if self.fleet.members[name].running]
        return len(running) == int(count)

    def is_ended(self, load):
        return not any(thread.is_alive() for thread in self.loads[load].threads)

    def is_whole(self, load, least=-1):
        """Check that all calls of a load, or at least `least`, got their correct answers."""
        self.loads[load].join()
        calls = self.loads[load].calls
        correct = sum(call.is_correct(("v1", "v2")) for call in calls)
        wanted = len(calls) if least < 0 else least
        assert correct >= wanted, [c.answer for c in calls if not c.is_correct(("v1", "v2"))][:3]
        return True

    def is_refused(self, load, code, least=-1):
        """Check that all calls of a load, or at least `least`, were refused with a code."""
        self.loads[load].join()
        codes = [call.answer.error.get("name") for call in self.loads[load].calls]
        wanted = len(codes) if least < 0 else least
        assert codes.count(code) >= wanted, codes
        return True

    def is_holding(self, engine, version):
        return self._state(engine).get("version") == version and not self._state(engine)["changing"]

    def is_in_role(self, engine, role):
        state = self._state(engine)
        return state["role"] == role and not state["changing"]

    def is_prefilled(self, engine, least=1):
        """Whether an engine has prefilled for other engines at least `least` times."""
        ends = [run["end"] for run in self._runs(engine)]
        return ends.count("prefilled") >= least

    def is_idle(self, engine):
        return self._state(engine)["active"] == 0

    def is_unused_since(self, mark):
        """Whether the engine of a mark has had no new run since."""
        recorded = self.marks[mark]
        return len(self._runs(recorded["engine"])) == recorded["runs"]

    def is_stage(self, engine, stage):
        return self._order(engine).get("stage") == stage

    def is_held(self, lease, by="", after=0):
        """Whether a lease is held (by the process `by`, if given) with a token above `after`."""
        spec = self._object("Lease", lease)
        holder = spec.get("holder", {}).get("name")
        return bool(holder) and holder == (by or holder) and spec["token"] > after

    def is_log(self, name, text):
        """Whether the log of a process contains a text."""
        return text in self.fleet.members[name].log.read_text()

    def is_order_refused(self, engine):
        """Whether an engine refused an order other than one that only raises its token."""
        orders = self.fleet.records(engine)["orders"]
        return any(o["effect"] == "refused" and o["action"] == "hold" for o in orders)

    def is_ordered_by_term(self, engine, term):
        """Whether an engine got an order of a lease's term that does more than raise its token."""
        orders = self.fleet.records(engine)["orders"]
        return any(o["action"] == "hold" and o["token"] >> 20 == int(term) for o in orders)

    def is_spec(self, kind, name, **fields):
        spec = self._object(kind, name)
        return all(spec.get(key) == value for key, value in fields.items())

    def is_former(self, lease, name):
        former = self._object("Lease", lease).get("former", [])
        return name in [holder["name"] for holder in former]

    def is_order_open(self, engine):
        return self._order(engine).get("stage") in ("closing", "sent")

    def is_in_force(self, entry, shard, epoch):
        return self.fleet.dump(entry)["epochs"].get(shard, 0) >= epoch

    def is_closed(self, entry, upstream):
        return self.fleet.dump(entry)["upstreams"][upstream]["closed"]

    def is_cancelled(self, engine):
        ends = {run["end"] for run in self._runs(engine)}
        return bool(ends & {"cancelled", "caller gone"})

    def is_counted(self, process, counter, least=1):
        counters = self.fleet.dump(process)["counters"]
        return sum(v for k, v in counters.items() if k.startswith(counter)) >= least

    def is_in_status(self, text):
        """Whether the output of `swifttrestle-ctl status` contains a text."""
        return text in self.fleet.ctl("status").stdout

    def is_settled(self, seconds, since=None):
        """Whether `seconds` have passed since the step began."""
        key = f"settle-{seconds}"
        self.marks.setdefault(key, {"at": time.monotonic()})
        if time.monotonic() - self.marks[key]["at"] < float(seconds):
            return False
        del self.marks[key]
        return True

    def is_calls_below(self, limit):
        """Whether the platform got fewer calls than `limit` since the previous check."""
        calls = sum(self.fleet.records("platform")["calls"].values())
        before = self.marks.get("calls", {"n": 0})["n"]
        self.marks["calls"] = {"n": calls}
        return calls - before < float(limit)

    # Helpers.

    def _list_names(self, kind):
        return [name for name, found in self.kinds.items() if found == kind]

    def _object(self, kind, name):
        platform = self.fleet.members["platform"].addresses["listen"]
        stored = self.fleet.call("GET", platform, f"/api/v1/objects/{kind}/{name}")
        return stored.get("spec", {})

    def _order(self, engine):
        return self._object("EngineOrder", engine)

    def _state(self, engine):
        return self.fleet.call("GET", self.fleet.members[engine].addresses["listen"], "/state")

    def _runs(self, name):
        records = self.fleet.records(name) if self.fleet.members[name].running else {"runs": []}
        return self.saved_runs.get(name, []) + records["runs"]

    def _save_runs(self, name):
        """Save the runs of a stand-in before its process ends."""
        if self.kinds[name] in ("engine", "service"):
            self.saved_runs[name] = self._runs(name)

    def _sample_epochs(self):
        while not self._finished.wait(SAMPLE_SECONDS):
            for name, kind in list(self.kinds.items()):
                started = self.fleet.members.get(name)
                if kind not in ("entry", "controller") or started is None:
                    continue
                try:
                    epochs = self.fleet.dump(name)["epochs"]
                except Exception:
                    continue
                self.samples.setdefault(name, []).append(epochs)

    def _check_all(self):
        for load in self.loads.values():
            load.join()
        runs = [
            r
            for kind in ("engine", "service")
            for n in self._list_names(kind)
            for r in self._runs(n)
        ]
        invariants.check_answers(self.loads, ("v1", "v2"))
        invariants.check_not_run(self.loads, runs)
        if not self.repeatable:
            invariants.check_once(self.loads, runs)
        for engine in self._list_names("engine"):
            if self.fleet.members[engine].running:
                checked = self.fleet.members[engine].flags.get("fencing") == "checked"
                invariants.check_orders(engine, self.fleet.records(engine)["orders"], checked)
        invariants.check_epochs_written(self.fleet.records("platform")["history"])
        invariants.check_epochs_seen(self.samples)

    def _tail_logs(self):
        return "\n".join(
            f"--- {name}\n{started.log.read_text()[-1500:]}"
            for name, started in self.fleet.members.items()
            if started.log.exists()
        )
