"""Join the calls of an entry with the flows of bookings, which decide when one may run."""

from msgspec import structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import UpstreamId
from lycheefall._core.messages.dispatch import Finished, Refused, ToEntry
from lycheefall._core.messages.entry import (
    BookingAnswered,
    BookingPicked,
    BookingReply,
    BookingStarted,
    DispatchClaimed,
    FromDispatch,
    Repick,
    ToLink,
)
from lycheefall._rules import suspect_calls, upstreams
from lycheefall._rules.call_state import (
    NO_INCARNATION,
    NO_UPSTREAM,
    Call,
    CallsState,
    assign_upstream,
    choose,
    close,
    make_dispatch,
    note_first_token,
    release_upstream,
    table_of,
)


def is_booking(call: Call) -> bool:
    """Tell whether a flow decides about the call."""
    return call.call.operation is not None


def may_run(state: CallsState, call: Call) -> bool:
    """Tell whether a booking may be sent, as it is no suspect or holds its lease.

    A claim says nothing about copies under other keys, so a suspect needs a lease beside it.
    """
    is_refused = call.call.fingerprint in state.refused
    return not is_refused and not suspect_calls.needs_lease(state, call)


def start_booking(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Choose an upstream and begin the flow; it claims the operation even without one.

    An earlier try of the key may have run, so only control can tell that nothing did.
    """
    upstream = choose(state, call, set(), now_s) if may_run(state, call) else None
    if upstream is None:
        return [BookingStarted(call.call, NO_UPSTREAM, NO_INCARNATION)]
    assign_upstream(state, call, upstream, now_s)
    return [BookingStarted(call.call, call.upstream, call.incarnation)]


def dispatch_claimed(
    state: CallsState, claimed: DispatchClaimed, now_s: float
) -> list[FromDispatch]:
    """Dispatch an attempt whose claim is committed."""
    call = state.calls.get(claimed.request)
    if call is None or not may_run(state, call):
        # The caller has left, or a copy has crashed an upstream since the upstream was chosen.
        # The attempt was not sent and never will be.
        code = ResultCode.CANCELLED_BEFORE_START
        return [BookingReply(Refused(claimed.request, claimed.attempt, code))]
    call.attempt = claimed.attempt
    call.incarnation = claimed.incarnation
    table = table_of(state, claimed.upstream)
    if table is not None and call.occupied is not None and call.upstream == claimed.upstream:
        upstreams.sent(table, claimed.upstream, call.occupied, call.call.cost_tokens, now_s)
    dispatch = structs.replace(make_dispatch(state, call, now_s), claim=claimed.token)
    return [ToLink(claimed.upstream, dispatch)]


def observe_booking(state: CallsState, call: Call, message: ToEntry, now_s: float) -> None:
    """Learn from an upstream's answer to a booking, before the answer is recorded.

    The commits of the claim and of its outcome are no delay of the upstream.
    """
    if not isinstance(message, Finished) or message.attempt != call.attempt:
        return
    if message.code is ResultCode.OK:
        note_first_token(state, call, now_s)


def repick(state: CallsState, request: Repick, now_s: float) -> list[FromDispatch]:
    """Choose another upstream that the flow has not tried; a suspect asks for its lease first."""
    call = state.calls.get(request.request)
    if call is None:
        return [_no_pick(request)]
    release_upstream(state, call, now_s)
    if not may_run(state, call):
        if call.call.fingerprint in state.refused:
            return [_no_pick(request, ResultCode.FINGERPRINT_REFUSED)]
        return [_no_pick(request), *suspect_calls.request_lease(state, call, now_s)]
    upstream = choose(state, call, set(request.tried), now_s)
    if upstream is None:
        return [_no_pick(request)]
    assign_upstream(state, call, upstream, now_s)
    return [BookingPicked(request.request, call.upstream, call.incarnation, ResultCode.OK)]


def booking_answered(
    state: CallsState, answered: BookingAnswered, now_s: float
) -> list[FromDispatch]:
    """Answer the caller and give the slot back."""
    call = state.calls.get(answered.end.request)
    if call is None:
        return [answered.end]
    if answered.end.code is ResultCode.OK:
        suspect_calls.clear_suspect(state, call)
    end = structs.replace(answered.end, upstream=_origin(call), attempts=call.attempt)
    return [end, close(state, call, now_s)]


def _origin(call: Call) -> UpstreamId:
    # The upstream that was picked has no part in an answer that was recorded before.
    return call.upstream if call.attempt else NO_UPSTREAM


def _no_pick(request: Repick, code: ResultCode = ResultCode.NO_UPSTREAM) -> BookingPicked:
    return BookingPicked(request.request, None, NO_INCARNATION, code)
