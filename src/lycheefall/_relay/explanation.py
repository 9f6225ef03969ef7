"""Answer an operator's question where a request would go now, and why."""

from asyncio import Future, get_running_loop
from collections.abc import Callable
from copy import deepcopy
from http import HTTPStatus

import msgspec

from lycheefall._core.events import Event
from lycheefall._core.exceptions import QuestionInvalid
from lycheefall._core.ids import NO_REVISION, RouteId
from lycheefall._core.log import log
from lycheefall._core.pipeline import Inbox
from lycheefall._relay.explain_messages import (
    Answer,
    ExplainPlacement,
    decode_question,
)
from lycheefall._relay.messages import ToDispatch
from lycheefall._rules import explanation
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.explanation import EXPLAINED, Admission, Decision
from lycheefall._rules.identification import (
    NO_CONFIGURATION_RETRY_AFTER_S,
    Identified,
    Index,
    Unidentified,
    identify,
    is_caller_retry,
)
from lycheefall._wire.http_server import (
    CallerConnection,
    Headers,
    IncomingRequest,
    RequestHandler,
    send_local_response,
)

# Time from the start of an explanation to that of the next: a copy of the state holds up requests.
EXPLAIN_PERIOD_S = 1.0
# More connections than operators need.
MAX_CONNECTIONS = 64
_JSON = ((b"Content-Type", b"application/json"),)


def explain_handler(
    index: Callable[[], Index | None],
    longest_timeout_s: dict[RouteId, float],
    dispatch: Inbox[ToDispatch],
) -> RequestHandler:
    """Return the handler of `POST /explain`, which answers one question at a time."""
    next_s = float("-inf")
    is_busy = False

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        nonlocal next_s, is_busy
        loop = get_running_loop()
        if request.method != b"POST":
            await _fail(caller, HTTPStatus.METHOD_NOT_ALLOWED, "send the question with POST")
            return
        try:
            question = decode_question(request.body)
        except QuestionInvalid as error:
            await _fail(caller, HTTPStatus.BAD_REQUEST, error.detail)
            return
        if is_busy or loop.time() < next_s or len(caller.server.callers) > MAX_CONNECTIONS:
            await _fail(caller, HTTPStatus.TOO_MANY_REQUESTS, "one explanation per second")
            return
        is_busy = True
        next_s = loop.time() + EXPLAIN_PERIOD_S
        try:
            answer: Future[Answer] = loop.create_future()
            message = ExplainPlacement(question, index(), dict(longest_timeout_s), answer)
            await dispatch.put(message)
            body = msgspec.json.encode(await answer)
        finally:
            is_busy = False
        await send_local_response(caller, HTTPStatus.OK, _JSON, body)

    return handle


def resolve(state: DispatchState, message: ExplainPlacement, now_s: float) -> None:
    """Answer a question; a fault in the answer ends the question, not the dispatcher."""
    if message.answer.done():
        return
    now = get_running_loop().time
    began_s = now()
    try:
        answer = answer_question(state, message, now_s)
    except Exception as error:
        message.answer.set_exception(error)
        return
    message.answer.set_result(answer)
    log(
        Event.DECISION_EXPLAINED,
        route=answer.route,
        pool=answer.pool,
        admission=answer.decision.admission.value,
        upstream=answer.decision.upstream,
        reason=answer.decision.reason,
        duration_s=round(now() - began_s, 4),
    )


def answer_question(state: DispatchState, message: ExplainPlacement, now_s: float) -> Answer:
    """Identify the request of a question and explain its placement, without changing the state."""
    index, question = message.index, message.question
    if index is None:
        decision = Decision(
            admission=Admission.REFUSED,
            reason="no configuration yet",
            retry_after_s=NO_CONFIGURATION_RETRY_AFTER_S,
        )
        return _answer(state, index, decision, HTTPStatus.SERVICE_UNAVAILABLE, None)
    # A real request draws from the same source before it is placed.
    random = deepcopy(state.random)
    path = question.target.partition("?")[0]
    identified = identify(index, question.host, path, question.key, random.random())
    if isinstance(identified, Unidentified):
        is_unknown = identified is Unidentified.NO_ROUTE
        status = HTTPStatus.NOT_FOUND if is_unknown else HTTPStatus.UNAUTHORIZED
        decision = Decision(admission=Admission.REFUSED, reason=identified.value)
        return _answer(state, index, decision, status, None)
    request = _request_of(identified, message, now_s)
    decision = explanation.explain(state, request, now_s, random)
    is_refused = decision.admission is Admission.REFUSED
    status_or_none = HTTPStatus.SERVICE_UNAVAILABLE if is_refused else None
    return _answer(state, index, decision, status_or_none, identified)


def _request_of(identified: Identified, message: ExplainPlacement, now_s: float) -> DispatchRequest:
    route = identified.route
    deadline_ms = message.question.deadline_ms
    timeout_s = route.timeout_s if deadline_ms is None else deadline_ms / 1000
    longest_s = max(timeout_s, message.longest_timeout_s.get(route.name, 0.0))
    return DispatchRequest(
        number=EXPLAINED,
        pool=identified.pool,
        kind=route.kind,
        urgency=identified.urgency,
        team=identified.team,
        arrived_s=now_s,
        target_s=now_s + (0.0 if is_caller_retry(timeout_s, longest_s) else route.target_s),
        deadline_s=now_s + min(timeout_s, route.timeout_s),
    )


def _answer(
    state: DispatchState,
    index: Index | None,
    decision: Decision,
    status: int | None,
    identified: Identified | None,
) -> Answer:
    evacuations = state.evacuations
    return Answer(
        entry=state.instance,
        data_centre=state.data_centre,
        revision=NO_REVISION if index is None else index.configuration.revision,
        evacuated_data_centres=() if evacuations is None else tuple(evacuations.data_centres),
        decision=decision,
        status=None if status is None else int(status),
        route=None if identified is None else identified.route.name,
        pool=None if identified is None else identified.pool,
        team=None if identified is None else identified.team,
        rank=None if identified is None else identified.urgency.rank,
    )


async def _fail(caller: CallerConnection, status: HTTPStatus, detail: str) -> None:
    headers: Headers = _JSON
    if status is HTTPStatus.TOO_MANY_REQUESTS:
        headers += ((b"Retry-After", f"{EXPLAIN_PERIOD_S:g}".encode()),)
    await send_local_response(caller, status, headers, msgspec.json.encode({"detail": detail}))
