"""Datagrams by which hosts keep and ask for the software versions that began streams."""

from dataclasses import dataclass
from enum import IntEnum

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer

# Longest accepted id of a stream, in bytes, and name of a service or version, in characters. Ids
# that are longer are not kept.
MAX_STREAM_BYTES = 256
MAX_NAME_CHARACTERS = 400


class StreamMessageKind(IntEnum):
    """The first field of a datagram about a stream."""

    NOTE = 1
    QUERY = 2
    REPLY = 3


@dataclass(frozen=True)
class StreamNote:
    """Tells that upstreams of version `build` began a stream."""

    stream: bytes
    build: str


@dataclass(frozen=True)
class StreamQuery:
    """Asks for the version that began a stream; `number` identifies it among its sender's."""

    number: int
    stream: bytes
    service: str


@dataclass(frozen=True)
class StreamReply:
    """Answers a query: the version or None, and whether the service had several lately."""

    number: int
    build: str | None
    several: bool


Message = StreamNote | StreamQuery | StreamReply


def pack_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    match message:
        case StreamNote(stream, build):
            values: tuple[object, ...] = (StreamMessageKind.NOTE, stream, build)
        case StreamQuery(number, stream, service):
            values = (StreamMessageKind.QUERY, number, stream, service)
        case StreamReply(number, build, several):
            values = (StreamMessageKind.REPLY, number, build, several)
    data: bytes = msgpack.packb(values)
    return data


def unpack_message(data: bytes) -> Message:
    """Parse a datagram; raise FrameError."""
    try:
        match msgpack.unpackb(data):
            case [StreamMessageKind.NOTE, bytes(stream), str(build)]:
                return StreamNote(_check_stream(stream), _check_name(build))
            case [StreamMessageKind.QUERY, int(number), bytes(stream), str(service)]:
                return StreamQuery(_check_number(number), _check_stream(stream), service)
            case [StreamMessageKind.REPLY, int(number), (str() | None) as build, bool(several)]:
                return StreamReply(_check_number(number), build, several)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"stream datagram malformed: {error!r}") from None
    raise FrameError("stream datagram with a missing or wrong field")


def _check_number(number: int) -> int:
    return check_integer(number, 0, MAX_INT64)


def _check_stream(stream: bytes) -> bytes:
    if len(stream) > MAX_STREAM_BYTES:
        raise ValueError(f"{stream!r:.80} is over {MAX_STREAM_BYTES} bytes long")
    return stream


def _check_name(name: str) -> str:
    if len(name) > MAX_NAME_CHARACTERS:
        raise ValueError(f"{name!r:.80} is over {MAX_NAME_CHARACTERS} characters long")
    return name
