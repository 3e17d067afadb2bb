"""Checks that an engine streams the complete response of one attempt, with each token once.

An event in the usual form is checked by a comparison of its first bytes; any other event is parsed
and its fields are compared.
"""

from typing import Any

import orjson

from swifttrestle.errors import CrossedAnswerError, UpstreamBrokenError

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 262_144


class TokenChecker:
    """Checks the stream of one attempt; `offset` is the next expected token."""

    def __init__(self, request_id: str, attempt: int, offset: int) -> None:
        """Expect the response of an attempt from an offset on."""
        self._request_id = request_id
        self._attempt = attempt
        self._prefix = b'data: {"id":"%s","attempt":%d,"offset":' % (
            request_id.encode(),
            attempt,
        )
        self._pending = b""
        self.offset = offset
        self.finished = False
        self.whole = False
        self.fault: UpstreamBrokenError | None = None

    def take(self, piece: bytes) -> bytes:
        """Return the complete, valid events of the received bytes.

        An error is stored in `fault` instead of raised, because the events before it are valid and
        must be delivered: `offset` counts them, and a resumed stream starts after them.
        """
        data = self._pending + piece if self._pending else piece
        start = 0
        stop = data.find(EVENT_END)
        while stop >= 0:
            try:
                self._check(data[start:stop])
            except UpstreamBrokenError as error:
                self.fault = error
                return data[:start]
            start = stop + len(EVENT_END)
            stop = data.find(EVENT_END, start)
        self._pending = data[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            self.fault = UpstreamBrokenError(f"event of over {MAX_EVENT_BYTES} bytes", sent=True)
        return data[:start]

    def _check(self, event: bytes) -> None:
        if self.whole:
            raise CrossedAnswerError("event after the end of the stream", sent=True)
        if self.finished:
            if event != DONE:
                raise CrossedAnswerError("event after the last token", sent=True)
            self.whole = True
            return
        # A line break inside would join this event with the next one.
        if event.startswith(b"%s%d," % (self._prefix, self.offset)) and b"\n" not in event:
            # The finish reason is at the end of an event, after the text of the token.
            if b'"finish_reason":"' in event[-40:]:
                self.finished = True
            else:
                self.offset += 1
            return
        self._check_parsed(event)

    def _check_parsed(self, event: bytes) -> None:
        value = self._parse(event)
        found = (value.get("id"), value.get("attempt"), value.get("offset"))
        if found != (self._request_id, self._attempt, self.offset):
            raise CrossedAnswerError(
                f"event with id, attempt and offset {found!r} instead of "
                f"{(self._request_id, self._attempt, self.offset)!r}",
                sent=True,
            )
        try:
            choice = value["choices"][0]
            finished = choice.get("finish_reason") is not None
            text = choice.get("delta", {}).get("content")
        except (KeyError, IndexError, TypeError, AttributeError):
            raise UpstreamBrokenError("event without a choice", sent=True) from None
        if not finished and not isinstance(text, str):
            raise UpstreamBrokenError("event without text", sent=True)
        self.finished = finished
        self.offset += not finished

    def _parse(self, event: bytes) -> dict[str, Any]:
        if not event.startswith(DATA):
            raise UpstreamBrokenError("event without data", sent=True)
        try:
            value = orjson.loads(event[len(DATA) :])
        except orjson.JSONDecodeError:
            raise UpstreamBrokenError("event is not JSON", sent=True) from None
        if not isinstance(value, dict):
            raise UpstreamBrokenError("event is not a JSON object", sent=True)
        return value


def read_text(events: bytes) -> str:
    """Return the text of valid events, for responses that are not streamed."""
    parts = []
    for event in events.split(EVENT_END):
        if not event or event == DONE:
            continue
        delta = orjson.loads(event[len(DATA) :])["choices"][0].get("delta", {})
        parts.append(delta.get("content") or "")
    return "".join(parts)
