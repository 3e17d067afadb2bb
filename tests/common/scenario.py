"""The small test language: one text file a scenario, one step a line.

    start platform|engine|service|entry|controller NAME [flag=value ...]
    declare [policy-field=value ...]       resources for everything started so far, in force
    load NAME [service= count= tokens= entries= pace= again= hang_up= header:X=value]
    when CONDITION [seconds=N]             waits on an event
    fault STANDIN key=value ...            through the stand-in's admin port
    signal PROCESS KILL|STOP|CONT|TERM     from outside
    restart PROCESS                        with the same flags
    stop PROCESS                           as planned; it must end with status 0
    host NAME off                          takes a host off the platform's list
    ctl ARG ... [! TEXT]                   must succeed, or with '!' fail and say the text
    edit KIND NAME field=value ...         writes a raw object, as an operator with a bad tool
    expect CONDITION                       must hold now

Conditions are the `is_...` methods of `Scenario`: a name, then arguments. Every scenario
ends with all loads ended and all invariants checked against the stand-ins' records.
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
    """Return a flag's value, read as YAML."""
    return yaml.safe_load(text) if text else ""


def split_flags(words):
    """Return the words without '=' and the flags with their values."""
    plain = [word for word in words if "=" not in word]
    pairs = (word.split("=", 1) for word in words if "=" in word)
    return plain, {key: read_value(value) for key, value in pairs}


