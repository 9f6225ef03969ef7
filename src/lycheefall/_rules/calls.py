"""Decide what an entry does with each released request: pick, dispatch, retry, resume, end."""

from msgspec import structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import AttemptNumber, PoolId, RequestId, UpstreamId
from lycheefall._core.messages.dispatch import (
    Cancel,
    Credit,
    Finished,
    Frame,
    Pong,
    Refused,
    Resolved,
    Started,
    ToEntry,
)
from lycheefall._core.messages.entry import (
    Abandon,
    BookingAnswered,
    BookingLinkLost,
    BookingReply,
    CallerRequest,
    Capacity,
    ConfigurationChanged,
    DispatchClaimed,
    FingerprintsChanged,
    FramesRead,
    FromAgent,
    FromDispatch,
    LinkDown,
    LinkUp,
    Repick,
    ReplyEnd,
    ReplyTokens,
    Run,
    Tick,
    ToDispatch,
    ToLink,
    UpstreamsChanged,
)
from lycheefall._core.messages.membership import Load
from lycheefall._rules.booking_calls import (
    booking_answered,
    dispatch_claimed,
    is_booking,
    repick,
    start_booking,
)
from lycheefall._rules.call_state import (
    Call,
    CallsState,
    Upstream,
    choose,
    close,
    end,
    leave,
    make_dispatch,
    occupy,
)
from lycheefall._rules.refusals import refuse

MAX_ATTEMPTS = 4


def step_calls(
    state: CallsState, message: ToDispatch, now_s: float
) -> tuple[CallsState, list[FromDispatch]]:
    """Apply one message to the calls of an entry."""
    match message:
        case FromAgent():
            return state, _from_agent(state, message.upstream, message.message, now_s)
        case Run():
            return state, _run(state, message.call, now_s)
        case FramesRead():
            return state, _credit(state, message)
        case Abandon():
            return state, _abandon(state, message.request)
        case LinkUp():
            return state, _link_up(state, message)
        case LinkDown():
            return state, _link_down(state, message, now_s)
        case UpstreamsChanged():
            return state, _upstreams(state, message)
        case ConfigurationChanged():
            state.configuration = message.configuration
            return state, []
        case FingerprintsChanged():
            state.suspects = message.suspects
            state.refused = message.refused
            return state, []
        case DispatchClaimed():
            return state, dispatch_claimed(state, message, now_s)
        case Repick():
            return state, [repick(state, message, now_s)]
        case ToLink():
            return state, [message]
        case BookingAnswered():
            return state, booking_answered(state, message)
        case Tick():
            return state, _expire(state, now_s) + _capacities(state)


def _run(state: CallsState, request: CallerRequest, now_s: float) -> list[FromDispatch]:
    call = Call(request)
    state.calls[request.request] = call
    if request.fingerprint in state.refused:
        detail = "this request has crashed upstreams and is refused for now"
        refusal = refuse(request, ResultCode.FINGERPRINT_REFUSED, detail)
        return [refusal, close(state, call)]
    if request.operation is not None:
        return start_booking(state, call, now_s)
    return _attempt(state, call, ResultCode.NO_UPSTREAM, now_s)


def _attempt(
    state: CallsState, call: Call, otherwise: ResultCode, now_s: float
) -> list[FromDispatch]:
    """Start the next attempt, or end the call with a code if no upstream may take it."""
    upstream = choose(state, call.call, call.tried, now_s)
    if upstream is None or call.attempt >= MAX_ATTEMPTS:
        return end(state, call, otherwise, "no upstream of the route can take the request")
    call.attempt = AttemptNumber(call.attempt + 1)
    occupy(call, upstream)
    return [ToLink(call.upstream, make_dispatch(state, call, now_s))]


def _from_agent(
    state: CallsState, source: UpstreamId, message: ToEntry, now_s: float
) -> list[FromDispatch]:
    if isinstance(message, Pong):
        _load(state, source, message.load, message.state)
        return []
    call = state.calls.get(message.request)
    # The flow of a booking may go on after its call has ended.
    if not isinstance(message, Frame) and (call is None or is_booking(call)):
        return [BookingReply(message)]
    match message:
        case Frame():
            return _frame(state, message, now_s)
        case Finished():
            return _finished(state, message, now_s)
        case Refused():
            return _refused(state, message, now_s)
        case Started() | Resolved():
            return []


def _current(state: CallsState, request: RequestId, attempt: AttemptNumber) -> Call | None:
    call = state.calls.get(request)
    return call if call is not None and call.attempt == attempt else None


