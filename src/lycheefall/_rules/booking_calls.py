"""Connect the calls of an entry to the claim flows, which decide when a booking may run.

A booking is a request for a non-idempotent operation; it runs at most once under its idempotency
key. This module chooses its upstreams and sends its attempts, and the flow tells when to do so.
"""

from msgspec import structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import UpstreamId
from lycheefall._core.messages.dispatch import Finished, Refused, ToEntry
from lycheefall._core.messages.entry import (
    BookingAnswered,
    BookingPicked,
    BookingReply,
    DispatchClaimed,
    FromDispatch,
    Repick,
    StartBooking,
    ToLink,
)
from lycheefall._rules import suspect_calls
from lycheefall._rules.call_state import (
    NO_INCARNATION,
    NO_UPSTREAM,
    Call,
    CallsState,
    assign_upstream,
    choose_upstream,
    make_dispatch,
    record_first_token,
    release_upstream,
    remove_call,
    table_of,
)
from lycheefall._rules.placing import upstreams


def is_booking(call: Call) -> bool:
    """Return whether the call is a booking and therefore controlled by a claim flow."""
    return call.caller_request.operation is not None


def may_run(state: CallsState, call: Call) -> bool:
    """Return whether a booking may be sent: it is not refused, and holds the lease if a suspect.

    The claim prevents only copies under the same key, so a suspect also needs a lease.
    """
    is_refused = call.caller_request.fingerprint in state.refused
    return not is_refused and not suspect_calls.needs_lease(state, call)


def start_booking(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Choose an upstream and start the flow, which claims the operation even without an upstream.

    An earlier request with the key may have run, and only the claim shows whether one has.
    """
    upstream = choose_upstream(state, call, set(), now_s) if may_run(state, call) else None
    if upstream is None:
        return [StartBooking(call.caller_request, NO_UPSTREAM, NO_INCARNATION)]
    assign_upstream(state, call, upstream, now_s)
    return [StartBooking(call.caller_request, call.upstream, call.incarnation)]


def on_dispatch_claimed(
    state: CallsState, claimed: DispatchClaimed, now_s: float
) -> list[FromDispatch]:
    """Dispatch an attempt after its claim was committed."""
    call = state.calls.get(claimed.request)
    if call is None or not may_run(state, call):
        # The caller has disconnected, or a copy has crashed an upstream since this one was chosen.
        # The attempt was not sent and never will be.
        code = ResultCode.CANCELLED_BEFORE_START
        return [BookingReply(Refused(claimed.request, claimed.attempt, code))]
    call.attempt = claimed.attempt
    call.incarnation = claimed.incarnation
    table = table_of(state, claimed.upstream)
    if table is not None and call.slot_key is not None and call.upstream == claimed.upstream:
        upstreams.record_sent(
            table, claimed.upstream, call.slot_key, call.caller_request.cost_tokens, now_s
        )
    dispatch = structs.replace(make_dispatch(state, call, now_s), claim=claimed.token)
    return [ToLink(claimed.upstream, dispatch)]


def record_booking_delay(state: CallsState, call: Call, message: ToEntry, now_s: float) -> None:
    """Record the delay of an upstream when its agent answers, before the outcome is committed.

    The delay must not include the commits of the claim and of its outcome.
    """
    if not isinstance(message, Finished) or message.attempt != call.attempt:
        return
    if message.code is ResultCode.OK:
        record_first_token(state, call, now_s)


def repick(state: CallsState, message: Repick, now_s: float) -> list[FromDispatch]:
    """Choose an upstream that the flow has not tried yet; a suspect first requests its lease."""
    call = state.calls.get(message.request)
    if call is None:
        return [_no_pick(message)]
    release_upstream(state, call, now_s)
    if not may_run(state, call):
        if call.caller_request.fingerprint in state.refused:
            return [_no_pick(message, ResultCode.FINGERPRINT_REFUSED)]
        return [_no_pick(message), *suspect_calls.request_lease(state, call, now_s)]
    upstream = choose_upstream(state, call, set(message.tried), now_s)
    if upstream is None:
        return [_no_pick(message)]
    assign_upstream(state, call, upstream, now_s)
    return [BookingPicked(message.request, call.upstream, call.incarnation, ResultCode.OK)]


def on_booking_answered(
    state: CallsState, answered: BookingAnswered, now_s: float
) -> list[FromDispatch]:
    """Answer the caller and release the slot."""
    call = state.calls.get(answered.end.request)
    if call is None:
        return [answered.end]
    if answered.end.code is ResultCode.OK:
        suspect_calls.clear_suspect(state, call)
    end = structs.replace(answered.end, upstream=_answering_upstream(call), attempts=call.attempt)
    return [end, remove_call(state, call, now_s)]


def _answering_upstream(call: Call) -> UpstreamId:
    # A replayed answer was recorded earlier and did not come from the upstream chosen now.
    return call.upstream if call.attempt else NO_UPSTREAM


def _no_pick(message: Repick, code: ResultCode = ResultCode.NO_UPSTREAM) -> BookingPicked:
    return BookingPicked(message.request, None, NO_INCARNATION, code)