class Scenario:
    """Runs one scenario file."""

    def __init__(self, folder: Path, programs: dict[str, str] | None = None) -> None:
        """Keep files in a folder; `programs` replaces the program of a kind of process."""
        self.programs = programs or {}
        self.fleet = Fleet(folder)
        self.folder = folder
        self.loads: dict[str, Load] = {}
        self.kinds: dict[str, str] = {}
        self.past: dict[str, list[dict]] = {}
        self.samples: dict[str, list[dict[str, int]]] = {}
        self.marks: dict[str, dict] = {}
        self.repeatable = False
        self._ended = threading.Event()

    def run(self, path: Path) -> None:
        """Run every step, then check every invariant."""
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
        self._ended.set()

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
        for name in self._named("engine"):
            started = self.fleet.members[name]
            spec = {
                "type": "engine",
                "address": started.addresses["listen"],
                "zone": "a",
                "model": "small",
                "fencing": started.flags.get("fencing", "ignored"),
            }
            resources.append({"kind": "Upstream", "name": name, "spec": spec})
        if self._named("service"):
            spec = {"type": "plain", "priority": "urgent", "repeatable": repeatable,
                    "deadline_ms": 5000}  # fmt: skip
            resources.append({"kind": "Service", "name": "alerts", "spec": spec})
        for name in self._named("service"):
            spec = {"type": "plain", "address": self.fleet.members[name].addresses["listen"],
                    "zone": "a", "services": ["alerts"]}  # fmt: skip
            resources.append({"kind": "Upstream", "name": name, "spec": spec})
        file = self.folder / "declared.yaml"
        file.write_text(yaml.safe_dump_all(resources))
        self.do_ctl("apply", str(file), "--wait=40")
        for entry in self._named("entry"):
            wait_until(lambda entry=entry: self.is_ready(entry), WAIT_SECONDS, f"{entry} ready")

    def do_load(self, name, *words):
        _, flags = split_flags(words)
        entries = flags.get("entries", ",".join(self._named("entry"))).split(",")
        headers = {k[7:]: str(v) for k, v in flags.items() if k.startswith("header:")}
        self.loads[name] = Load(
            KEY,
            [self.fleet.members[entry].addresses["listen"] for entry in entries],
            flags.get("service", "chat"),
            flags.get("count", 1),
            flags.get("tokens", 20),
            headers,
            flags.get("pace", 0.0),
            flags.get("again", False),
            flags.get("hang_up", -1),
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
            self._keep_records(name)
        self.fleet.members[name].signal(getattr(signal, f"SIG{number}"))
        if number == "KILL":
            self.fleet.members[name].process.wait()

    def do_restart(self, name):
        started = self.fleet.members[name]
        wait_until(lambda: not started.running, 30, f"the end of {name}")
        # An entry that starts anew may only be seen at what was accepted, never older.
        started.start()

    def do_stop(self, name):
        self._keep_records(name)
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
            # A lost answer is no failure of the operator's write: what stands is looked at.
            self.fleet.call("PUT", platform, path, body)
        assert self.fleet.call("GET", platform, path)["spec"] == spec

    def do_save(self, kind, name, *words):
        """Save a resource as an operator's file, with the version it was read at."""
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
        """Remember how many runs an engine has now."""
        self.marks[name] = {"engine": engine, "runs": len(self._runs(engine))}

    # Conditions.

    def is_ready(self, entry):
        """Every engine's model is known to the entry."""
        views = self.fleet.dump(entry)["upstreams"]
        return all(views.get(name, {}).get("holding") for name in self._named("engine"))

    def is_streaming(self, load, tokens=1):
        """Every call of a load is open on an engine with that many tokens sent."""
        sent = {}
        for engine in self._named("engine"):
            if self.fleet.members[engine].running:
                for run in self._runs(engine):
                    sent[run["digest"]] = max(run["sent"], sent.get(run["digest"], 0))
        calls = self.loads[load].calls
        return all(max(sent.get(d, 0) for d in call.digests) >= tokens for call in calls)

    def is_running(self, count):
        """So many engines run."""
        running = [name for name in self._named("engine") if self.fleet.members[name].running]
        return len(running) == int(count)

    def is_ended(self, load):
        return not any(thread.is_alive() for thread in self.loads[load].threads)

    def is_whole(self, load, least=-1):
        """Every call of an ended load, or at least so many, has its right answer."""
        self.loads[load].join()
        calls = self.loads[load].calls
        right = sum(call.is_right(("v1", "v2")) for call in calls)
        wanted = len(calls) if least < 0 else least
        assert right >= wanted, [c.answer for c in calls if not c.is_right(("v1", "v2"))][:3]
        return True

    def is_refused(self, load, code, least=-1):
        """Every call of an ended load, or at least so many, was refused with a code."""
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
        """An engine has prefilled for others at least so many times."""
        ends = [run["end"] for run in self._runs(engine)]
        return ends.count("prefilled") >= least

    def is_idle(self, engine):
        return self._state(engine)["active"] == 0

    def is_unused_since(self, mark):
        """The engine of a mark got no new run since."""
        noted = self.marks[mark]
        return len(self._runs(noted["engine"])) == noted["runs"]

    def is_stage(self, engine, stage):
        return self._order(engine).get("stage") == stage

    def is_held(self, lease, by="", after=0):
        """A lease is held, by that process, under a token above `after`."""
        spec = self._object("Lease", lease)
        holder = spec.get("holder", {}).get("name")
        return bool(holder) and holder == (by or holder) and spec["token"] > after

    def is_log(self, name, text):
        """A process has logged a text."""
        return text in self.fleet.members[name].log.read_text()

    def is_order_refused(self, engine):
        """An engine refused an order, other than one that only raises its number."""
        orders = self.fleet.records(engine)["orders"]
        return any(o["effect"] == "refused" and o["action"] == "hold" for o in orders)

    def is_ordered_by_term(self, engine, term):
        """An engine took an order of a lease's term, other than one that raises its number."""
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

    def is_said(self, text):
        """The operators' status says a text."""
        return text in self.fleet.ctl("status").stdout

    def is_settled(self, seconds, since=None):
        """So much time has passed since the step began; for bounds that are times."""
        key = f"settle-{seconds}"
        self.marks.setdefault(key, {"at": time.monotonic()})
        if time.monotonic() - self.marks[key]["at"] < float(seconds):
            return False
        del self.marks[key]
        return True

    def is_calls_below(self, limit):
        """The platform was called fewer times than this since the last look."""
        calls = sum(self.fleet.records("platform")["calls"].values())
        before = self.marks.get("calls", {"n": 0})["n"]
        self.marks["calls"] = {"n": calls}
        return calls - before < float(limit)

    # Looking.

    def _named(self, kind):
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
        return self.past.get(name, []) + records["runs"]

    def _keep_records(self, name):
        """Keep what a stand-in knows before it is ended."""
        if self.kinds[name] in ("engine", "service"):
            self.past[name] = self._runs(name)

    def _sample_epochs(self):
        while not self._ended.wait(SAMPLE_SECONDS):
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
            r for kind in ("engine", "service") for n in self._named(kind) for r in self._runs(n)
        ]
        invariants.check_answers(self.loads, ("v1", "v2"))
        invariants.check_not_run(self.loads, runs)
        if not self.repeatable:
            invariants.check_once(self.loads, runs)
        for engine in self._named("engine"):
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
