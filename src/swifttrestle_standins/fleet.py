"""Starts the system's processes and the stand-ins on loopback, for demo, tests and benchmarks.

Addresses are picked once and kept across restarts. A controller that answers on the peer port of
an earlier one proves that the earlier one has ended.
"""

import itertools
import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from swifttrestle_standins.loopback import pick_ip, pick_port

SECRET = "demo-secret-of-loopback-only"
STOP_TIMEOUT_SECONDS = 30.0
# Number of the first loopback address of a fleet; gateways in the same process use lower numbers.
FIRST_IP_NUMBER = 100


def wait_until(check: Any, seconds: float = 60.0, what: str = "condition") -> Any:
    """Poll `check` and return its first true value; raise TimeoutError after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        threading.Event().wait(0.02)
    raise TimeoutError(f"{what} was not reached within {seconds:g} s")


@dataclass
class ManagedProcess:
    """One child process, its addresses and the flags it is started with."""

    name: str
    module: str
    flags: dict[str, Any]
    log: Path
    process: subprocess.Popen | None = None
    addresses: dict[str, str] = field(default_factory=dict)

    def start(self) -> None:
        """Start the process and wait until it prints its addresses."""
        module, _, function = self.module.partition(":")
        function = function or "main"
        command = [sys.executable, "-c", f"from {module} import {function}; {function}()"]
        command += [f"--{key}={value}" for key, value in self.flags.items()]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} did not start: {self.log.read_text()[-2000:]}")
        self.addresses = json.loads(line)

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        assert self.process is not None
        self.process.kill()
        self.process.wait()

    def stop(self) -> int:
        """Stop the process gracefully; return its exit status, or -1 if it had to be killed."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            return self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -1

    def process_id(self) -> int:
        """Return the id of the started process."""
        assert self.process is not None
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process has started and not ended."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """The processes of one run; a context manager that kills them on exit."""

    def __init__(self, folder: Path) -> None:
        """Create an empty fleet that writes logs and state files to `folder`."""
        self.folder = folder
        self.members: dict[str, ManagedProcess] = {}
        self._ip_numbers = itertools.count(FIRST_IP_NUMBER)
        # Connections are not reused: a call on one that the server closes as idle would fail.
        close = {"Connection": "close"}
        self.client = urllib3.PoolManager(retries=False, timeout=30, headers=close)

    def __enter__(self) -> "Fleet":
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all processes, in the reverse order of their start."""
        for started in reversed(self.members.values()):
            if started.running:
                started.kill()

    def add(self, name: str, module: str, flags: dict[str, Any]) -> ManagedProcess:
        """Start a process and register it under its name."""
        started = ManagedProcess(name, module, flags, self.folder / f"{name}.log")
        self.members[name] = started
        started.start()
        return started

    def pick_address(self) -> str:
        """Return an address on a new loopback IP, so that no other process can bind its port."""
        ip = pick_ip(next(self._ip_numbers))
        return f"{ip}:{pick_port(ip)}"

    def add_platform(self, **flags: Any) -> ManagedProcess:
        """Start the stand-in of the platform, at an address that is kept across restarts."""
        flags = {"listen": self.pick_address(), **flags}
        return self.add("platform", "swifttrestle_standins.platform", flags)

    def add_engine(self, name: str, **flags: Any) -> ManagedProcess:
        """Start the stand-in of an engine."""
        flags = {"listen": self.pick_address(), **flags}
        if flags.get("fencing") == "checked":
            flags.setdefault("state_file", str(self.folder / f"{name}.state"))
        return self.add(name, "swifttrestle_standins.engine", flags)

    def add_service(self, name: str) -> ManagedProcess:
        """Start the stand-in of a plain service."""
        listen = self.pick_address()
        return self.add(name, "swifttrestle_standins.service", {"listen": listen})

    def build_process_flags(self, name: str, host: str, zone: str) -> dict[str, Any]:
        """Return the flags that entries and controllers share."""
        return {
            "name": name,
            "host": host,
            "zone": zone,
            "platform": f"http://{self.members['platform'].addresses['listen']}",
            "peer_listen": self.pick_address(),
            "peer_secret": SECRET,
            "heartbeat_seconds": 0.3,
        }

    def add_entry(
        self, name: str, host: str, zone: str, program: str = "swifttrestle.entry", **flags: Any
    ) -> ManagedProcess:
        """Start an entry, or the replacement `program`, given as module:function."""
        base = {**self.build_process_flags(name, host, zone), "listen": self.pick_address()}
        base |= {"report_seconds": 0.2}
        return self.add(name, program, base | flags)

    def add_controller(
        self,
        name: str,
        host: str,
        zone: str,
        program: str = "swifttrestle.controller",
        **flags: Any,
    ) -> ManagedProcess:
        """Start a controller with short leases."""
        base = self.build_process_flags(name, host, zone)
        base |= {
            "lease_seconds": 3,
            "lease_margin_seconds": 0.5,
            "tick_seconds": 0.1,
            "status_seconds": 0.3,
            "host_lag_seconds": 2,
        }
        return self.add(name, program, base | flags)

    def call(self, method: str, address: str, path: str, value: Any = None) -> Any:
        """Send one JSON request and return the decoded response."""
        body = None if value is None else json.dumps(value)
        response = self.client.request(method, f"http://{address}{path}", body=body)
        return json.loads(response.data)

    def set_fault(self, name: str, **change: Any) -> Any:
        """Set faults of a stand-in through its admin port."""
        return self.call("POST", self.members[name].addresses["admin"], "/fault", change)

    def set_hosts(self, **hosts: Any) -> None:
        """Change the platform's host list; None removes a host."""
        named = {name.replace("_", "-"): record for name, record in hosts.items()}
        admin = self.members["platform"].addresses["admin"]
        self.call("POST", admin, "/hosts", {"hosts": named})

    def records(self, name: str) -> dict[str, Any]:
        """Return the records of a stand-in."""
        return self.call("GET", self.members[name].addresses["admin"], "/records")

    def dump(self, name: str) -> dict[str, Any]:
        """Return the state dump of an entry or a controller."""
        return self.call("GET", self.members[name].addresses["ops"], "/debug/state")

    def ctl(self, *args: str) -> subprocess.CompletedProcess:
        """Run swifttrestle-ctl against the platform's stand-in."""
        env = dict(os.environ)
        env["SWIFTTRESTLE_PLATFORM"] = f"http://{self.members['platform'].addresses['listen']}"
        code = "from swifttrestle.ctl import main; main()"
        return subprocess.run(
            [sys.executable, "-c", code, *args], env=env, capture_output=True, text=True,
            check=False, timeout=120,
        )  # fmt: skip
