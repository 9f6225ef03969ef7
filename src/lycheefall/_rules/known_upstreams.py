"""Keep the tables of upstreams of an entry: who is there, connected and in which pool."""

from collections import Counter

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, RouteKind
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
from lycheefall._rules import hedging, limits, upstreams
from lycheefall._rules.call_state import Call, CallsState, table_of
from lycheefall._rules.upstreams import Table


def upstream_heard(state: CallsState, heard: UpstreamHeartbeat, now_s: float) -> list[FromDispatch]:
    """Take over a heartbeat."""
    member = heard.member
    known_pool = state.pools.get(member.upstream)
    if known_pool is not None and known_pool != member.pool:
        upstreams.leave(state.tables[known_pool], member.upstream)
    table = state.tables.get(member.pool)
    if table is None:
        table = state.tables[member.pool] = Table(state.instance, state.entries, state.seed)
    # Entries that come and go change the part of an upstream's concurrency that is ours.
    table.entries = state.entries
    state.pools[member.upstream] = member.pool
    upstreams.announce(table, member, heard.sequence, now_s)
    has_failed = member.state is MemberState.FAILED and not member.has_open_attempts
    note_presence(state, member.upstream, now_s, is_settled=has_failed)
    return []


def note_presence(
    state: CallsState, upstream: UpstreamId, now_s: float, *, is_settled: bool = False
) -> None:
    """Note when an upstream is lost; `is_settled` when its agent has named all suspects."""
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
    if is_settled or known.member.state is MemberState.DRAINING:
        state.lost_s.pop(upstream, None)


def upstream_left(state: CallsState, left: UpstreamLeft) -> list[FromDispatch]:
    """Forget an upstream that has been silent for long."""
    pool = state.pools.pop(left.upstream, None)
    if pool is not None:
        upstreams.leave(state.tables[pool], left.upstream)
        hedging.forget(state.hedging, pool, left.upstream)
    state.usable.discard(left.upstream)
    state.lost_s.pop(left.upstream, None)
    return []


def link_up(state: CallsState, up: LinkUp, now_s: float) -> list[FromDispatch]:
    """Use an upstream whose agent answers."""
    state.connected[up.upstream] = up.incarnation
    note_presence(state, up.upstream, now_s)
    return []


def link_down(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    """Stop using an upstream, and let the flows of bookings resolve their attempts there."""
    state.connected.pop(down.upstream, None)
    note_presence(state, down.upstream, now_s)
    return [BookingLinkLost(down.upstream)]


def learn_refusal(state: CallsState, source: UpstreamId, refused: Refused, now_s: float) -> None:
    """Take an upstream for draining or congested when it refused for that reason."""
    table = table_of(state, source)
    known = table.upstreams.get(source) if table is not None else None
    if table is None or known is None:
        return
    if refused.code is ResultCode.UPSTREAM_DRAINING:
        upstreams.set_state(table, source, MemberState.DRAINING)
    elif refused.code is ResultCode.UPSTREAM_BUSY:
        # An agent that keeps or has no free slot is not congested: nothing waits behind it.
        occupancy = refused.occupancy
        if occupancy is None or occupancy.attempts > known.member.concurrency:
            limits.observe_refusal(known.limit, now_s)


def is_full(call: Call, refused: Refused) -> bool:
    """Tell whether an agent refused a chat for want of a free slot."""
    is_chat = call.call.route.kind is RouteKind.CHAT
    counted = refused.occupancy is not None
    return is_chat and counted and refused.code is ResultCode.UPSTREAM_BUSY


def configure(state: CallsState, configuration: Configuration) -> list[FromDispatch]:
    """Put a configuration in force."""
    assert configuration.revision > NO_REVISION
    state.configuration = configuration
    state.team_ratios = {team.name: team.retry_ratio for team in configuration.teams}
    state.budgets.ratio = configuration.limits.retry_ratio
    state.hedging.budgets.ratio = configuration.limits.hedge_ratio
    return []


def capacities(state: CallsState, now_s: float) -> list[FromDispatch]:
    """Tell the queue how many requests each pool may run for this entry."""
    # The queue knows a hedged lookup as one request, so its second slot is not there for others.
    hedges = Counter(
        state.pools.get(call.other.upstream) for call in state.hedged.values() if call.other
    )
    return [
        Capacity(pool, max(0, upstreams.pool_slots(table, now_s) - hedges[pool]))
        for pool, table in state.tables.items()
    ]
