"""The controller's actors: one for the configuration, one for each pool, one for status.

Each owns its state and works on one message at a time, so nothing in `Pool` or
`ConfigAuthority` needs a lock, and a slow engine holds up its own pool alone.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import pykka
from loguru import logger

from swifttrestle.errors import ConflictError, PlatformUnavailableError
from swifttrestle.internal.coordination.conditional_writes import update_object
from swifttrestle.internal.coordination.config_authority import ConfigAuthority
from swifttrestle.internal.coordination.engine_views import PoolStatus
from swifttrestle.internal.coordination.pools import Pool
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.resources import ResourceSet

STATUS = "Status"


@dataclass(frozen=True)
class Tick:
    """Asks an actor to do one step with the configuration now in force."""

    config: ResourceSet


@dataclass(frozen=True)
class Release:
    """Asks an actor to give up its lease; it answers when that is done."""


class StepActor(pykka.ThreadingActor):
    """Base of actors that step at each tick; a tick that comes while one waits is dropped."""

    use_daemon_thread = True

    def __init__(self, tick_pending: threading.Event) -> None:
        """Start; `tick_pending` is set by whoever sends a tick and cleared when it is taken up."""
        super().__init__()
        self.tick_pending = tick_pending

    def on_receive(self, message: Any) -> Any:
        """Step or release; a failure is logged and the actor lives on."""
        try:
            if isinstance(message, Tick):
                self.tick_pending.clear()
                self.step(message.config)
            elif isinstance(message, Release):
                self.release()
        except Exception:
            logger.exception("a step failed")

    def step(self, config: ResourceSet) -> None:
        """Do one step."""
        raise NotImplementedError

    def release(self) -> None:
        """Give up what is held."""


class ConfigActor(StepActor):
    """Accepts configuration while it holds the configuration lease."""

    def __init__(self, tick_pending: threading.Event, authority: ConfigAuthority) -> None:
        """Work on one authority."""
        super().__init__(tick_pending)
        self._authority = authority

    def step(self, config: ResourceSet) -> None:
        """Renew or campaign, then accept what changed."""
        self._authority.tick()

    def release(self) -> None:
        """Give up the configuration lease."""
        _release(self._authority.lease.release)


class PoolActor(StepActor):
    """Works one pool while it holds the pool's lease."""

    def __init__(
        self,
        tick_pending: threading.Event,
        pool: Pool,
        publish: Callable[[str, PoolStatus | None], None],
    ) -> None:
        """Work on one pool and publish its status after each step."""
        super().__init__(tick_pending)
        self._pool = pool
        self._publish = publish

    def step(self, config: ResourceSet) -> None:
        """Renew or campaign, then move each engine one step on."""
        self._pool.tick(config)
        self._publish(self._pool.name, self._pool.status())

    def release(self) -> None:
        """Give up the pool's lease."""
        _release(self._pool.lease.release)


class StatusActor(StepActor):
    """Writes the status of all that this process holds, one object each, when it changed."""

    def __init__(
        self, tick_pending: threading.Event, api: ObjectApi, collect: Callable[[], dict[str, dict]]
    ) -> None:
        """Write what `collect` returns, by name of the status object."""
        super().__init__(tick_pending)
        self._api = api
        self._collect = collect
        self._written: dict[str, dict] = {}

    def step(self, config: ResourceSet) -> None:
        """Write what changed; an outage only delays it."""
        for name, status in self._collect().items():
            if self._written.get(name) == status:
                continue
            try:
                update_object(self._api, STATUS, name, partial(_replace, status))
                self._written[name] = status
            except (PlatformUnavailableError, ConflictError):
                return


def _replace(status: dict, _: dict | None) -> dict:
    return status


def _release(release: Callable[[], None]) -> None:
    try:
        release()
    except (PlatformUnavailableError, ConflictError):
        # Not given up in time: others wait until the lease has run out.
        logger.warning("a lease could not be released")
