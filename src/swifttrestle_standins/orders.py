"""What the fake engine does with orders: fencing, loading, role changes."""

import json
import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass
class Holding:
    """What the engine holds; `role` is mixed, prefill or decode."""

    model: str = ""
    version: str = ""
    adapters: list[str] = field(default_factory=list)
    role: str = "mixed"


class Orders:
    """Takes orders, checks or ignores their fencing token, and is away while changing."""

    def __init__(
        self, checked: bool, away_seconds: float, state_file: str, cut: Callable[[str], int]
    ) -> None:
        """Start with nothing loaded; the highest token survives a restart in `state_file`."""
        self.lock = threading.Lock()
        self.holding = Holding()
        self.log: list[dict[str, Any]] = []
        self.crash_on_order = ""
        self._checked = checked
        self._away_seconds = away_seconds
        self._cut = cut
        self._away_until = 0.0
        self._state = Path(state_file) if state_file else None
        self.token = 0
        self.last_order = ""
        if self._state and self._state.exists():
            self.token = json.loads(self._state.read_text())["token"]

    @property
    def away(self) -> bool:
        """Whether a change is going on."""
        return time.monotonic() < self._away_until

    def take(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry one order out; returns HTTP status and answer."""
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
            if self.away:
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
        entry["cut"] = self._cut("cut by order")
        self.holding = Holding(
            str(wanted["model"]),
            str(wanted["version"]),
            [str(a) for a in wanted.get("adapters", [])],
            str(wanted.get("role", "mixed")),
        )
        self._away_until = time.monotonic() + self._away_seconds
