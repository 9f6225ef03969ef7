"""Dispatch, retry, resume and end the requests that the queue of an entry has admitted."""

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
    CrashReported,
    DispatchClaimed,
    EntriesChanged,
    EvacuationsChanged,
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
    StopBegan,
    Tick,
    ToDispatch,
    ToLink,
    UpstreamHeartbeat,
    UpstreamLeft,
)
from lycheefall._rules import hedge_calls, planned_stop, retries, streams, suspect_calls
from lycheefall._rules.booking_calls import (
    is_booking,
    on_booking_answered,
    on_dispatch_claimed,
    record_booking_delay,
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
    call_of_attempt,
    end_call,
    make_reply,
    record_first_token,
    remove_call,
    table_of,
    timeout_code,
)
from lycheefall._rules.call_streams import grant_credit
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.known_upstreams import (
    apply_evacuations,
    apply_refusal,
    configure,
    on_link_down,
    on_link_up,
    on_upstream_heartbeat,
    on_upstream_left,
    pool_capacities,
    update_availability,
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
            return state, _run(state, message.caller_request, now_s)
        case FramesRead():
            return state, grant_credit(state, message)
        case Abandon():
            return state, _abandon(state, message.request, now_s)
        case UpstreamHeartbeat():
            copies = suspect_calls.add_reported_suspects(state, message.member.crashed, now_s)
            return state, on_upstream_heartbeat(state, message, now_s) + _cancel_and_retry(
                state, copies, now_s
            )
        case UpstreamLeft():
            return state, on_upstream_left(state, message)
        case LinkUp():
            return state, on_link_up(state, message, now_s)
        case LinkDown():
            return state, on_link_down(state, message, now_s) + _retry_lost_attempts(
                state, message, now_s
            )
        case ConfigurationChanged():
            return state, configure(state, message.configuration)
        case FingerprintsChanged():
            return state, _cancel_and_retry(
                state, suspect_calls.update_suspects(state, message, now_s), now_s
            )
        case EvacuationsChanged():
            return state, apply_evacuations(state, message.evacuations, now_s)
        case CrashRecorded():
            return state, _crash_recorded(state, message, now_s)
        case LeaseAnswered():
            return state, _lease_answered(state, message, now_s)
        case EntriesChanged():
            state.entry_count = max(1, len(message.incarnations))
            return state, []
        case DispatchClaimed():
            return state, on_dispatch_claimed(state, message, now_s)
        case HedgeDue():
            return state, hedge_calls.on_hedge_due(state, message, now_s)
        case Repick():
            return state, repick(state, message, now_s)
        case ToLink():
            return state, [message]
        case BookingAnswered():
            return state, on_booking_answered(state, message, now_s)
        case StopBegan():
            state.ends_s = message.ends_s
            # Parked calls are refused at the next tick.
            return state, []
        case Tick():
            suspect_calls.expire(state, now_s)
            results = (
                _end_timed_out_calls(state, now_s)
                + unpark(state, now_s)
                + pool_capacities(state, now_s)
            )
            ended, state.leases_to_release = state.leases_to_release, []
            return state, [*results, *ended]


def _run(state: CallsState, caller_request: CallerRequest, now_s: float) -> list[FromDispatch]:
    call = Call(caller_request)
    state.calls[caller_request.request] = call
    ratio = state.team_ratios.get(caller_request.team, 0.0)
    retries.credit(state.budgets, caller_request.team, ratio)
    if caller_request.fingerprint in state.refused and not is_booking(call):
        refusal = refuse(caller_request, ResultCode.FINGERPRINT_REFUSED, REFUSED_DETAIL)
        return [refusal, remove_call(state, call, now_s)]
    if is_booking(call):
        return start_booking(state, call, now_s)
    return begin_attempt(state, call, ResultCode.NO_UPSTREAM, now_s)


def _from_agent(
    state: CallsState, source: UpstreamId, message: ToEntry, now_s: float
) -> list[FromDispatch]:
    """Update the table of upstreams; hold back a crash for its record, and process the rest."""
    table = table_of(state, source)
    if table is not None and isinstance(message, Pong | Refused | Finished) and message.occupancy:
        upstreams.apply_occupancy(table, source, message.occupancy)
    if isinstance(message, Pong):
        if table is not None:
            upstreams.report(table, source, message.incarnation, message.load, now_s)
            upstreams.set_state(table, source, message.state)
            update_availability(state, source, now_s)
        return []
    if isinstance(message, Finished) and message.crash is not None:
        cancels = hedge_calls.on_crashed(state, message, now_s)
        return cancels + suspect_calls.hold_until_recorded(state, CrashReported(source, message))
    return _on_call_message(state, source, message, now_s)


def _on_call_message(
    state: CallsState,
    source: UpstreamId,
    message: Started | Refused | Frame | Finished | Resolved,
    now_s: float,
) -> list[FromDispatch]:
    """Process an agent's message about one call, or forward it to the claim flow of a booking."""
    call = state.calls.get(message.request)
    # The flow of a booking may continue after its call has ended.
    if not isinstance(message, Frame) and (call is None or is_booking(call)):
        if call is not None:
            record_booking_delay(state, call, message, now_s)
        return [BookingReply(message)]
    if call is not None and call.other is not None and isinstance(message, Refused | Finished):
        return _on_hedged_message(state, call, source, message, now_s)
    match message:
        case Frame() | Finished():
            return _advance_stream(state, message, now_s)
        case Refused():
            return after_refusal(state, source, message, now_s)
        case Started() | Resolved():
            return []


def _on_hedged_message(
    state: CallsState, call: Call, source: UpstreamId, message: Refused | Finished, now_s: float
) -> list[FromDispatch]:
    """Use the first complete answer; after any other end, continue with the other attempt."""
    if isinstance(message, Finished) and message.code is ResultCode.OK:
        hedge_calls.make_current(call, message.attempt)
        return _advance_stream(state, message, now_s)
    if isinstance(message, Refused):
        # DUPLICATE_ATTEMPT refuses the second copy of a dispatch; the first copy has started.
        if message.code is ResultCode.DUPLICATE_ATTEMPT:
            return []
        apply_refusal(state, source, message, now_s)
    hedge_calls.drop_ended_attempt(state, call, message, now_s)
    return []


def _advance_stream(
    state: CallsState, message: Frame | Finished, now_s: float
) -> list[FromDispatch]:
    """Deliver the tokens of a frame to the caller, or handle the end of the attempt."""
    call = state.calls.get(message.request)
    if call is None or call.stream is None or call.slot_key is None:
        return []
    _, (effect,) = streams.step(call.stream, message, now_s)
    match effect:
        case streams.Deliver():
            record_first_token(state, call, now_s)
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
    """Resume after a lost attempt; pass an error answer of the upstream on to the caller."""
    finished = ended.finished
    if finished is not None and finished.code is not ResultCode.UPSTREAM_LOST:
        if call.failure is not None:
            return end_call(state, call, finished.code, "", now_s)
        return _answered(state, call, finished, now_s)
    # After a gap the attempt is still running, and so is the other attempt of a hedged lookup.
    is_running = ended.reason is streams.EndReason.GAP or call.other is not None
    cancels = cancel(call) if is_running else []
    return cancels + after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)


