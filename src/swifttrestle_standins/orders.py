"""Order handling of the fake engine: fencing, model loading, role changes."""

import json
import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass
class EngineAssignment:
    """The loaded model, its adapters and the role: mixed, prefill or decode."""

    model: str = ""
    version: str = ""
    adapters: list[str] = field(default_factory=list)
    role: str = "mixed"


class Orders:
    """Applies orders, checks or ignores their fencing tokens, and is unavailable while changing."""

    def __init__(
        self,
        checked: bool,
        change_seconds: float,
        state_file: str,
        abort_streams: Callable[[str], int],
    ) -> None:
        """Start with no model loaded.

        `state_file`, if not empty, keeps the highest token across restarts. `abort_streams` is
        called with a reason before a change and returns the number of aborted streams.
        """
        self.lock = threading.Lock()
        self.holding = EngineAssignment()
        self.log: list[dict[str, Any]] = []
        self.crash_on_order = ""
        self._checked = checked
        self._change_seconds = change_seconds
        self._abort_streams = abort_streams
        self._changing_until = 0.0
        self._state = Path(state_file) if state_file else None
        self.token = 0
        self.last_order = ""
        if self._state and self._state.exists():
            self.token = json.loads(self._state.read_text())["token"]

    @property
    def is_changing(self) -> bool:
        """Whether a change is in progress."""
        return time.monotonic() < self._changing_until

    def take(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply one order; return the HTTP status and the response."""
        with self.lock:
            token = int(order["token"])
            entry = {**order, "at": time.time(), "effect": "refused"}
            self.log.append(entry)
            if self._checked and token < self.token:
                return 409, {"reason": "stale token", "token": self.token}
            self._raise_token(token)
            if order["action"] == "raise":
                entry["effect"] = "raised"
                return 200, {"token": self.token}
            if self.is_changing:
                entry["effect"] = "conflict"
                return 409, {"reason": "changing"}
            if self.crash_on_order == "before":
                os._exit(1)
            self._change(order["wanted"], entry)
            self.last_order = str(order["order_id"])
            if self.crash_on_order == "during":
                os._exit(1)
        return 200, {"token": self.token}

    def _raise_token(self, token: int) -> None:
        if token <= self.token:
            return
        self.token = token
        if self._state:
            self._state.write_text(json.dumps({"token": token}))

    def _change(self, wanted: dict[str, Any], entry: dict[str, Any]) -> None:
        entry["effect"] = "applied"
        entry["cut"] = self._abort_streams("cut by order")
        self.holding = EngineAssignment(
            str(wanted["model"]),
            str(wanted["version"]),
            [str(a) for a in wanted.get("adapters", [])],
            str(wanted.get("role", "mixed")),
        )
        self._changing_until = time.monotonic() + self._change_seconds
