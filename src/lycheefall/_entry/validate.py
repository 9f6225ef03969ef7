"""Validate a request against the active configuration before it is queued."""

from collections.abc import Callable, Mapping

import msgspec
import xxhash
from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Route, Team
from lycheefall._core.enums import RouteKind
from lycheefall._core.exceptions import RequestRefused
from lycheefall._core.ids import Fingerprint, IdempotencyKey, PriorityId, RequestId, TeamId
from lycheefall._core.messages.entry import CallerRequest, OperationKey
from lycheefall._core.pipeline import pipe
from lycheefall._entry.catalogue import Catalogue, RankedPriority
from lycheefall._rules.idempotency_key import key_time_ms

TEAM_HEADER = "X-Lycheefall-Team"
PRIORITY_HEADER = "X-Lycheefall-Priority"
TIMEOUT_HEADER = "X-Lycheefall-Timeout-S"
KEY_HEADER = "Idempotency-Key"

CHAT_PATH = "/v1/chat/completions"
# Admission cost of a service request, which has no tokens.
SERVICE_COST_TOKENS = 1
# Estimates the prompt tokens of a chat request from the size of its body.
BYTES_PER_TOKEN = 4
# Requests whose prompts start with the same characters are likely to share a cached prefix.
PREFIX_CHARACTERS = 256

READ_KINDS = frozenset({RouteKind.LOOKUP})
WRITE_KINDS = frozenset({RouteKind.BOOKING})
READ_METHODS = frozenset({"GET", "HEAD"})


class RawRequest(Struct, frozen=True, kw_only=True):
    """A request as received from the caller."""

    request: RequestId
    method: str
    # Service and path below /v1/services; the service is empty for a chat request.
    service: str = ""
    path: str
    query: str = ""
    headers: Mapping[str, str]
    body: bytes
    now_s: float