def _answered(
    state: CallsState, call: Call, finished: Finished, now_s: float
) -> list[FromDispatch]:
    """Answer the caller with the result of an attempt, and remove the call."""
    if not call.tokens:
        record_first_token(state, call, now_s)
    reply = make_reply(call, finished)
    cancels: list[FromDispatch] = []
    if finished.code is ResultCode.OK:
        suspect_calls.clear_suspect(state, call)
        cancels = hedge_calls.on_answered(state, call, now_s)
    return [
        reply,
        *cancels,
        remove_call(state, call, now_s, failed=finished.code is not ResultCode.OK),
    ]


def _retry_lost_attempts(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    """Retry attempts that were in flight on a lost link; claim flows handle those of bookings."""
    hedge_calls.on_link_lost(state, down.upstream, down.incarnation, now_s)
    lost = [
        call
        for call in state.calls.values()
        if call.upstream == down.upstream
        and call.incarnation == down.incarnation
        and call.slot_key is not None
        and not call.crash_pending
        and not is_booking(call)
    ]
    results: list[FromDispatch] = []
    for call in lost:
        results += after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _cancel_and_retry(state: CallsState, calls: list[Call], now_s: float) -> list[FromDispatch]:
    """Cancel the attempts of calls and retry them."""
    results: list[FromDispatch] = []
    for call in calls:
        results += cancel(call) + after_loss(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _crash_recorded(state: CallsState, recorded: CrashRecorded, now_s: float) -> list[FromDispatch]:
    """Continue a call after its crash was recorded; without the record it must not run again."""
    finished = recorded.report.finished
    retried = _cancel_and_retry(
        state, suspect_calls.add_recorded_crash(state, recorded, now_s), now_s
    )
    call = call_of_attempt(state, finished.request, finished.attempt)
    if call is not None:
        call.crash_pending = False
        if recorded.refused is None and not is_booking(call):
            detail = "the upstream went down and control could not record it"
            return retried + end_call(state, call, ResultCode.UPSTREAM_LOST, detail, now_s)
    return retried + _on_call_message(state, recorded.report.upstream, finished, now_s)


def _lease_answered(state: CallsState, answered: LeaseAnswered, now_s: float) -> list[FromDispatch]:
    """Start an attempt of a suspect if its lease was granted; a booking starts at its next pick."""
    call = state.calls.get(answered.request)
    if call is None:
        return suspect_calls.release_ended_lease(answered)
    call.lease = answered.fencing
    call.lease_due_s = now_s + suspect_calls.LEASE_RETRY_S
    if call.lease is None or call.slot_key is not None or is_booking(call):
        return []
    code = ResultCode.UPSTREAM_LOST if call.may_have_run else ResultCode.NO_UPSTREAM
    return begin_attempt(state, call, code, now_s)


def _abandon(state: CallsState, request: RequestId, now_s: float) -> list[FromDispatch]:
    call = state.calls.get(request)
    if call is None:
        return []
    if is_booking(call):
        # A running attempt continues, and its outcome is recorded for the next request with the
        # key. The lease of a suspect covers the attempt, so it is left to expire.
        call.lease = None
        return [Abandon(request), remove_call(state, call, now_s)]
    return [*cancel(call), remove_call(state, call, now_s)]


def _end_timed_out_calls(state: CallsState, now_s: float) -> list[FromDispatch]:
    """End calls at their deadline or with the entry; the claim flow of a booking does so itself."""
    expired = [
        call
        for call in state.calls.values()
        if planned_stop.end_s(call.caller_request.deadline_s, state.ends_s) <= now_s
        and not is_booking(call)
    ]
    results: list[FromDispatch] = []
    for call in expired:
        is_late = call.caller_request.deadline_s <= now_s
        detail = "the request ran into its timeout" if is_late else "the entry stops"
        results += cancel(call)
        results += end_call(state, call, timeout_code(call), detail, now_s)
    return results
