"""All exceptions of the system, each with its numbered result code."""

from swifttrestle.codes import TABLE, Code, Ran

# Characters of a wrong value that a message shows.
SHOWN_VALUE = 80


class SwifttrestleError(Exception):
    """Base of every error raised on purpose; `code` is its result code."""

    code = Code.BAD_REQUEST

    def __str__(self) -> str:
        """Return the number, the name and the message."""
        return f"{int(self.code)} {self.code.name}: {super().__str__()}"


class RefusedError(SwifttrestleError):
    """A caller's request gets this final answer.

    `retry_after` is in seconds, or None where coming back would not help.
    """

    def __init__(self, code: Code, message: str, retry_after: float | None = None) -> None:
        """Keep the code, the message and the time to come back."""
        super().__init__(message)
        self.code = code
        self.message = message
        self.retry_after = retry_after

    @property
    def ran(self) -> Ran:
        """Whether the request ran, as the table says for this code."""
        return TABLE[self.code].ran or Ran.NOT_RUN


class InvalidSettingError(SwifttrestleError):
    """A flag or environment variable is wrong; the message names it, its value and the mend."""

    code = Code.INVALID_SETTING


class InvalidResourceError(SwifttrestleError):
    """A resource has a bad field; the message names the place, the field, the value, the mend."""

    code = Code.INVALID_RESOURCE


class ConflictError(SwifttrestleError):
    """A conditional update met another version."""

    code = Code.CONFLICT


class NotFoundError(SwifttrestleError):
    """The object does not exist."""

    code = Code.NOT_FOUND


class PlatformUnavailableError(SwifttrestleError):
    """The object API did not answer; a write may have taken effect all the same."""

    code = Code.PLATFORM_UNAVAILABLE


class RateLimitedError(PlatformUnavailableError):
    """The object API refused for its rate limit; nothing took effect."""

    code = Code.PLATFORM_RATE_LIMITED


class BadPlatformAnswerError(PlatformUnavailableError):
    """The object API's answer cannot be read; it counts as no answer."""

    code = Code.BAD_PLATFORM_ANSWER


class BadEntryError(BadPlatformAnswerError):
    """An entry of the store cannot be taken; `field`, `value` and `reason` say why."""

    code = Code.BAD_ENTRY

    def __init__(self, what: str, field: str, value: object, reason: str) -> None:
        """Keep what was wrong; the message shows the value as far as it fits a line."""
        shown = repr(value)[:SHOWN_VALUE]
        super().__init__(f"{what} cannot be read: {field} is {shown}: {reason}")
        self.field = field
        self.value = value
        self.reason = reason


class OldEpochError(PlatformUnavailableError):
    """An answer was made before the store came back from a copy; it says nothing any more."""

    code = Code.OLD_EPOCH


class HistoryGoneError(SwifttrestleError):
    """A watch asked for changes that the platform has forgotten; list anew."""

    code = Code.NOT_FOUND


class LeaseLostError(SwifttrestleError):
    """An act needed a lease that is not held any more."""

    code = Code.LEASE_LOST


class StaleTokenError(SwifttrestleError):
    """An engine has seen a newer fencing token; a newer holder exists."""

    code = Code.STALE_TOKEN


class FrameError(SwifttrestleError):
    """A peer frame is too large, cut short or not a known message."""

    code = Code.BAD_FRAME


class PeerUnknownError(SwifttrestleError):
    """A peer did not prove that it knows the shared secret."""

    code = Code.PEER_UNKNOWN


class UpstreamError(SwifttrestleError):
    """An upstream call failed; `sent` says whether a byte of the request may have gone out."""

    code = Code.UPSTREAM_BROKEN

    def __init__(self, message: str, sent: bool = False, retry_after: float = 0.0) -> None:
        """Keep how far the call had come and, in seconds, when the upstream wants to be asked."""
        super().__init__(message)
        self.sent = sent
        self.retry_after = retry_after


class UpstreamBusyError(UpstreamError):
    """The upstream refused for load, before running anything."""

    code = Code.UPSTREAM_BUSY


class UpstreamHeldError(UpstreamError):
    """The upstream takes nothing now by its own word, so that nothing was sent to it."""

    code = Code.UPSTREAM_HELD

    def __init__(self, message: str, seconds: float) -> None:
        """Keep after how many seconds it may take a request."""
        super().__init__(message, sent=False, retry_after=seconds)


class UpstreamLeavingError(UpstreamError):
    """The upstream refused because it is leaving or away, before running anything."""

    code = Code.UPSTREAM_LEAVING


class UpstreamBrokenError(UpstreamError):
    """The upstream could not be reached, broke off or stalled."""

    code = Code.UPSTREAM_BROKEN


class UpstreamUnreachedError(UpstreamBrokenError):
    """No connection came up; `refused` where the other end said so, else it was silent."""

    def __init__(self, message: str, refused: bool) -> None:
        """Keep whether anybody answered; no byte of the request has gone out."""
        super().__init__(message, sent=False)
        self.refused = refused


class UpstreamSilentError(UpstreamBrokenError):
    """The upstream did not answer in time, on a connection that still stood."""

    def __init__(self, message: str) -> None:
        """Count as sent: the request may be running there still."""
        super().__init__(message, sent=True)


class FailedByUpstreamError(UpstreamBrokenError):
    """A repeatable request ran and failed at its upstream; another one may do better."""


class CrossedAnswerError(UpstreamBrokenError):
    """The upstream answered another request's id, attempt or offset."""

    code = Code.CROSSED_ANSWER


class CallerGoneError(SwifttrestleError):
    """The caller closed its connection before its answer was whole."""

    code = Code.CALLER_GONE
