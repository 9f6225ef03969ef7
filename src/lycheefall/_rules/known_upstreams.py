"""Keep the tables of upstreams of an entry: who is there, connected and in which pool."""

from collections import Counter

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import NO_REVISION, UpstreamId
from lycheefall._core.messages.entry import (
    BookingLinkLost,
    Capacity,
    FromDispatch,
    LinkDown,
    LinkUp,
    UpstreamHeard,
    UpstreamLeft,
)
from lycheefall._rules import hedging, limits, upstreams
from lycheefall._rules.call_state import CallsState, table_of
from lycheefall._rules.upstreams import Table


def upstream_heard(state: CallsState, heard: UpstreamHeard, now_s: float) -> list[FromDispatch]:
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
    return []


def upstream_left(state: CallsState, left: UpstreamLeft) -> list[FromDispatch]:
    """Forget an upstream that has been silent for long."""
    pool = state.pools.pop(left.upstream, None)
    if pool is not None:
        upstreams.leave(state.tables[pool], left.upstream)
        hedging.forget(state.hedging, pool, left.upstream)
    return []


def link_up(state: CallsState, up: LinkUp) -> list[FromDispatch]:
    """Use an upstream whose agent answers."""
    state.connected[up.upstream] = up.incarnation
    return []


def link_down(state: CallsState, down: LinkDown) -> list[FromDispatch]:
    """Stop using an upstream, and let the flows of bookings resolve their attempts there."""
    state.connected.pop(down.upstream, None)
    return [BookingLinkLost(down.upstream)]


def learn_refusal(state: CallsState, source: UpstreamId, code: ResultCode, now_s: float) -> None:
    """Take an upstream for draining or full when it refused for that reason."""
    table = table_of(state, source)
    if table is None or source not in table.upstreams:
        return
    if code is ResultCode.UPSTREAM_DRAINING:
        upstreams.set_state(table, source, MemberState.DRAINING)
    elif code is ResultCode.UPSTREAM_BUSY:
        limits.observe_refusal(table.upstreams[source].limit, now_s)


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
