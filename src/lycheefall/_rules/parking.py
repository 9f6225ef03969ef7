"""Calls that no upstream can take now: how long they wait, and in which order they are tried."""

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.entry import FromDispatch
from lycheefall._rules import upstreams
from lycheefall._rules.call_state import Call, CallsState, end

# A call waits this long for an upstream to come up; for a slot it waits until its deadline.
MAX_PARK_S = 2.0


def park(
    state: CallsState, call: Call, fallback_code: ResultCode, now_s: float
) -> list[FromDispatch]:
    """Let a call wait, or end it with a code when no upstream has been up for long."""
    if call.parked_s is None:
        call.parked_s = now_s
        state.parked[call.call.request] = call
    if (
        now_s - call.parked_s < MAX_PARK_S
        or call.lease is not None
        or _has_upstream(state, call, now_s)
    ):
        return []
    detail = "no upstream of the route can take the request"
    return end(state, call, fallback_code, detail, now_s)


def due(state: CallsState, now_s: float) -> list[Call]:
    """Return the calls to try again, the most urgent first and those in order of arrival."""
    found = [call for call in state.parked.values() if call.not_before_s <= now_s]
    return sorted(found, key=lambda call: (call.call.rank, call.call.arrived_s))


def _has_upstream(state: CallsState, call: Call, now_s: float) -> bool:
    return any(
        each.member.upstream in state.connected
        and upstreams.is_live(each, now_s)
        and not upstreams.is_failing(each, now_s)
        for pool in call.call.route.pools
        if pool in state.tables
        for each in state.tables[pool].subset
    )
