"""Typed messages between the system's processes, and their form in frames."""

from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import FrameError

ENTRY = "entry"
CONTROLLER = "controller"


@dataclass(frozen=True)
class Identity:
    """Who a process is; `incarnation` rises with each start of the same name."""

    name: str
    role: str
    host: str
    zone: str
    peer: str
    incarnation: int


@dataclass(frozen=True)
class Heartbeat:
    """What a process knows, sent at once on a change and otherwise at the heartbeat's pace.

    `epochs` (accepted shards in force) and `generations` (closed and opened upstreams) are
    None where nothing changed since the last heartbeat on the same stream. `open` counts
    the sender's open requests on upstreams that are closed in its view. `leaving` is sent
    by a process that has stopped and will not act again.
    """

    identity: Identity
    epochs: dict[str, int] | None
    generations: dict[str, int] | None
    open: dict[str, int]
    leaving: bool = False


@dataclass(frozen=True)
class PullShards:
    """Asks for accepted shards by name."""

    names: tuple[str, ...]


@dataclass(frozen=True)
class ShardCopy:
    """One accepted shard."""

    name: str
    epoch: int
    resources: list[dict[str, Any]]


Message = Heartbeat | PullShards | ShardCopy


def pack_message(message: Message) -> list[Any]:
    """Return the plain values of a message for a frame."""
    match message:
        case Heartbeat(identity, epochs, generations, open_counts, leaving):
            return ["heartbeat", list(vars(identity).values()), epochs, generations, open_counts,
                    leaving]  # fmt: skip
        case PullShards(names):
            return ["pull", list(names)]
        case ShardCopy(name, epoch, resources):
            return ["shard", name, epoch, resources]


def unpack_message(value: Any) -> Message:
    """Return the message of a frame's plain values; raise FrameError."""
    match value:
        case ["heartbeat", identity, epochs, generations, open_counts, bool(leaving)]:
            return Heartbeat(
                _read_identity(identity),
                None if epochs is None else _read_counts(epochs),
                None if generations is None else _read_counts(generations),
                _read_counts(open_counts),
                leaving,
            )
        case ["pull", list(names)] if all(isinstance(name, str) for name in names):
            return PullShards(tuple(names))
        case ["shard", str(name), int(epoch), list(resources)]:
            if all(isinstance(item, dict) for item in resources):
                return ShardCopy(name, epoch, resources)
    raise FrameError("a frame is no known message")


def _read_identity(value: Any) -> Identity:
    match value:
        case [str(name), str(role), str(host), str(zone), str(peer), int(incarnation)]:
            return Identity(name, role, host, zone, peer, incarnation)
    raise FrameError("a heartbeat has no readable identity")


def _read_counts(value: Any) -> dict[str, int]:
    if isinstance(value, dict) and all(
        isinstance(key, str) and isinstance(number, int) for key, number in value.items()
    ):
        return value
    raise FrameError("a heartbeat has no readable table")
