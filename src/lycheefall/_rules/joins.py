"""Join the tries of one booking that are in flight at this entry at the same time.

Partner software retries at once and without pause; without the join each try would take a slot
of the queue and a command of the log.
"""

from msgspec import Struct, field, structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Fingerprint, IdempotencyKey, RequestId, TeamId
from lycheefall._core.messages.entry import CallerRequest, ReplyEnd, Submit

OperationId = tuple[TeamId, IdempotencyKey]


class Joined(Struct):
    """The try that runs and those that wait for its answer."""

    operation: OperationId
    fingerprint: Fingerprint
    followers: list[RequestId] = field(default_factory=list)


class JoinsState(Struct):
    """Bookings in flight, by key and by the request that runs."""

    by_operation: dict[OperationId, RequestId] = field(default_factory=dict)
    by_request: dict[RequestId, Joined] = field(default_factory=dict)


def step_joins(
    state: JoinsState, message: Submit | ReplyEnd, now_s: float
) -> tuple[JoinsState, list[Submit | ReplyEnd]]:
    """Pass on the first try of a booking, and give its answer to all tries."""
    if isinstance(message, Submit):
        return state, _submit(state, message.call)
    return state, _end(state, message)


def _submit(state: JoinsState, call: CallerRequest) -> list[Submit | ReplyEnd]:
    if call.operation is None:
        return [Submit(call)]
    operation = (call.team, call.operation.key)
    first = state.by_operation.get(operation)
    if first is None:
        state.by_operation[operation] = call.request
        state.by_request[call.request] = Joined(operation, call.fingerprint)
        return [Submit(call)]
    joined = state.by_request[first]
    if joined.fingerprint != call.fingerprint:
        detail = "the key is in use for another request"
        return [ReplyEnd(request=call.request, code=ResultCode.KEY_REUSED, detail=detail)]
    joined.followers.append(call.request)
    return []


def _end(state: JoinsState, end: ReplyEnd) -> list[Submit | ReplyEnd]:
    joined = state.by_request.pop(end.request, None)
    if joined is None:
        return [end]
    del state.by_operation[joined.operation]
    code = ResultCode.JOINED if end.code is ResultCode.OK else end.code
    return [
        end,
        *(structs.replace(end, request=follower, code=code) for follower in joined.followers),
    ]
