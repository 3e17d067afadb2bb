"""Messages between entries and controllers, and their encoding in frames."""

from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import FrameError

ENTRY = "entry"
CONTROLLER = "controller"


@dataclass(frozen=True)
class Identity:
    """The identity of a process; `incarnation` rises with each start under the same name."""

    name: str
    role: str
    host: str
    zone: str
    peer: str
    incarnation: int


@dataclass(frozen=True)
class Heartbeat:
    """The state of a process, sent periodically and on each change.

    `epochs` (accepted shards in force) and `generations` (closed and reopened upstreams) are None
    if unchanged since the last heartbeat on the same stream. `open` counts the sender's open
    requests on upstreams that it knows as closed. `leaving` is sent by a process that has stopped
    and will take no further action.
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
    """Return the values that encode a message in a frame."""
    match message:
        case Heartbeat(identity, epochs, generations, open_counts, leaving):
            return ["heartbeat", list(vars(identity).values()), epochs, generations, open_counts,
                    leaving]  # fmt: skip
        case PullShards(names):
            return ["pull", list(names)]
        case ShardCopy(name, epoch, resources):
            return ["shard", name, epoch, resources]


def unpack_message(value: Any) -> Message:
    """Parse the message of a frame; raise FrameError."""
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
    raise FrameError("frame of an unknown kind or with a wrong field")


def _read_identity(value: Any) -> Identity:
    match value:
        case [str(name), str(role), str(host), str(zone), str(peer), int(incarnation)]:
            return Identity(name, role, host, zone, peer, incarnation)
    raise FrameError("heartbeat: identity malformed")


def _read_counts(value: Any) -> dict[str, int]:
    if isinstance(value, dict) and all(
        isinstance(key, str) and isinstance(number, int) for key, number in value.items()
    ):
        return value
    raise FrameError("heartbeat: epochs, generations or open counts malformed")
