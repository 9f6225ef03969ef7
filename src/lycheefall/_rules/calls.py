"""Decide what an entry does with each released request: pick, dispatch, retry, resume, end."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import RequestId, UpstreamId
from lycheefall._core.messages.dispatch import (
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
    BookingReply,
    CallerRequest,
    ConfigurationChanged,
    CrashRecorded,
    CrashSeen,
    DispatchClaimed,
    EntriesSeen,
    FingerprintsChanged,
    FramesRead,
    FromAgent,
    FromDispatch,
    HedgeDue,
    LeaseAnswered,
    LinkDown,
    LinkUp,
    Repick,
    ReplyTokens,
    Run,
    Tick,
    ToDispatch,
    ToLink,
    UpstreamHeartbeat,
    UpstreamLeft,
)
from lycheefall._rules import hedge_calls, retries, streams, suspect_calls, upstreams
from lycheefall._rules.booking_calls import (
    booking_answered,
    dispatch_claimed,
    is_booking,
    observe_booking,
    repick,
    start_booking,
)
from lycheefall._rules.call_attempts import (
    REFUSED_DETAIL,
    after_loss,
    after_refusal,
    begin_attempt,
    cancel,
    unpark,
)
from lycheefall._rules.call_state import (
    Call,
    CallsState,
    begun,
    close,
    current,
    end,
    late_code,
    reply_of,
    table_of,
)
from lycheefall._rules.call_streams import credit
from lycheefall._rules.known_upstreams import (
    capacities,
    configure,
    learn_refusal,
    link_down,
    link_up,
    note_presence,
    upstream_heard,
    upstream_left,
)
from lycheefall._rules.refusals import refuse


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
            return state, credit(state, message)
        case Abandon():
            return state, _abandon(state, message.request, now_s)
        case UpstreamHeartbeat():
            stopped = suspect_calls.hear(state, message.member.crashed, now_s)
            return state, upstream_heard(state, message, now_s) + _stop(state, stopped, now_s)
        case UpstreamLeft():
            return state, upstream_left(state, message)
        case LinkUp():
            return state, link_up(state, message, now_s)
        case LinkDown():
            return state, link_down(state, message, now_s) + _lose_all(state, message, now_s)
        case ConfigurationChanged():
            return state, configure(state, message.configuration)
        case FingerprintsChanged():
            return state, _stop(state, suspect_calls.take(state, message, now_s), now_s)
        case CrashRecorded():
            return state, _crash_recorded(state, message, now_s)
        case LeaseAnswered():
            return state, _lease_answered(state, message, now_s)
        case EntriesSeen():
            state.entries = max(1, len(message.incarnations))
            return state, []
        case DispatchClaimed():
            return state, dispatch_claimed(state, message, now_s)
        case HedgeDue():
            return state, hedge_calls.due(state, message, now_s)
        case Repick():
            return state, repick(state, message, now_s)
        case ToLink():
            return state, [message]
        case BookingAnswered():
            return state, booking_answered(state, message, now_s)
        case Tick():
            suspect_calls.expire(state, now_s)
            results = _expire(state, now_s) + unpark(state, now_s) + capacities(state, now_s)
            ended, state.suspects_ended = state.suspects_ended, []
            return state, [*results, *ended]


def _run(state: CallsState, request: CallerRequest, now_s: float) -> list[FromDispatch]:
    call = Call(request)
    state.calls[request.request] = call
    ratio = state.team_ratios.get(request.team, 0.0)
    retries.first_try(state.budgets, request.team, ratio)
    if request.fingerprint in state.refused and not is_booking(call):
        refusal = refuse(request, ResultCode.FINGERPRINT_REFUSED, REFUSED_DETAIL)
        return [refusal, close(state, call, now_s)]
    if is_booking(call):
        return start_booking(state, call, now_s)
    return begin_attempt(state, call, ResultCode.NO_UPSTREAM, now_s)


def _from_agent(
    state: CallsState, source: UpstreamId, message: ToEntry, now_s: float
) -> list[FromDispatch]:
    table = table_of(state, source)
    if table is not None and isinstance(message, Pong | Refused | Finished) and message.occupancy:
        upstreams.occupied(table, source, message.occupancy)
    if isinstance(message, Pong):
        if table is not None:
            upstreams.report(table, source, message.incarnation, message.load, now_s)
            upstreams.set_state(table, source, message.state)
            note_presence(state, source, now_s)
        return []
    if isinstance(message, Finished) and message.crash is not None:
        stopped = hedge_calls.crashed(state, message, now_s)
        return stopped + suspect_calls.crash_seen(state, CrashSeen(source, message))
    return _about_call(state, source, message, now_s)


def _about_call(
    state: CallsState,
    source: UpstreamId,
    message: Started | Refused | Frame | Finished | Resolved,
    now_s: float,
) -> list[FromDispatch]:
    call = state.calls.get(message.request)
    # The flow of a booking may go on after its call has ended.
    if not isinstance(message, Frame) and (call is None or is_booking(call)):
        if call is not None:
            observe_booking(state, call, message, now_s)
        return [BookingReply(message)]
    if call is not None and call.other is not None and isinstance(message, Refused | Finished):
        return _about_one_of_two(state, call, source, message, now_s)
    match message:
        case Frame() | Finished():
            return _streamed(state, message, now_s)
        case Refused():
            return after_refusal(state, source, message, now_s)
        case Started() | Resolved():
            return []


def _about_one_of_two(
    state: CallsState, call: Call, source: UpstreamId, message: Refused | Finished, now_s: float
) -> list[FromDispatch]:
    """Answer with the first whole answer; otherwise the other attempt goes on."""
    if isinstance(message, Finished) and message.code is ResultCode.OK:
        hedge_calls.focus(call, message.attempt)
        return _streamed(state, message, now_s)
    if isinstance(message, Refused):
        # The refused copy of a duplicate is the second one; the first one started.
        if message.code is ResultCode.DUPLICATE_ATTEMPT:
            return []
        learn_refusal(state, source, message, now_s)
    hedge_calls.one_ended(state, call, message, now_s)
    return []


def _streamed(state: CallsState, message: Frame | Finished, now_s: float) -> list[FromDispatch]:
    call = state.calls.get(message.request)
    if call is None or call.stream is None or call.occupied is None:
        return []
    _, (effect,) = streams.step(call.stream, message, now_s)
    match effect:
        case streams.Deliver():
            begun(state, call, now_s)
            call.unread_frames += 1
            return [ReplyTokens(message.request, effect.tokens)]
        case streams.Completed():
            return _answered(state, call, effect.finished, now_s)
        case streams.AttemptEnded():
            return _attempt_ended(state, call, effect, now_s)
        case streams.Dropped():
            return []


def _attempt_ended(
    state: CallsState, call: Call, ended: streams.AttemptEnded, now_s: float
) -> list[FromDispatch]:
    """Resume after a loss; an upstream that answered with an error has the last word."""
    finished = ended.finished
    if finished is not None and finished.code is not ResultCode.UPSTREAM_LOST:
        if call.failure is not None:
            return end(state, call, finished.code, "", now_s)
        return _answered(state, call, finished, now_s)
    # After a gap the attempt still runs, and the other one of a hedged lookup does anyway.
    is_running = ended.reason is streams.EndReason.GAP or call.other is not None
    stopped = cancel(call) if is_running else []
    return stopped + after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)


def _answered(
    state: CallsState, call: Call, finished: Finished, now_s: float
) -> list[FromDispatch]:
    if not call.tokens:
        begun(state, call, now_s)
    reply = reply_of(call, finished)
    stopped: list[FromDispatch] = []
    if finished.code is ResultCode.OK:
        suspect_calls.cleared(state, call)
        stopped = hedge_calls.answered(state, call, now_s)
    return [reply, *stopped, close(state, call, now_s, failed=finished.code is not ResultCode.OK)]


def _lose_all(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    hedge_calls.link_lost(state, down.upstream, down.incarnation, now_s)
    lost = [
        call
        for call in state.calls.values()
        if call.upstream == down.upstream
        and call.incarnation == down.incarnation
        and call.occupied is not None
        and not call.crashing
        and not is_booking(call)
    ]
    results: list[FromDispatch] = []
    for call in lost:
        results += after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _stop(state: CallsState, calls: list[Call], now_s: float) -> list[FromDispatch]:
    """Take calls off their upstreams."""
    results: list[FromDispatch] = []
    for call in calls:
        results += cancel(call) + after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _crash_recorded(state: CallsState, recorded: CrashRecorded, now_s: float) -> list[FromDispatch]:
    """Go on with a call whose crash is in the log; without the record it may not run again."""
    finished = recorded.seen.finished
    stopped = _stop(state, suspect_calls.note_crash(state, recorded, now_s), now_s)
    call = current(state, finished.request, finished.attempt)
    if call is not None:
        call.crashing = False
        if recorded.refused is None and not is_booking(call):
            detail = "the upstream went down and control could not record it"
            return stopped + end(state, call, ResultCode.UPSTREAM_LOST, detail, now_s)
    return stopped + _about_call(state, recorded.seen.upstream, finished, now_s)


def _lease_answered(state: CallsState, answered: LeaseAnswered, now_s: float) -> list[FromDispatch]:
    call = state.calls.get(answered.request)
    if call is None:
        return suspect_calls.give_back(answered)
    call.lease = answered.fencing
    call.lease_due_s = now_s + suspect_calls.LEASE_RETRY_S
    if call.lease is None or call.occupied is not None or is_booking(call):
        return []
    code = ResultCode.UPSTREAM_LOST if call.lost else ResultCode.NO_UPSTREAM
    return begin_attempt(state, call, code, now_s)


def _abandon(state: CallsState, request: RequestId, now_s: float) -> list[FromDispatch]:
    call = state.calls.get(request)
    if call is None:
        return []
    if is_booking(call):
        # An attempt that runs goes on: its outcome is recorded for the next try of the key. A lease
        # is kept until it expires, as it covers the attempt.
        call.lease = None
        return [Abandon(request), close(state, call, now_s)]
    return [*cancel(call), close(state, call, now_s)]


def _expire(state: CallsState, now_s: float) -> list[FromDispatch]:
    expired = [
        call
        for call in state.calls.values()
        if call.call.deadline_s <= now_s and not is_booking(call)
    ]
    results: list[FromDispatch] = []
    for call in expired:
        results += cancel(call)
        results += end(state, call, late_code(call), "the request ran into its timeout", now_s)
    return results
