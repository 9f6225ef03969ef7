"""Coalesce concurrent requests for the same booking at one entry.

The first request of a booking runs; concurrent requests with its key join it and get its answer.
Partner software retries immediately and without backoff. Without coalescing, each retry would
take a queue slot and a command in the log.
"""

from msgspec import Struct, field, structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Fingerprint, IdempotencyKey, RequestId, TeamId
from lycheefall._core.messages.entry import Abandon, CallerRequest, ReplyEnd, Submit

OperationId = tuple[TeamId, IdempotencyKey]


class JoinedRequests(Struct):
    """A booking in flight, and the retries that wait for its answer."""

    operation: OperationId
    fingerprint: Fingerprint
    followers: list[RequestId] = field(default_factory=list)


class JoinsState(Struct):
    """Bookings in flight, by key and by the request that is running."""

    by_operation: dict[OperationId, RequestId] = field(default_factory=dict)
    by_request: dict[RequestId, JoinedRequests] = field(default_factory=dict)
    # The running request that each follower waits for.
    by_follower: dict[RequestId, RequestId] = field(default_factory=dict)


JoinMessage = Submit | Abandon | ReplyEnd


def step_joins(
    state: JoinsState, message: JoinMessage, now_s: float
) -> tuple[JoinsState, list[JoinMessage]]:
    """Forward the first request of a booking, and send its answer to all concurrent retries."""
    match message:
        case Submit():
            return state, _submit(state, message.caller_request)
        case Abandon():
            return state, _abandon(state, message)
        case ReplyEnd():
            return state, _end(state, message)


def _submit(state: JoinsState, caller_request: CallerRequest) -> list[JoinMessage]:
    if caller_request.operation is None:
        return [Submit(caller_request)]
    operation = (caller_request.team, caller_request.operation.key)
    first = state.by_operation.get(operation)
    if first is None:
        state.by_operation[operation] = caller_request.request
        state.by_request[caller_request.request] = JoinedRequests(
            operation, caller_request.fingerprint
        )
        return [Submit(caller_request)]
    joined = state.by_request[first]
    if joined.fingerprint != caller_request.fingerprint:
        detail = "the key is in use for another request"
        return [ReplyEnd(request=caller_request.request, code=ResultCode.KEY_REUSED, detail=detail)]
    joined.followers.append(caller_request.request)
    state.by_follower[caller_request.request] = first
    return []


def _abandon(state: JoinsState, abandon: Abandon) -> list[JoinMessage]:
    first = state.by_follower.pop(abandon.request, None)
    if first is not None:
        state.by_request[first].followers.remove(abandon.request)
        return []
    joined = state.by_request.get(abandon.request)
    if joined is None:
        return [abandon]
    if joined.followers:
        # The request continues because its followers still wait for the answer.
        return []
    _remove(state, abandon.request, joined)
    return [abandon]


def _end(state: JoinsState, end: ReplyEnd) -> list[JoinMessage]:
    joined = state.by_request.get(end.request)
    if joined is None:
        return [end]
    _remove(state, end.request, joined)
    code = ResultCode.JOINED if end.code is ResultCode.OK else end.code
    return [
        end,
        *(structs.replace(end, request=follower, code=code) for follower in joined.followers),
    ]


def _remove(state: JoinsState, request: RequestId, joined: JoinedRequests) -> None:
    del state.by_request[request]
    del state.by_operation[joined.operation]
    for follower in joined.followers:
        state.by_follower.pop(follower, None)
