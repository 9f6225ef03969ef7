"""Hedged lookups: when the second attempt is sent, and which of the two attempts continues.

A hedge is sent only to the second of the two upstreams that the lookup had affinity to when it was
first sent, so that hedging cannot take a request that crashes upstreams to a third one.
"""

from msgspec import structs

from lycheefall._core.codes import run_state
from lycheefall._core.enums import RouteKind, RunState
from lycheefall._core.ids import AttemptNumber, Incarnation, UpstreamId
from lycheefall._core.messages.dispatch import Cancel, Finished, Refused
from lycheefall._core.messages.entry import (
    FromDispatch,
    HedgeDue,
    ScheduleHedge,
    SendHedge,
    ToLink,
)
from lycheefall._rules import hedging, streams
from lycheefall._rules.call_state import (
    NO_UPSTREAM,
    Call,
    CallsState,
    OtherAttempt,
    make_dispatch,
    make_reply,
    release_other_attempt,
    table_of,
)
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.choice import own_upstreams
from lycheefall._rules.placing.routing import PickCriteria

# An entry whose own event loop lags by more than this first reads the pending messages, since the
# answer may be among them, and decides again after the second time.
_MAX_LAG_S = 0.005
_LAG_RECHECK_S = 0.001


def plan(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Schedule a hedge for the first attempt of a lookup."""
    caller_request = call.caller_request
    if caller_request.route.kind is not RouteKind.LOOKUP or call.attempts != 1:
        return []
    hedging.count_lookup(state.hedging, caller_request.team)
    limits = state.configuration.limits
    pool = state.pools[call.upstream]
    after_s = hedging.hedge_delay_s(state.hedging, pool, limits.hedge_floor_s)
    if after_s is None or now_s + after_s >= caller_request.deadline_s or limits.hedge_ratio == 0.0:
        return []
    call.hedge_upstream = _find_hedge_upstream(state, call)
    call.hedge_due_s = now_s + after_s
    return (
        [ScheduleHedge(caller_request.request, after_s)]
        if call.hedge_upstream != NO_UPSTREAM
        else []
    )


def on_hedge_due(state: CallsState, message: HedgeDue, now_s: float) -> list[FromDispatch]:
    """Send the second attempt of a lookup that is late, if hedging is allowed."""
    call = state.calls.get(message.request)
    if call is None or not _may_hedge(state, call, now_s):
        return []
    if now_s - call.hedge_due_s > _MAX_LAG_S:
        call.hedge_due_s = now_s + _LAG_RECHECK_S
        return [ScheduleHedge(message.request, _LAG_RECHECK_S)]
    if not hedging.try_consume(state.hedging, call.caller_request.team):
        return []
    return [_send(state, call, now_s)]


def on_answered(state: CallsState, call: Call, now_s: float) -> list[FromDispatch]:
    """Record the latency of an answered lookup, and cancel its other attempt."""
    if call.caller_request.route.kind is not RouteKind.LOOKUP:
        return []
    _observe(state, call.upstream, now_s - call.sent_s)
    other = call.other
    if other is None:
        return []
    table = table_of(state, other.upstream)
    if other.attempt < call.attempt and table is not None:
        # The elapsed time is a lower bound of its latency; without it a slow upstream would have no
        # measurements.
        _observe(state, other.upstream, now_s - other.sent_s)
        upstreams.record_first_token(table, other.upstream, other.slot_key, now_s)
    release_other_attempt(state, call, now_s)
    return [ToLink(other.upstream, Cancel(call.caller_request.request, other.attempt))]


def make_current(call: Call, attempt: AttemptNumber) -> bool:
    """Make one of the two attempts the current one; return False if it is neither."""
    other = call.other
    if other is not None and other.attempt == attempt:
        _swap(call, other)
    return call.attempt == attempt


def drop_ended_attempt(
    state: CallsState, call: Call, message: Refused | Finished, now_s: float
) -> None:
    """Continue with the other attempt after this one ended without an answer."""
    if not make_current(call, message.attempt):
        return
    if isinstance(message, Finished):
        _record_failure(call, message)
    _continue_with_other(state, call, failed=isinstance(message, Finished), now_s=now_s)


def on_link_lost(
    state: CallsState, upstream: UpstreamId, incarnation: Incarnation, now_s: float
) -> None:
    """Continue hedged lookups of a lost upstream with their other attempts."""
    for call in list(state.hedged.values()):
        other = call.other
        if other is not None and (other.upstream, other.incarnation) == (upstream, incarnation):
            _swap(call, other)
        if (call.upstream, call.incarnation) == (upstream, incarnation):
            call.may_have_run = True
            _continue_with_other(state, call, failed=True, now_s=now_s)


def on_crashed(state: CallsState, finished: Finished, now_s: float) -> list[FromDispatch]:
    """Cancel the other attempt of a lookup that was in flight when an upstream crashed."""
    call = state.hedged.get(finished.request)
    if call is None or not make_current(call, finished.attempt):
        return []
    other = call.other
    assert other is not None
    call.may_have_run = True
    release_other_attempt(state, call, now_s)
    return [ToLink(other.upstream, Cancel(finished.request, other.attempt))]


def _find_hedge_upstream(state: CallsState, call: Call) -> UpstreamId:
    """Return the other one of the request's own two upstreams, or NO_UPSTREAM."""
    table = table_of(state, call.upstream)
    assert table is not None
    names = [each.member.upstream for each in table.subset]
    connected = [name for name in names if name in state.connected]
    own = own_upstreams(call.caller_request, connected, isolated=False)
    if call.upstream not in own:
        return NO_UPSTREAM
    return next(iter(own - {call.upstream}), NO_UPSTREAM)


def _may_hedge(state: CallsState, call: Call, now_s: float) -> bool:
    """Return whether the first attempt still waits and the planned upstream can take a second."""
    fingerprint = call.caller_request.fingerprint
    is_waiting = call.attempts == 1 and call.slot_key is not None and not call.crash_pending
    if not is_waiting or call.hedge_upstream not in state.connected:
        return False
    if fingerprint in state.suspects or fingerprint in state.refused:
        return False
    table = table_of(state, call.hedge_upstream)
    if table is None or call.upstream not in table.upstreams:
        return False
    others = frozenset(table.upstreams) - {call.hedge_upstream}
    # As for first attempts, one slot stays reserved for urgent requests.
    criteria = PickCriteria(excluded=others, free_slots=1 if call.caller_request.rank == 0 else 2)
    return state.pick(table, criteria, now_s) == call.hedge_upstream


def _send(state: CallsState, call: Call, now_s: float) -> SendHedge:
    table = table_of(state, call.hedge_upstream)
    assert table is not None
    caller_request = call.caller_request
    call.attempts = AttemptNumber(call.attempts + 1)
    call.slots_taken += 1
    slot_key = (caller_request.request, AttemptNumber(call.slots_taken))
    incarnation = state.connected[call.hedge_upstream]
    call.other = OtherAttempt(call.attempts, call.hedge_upstream, incarnation, slot_key, now_s)
    call.tried.add(call.hedge_upstream)
    state.hedged[caller_request.request] = call
    upstreams.record_sent(table, call.hedge_upstream, slot_key, caller_request.cost_tokens, now_s)
    dispatch = structs.replace(
        make_dispatch(state, call, now_s), attempt=call.attempts, incarnation=incarnation
    )
    return SendHedge(ToLink(call.hedge_upstream, dispatch), call.upstream, now_s - call.sent_s)


def _swap(call: Call, other: OtherAttempt) -> None:
    """Exchange the current attempt and the other one."""
    assert call.slot_key is not None
    call.other = OtherAttempt(
        call.attempt, call.upstream, call.incarnation, call.slot_key, call.sent_s
    )
    call.attempt = other.attempt
    call.upstream = other.upstream
    call.incarnation = other.incarnation
    call.slot_key = other.slot_key
    call.sent_s = other.sent_s
    # A lookup is answered in one piece, so no tokens were delivered yet.
    call.stream = streams.initial(call.caller_request.request, other.attempt)


def _continue_with_other(state: CallsState, call: Call, *, failed: bool, now_s: float) -> None:
    """Release the current attempt and continue with the other one."""
    assert call.other is not None
    _swap(call, call.other)
    release_other_attempt(state, call, now_s, failed=failed)


def _record_failure(call: Call, finished: Finished) -> None:
    """Keep the error answer of an attempt for the case that the other one is not answered."""
    if run_state(finished.code) is RunState.RAN:
        call.failure = make_reply(call, finished)
    else:
        call.may_have_run = True


def _observe(state: CallsState, upstream: UpstreamId, elapsed_s: float) -> None:
    pool = state.pools.get(upstream)
    if pool is not None:
        hedging.observe(state.hedging, pool, upstream, elapsed_s)
