"""Maintain the tables of upstreams of an entry: members, connections and pools."""

from collections import Counter

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, RouteKind
from lycheefall._core.evacuations import Evacuations
from lycheefall._core.ids import NO_REVISION, UpstreamId
from lycheefall._core.messages.dispatch import Refused
from lycheefall._core.messages.entry import (
    BookingLinkLost,
    Capacity,
    FromDispatch,
    LinkDown,
    LinkUp,
    UpstreamHeartbeat,
    UpstreamLeft,
)
from lycheefall._rules import hedging, limits
from lycheefall._rules.call_state import Call, CallsState, table_of
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.evacuated_pools import is_evacuated
from lycheefall._rules.placing.upstreams import UpstreamTable


def on_upstream_heartbeat(
    state: CallsState, heartbeat: UpstreamHeartbeat, now_s: float
) -> list[FromDispatch]:
    """Update the table of an upstream from its heartbeat."""
    member = heartbeat.member
    known_pool = state.pools.get(member.upstream)
    if known_pool is not None and known_pool != member.pool:
        upstreams.remove(state.tables[known_pool], member.upstream)
    table = state.tables.get(member.pool)
    if table is None:
        table = state.tables[member.pool] = UpstreamTable(
            state.instance, state.entry_count, state.seed
        )
        upstreams.evacuate(table, state.evacuated)
    # The number of entries determines this entry's share of an upstream's concurrency.
    table.entry_count = state.entry_count
    state.pools[member.upstream] = member.pool
    upstreams.announce(table, member, heartbeat.sequence, now_s)
    is_reported = member.state is MemberState.FAILED and not member.has_open_attempts
    update_availability(state, member.upstream, now_s, suspects_reported=is_reported)
    return []


def apply_evacuations(
    state: CallsState, evacuations: Evacuations, now_s: float
) -> list[FromDispatch]:
    """Start no attempts at upstreams of the evacuated data centres; the queue learns at once."""
    state.evacuated = frozenset(evacuations.data_centres)
    for table in state.tables.values():
        upstreams.evacuate(table, state.evacuated)
    return pool_capacities(state, now_s)


def update_availability(
    state: CallsState, upstream: UpstreamId, now_s: float, *, suspects_reported: bool = False
) -> None:
    """Update whether an upstream is usable, and when it was lost.

    An upstream does not count as lost while it drains, or once its agent has reported all requests
    that were in flight during a crash (`suspects_reported`).
    """
    table = table_of(state, upstream)
    known = None if table is None else table.upstreams.get(upstream)
    if known is None:
        return
    is_ready = known.member.state is MemberState.READY
    if is_ready and upstream in state.connected:
        state.usable.add(upstream)
        state.lost_s.pop(upstream, None)
    elif upstream in state.usable:
        state.usable.discard(upstream)
        state.lost_s[upstream] = now_s
    if suspects_reported or known.member.state is MemberState.DRAINING:
        state.lost_s.pop(upstream, None)


def on_upstream_left(state: CallsState, left: UpstreamLeft) -> list[FromDispatch]:
    """Delete an upstream whose heartbeats have timed out."""
    pool = state.pools.pop(left.upstream, None)
    if pool is not None:
        upstreams.remove(state.tables[pool], left.upstream)
        hedging.remove_upstream(state.hedging, pool, left.upstream)
    state.usable.discard(left.upstream)
    state.lost_s.pop(left.upstream, None)
    return []


def on_link_up(state: CallsState, up: LinkUp, now_s: float) -> list[FromDispatch]:
    """Start using an upstream whose agent is connected."""
    state.connected[up.upstream] = up.incarnation
    update_availability(state, up.upstream, now_s)
    return []


def on_link_down(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    """Stop using an upstream, and have the claim flows resolve their attempts there."""
    state.connected.pop(down.upstream, None)
    update_availability(state, down.upstream, now_s)
    return [BookingLinkLost(down.upstream)]


def apply_refusal(state: CallsState, source: UpstreamId, refused: Refused, now_s: float) -> None:
    """Mark an upstream as draining or congested after a refusal for that reason."""
    table = table_of(state, source)
    known = table.upstreams.get(source) if table is not None else None
    if table is None or known is None:
        return
    if refused.code is ResultCode.UPSTREAM_DRAINING:
        upstreams.set_state(table, source, MemberState.DRAINING)
    elif refused.code is ResultCode.UPSTREAM_BUSY:
        # An agent whose slots are all taken or reserved is not congested: no requests queue there.
        occupancy = refused.occupancy
        if occupancy is None or occupancy.attempts > known.member.concurrency:
            limits.observe_congestion(known.limit, now_s)


def is_slot_refusal(call: Call, refused: Refused) -> bool:
    """Return whether an agent refused a chat because it had no free slot.

    A refusal without the occupancy has another cause, such as a full inbox of the agent.
    """
    is_chat = call.caller_request.route.kind is RouteKind.CHAT
    has_occupancy = refused.occupancy is not None
    return is_chat and has_occupancy and refused.code is ResultCode.UPSTREAM_BUSY


def configure(state: CallsState, configuration: Configuration) -> list[FromDispatch]:
    """Apply a configuration."""
    assert configuration.revision > NO_REVISION
    state.configuration = configuration
    state.team_ratios = {team.name: team.retry_ratio for team in configuration.teams}
    state.budgets.ratio = configuration.limits.retry_ratio
    state.hedging.budgets.ratio = configuration.limits.hedge_ratio
    return []


def pool_capacities(state: CallsState, now_s: float) -> list[FromDispatch]:
    """Return the number of requests that each pool may run for this entry; the queue uses it."""
    # The queue counts a hedged lookup as one request, so the second slot is subtracted here.
    hedges = Counter(
        state.pools.get(call.other.upstream) for call in state.hedged.values() if call.other
    )
    return [
        Capacity(
            pool, max(0, upstreams.pool_slots(table, now_s) - hedges[pool]), is_evacuated(table)
        )
        for pool, table in state.tables.items()
    ]
