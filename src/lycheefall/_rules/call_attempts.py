"""Start, park and retry the attempts of an entry's calls."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import AttemptNumber, UpstreamId
from lycheefall._core.messages.dispatch import Cancel, Refused
from lycheefall._core.messages.entry import FromDispatch, ToLink
from lycheefall._rules import hedge_calls, planned_stop, retries, streams, suspect_calls
from lycheefall._rules.call_state import (
    LOST_UPSTREAM_GRACE_S,
    OTHER_UPSTREAMS_AFTER_S,
    Call,
    CallsState,
    assign_upstream,
    call_of_attempt,
    choose_upstream,
    end_call,
    make_dispatch,
    release_refused,
    release_upstream,
)
from lycheefall._rules.call_streams import begin_stream
from lycheefall._rules.parking import due_calls, park
from lycheefall._rules.placing.known_upstreams import apply_refusal, is_slot_refusal
from lycheefall._rules.refusals import STOPPING_DETAIL
from lycheefall._rules.retries import RetryAdvice

# Attempts of a call, not counting those that were refused because no slot was free.
MAX_ATTEMPTS = 4
REFUSED_DETAIL = "this request has crashed upstreams and is refused for now"


def begin_attempt(
    state: CallsState, call: Call, fallback_code: ResultCode, now_s: float
) -> list[FromDispatch]:
    """Start the next attempt, park the call if no upstream can take it, or end it with a code."""
    if not call.may_have_run and not planned_stop.may_start(
        call.caller_request.deadline_s, state.ends_s
    ):
        return end_call(state, call, ResultCode.SHUTTING_DOWN, STOPPING_DETAIL, now_s)
    if call.caller_request.fingerprint in state.refused:
        code = fallback_code if call.may_have_run else ResultCode.FINGERPRINT_REFUSED
        return end_call(state, call, code, REFUSED_DETAIL, now_s)
    if suspect_calls.needs_lease(state, call):
        return suspect_calls.park_for_lease(state, call, now_s)
    if call.attempts - call.busy_refusals >= MAX_ATTEMPTS and call.lease is None:
        detail = f"{call.attempts} upstreams could not take the request"
        return end_call(state, call, fallback_code, detail, now_s)
    # If no untried upstream can take the call, one that was tried may take it again.
    upstream = choose_upstream(state, call, call.tried, now_s) or choose_upstream(
        state, call, set(), now_s
    )
    if upstream is None:
        return park(state, call, fallback_code, now_s)
    state.parked.pop(call.caller_request.request, None)
    call.parked_s = None
    call.attempts = AttemptNumber(call.attempts + 1)
    call.attempt = call.attempts
    begin_stream(call, now_s)
    assign_upstream(state, call, upstream, now_s)
    dispatch = ToLink(upstream, make_dispatch(state, call, now_s))
    return [dispatch, *hedge_calls.plan(state, call, now_s)]


def unpark(state: CallsState, now_s: float) -> list[FromDispatch]:
    """Retry the parked calls that are due."""
    results: list[FromDispatch] = []
    for call in due_calls(state, now_s):
        code = ResultCode.UPSTREAM_LOST if call.may_have_run else ResultCode.NO_UPSTREAM
        results += begin_attempt(state, call, code, now_s)
    return results


def after_refusal(
    state: CallsState, source: UpstreamId, refused: Refused, now_s: float
) -> list[FromDispatch]:
    """Retry at another upstream after a refusal, which proves that the attempt did not start."""
    call = call_of_attempt(state, refused.request, refused.attempt)
    # DUPLICATE_ATTEMPT refuses the second copy of a dispatch; the first copy has started.
    if call is None or call.slot_key is None or refused.code is ResultCode.DUPLICATE_ATTEMPT:
        return []
    release_refused(state, call)
    apply_refusal(state, source, refused, now_s)
    if call.failure is not None:
        return end_call(state, call, call.failure.code, "", now_s)
    if call.lease is not None:
        # A suspect may use only one upstream, so it is retried at the next tick.
        return park(state, call, refused.code, now_s)
    # A refusal proves nothing about earlier attempts, which may have run.
    code = ResultCode.UPSTREAM_LOST if call.may_have_run else refused.code
    if is_slot_refusal(call, refused):
        # The occupancy in the refusal excludes this upstream until it has a free slot.
        call.tried.discard(source)
        call.busy_refusals += 1
        return begin_attempt(state, call, code, now_s)
    if retries.advise(refused.code, True) is RetryAdvice.NEVER:
        return end_call(state, call, code, "the agent refused the attempt", now_s)
    is_down = refused.code is ResultCode.NOT_CONNECTED
    if is_down or refused.code is ResultCode.NOT_READY:
        call.own_upstreams_until_s = now_s + LOST_UPSTREAM_GRACE_S
    if is_down or choose_upstream(state, call, call.tried, now_s) is None:
        # After this delay every entry knows of a crash that took the upstream down.
        call.not_before_s = now_s + OTHER_UPSTREAMS_AFTER_S
        return park(state, call, refused.code, now_s)
    # A refused attempt costs the upstream nothing, so it is not charged to the retry budget.
    return begin_attempt(state, call, code, now_s)


def after_loss(state: CallsState, call: Call, code: ResultCode, now_s: float) -> list[FromDispatch]:
    """Retry at another upstream after an attempt that may have run."""
    release_upstream(state, call, now_s, failed=True)
    call.may_have_run = True
    if call.failure is not None:
        return end_call(state, call, call.failure.code, "", now_s)
    if call.stream is not None:
        streams.step(call.stream, streams.AttemptLost(call.attempt), now_s)
    # A resumed stream repeats no tokens, and a suspect cannot cause a retry storm because it runs
    # alone. Any other retry adds load to the upstreams and is charged to the retry budget.
    is_exempt = bool(call.tokens) or call.caller_request.fingerprint in state.suspects
    if not is_exempt and not state.spend_retry(state.budgets, call.caller_request.team):
        detail = "the upstream was lost and the retry budget is spent"
        return end_call(state, call, code, detail, now_s)
    return begin_attempt(state, call, code, now_s)


def cancel(call: Call) -> list[FromDispatch]:
    """Cancel the running attempts of a call."""
    if call.slot_key is None:
        return []
    running = [(call.upstream, call.attempt)]
    if call.other is not None:
        running.append((call.other.upstream, call.other.attempt))
    return [
        ToLink(upstream, Cancel(call.caller_request.request, number))
        for upstream, number in running
    ]