def _frame(state: CallsState, frame: Frame, now_s: float) -> list[FromDispatch]:
    call = _current(state, frame.request, frame.attempt)
    if call is None:
        return []
    fresh = frame.tokens[len(call.tokens) - frame.sequence :]
    if frame.sequence > len(call.tokens):
        return _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    if not fresh:
        return []
    call.tokens.extend(fresh)
    call.unread_frames += 1
    return [ReplyTokens(frame.request, fresh)]


def _finished(state: CallsState, finished: Finished, now_s: float) -> list[FromDispatch]:
    call = _current(state, finished.request, finished.attempt)
    if call is None:
        return []
    if finished.code is ResultCode.UPSTREAM_LOST:
        return _lost(state, call, finished.code, now_s)
    if finished.code is ResultCode.OK and finished.token_count != len(call.tokens):
        return _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    reply = ReplyEnd(
        request=finished.request,
        code=finished.code,
        status=finished.status,
        content_type=finished.content_type,
        body=finished.body,
        finish_reason=finished.finish_reason,
        upstream=call.upstream,
        attempts=call.attempt,
    )
    return [reply, close(state, call)]


def _refused(state: CallsState, refused: Refused, now_s: float) -> list[FromDispatch]:
    call = _current(state, refused.request, refused.attempt)
    if call is None:
        return []
    leave(state, call)
    return _attempt(state, call, refused.code, now_s)


def _lost(state: CallsState, call: Call, code: ResultCode, now_s: float) -> list[FromDispatch]:
    """Try elsewhere after an attempt that may have run."""
    leave(state, call)
    return _attempt(state, call, code, now_s)


def _load(state: CallsState, source: UpstreamId, load: Load, announced: MemberState) -> None:
    upstream = state.upstreams.get(source)
    if upstream is not None:
        upstream.member = structs.replace(upstream.member, load=load, state=announced)


def _credit(state: CallsState, read: FramesRead) -> list[FromDispatch]:
    call = state.calls.get(read.request)
    if call is None:
        return []
    call.unread_frames -= read.frames
    return [ToLink(call.upstream, Credit(read.request, call.attempt, read.frames))]


def _abandon(state: CallsState, request: RequestId) -> list[FromDispatch]:
    call = state.calls.get(request)
    if call is None:
        return []
    if is_booking(call):
        # An attempt that runs goes on: its outcome is recorded for the next try of the key.
        return [Abandon(request), close(state, call)]
    return [_cancel(call), close(state, call)]


def _cancel(call: Call) -> ToLink:
    return ToLink(call.upstream, Cancel(call.call.request, call.attempt))


def _link_up(state: CallsState, up: LinkUp) -> list[FromDispatch]:
    upstream = state.upstreams.get(up.upstream)
    if upstream is not None:
        upstream.connected = True
        upstream.incarnation = up.incarnation
    return []


def _link_down(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    upstream = state.upstreams.get(down.upstream)
    if upstream is not None:
        upstream.connected = False
    lost = [
        call
        for call in state.calls.values()
        if call.upstream == down.upstream
        and call.incarnation == down.incarnation
        and not is_booking(call)
    ]
    results: list[FromDispatch] = [BookingLinkLost(down.upstream)]
    for call in lost:
        results += _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _upstreams(state: CallsState, changed: UpstreamsChanged) -> list[FromDispatch]:
    for member in changed.upstreams:
        known = state.upstreams.get(member.upstream)
        if known is None:
            state.upstreams[member.upstream] = Upstream(member, member.incarnation)
        else:
            known.member = member
    for removed in changed.removed:
        state.upstreams.pop(removed, None)
    return []


def _expire(state: CallsState, now_s: float) -> list[FromDispatch]:
    expired = [
        call
        for call in state.calls.values()
        if call.call.deadline_s <= now_s and not is_booking(call)
    ]
    results: list[FromDispatch] = []
    for call in expired:
        results.append(_cancel(call))
        results += end(
            state, call, ResultCode.TIMEOUT_AFTER_START, "the request ran into its timeout"
        )
    return results


def _capacities(state: CallsState) -> list[FromDispatch]:
    slots: dict[PoolId, int] = {pool.name: 0 for pool in state.configuration.pools}
    for upstream in state.upstreams.values():
        if upstream.connected and upstream.member.state is MemberState.READY:
            pool = upstream.member.pool
            slots[pool] = slots.get(pool, 0) + upstream.member.concurrency
    return [Capacity(pool, number) for pool, number in slots.items()]
