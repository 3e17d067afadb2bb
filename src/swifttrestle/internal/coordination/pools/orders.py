"""Orders to engines: each is recorded before it is sent, and an engine has one open order at most.

An order's object moves through stages by conditional updates. A new holder of the pool's lease
continues an open order from its stage:

    closing  entries are asked to send the engine no new requests; the order was not sent
    sent     the order may have been sent
    done     the engine has confirmed the order
    dropped  the order was cancelled before it was sent
"""

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from swifttrestle.errors import BadPlatformAnswerError, ConflictError
from swifttrestle.internal.coordination.store.conditional_writes import read_or_none, write_once
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.protocol.engine import EngineAssignment, read_assignment
from swifttrestle.internal.protocol.platform import ObjectApi

ORDER = "EngineOrder"


class Stage(StrEnum):
    """Progress of an order."""

    CLOSING = "closing"
    SENT = "sent"
    DONE = "done"
    DROPPED = "dropped"


@dataclass(frozen=True)
class Order:
    """One order; `number` increases with each order of an engine, `fence` is the last number sent.

    `boot` identifies the engine's boot when the order was sent. A later boot proves that an order
    of unknown outcome is no longer queued in the engine.
    """

    engine: str
    number: int
    stage: Stage
    wanted: EngineAssignment
    fence: int = 0
    boot: str = ""
    version: int = 0

    @property
    def order_id(self) -> str:
        """The id by which the engine reports the last order that it accepted."""
        return f"{self.engine}.{self.number}"

    @property
    def is_open(self) -> bool:
        """Whether the order must be done or dropped before another one is opened."""
        return self.stage in (Stage.CLOSING, Stage.SENT)

    def spec(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "number": self.number,
            "stage": self.stage.value,
            "wanted": self.wanted.plain(),
            "fence": self.fence,
            "boot": self.boot,
        }


def read_order(engine: str, spec: dict[str, Any], version: int) -> Order:
    """Return the order of a stored form."""
    try:
        return Order(
            engine,
            int(spec["number"]),
            Stage(spec["stage"]),
            read_assignment(spec["wanted"]),
            int(spec["fence"]),
            str(spec["boot"]),
            version,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadPlatformAnswerError(f"order of {engine} is malformed: {error!r}") from None


class OrderLog:
    """The orders of a pool's engines, stored in the platform."""

    def __init__(self, api: ObjectApi, cache: ObjectCache) -> None:
        """Write through `api`, and update `cache` with each write."""
        self._api = api
        self._cache = cache

    def read(self, engine: str) -> Order | None:
        """Return the engine's latest order, read from the platform rather than the cache."""
        stored = read_or_none(self._api, ORDER, engine)
        return read_order(engine, stored.spec, stored.version) if stored else None

    def open(self, engine: str, last: Order | None, wanted: EngineAssignment) -> Order:
        """Record a new order; raise ConflictError if another was recorded since `last`."""
        if last is not None and last.is_open:
            raise ConflictError(f"order {last.order_id} is still open")
        number = last.number + 1 if last else 1
        version = last.version if last else 0
        return self._write(Order(engine, number, Stage.CLOSING, wanted, version=version))

    def move(self, order: Order, stage: Stage, fence: int = 0, boot: str = "") -> Order:
        """Record the order's next stage; raise ConflictError if it was changed concurrently."""
        moved = replace(order, stage=stage, fence=fence or order.fence, boot=boot or order.boot)
        return self._write(moved)

    def _write(self, order: Order) -> Order:
        stored = write_once(self._api, ORDER, order.engine, order.spec(), order.version)
        self._cache.apply_own_write(stored)
        return replace(order, version=stored.version)
