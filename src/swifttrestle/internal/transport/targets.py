"""The host and the path of a request, in each form in which they may be written."""

from collections.abc import Sequence

from swifttrestle.internal.transport.messages import Header

SCHEMES = frozenset((b"http", b"https"))
SCHEME_END = b"://"


class TargetError(ValueError):
    """A target in absolute form that names no host, or a user."""


def read_absolute_target(target: bytes) -> tuple[bytes, bytes] | None:
    """Return the host and the path with the query of a target in absolute form; None for others.

    Raises TargetError.
    """
    scheme, mark, rest = target.partition(SCHEME_END)
    if not mark or scheme.lower() not in SCHEMES:
        return None
    end = min((index for index in map(rest.find, (b"/", b"?")) if index >= 0), default=len(rest))
    host, path = rest[:end], rest[end:]
    if not host or b"@" in host:
        raise TargetError(f"no host in {target!r}")
    return host, path if path.startswith(b"/") else b"/" + path


def set_host(headers: Sequence[Header], host: bytes) -> tuple[Header, ...]:
    """Return a request's headers with the host of its target, which overrides the header."""
    others = tuple(header for header in headers if header[0].lower() != b"host")
    return ((b"Host", host), *others)


def normalize_host(host: str) -> str:
    """Return the name of a host in one spelling: without a port, a dot at its end or capitals."""
    return host.partition(":")[0].removesuffix(".").lower()
