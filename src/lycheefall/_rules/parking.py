"""Parked calls, which no upstream can take now: their maximum wait and their retry order."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.entry import FromDispatch
from lycheefall._rules.call_state import Call, CallsState, end_call
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.evacuated_pools import is_evacuated

# Maximum wait for an upstream to become available. The wait for a slot at a live upstream is
# limited only by the deadline of the call.
MAX_PARK_S = 2.0


def park(
    state: CallsState, call: Call, fallback_code: ResultCode, now_s: float
) -> list[FromDispatch]:
    """Park a call, or end it with a code if it was parked for too long.

    A call that holds a lease, or whose route has a live upstream, stays parked until its deadline.
    """
    if call.parked_s is None:
        call.parked_s = now_s
        state.parked[call.caller_request.request] = call
    if not _is_evacuated(state, call) and (
        now_s - call.parked_s < MAX_PARK_S
        or call.lease is not None
        or _has_upstream(state, call, now_s)
    ):
        return []
    detail = "no upstream of the route can take the request"
    return end_call(state, call, fallback_code, detail, now_s)


def due_calls(state: CallsState, now_s: float) -> list[Call]:
    """Return the calls to retry, by urgency and then by arrival."""
    found = [call for call in state.parked.values() if call.not_before_s <= now_s]
    return sorted(found, key=lambda call: (call.caller_request.rank, call.caller_request.arrived_s))


def _is_evacuated(state: CallsState, call: Call) -> bool:
    """Return whether all upstreams of a call's pools are in evacuated data centres."""
    tables = [state.tables.get(pool) for pool in call.caller_request.route.pools]
    return all(table is not None and is_evacuated(table) for table in tables)


def _has_upstream(state: CallsState, call: Call, now_s: float) -> bool:
    return any(
        each.member.upstream in state.connected
        and upstreams.is_live(each, now_s)
        and not upstreams.is_failing(each, now_s)
        for pool in call.caller_request.route.pools
        if pool in state.tables
        for each in state.tables[pool].subset
    )
