"""Build the HTTP request of an arrival, and check that an answer matches it."""

from collections.abc import Mapping

import msgspec
from msgspec import Struct

from lycheefall._core.enums import RouteKind
from lycheefall._fakes.engine import expected_tokens
from lycheefall._fakes.service import body_digest, lookup_value
from lycheefall._load.arrivals import Arrival
from lycheefall._load.outcome import Ending

_FILLER_TEXT = "stock and refill notes of the day "


class HttpRequest(Struct, frozen=True):
    """HTTP request; retries resend it unchanged."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    # Expected text of the answer to a chat request; empty for other kinds.
    expected: str


class ServiceAnswer(Struct, frozen=True):
    """Answer of the fake service: `value` of a lookup, `digest` and `key` of a booking."""

    path: str = ""
    value: str = ""
    key: str = ""
    digest: str = ""


def build_request(arrival: Arrival, started_ms: int, run_id: str) -> HttpRequest:
    """Build the request of an arrival; `started_ms` is the Unix time of the start of the run."""
    flow = arrival.flow
    request_name = f"{run_id}-{arrival.stream_number}-{arrival.index}"
    headers = {
        "X-Lycheefall-Team": arrival.team,
        "X-Lycheefall-Priority": flow.priority,
        "X-Lycheefall-Timeout-S": str(flow.timeout_s),
        "Content-Type": "application/json",
    }
    if flow.kind is RouteKind.CHAT:
        return _build_chat_request(arrival, headers)
    path = f"/v1/services/{flow.service}/{flow.path}/{request_name}"
    if flow.kind is RouteKind.LOOKUP:
        return HttpRequest("GET", path, headers, b"", "")
    key = f"{started_ms + int(arrival.at_s * 1000)}-{request_name}"
    body = msgspec.json.encode({"team": arrival.team, "item": request_name})
    return HttpRequest("POST", path, {**headers, "Idempotency-Key": key}, body, "")


def check_text(request: HttpRequest, text: str) -> Ending:
    """Compare the text of a chat answer with the expected text."""
    if text == request.expected:
        return Ending.ANSWERED
    return Ending.CUT_OFF if request.expected.startswith(text) else Ending.WRONG_CONTENT


def check_service_answer(request: HttpRequest, body: bytes) -> Ending:
    """Check that the answer of a service matches its request."""
    try:
        answer = msgspec.json.decode(body, type=ServiceAnswer)
    except msgspec.DecodeError:
        return Ending.WRONG_CONTENT
    if request.method == "GET":
        # The entry may strip the path prefix of the service, so only the last segment must match.
        request_name = request.path.rsplit("/", 1)[1]
        is_correct = answer.path.endswith(request_name) and answer.value == lookup_value(
            answer.path
        )
    else:
        is_correct = answer.digest == body_digest(request.body)
        is_correct = is_correct and answer.key == request.headers["Idempotency-Key"]
    return Ending.ANSWERED if is_correct else Ending.WRONG_CONTENT


def _build_chat_request(arrival: Arrival, headers: Mapping[str, str]) -> HttpRequest:
    flow = arrival.flow
    prompt = _build_prompt(arrival)
    body = msgspec.json.encode(
        {
            "model": flow.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": flow.max_tokens,
            "stream": flow.stream,
        }
    )
    expected = "".join(expected_tokens(prompt, flow.max_tokens))
    return HttpRequest("POST", "/v1/chat/completions", headers, body, expected)


def _build_prompt(arrival: Arrival) -> str:
    flow = arrival.flow
    prefix_start = f"{flow.route} {arrival.prefix} "
    repeats = flow.prefix_chars // len(_FILLER_TEXT) + 1
    prefix = (prefix_start + _FILLER_TEXT * repeats)[: flow.prefix_chars]
    if flow.marker:
        # No team and index: a request that crashes an engine is resubmitted with the same content.
        return f"{prefix} {flow.marker}"
    return f"{prefix} {arrival.team} {arrival.stream_number} {arrival.index}"
