"""A caller for demo, tests and benchmarks: requests completions and parses the responses."""

import http.client
import json
import time
from dataclasses import dataclass, field
from typing import Any

from swifttrestle.internal.checks import parse_address


@dataclass
class Answer:
    """One response; `whole` is set if it is complete. Times in seconds.

    `lost` names the connection error, if any.
    """

    status: int = 0
    text: str = ""
    whole: bool = False
    offsets: list[int] = field(default_factory=list)
    error: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    first_token: float = 0.0
    total: float = 0.0
    lost: str = ""


def ask(
    address: str,
    key: str,
    service: str,
    prompt: str,
    *,
    max_tokens: int = 16,
    stream: bool = True,
    headers: dict[str, str] | None = None,
    disconnect_after_tokens: int = -1,
    timeout: float = 90.0,
) -> Answer:
    """Request one chat completion; negative `disconnect_after_tokens` reads it to its end."""
    body = {
        "model": service,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return send(
        address,
        "/v1/chat/completions",
        key,
        json.dumps(body).encode(),
        headers=headers or {},
        disconnect_after_tokens=disconnect_after_tokens,
        timeout=timeout,
    )


def call_service(
    address: str, key: str, service: str, value: Any, headers: dict[str, str] | None = None
) -> Answer:
    """Call a plain service; `text` of the answer holds its JSON."""
    path = f"/services/{service}/run"
    return send(address, path, key, json.dumps(value).encode(), headers=headers or {})


def send(
    address: str,
    path: str,
    key: str,
    body: bytes,
    *,
    headers: dict[str, str],
    disconnect_after_tokens: int = -1,
    timeout: float = 90.0,
) -> Answer:
    """Send one request and read its response, streamed or not."""
    answer = Answer()
    started_at = time.monotonic()
    connection = http.client.HTTPConnection(*parse_address(address), timeout=timeout)
    all_headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    try:
        connection.request("POST", path, body, {**all_headers, **headers})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = dict(response.getheaders())
        if "event-stream" in answer.headers.get("Content-Type", ""):
            _read_stream(response, answer, started_at, disconnect_after_tokens)
        else:
            _read_whole(response, answer)
        response.close()
    except (OSError, http.client.HTTPException) as error:
        answer.lost = type(error).__name__
    finally:
        connection.close()
    answer.total = time.monotonic() - started_at
    return answer


def _read_stream(
    response: http.client.HTTPResponse,
    answer: Answer,
    started_at: float,
    disconnect_after_tokens: int,
) -> None:
    while line := response.readline():
        if line.startswith(b"event: error"):
            answer.error = json.loads(response.readline()[6:])["error"]
        elif line.startswith(b"data: [DONE]"):
            answer.whole = not answer.error
        elif line.startswith(b"data: "):
            event = json.loads(line[6:])
            delta = event["choices"][0].get("delta", {}).get("content")
            if delta is not None:
                answer.first_token = answer.first_token or time.monotonic() - started_at
                answer.text += delta
                answer.offsets.append(event["offset"])
            if 0 <= disconnect_after_tokens <= len(answer.offsets):
                return


def _read_whole(response: http.client.HTTPResponse, answer: Answer) -> None:
    raw = response.read()
    try:
        value = json.loads(raw)
    except ValueError:
        answer.lost = "no JSON"
        return
    if "error" in value:
        answer.error = value["error"]
    elif "choices" in value:
        answer.text = value["choices"][0]["text"]
        answer.whole = True
    else:
        answer.text = raw.decode()
        answer.whole = answer.status == 200
