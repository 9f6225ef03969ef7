"""Accept requests from callers over HTTP."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from lycheefall._core.codes import ResultCode
from lycheefall._core.exceptions import RequestRefused
from lycheefall._core.ids import Incarnation, InstanceId, RequestId, TeamId
from lycheefall._core.messages.entry import (
    Abandon,
    CallerRequest,
    FramesRead,
    ReplyPart,
    Submit,
)
from lycheefall._core.pipeline import Inbox, Latest
from lycheefall._entry.catalogue import Catalogue
from lycheefall._entry.responses import refusal, write_response
from lycheefall._entry.validate import (
    CHAT_PATH,
    KEY_HEADER,
    TEAM_HEADER,
    RawRequest,
    request_validator,
)
from lycheefall._rules import byte_budget
from lycheefall._rules.byte_budget import ByteBudget, Holding
from lycheefall._rules.directory import EntriesAnswer
from lycheefall._rules.refusals import code_before_claim

# Capacity of a reply inbox: WINDOW_FRAMES frames, one message each, and the end of the answer.
REPLY_INBOX_PARTS = 320
# Longest wait of a booking for the first configuration. Control resumes granting claims within 2 s;
# an immediate refusal would exhaust the attempts of a caller that retries without backoff.
CONFIGURATION_WAIT_S = 2.0
# Bodies of all open requests.
BODIES_BYTES = 256 * 1024 * 1024
OVERLOADED_RETRY_S = 1.0
# A body that makes no progress for this time is refused, as it keeps its room from others.
BODY_IDLE_S = 15.0
# Maximum length of a request id supplied by a caller; unused, as the entry generates all ids.
REQUEST_ID_CHARACTERS = 64

Offer = Callable[[Submit | Abandon | FramesRead], bool]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Acceptor:
    """State shared by the HTTP handlers: requests in flight and the active configuration."""

    __slots__ = (
        "_body_bytes",
        "_count",
        "_id_prefix",
        "_offer",
        "_open_requests",
        "catalogue",
        "draining",
        "idle",
        "replies",
    )

    def __init__(self, instance: InstanceId, incarnation: Incarnation, offer: Offer) -> None:
        self._id_prefix = f"{instance}-{incarnation[:6]}"
        self._count = 0
        self._offer = offer
        self._open_requests = 0
        self._body_bytes = ByteBudget(BODIES_BYTES)
        self.catalogue: Latest[Catalogue | None] = Latest(None)
        self.replies: dict[RequestId, Inbox[ReplyPart]] = {}
        self.draining = False
        # Set while no request is open.
        self.idle = asyncio.Event()
        self.idle.set()

    def next_request_id(self) -> RequestId:
        """Return a unique request id."""
        self._count += 1
        return RequestId(f"{self._id_prefix}-{self._count}")

    def deliver_reply(self, part: ReplyPart) -> None:
        """Deliver a part to the handler of its request; drop it if the caller has disconnected."""
        inbox = self.replies.get(part.request)
        if inbox is not None:
            inbox.offer(part)

    async def handle(self, http: web.Request, service: str, path: str) -> web.StreamResponse:
        """Handle one HTTP request."""
        # A request is open once its headers have arrived; its body may still be in transit.
        self._open_requests += 1
        self.idle.clear()
        holding = Holding(end=lambda: None, is_growing=False)
        try:
            return await self._handle(http, service, path, holding)
        finally:
            byte_budget.close(self._body_bytes, holding)
            self._open_requests -= 1
            if not self._open_requests:
                self.idle.set()

    async def _handle(
        self, http: web.Request, service: str, path: str, holding: Holding
    ) -> web.StreamResponse:
        request = self.next_request_id()
        try:
            caller_request = await self._validate(http, request, service, path, holding)
        except RequestRefused as error:
            code = code_before_claim(error.code, KEY_HEADER in http.headers)
            retry_s = OVERLOADED_RETRY_S if error.code is ResultCode.OVERLOADED else 0.0
            return refusal(code, error.detail, request, retry_s)
        return await self._respond(http, caller_request)

    async def _validate(
        self, http: web.Request, request: RequestId, service: str, path: str, holding: Holding
    ) -> CallerRequest:
        # The request timeout starts here, so it includes the wait for a configuration.
        arrived_s = asyncio.get_running_loop().time()
        if KEY_HEADER in http.headers:
            await self.catalogue.wait_published(CONFIGURATION_WAIT_S)
        catalogue = self.catalogue.value
        if catalogue is None:
            raise RequestRefused(ResultCode.NOT_READY, "no committed configuration is known yet")
        limit_bytes = catalogue.configuration.limits.body_bytes
        # The length of a body in chunks is not known before its end.
        size_bytes = min(limit_bytes, http.content_length or limit_bytes)
        if http.can_read_body:
            if not byte_budget.has_room(self._body_bytes, size_bytes):
                raise RequestRefused(ResultCode.OVERLOADED, "the entry has no room for the body")
            byte_budget.resize(self._body_bytes, holding, size_bytes)
        body = await _read_body(http, limit_bytes)
        byte_budget.resize(self._body_bytes, holding, len(body))
        raw = RawRequest(
            request=request,
            method=http.method,
            service=service,
            path=path,
            query=http.query_string,
            headers=http.headers,
            body=body,
            now_s=arrived_s,
        )
        return request_validator(catalogue)(raw)

    async def _respond(
        self, http: web.Request, caller_request: CallerRequest
    ) -> web.StreamResponse:
        inbox: Inbox[ReplyPart] = Inbox(REPLY_INBOX_PARTS)
        self.replies[caller_request.request] = inbox
        if not self._offer(Submit(caller_request)):
            del self.replies[caller_request.request]
            code = code_before_claim(ResultCode.OVERLOADED, caller_request.operation is not None)
            return refusal(
                code, "the entry is overloaded", caller_request.request, OVERLOADED_RETRY_S
            )
        is_complete = False

        def report_frames(frames: int) -> None:
            self._offer(FramesRead(caller_request.request, frames))

        try:
            response = await write_response(http, caller_request, inbox, report_frames)
            is_complete = True
            return response
        finally:
            del self.replies[caller_request.request]
            if not is_complete:
                self._offer(Abandon(caller_request.request))


async def _read_body(http: web.Request, limit_bytes: int) -> bytes:
    if (http.content_length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    if not http.can_read_body:
        return b""
    body = bytearray()
    while chunk := await _read_part(http):
        body += chunk
        if len(body) > limit_bytes:
            raise _too_large(limit_bytes)
    return bytes(body)


async def _read_part(http: web.Request) -> bytes:
    try:
        async with asyncio.timeout(BODY_IDLE_S):
            return await http.content.readany()
    except TimeoutError as error:
        detail = f"no part of the body has arrived for {BODY_IDLE_S:g} s"
        raise RequestRefused(ResultCode.OVERLOADED, detail) from error


def _too_large(limit_bytes: int) -> RequestRefused:
    return RequestRefused(
        ResultCode.BODY_TOO_LARGE, f"the body is larger than limits.body_bytes = {limit_bytes}"
    )


# Returns the entries that a team may use, in order of preference.
ChooseEntries = Callable[[TeamId], EntriesAnswer]


def build_application(acceptor: Acceptor, choose: ChooseEntries) -> web.Application:
    """Return the HTTP application of an entry."""
    application = web.Application()
    application.router.add_post(CHAT_PATH, _chat(acceptor))
    application.router.add_route("*", "/v1/services/{service}/{path:.*}", _service(acceptor))
    application.router.add_get("/v1/entries", _entries(acceptor, choose))
    application.router.add_get("/healthz", _health)
    application.router.add_get("/readyz", _ready(acceptor))
    return application


def _chat(acceptor: Acceptor) -> Handler:
    async def chat(http: web.Request) -> web.StreamResponse:
        return await acceptor.handle(http, "", CHAT_PATH)

    return chat


def _service(acceptor: Acceptor) -> Handler:
    async def service(http: web.Request) -> web.StreamResponse:
        return await acceptor.handle(http, http.match_info["service"], http.match_info["path"])

    return service


def _entries(acceptor: Acceptor, choose: ChooseEntries) -> Handler:
    async def entries(http: web.Request) -> web.StreamResponse:
        catalogue = acceptor.catalogue.value
        if catalogue is None:
            return refusal(ResultCode.NOT_READY, "no committed configuration is known yet", "")
        team = TeamId(http.headers.get(TEAM_HEADER) or http.query.get("team", ""))
        if team not in catalogue.teams:
            return refusal(ResultCode.UNKNOWN_TEAM, f"no team is named {team!r}", "")
        body = msgspec.json.encode(choose(team))
        return web.Response(body=body, content_type="application/json")

    return entries


async def _health(http: web.Request) -> web.StreamResponse:
    return web.Response(text="ok\n")


def _ready(acceptor: Acceptor) -> Handler:
    async def ready(http: web.Request) -> web.StreamResponse:
        if acceptor.draining:
            return refusal(ResultCode.SHUTTING_DOWN, "the entry is shutting down", "")
        if acceptor.catalogue.value is None:
            return refusal(ResultCode.NOT_READY, "no committed configuration is known yet", "")
        return web.Response(text="ready\n")

    return ready
