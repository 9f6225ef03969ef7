"""Update what an entry knows of the other entries: owned upstreams, loads and slow ranks."""

from functools import partial

from lycheefall._core.ids import GroupId, InstanceId
from lycheefall._core.messages.relay import SlowRank
from lycheefall._rules.dispatch_state import DispatchState, PeerEntry, PeerLoads, SlowRanks
from lycheefall._rules.placing import (
    concurrency_limits,
    load_spreading,
    peer_history,
    upstream_notices,
    upstream_selection,
)
from lycheefall._rules.placing.upstream_notices import Start
from lycheefall._rules.placing.upstream_ownership import (
    EntryLocation,
    UpstreamLocation,
    assign_owners,
    users_by_owner,
)

# An entry that no replica has reported for this time is taken to have no attempts in flight.
_PEER_TIMEOUT_S = 1.5
# Longest time between two draws of slots; reports of loads arrive more often.
_DRAW_PERIOD_S = 0.25


def update_peers(
    state: DispatchState,
    peers: dict[InstanceId, PeerEntry],
    replica: InstanceId,
    peer_loads: PeerLoads | None,
    now_s: float,
) -> None:
    """Update the other entries and, unless `peer_loads` is None, their attempts in flight."""
    known = set(state.peers)
    state.peers.update(peers)
    for entry, peer in list(state.peers.items()):
        if now_s - peer.received_s > _PEER_TIMEOUT_S:
            del state.peers[entry]
    is_change = known != set(state.peers)
    peer_history.record_update(state.peer_history, len(state.peers) + 1, is_change, now_s)
    if is_change:
        update_owners(state)
    if peer_loads is not None:
        state.peer_loads[replica] = peer_loads
    for source, each in list(state.peer_loads.items()):
        if now_s - each.received_s > _PEER_TIMEOUT_S:
            del state.peer_loads[source]
    sum_peer_loads(state)
    if peer_loads is not None:
        _draw_slots(state, now_s)


def renew_slots(state: DispatchState, now_s: float) -> None:
    """Draw slots again if no report of loads has arrived for a while."""
    if now_s - state.slots_drawn_s >= _DRAW_PERIOD_S:
        _draw_slots(state, now_s)


def update_slow_ranks(
    state: DispatchState, replica: InstanceId, ranks: tuple[SlowRank, ...], now_s: float
) -> None:
    """Store the slow ranks that a replica reports, and update the paces if that is a change."""
    before = _paces(state)
    state.slow_ranks[replica] = SlowRanks(ranks, now_s)
    for source, reported in list(state.slow_ranks.items()):
        if now_s - reported.received_s > _PEER_TIMEOUT_S:
            del state.slow_ranks[source]
    if _paces(state) != before:
        update_paces(state)


def update_owners(state: DispatchState) -> None:
    """Update the distance from this entry to the owner of each upstream."""
    entries = [EntryLocation(name, peer.data_centre) for name, peer in state.peers.items()]
    entries.append(EntryLocation(state.instance, state.data_centre))
    order = sorted(each.entry for each in entries)
    for pool in state.pools.values():
        owners = assign_owners(
            entries,
            [
                UpstreamLocation(stats.record.upstream, stats.record.data_centre)
                for stats in pool.upstreams.by_id.values()
            ],
        )
        own = order.index(state.instance)
        users = users_by_owner({order.index(owner) for owner in owners.values()}, len(order))
        for stats in pool.upstreams.by_id.values():
            position = order.index(owners.get(stats.record.upstream, state.instance))
            stats.owner_distance = (position - own) % len(order)
            using = users.get(position, frozenset([own]))
            stats.sharers = len(using) if own in using else 0


def sum_peer_loads(state: DispatchState) -> None:
    """Update the attempts in flight of other entries at each upstream."""
    for pool in state.pools.values():
        for upstream, stats in pool.upstreams.by_id.items():
            stats.peer_in_flight = sum(
                each.in_flight.get(upstream, 0) for each in state.peer_loads.values()
            )


def _draw_slots(state: DispatchState, now_s: float) -> None:
    """Draw the slots that this entry may use at distant upstreams."""
    state.slots_drawn_s = now_s
    for name, pool in state.pools.items():
        settings = state.pool_settings.get(name)
        engine = None if settings is None else settings.engine
        limit_of = partial(concurrency_limits.shared_limit, pool, engine)
        upstreams = pool.upstreams.by_id.values()
        load_spreading.draw_slots(upstreams, limit_of, len(state.peers) + 1, state.random)


def _paces(state: DispatchState) -> dict[Start, float]:
    """Return the paces of all slow ranks."""
    return {
        (rank.upstream, rank.start_time_ms): rank.pace
        for reported in state.slow_ranks.values()
        for rank in reported.ranks
    }


def update_paces(state: DispatchState) -> None:
    """Update how much slower each upstream is than the fastest one of its group."""
    paces = _paces(state)
    for pool in state.pools.values():
        fastest: dict[GroupId | None, float] = {}
        for stats in pool.upstreams.by_id.values():
            stats.pace = paces.get(upstream_notices.start_of(stats.record), 1.0)
            group = upstream_selection.group_of(stats)
            fastest[group] = min(stats.pace, fastest.get(group, stats.pace))
        for stats in pool.upstreams.by_id.values():
            stats.pace /= fastest[upstream_selection.group_of(stats)]
