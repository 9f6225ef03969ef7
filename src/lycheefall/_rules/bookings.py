"""Run the claim flows of all bookings at an entry.

Translates the messages of the entry's filters to those of the flows, and the effects of the flows
back to messages.
"""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Digest, Incarnation, RequestId
from lycheefall._core.messages.entry import (
    Abandon,
    BookingAnswered,
    BookingCommandResult,
    BookingLinkLost,
    BookingPicked,
    BookingReply,
    DispatchClaimed,
    EntriesChanged,
    FromBooking,
    ProposeBookingCommand,
    Repick,
    ReplyEnd,
    StartBooking,
    StopBegan,
    Tick,
    ToBooking,
    ToLink,
)
from lycheefall._rules import claim_flow
from lycheefall._rules.booking_messages import (
    Abandoned,
    Answer,
    Booking,
    CommandReplied,
    Effect,
    Ended,
    LinkLost,
    Message,
    Picked,
    PickUpstream,
    SendCommand,
    SendDispatch,
    SendResolve,
    Stopping,
    Target,
    Wake,
)
from lycheefall._rules.claim_flow_state import Flow

# Explanations for the caller, by result code.
_DETAILS = {
    ResultCode.CLAIM_UNCONFIRMED: "control did not confirm the claim; an earlier try may have run",
    ResultCode.OUTCOME_UNKNOWN: "the operation may have run and is not run again",
    ResultCode.KEY_EXPIRED: "the key is past its retention; this try was not run, "
    "but an earlier one may have been",
    ResultCode.FINGERPRINT_REFUSED: "a booking with this content has crashed upstreams",
    ResultCode.KEY_REUSED: "the key was used for another request",
}


class BookingsState(Struct):
    """Flows by request, and the incarnations of the entries that may hold claims."""

    # Incarnation of this entry.
    holder: Incarnation
    flows: dict[RequestId, Flow] = field(default_factory=dict)
    entries: frozenset[Incarnation] = frozenset()
    # When the entry ends all requests; None until it stops.
    ends_s: float | None = None


def step_bookings(
    state: BookingsState, message: ToBooking, now_s: float
) -> tuple[BookingsState, list[FromBooking]]:
    """Apply one message to the flow that it addresses, or to all flows."""
    match message:
        case StartBooking():
            return state, _start(state, message)
        case BookingReply():
            reply = message.message
            return state, _step(state, reply.request, reply, now_s)
        case BookingPicked():
            return state, _step(state, message.request, _picked(message), now_s)
        case BookingCommandResult():
            replied = CommandReplied(message.sequence, message.result)
            return state, _step(state, message.request, replied, now_s)
        case EntriesChanged():
            # Control may not have received a heartbeat of this entry yet.
            state.entries = message.incarnations | {state.holder}
            return state, []
        case Abandon():
            return state, _step(state, message.request, Abandoned(), now_s)
        case BookingLinkLost():
            return state, _step_all(state, LinkLost(message.upstream), now_s)
        case StopBegan():
            state.ends_s = message.ends_s
            return state, _step_all(state, Stopping(message.ends_s), now_s)
        case Tick():
            return state, _step_all(state, Wake(state.entries), now_s)


def _start(state: BookingsState, started: StartBooking) -> list[FromBooking]:
    caller_request = started.caller_request
    assert caller_request.operation is not None
    booking = Booking(
        caller_request.request,
        caller_request.team,
        caller_request.operation.key,
        caller_request.operation.time_ms,
        Digest(caller_request.fingerprint),
        state.holder,
        caller_request.deadline_s,
    )
    target = Target(started.upstream, started.incarnation)
    flow, effects = claim_flow.start(booking, target, state.ends_s)
    state.flows[caller_request.request] = flow
    return _to_messages(state, flow, effects)


def _picked(picked: BookingPicked) -> Picked:
    if picked.upstream is None:
        return Picked(None, picked.code)
    return Picked(Target(picked.upstream, picked.incarnation))


def _step(
    state: BookingsState, request: RequestId, message: Message, now_s: float
) -> list[FromBooking]:
    flow = state.flows.get(request)
    if flow is None:
        return []
    flow, effects = claim_flow.step(flow, message, now_s)
    return _to_messages(state, flow, effects)


def _step_all(state: BookingsState, message: Message, now_s: float) -> list[FromBooking]:
    return [
        result for request in list(state.flows) for result in _step(state, request, message, now_s)
    ]


def _to_messages(state: BookingsState, flow: Flow, effects: list[Effect]) -> list[FromBooking]:
    request = flow.booking.request
    results: list[FromBooking] = []
    for effect in effects:
        match effect:
            case SendCommand():
                results.append(ProposeBookingCommand(request, effect.sequence, effect.command))
            case SendDispatch():
                results.append(_dispatch(request, effect))
            case SendResolve():
                results.append(ToLink(effect.upstream, effect.resolve))
            case PickUpstream():
                results.append(Repick(request, effect.tried))
            case Answer():
                results.append(BookingAnswered(_reply(request, effect)))
            case Ended():
                state.flows.pop(request, None)
    return results


def _dispatch(request: RequestId, effect: SendDispatch) -> DispatchClaimed:
    target = effect.target
    return DispatchClaimed(
        request, target.upstream, target.incarnation, effect.attempt, effect.token
    )


def _reply(request: RequestId, answer: Answer) -> ReplyEnd:
    recorded = answer.recorded
    if recorded is None:
        return ReplyEnd(request=request, code=answer.code, detail=_DETAILS.get(answer.code, ""))
    return ReplyEnd(
        request=request,
        code=answer.code,
        status=recorded.status,
        content_type=recorded.content_type,
        body=recorded.body,
    )
