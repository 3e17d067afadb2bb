"""The exceptions of the system, each with its numbered result code."""

from enum import Enum

from swifttrestle.codes import TABLE, Code, Ran

# Longest part of an invalid value that a message shows.
MAX_SHOWN_CHARS = 80


class SwifttrestleError(Exception):
    """Base class of the system's errors; `code` is the result code."""

    code = Code.BAD_REQUEST

    def __str__(self) -> str:
        """Return the number, the name and the message."""
        return f"{int(self.code)} {self.code.name}: {super().__str__()}"


class RefusedError(SwifttrestleError):
    """A request is refused, or failed, with this response to its caller.

    `retry_after` is in seconds, or None if a retry would not help.
    """

    def __init__(self, code: Code, message: str, retry_after: float | None = None) -> None:
        """Store the code, the message and the time after which to retry."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after = retry_after

    @property
    def ran(self) -> Ran:
        """Whether the request ran, by the table of result codes."""
        return TABLE[self.code].ran or Ran.NOT_RUN


class InvalidSettingError(SwifttrestleError):
    """A flag or environment variable is invalid; the message has its name, value and the fix."""

    code = Code.INVALID_SETTING


class InvalidResourceError(SwifttrestleError):
    """A resource is invalid; the message has the place, the field, the value and the fix."""

    code = Code.INVALID_RESOURCE


class ConflictError(SwifttrestleError):
    """A conditional update found another version."""

    code = Code.CONFLICT


class NotFoundError(SwifttrestleError):
    """The object does not exist."""

    code = Code.NOT_FOUND


class PlatformUnavailableError(SwifttrestleError):
    """The object API did not respond; a write may still have taken effect."""

    code = Code.PLATFORM_UNAVAILABLE


class RateLimitedError(PlatformUnavailableError):
    """The object API refused a call because of its rate limit; nothing took effect."""

    code = Code.PLATFORM_RATE_LIMITED


class BadPlatformAnswerError(PlatformUnavailableError):
    """The response of the object API is malformed; it counts as no response."""

    code = Code.BAD_PLATFORM_ANSWER


class BadEntryError(BadPlatformAnswerError):
    """An entry of the store is malformed; `field`, `value` and `reason` say why."""

    code = Code.BAD_ENTRY

    def __init__(self, subject: str, field: str, value: object, reason: str) -> None:
        """Store the invalid field; the message shows the value up to MAX_SHOWN_CHARS."""
        shown_value = repr(value)[:MAX_SHOWN_CHARS]
        super().__init__(f"{subject} cannot be read: {field} is {shown_value}: {reason}")
        self.field = field
        self.value = value
        self.reason = reason


class OldEpochError(PlatformUnavailableError):
    """A response precedes the restore of the store from a backup, so it is outdated."""

    code = Code.OLD_EPOCH


class HistoryGoneError(SwifttrestleError):
    """A watch asked for changes that the store has discarded; list the objects again."""

    code = Code.NOT_FOUND


class LeaseLostError(SwifttrestleError):
    """An operation needed a lease that is not held."""

    code = Code.LEASE_LOST


class StaleTokenError(SwifttrestleError):
    """An engine has seen a newer fencing token, so the lease has a newer holder."""

    code = Code.STALE_TOKEN


class FrameError(SwifttrestleError):
    """A peer frame is too large, truncated or not a known message."""

    code = Code.BAD_FRAME


class PeerUnknownError(SwifttrestleError):
    """A peer did not prove that it knows the shared secret."""

    code = Code.PEER_UNKNOWN


class UpstreamError(SwifttrestleError):
    """An upstream call failed; `sent` is set if a byte of the request may have been sent."""

    code = Code.UPSTREAM_BROKEN

    def __init__(self, message: str, sent: bool = False, retry_after: float = 0.0) -> None:
        """Store whether the request may have been sent; `retry_after` is in seconds."""
        super().__init__(message)
        self.sent = sent
        self.retry_after = retry_after


class UpstreamBusyError(UpstreamError):
    """The upstream refused because of load, before running anything."""

    code = Code.UPSTREAM_BUSY


class UpstreamHeldError(UpstreamError):
    """The upstream accepts no requests for now, as it has announced, so nothing was sent."""

    code = Code.UPSTREAM_HELD

    def __init__(self, message: str, seconds: float) -> None:
        """Store after how many seconds it may accept a request."""
        super().__init__(message, sent=False, retry_after=seconds)


class UpstreamLeavingError(UpstreamError):
    """The upstream refused because it is draining or unavailable, before running anything."""

    code = Code.UPSTREAM_LEAVING


class UpstreamBrokenError(UpstreamError):
    """The upstream could not be reached, disconnected or stalled."""

    code = Code.UPSTREAM_BROKEN


class ResponseLimit(Enum):
    """What an upstream may send only so much of."""

    HEAD = "head"
    FRAMING = "framing"
    BODY = "body"
    EVENT = "event"


class UpstreamLimitError(UpstreamBrokenError):
    """The upstream sent more than a response may have, so it will hardly come to its end."""

    def __init__(self, limit: ResponseLimit, max_bytes: int) -> None:
        """Store which limit was exceeded; the request may have run."""
        super().__init__(f"response {limit.value} of over {max_bytes} bytes", sent=True)
        self.limit = limit
        self.max_bytes = max_bytes


class UpstreamUnreachedError(UpstreamBrokenError):
    """No connection was established; `refused` is False after a timeout.

    `unconfirmed` is whether this host alone was refused, and its peers have not answered yet.
    """

    def __init__(self, message: str, refused: bool, unconfirmed: bool = False) -> None:
        """Store whether the connection was refused; no byte of the request was sent."""
        super().__init__(message, sent=False)
        self.refused = refused
        self.unconfirmed = unconfirmed

    @property
    def may_be_path(self) -> bool:
        """Whether the upstream may be sound, and reached a little later."""
        return not self.refused or self.unconfirmed


class RelayRefusedError(UpstreamUnreachedError):
    """A peer answered that it does not relay a connection to an instance, and why."""

    def __init__(self, instance: str, code: Code) -> None:
        """Store whether the peer tried to connect, and whether the instance refused it."""
        self.tried = code in (Code.CONNECTION_REFUSED, Code.UPSTREAM_BROKEN)
        super().__init__(
            f"the relay for {instance} answered {code.name}",
            refused=code is Code.CONNECTION_REFUSED,
        )


class UpstreamSilentError(UpstreamBrokenError):
    """The upstream did not respond in time on an open connection."""

    def __init__(self, message: str) -> None:
        """Mark the request as sent, since it may still be running."""
        super().__init__(message, sent=True)


class FailedByUpstreamError(UpstreamBrokenError):
    """A repeatable request ran and failed at its upstream; another one may succeed."""


class MustBeginElsewhereError(FailedByUpstreamError):
    """A stream must begin at another software version; its upstream is sound."""


class AnswerBegunError(UpstreamBrokenError):
    """A run's answer cannot go to the caller, who has received a part of another run's."""

    def __init__(self, message: str) -> None:
        """Mark the request as sent, since it has run."""
        super().__init__(message, sent=True)


class CrossedAnswerError(UpstreamBrokenError):
    """The response has the id, attempt or offset of another request."""

    code = Code.CROSSED_ANSWER


class CallerGoneError(SwifttrestleError):
    """The caller closed its connection before the response was complete."""

    code = Code.CALLER_GONE


def copy_error(error: Exception) -> Exception:
    """Return an equal error without a traceback, to be raised while the given one is kept."""
    copied = type(error).__new__(type(error), *error.args)
    copied.__dict__.update(error.__dict__)
    return copied
