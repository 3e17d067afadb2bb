"""Datagrams by which hosts keep streams' origins, and ask for them."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.state.stream_builds import StreamOrigin

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
    """Tells where a stream began."""

    stream: bytes
    origin: StreamOrigin


@dataclass(frozen=True)
class StreamQuery:
    """Asks where a stream began, and for the versions of the service that would continue it.

    `number` identifies the query among its sender's.
    """

    number: int
    stream: bytes
    service: str


@dataclass(frozen=True)
class StreamReply:
    """Answers a query: the origin or None, and whether the service had several versions lately."""

    number: int
    origin: StreamOrigin | None
    several: bool


Message = StreamNote | StreamQuery | StreamReply


def pack_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    match message:
        case StreamNote(stream, StreamOrigin(service, build)):
            values: tuple[object, ...] = (StreamMessageKind.NOTE, stream, service, build)
        case StreamQuery(number, stream, service):
            values = (StreamMessageKind.QUERY, number, stream, service)
        case StreamReply(number, origin, several):
            named = None if origin is None else (origin.service, origin.build)
            values = (StreamMessageKind.REPLY, number, named, several)
    data: bytes = msgpack.packb(values)
    return data


def unpack_message(data: bytes) -> Message:
    """Parse a datagram; raise FrameError."""
    try:
        match decode_msgpack(data):
            case [StreamMessageKind.NOTE, bytes(stream), str(service), str(build)]:
                return StreamNote(_check_stream(stream), _read_origin(service, build))
            case [StreamMessageKind.QUERY, int(number), bytes(stream), str(service)]:
                return StreamQuery(_check_number(number), _check_stream(stream), service)
            case [StreamMessageKind.REPLY, int(number), None, bool(several)]:
                return StreamReply(_check_number(number), None, several)
            case [StreamMessageKind.REPLY, int(number), [service, build], bool(several)]:
                return StreamReply(_check_number(number), _read_origin(service, build), several)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"stream datagram malformed: {error!r}") from None
    raise FrameError("stream datagram with a missing or wrong field")


def _check_number(number: int) -> int:
    return check_integer(number, 0, MAX_INT64)


def _check_stream(stream: bytes) -> bytes:
    if len(stream) > MAX_STREAM_BYTES:
        raise ValueError(f"{stream!r:.80} is over {MAX_STREAM_BYTES} bytes long")
    return stream


def _read_origin(service: Any, build: Any) -> StreamOrigin:
    for name in (service, build):
        if not isinstance(name, str) or len(name) > MAX_NAME_CHARACTERS:
            raise ValueError(
                f"{name!r:.80} is no name; give a text of up to {MAX_NAME_CHARACTERS} characters"
            )
    return StreamOrigin(service, build)
