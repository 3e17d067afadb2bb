"""The opening lines of a relayed connection between gateways.

A host that does not reach an upstream sends a peer one line that names the instance. The peer
connects to it and answers with a result code; after OK the stream carries the bytes of that
connection, unchanged, in both directions.
"""

from swifttrestle.codes import Code
from swifttrestle.errors import FrameError

RELAY_WORD = b"relay"
MAX_REPLY_BYTES = 16


def write_relay_request(instance: str) -> bytes:
    """Return the line that asks for a connection to an instance."""
    return RELAY_WORD + b" " + instance.encode() + b"\n"


def write_relay_reply(code: Code) -> bytes:
    """Return the line that answers such a request."""
    return b"%d\n" % code


def read_relay_reply(line: bytes) -> Code:
    """Return the code of an answer; raise FrameError."""
    try:
        return Code(int(line))
    except ValueError:
        raise FrameError(f"relay reply {line[:MAX_REPLY_BYTES]!r} is no result code") from None
