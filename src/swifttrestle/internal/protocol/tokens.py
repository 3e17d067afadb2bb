"""Checks that what an engine streams is this attempt's answer, each token once, to its end.

An event that is written the usual way is checked by comparing its first bytes, which costs
well under a microsecond; any other form is parsed and its fields compared.
"""

from typing import Any

import orjson

from swifttrestle.errors import CrossedAnswerError, UpstreamBrokenError

EVENT_END = b"\n\n"
DATA = b"data: "
DONE = b"data: [DONE]"
PENDING_LIMIT = 262_144


class TokenChecker:
    """Follows one attempt's stream; `offset` is the next token wanted."""

    def __init__(self, request_id: str, attempt: int, offset: int) -> None:
        """Expect the answer of one attempt from an offset on."""
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
        """Return the whole, checked events of what has come.

        A fault is kept in `fault` and not raised, because the events before it are good and
        must be delivered first: `offset` counts them, and a resumed stream starts after them.
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
        if len(self._pending) > PENDING_LIMIT:
            self.fault = UpstreamBrokenError("an event is too long", sent=True)
        return data[:start]

    def _check(self, event: bytes) -> None:
        if self.whole:
            raise CrossedAnswerError("an event after the finish mark", sent=True)
        if self.finished:
            if event != DONE:
                raise CrossedAnswerError("an event after the last token", sent=True)
            self.whole = True
            return
        if event.startswith(b"%s%d," % (self._prefix, self.offset)):
            # The finish reason stands at the end of an event, after all token text.
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
            raise CrossedAnswerError(f"an event of {found!r} came", sent=True)
        try:
            choice = value["choices"][0]
            finished = choice.get("finish_reason") is not None
            text = choice.get("delta", {}).get("content")
        except (KeyError, IndexError, TypeError, AttributeError):
            raise UpstreamBrokenError("an event has no choice", sent=True) from None
        if not finished and not isinstance(text, str):
            raise UpstreamBrokenError("an event has no text", sent=True)
        self.finished = finished
        self.offset += not finished

    def _parse(self, event: bytes) -> dict[str, Any]:
        if not event.startswith(DATA):
            raise UpstreamBrokenError("a line is no event", sent=True)
        try:
            value = orjson.loads(event[len(DATA) :])
        except orjson.JSONDecodeError:
            raise UpstreamBrokenError("an event is no JSON", sent=True) from None
        if not isinstance(value, dict):
            raise UpstreamBrokenError("an event is no JSON object", sent=True)
        return value


def read_text(events: bytes) -> str:
    """Return the text of checked events, for answers that are not streamed."""
    parts = []
    for event in events.split(EVENT_END):
        if not event or event == DONE:
            continue
        delta = orjson.loads(event[len(DATA) :])["choices"][0].get("delta", {})
        parts.append(delta.get("content") or "")
    return "".join(parts)
