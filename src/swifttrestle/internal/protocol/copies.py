"""Copies of a configuration version as they pass between hosts: compressed, with a revision."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack
import orjson

from swifttrestle.errors import FrameError
from swifttrestle.internal.protocol.listings import pack_revision, unpack_revision
from swifttrestle.internal.state.store_epochs import StoreRevision

# Bytes that a version may have once it is unpacked.
LARGEST_CONFIGURATION = 4 * 1024 * 1024
# The fastest level: 4,249 routes, 952 KB, become 86 KB in 2.4 ms of one core.
COMPRESSION_LEVEL = 1


@dataclass(frozen=True)
class ConfigurationCopy:
    """A version as the store gave it, and a revision at which the store still held it.

    The revision is `NO_REVISION` where the sender does not know one.
    """

    revision: StoreRevision
    raw: Any


def pack_copy(copy: ConfigurationCopy) -> bytes:
    """Return the bytes of a copy; a thin link carries them in an eleventh of the time."""
    content = zlib.compress(orjson.dumps(copy.raw), COMPRESSION_LEVEL)
    data: bytes = msgpack.packb((pack_revision(copy.revision), content))
    return data


def unpack_copy(data: bytes) -> ConfigurationCopy:
    """Return the copy of some bytes; raise FrameError, also where they are not all there."""
    try:
        revision, content = msgpack.unpackb(data)
        unpacking = zlib.decompressobj()
        plain = unpacking.decompress(content, LARGEST_CONFIGURATION)
        if not unpacking.eof:
            raise FrameError(f"a configuration is cut or over {LARGEST_CONFIGURATION} bytes")
        return ConfigurationCopy(unpack_revision(revision), orjson.loads(plain))
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise FrameError(f"a configuration cannot be read: {error!r}") from None
