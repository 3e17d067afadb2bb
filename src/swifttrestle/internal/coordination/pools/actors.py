"""The controller's actors: one for the configuration, one for each pool, one for status.

Each actor owns its state and handles one message at a time, so `Pool` and `ConfigAuthority` need
no locks, and a slow engine delays only its own pool.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import pykka
from loguru import logger

from swifttrestle.errors import ConflictError, PlatformUnavailableError
from swifttrestle.internal.coordination.configuration.config_authority import ConfigAuthority
from swifttrestle.internal.coordination.pools.engine_views import PoolStatus
from swifttrestle.internal.coordination.pools.pools import Pool
from swifttrestle.internal.coordination.store.conditional_writes import update_object
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.resources import ResourceSet

STATUS = "Status"


@dataclass(frozen=True)
class Tick:
    """Asks an actor to run one step with the configuration in force."""

    config: ResourceSet


@dataclass(frozen=True)
class Release:
    """Asks an actor to release its lease; the reply follows the release."""


class StepActor(pykka.ThreadingActor):
    """Base of actors that run one step a tick; a tick sent while one is queued is dropped."""

    use_daemon_thread = True

    def __init__(self, tick_pending: threading.Event) -> None:
        """Start; a tick's sender sets `tick_pending`, and the actor clears it."""
        super().__init__()
        self.tick_pending = tick_pending

    def on_receive(self, message: Any) -> Any:
        """Run a step or release the lease; log failures and keep running."""
        try:
            if isinstance(message, Tick):
                self.tick_pending.clear()
                self.step(message.config)
            elif isinstance(message, Release):
                self.release()
        except Exception:
            logger.exception("actor step failed")

    def step(self, config: ResourceSet) -> None:
        """Run one step with `config`."""
        raise NotImplementedError

    def release(self) -> None:
        """Release the lease, if the actor has one."""


class ConfigActor(StepActor):
    """Accepts configuration while the process holds the configuration lease."""

    def __init__(self, tick_pending: threading.Event, authority: ConfigAuthority) -> None:
        """Run the steps of `authority`."""
        super().__init__(tick_pending)
        self._authority = authority

    def step(self, config: ResourceSet) -> None:
        """Renew or contend for the lease, then accept changed objects."""
        self._authority.tick()

    def release(self) -> None:
        """Release the configuration lease."""
        _release(self._authority.lease.release)


class PoolActor(StepActor):
    """Controls one pool while the process holds the pool's lease."""

    def __init__(
        self,
        tick_pending: threading.Event,
        pool: Pool,
        publish: Callable[[str, PoolStatus | None], None],
    ) -> None:
        """Control `pool` and publish its status after each step."""
        super().__init__(tick_pending)
        self._pool = pool
        self._publish = publish

    def step(self, config: ResourceSet) -> None:
        """Renew or contend for the lease, then advance each engine by one step."""
        self._pool.tick(config)
        self._publish(self._pool.name, self._pool.status())

    def release(self) -> None:
        """Release the pool's lease."""
        _release(self._pool.lease.release)


class StatusActor(StepActor):
    """Writes one status object for each lease that this process holds, on change."""

    def __init__(
        self, tick_pending: threading.Event, api: ObjectApi, collect: Callable[[], dict[str, dict]]
    ) -> None:
        """Write the result of `collect`, which maps names of status objects to their content."""
        super().__init__(tick_pending)
        self._api = api
        self._collect = collect
        self._written: dict[str, dict] = {}

    def step(self, config: ResourceSet) -> None:
        """Write changed status objects; after a failure, the next step retries."""
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
        # Other processes wait until the lease has expired.
        logger.warning("lease not released")