class ChatMessage(Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(Struct, frozen=True):
    """The fields of a chat request that routing and admission need."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int | None = None
    stream: bool = False


class MatchedRequest(Struct, frozen=True, kw_only=True):
    """A request with its team and route."""

    raw: RawRequest
    team: Team
    route: Route
    upstream_path: str
    chat: ChatBody | None = None


_decode_chat = msgspec.json.Decoder(ChatBody).decode


def request_validator(catalogue: Catalogue) -> Callable[[RawRequest], CallerRequest]:
    """Return a filter that validates requests; it raises RequestRefused for an invalid one."""
    return pipe(_match(catalogue), _build_request(catalogue))


def _match(catalogue: Catalogue) -> Callable[[RawRequest], MatchedRequest]:
    def match(raw: RawRequest) -> MatchedRequest:
        team = _team(catalogue, raw)
        if not raw.service:
            return _match_chat(catalogue, raw, team)
        kinds = READ_KINDS if raw.method in READ_METHODS else WRITE_KINDS
        route = catalogue.service_route(raw.service, raw.path, kinds)
        if route is None:
            raise RequestRefused(
                ResultCode.UNKNOWN_ROUTE,
                f"no route takes {raw.method} {raw.path!r} of service {raw.service!r}",
            )
        return MatchedRequest(raw=raw, team=team, route=route, upstream_path=_service_path(raw))

    return match


def _team(catalogue: Catalogue, raw: RawRequest) -> Team:
    name = TeamId(raw.headers.get(TEAM_HEADER, ""))
    team = catalogue.teams.get(name)
    if team is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_TEAM, f"header {TEAM_HEADER}: no team is named {name!r}"
        )
    return team


def _match_chat(catalogue: Catalogue, raw: RawRequest, team: Team) -> MatchedRequest:
    chat = _read_chat(raw.body)
    route = catalogue.chat_route(chat.model)
    if route is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE, f"field model: no route takes {chat.model!r}"
        )
    return MatchedRequest(raw=raw, team=team, route=route, upstream_path=CHAT_PATH, chat=chat)


def _read_chat(body: bytes) -> ChatBody:
    try:
        chat = _decode_chat(body)
    except msgspec.ValidationError as error:
        raise RequestRefused(ResultCode.BAD_FIELD, str(error)) from error
    except msgspec.DecodeError as error:
        raise RequestRefused(ResultCode.BAD_JSON, str(error)) from error
    if chat.max_tokens is not None and chat.max_tokens < 1:
        raise RequestRefused(ResultCode.BAD_FIELD, "field max_tokens: must be at least 1")
    return chat


def _service_path(raw: RawRequest) -> str:
    return f"/{raw.path}?{raw.query}" if raw.query else f"/{raw.path}"


def _build_request(catalogue: Catalogue) -> Callable[[MatchedRequest], CallerRequest]:
    default_tokens = catalogue.configuration.limits.default_max_tokens

    def build_request(matched: MatchedRequest) -> CallerRequest:
        raw, route, chat = matched.raw, matched.route, matched.chat
        ranked = _ranked_priority(catalogue, raw, route)
        return CallerRequest(
            request=raw.request,
            team=matched.team.name,
            priority=ranked.priority.name,
            rank=ranked.rank,
            route=route,
            method=raw.method,
            path=matched.upstream_path,
            content_type=raw.headers.get("Content-Type", ""),
            body=raw.body,
            stream=chat is not None and chat.stream,
            model=chat.model if chat else "",
            arrived_s=raw.now_s,
            deadline_s=raw.now_s + _timeout_s(raw, route),
            cost_tokens=_prompt_tokens(chat, raw) + _answer_tokens(chat, default_tokens),
            prompt_tokens=_prompt_tokens(chat, raw),
            fingerprint=_fingerprint(raw, route),
            prefix=_prefix_hash(chat) if chat else 0,
            operation=None if route.idempotent else _operation_key(raw),
        )

    return build_request


def _ranked_priority(catalogue: Catalogue, raw: RawRequest, route: Route) -> RankedPriority:
    name = PriorityId(raw.headers.get(PRIORITY_HEADER, route.priority))
    ranked = catalogue.priorities.get(name)
    if ranked is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_PRIORITY,
            f"header {PRIORITY_HEADER}: no priority is named {name!r}",
        )
    return ranked


def _timeout_s(raw: RawRequest, route: Route) -> float:
    text = raw.headers.get(TIMEOUT_HEADER)
    if text is None:
        return route.timeout_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0.0 < timeout_s < float("inf"):
        raise RequestRefused(
            ResultCode.BAD_HEADER,
            f"header {TIMEOUT_HEADER}: {text!r} is not a number of seconds above 0",
        )
    return min(timeout_s, route.timeout_s)


def _prompt_tokens(chat: ChatBody | None, raw: RawRequest) -> int:
    return len(raw.body) // BYTES_PER_TOKEN if chat else 0


def _answer_tokens(chat: ChatBody | None, default_tokens: int) -> int:
    return chat.max_tokens or default_tokens if chat else SERVICE_COST_TOKENS


def _fingerprint(raw: RawRequest, route: Route) -> Fingerprint:
    digest = xxhash.xxh3_128(raw.body)
    digest.update(f"\0{route.name}\0{raw.method}\0{raw.path}\0{raw.query}".encode())
    return Fingerprint(digest.hexdigest())


def _prefix_hash(chat: ChatBody) -> int:
    text = "\0".join(message.content for message in chat.messages)
    return xxhash.xxh3_64_intdigest(text[:PREFIX_CHARACTERS].encode())


def _operation_key(raw: RawRequest) -> OperationKey:
    text = raw.headers.get(KEY_HEADER)
    if not text:
        raise RequestRefused(ResultCode.MISSING_KEY, f"this route requires the header {KEY_HEADER}")
    key = IdempotencyKey(text)
    time_ms = key_time_ms(key)
    if time_ms is None:
        raise RequestRefused(
            ResultCode.BAD_KEY,
            f"header {KEY_HEADER}: must be a UUID version 7 or <unix milliseconds>-<opaque>",
        )
    return OperationKey(key, time_ms)
