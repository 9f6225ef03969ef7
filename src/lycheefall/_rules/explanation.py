"""Explain where a request would go now, and why, on a copy of the dispatch state.

The copy is given to the functions that decide on real requests, so the state itself and its source
of random numbers do not change.
"""

from collections.abc import Sequence
from copy import copy, deepcopy
from enum import Enum
from random import Random
from typing import Any

from msgspec import Struct

from lycheefall._core.ids import Address, DataCentreId, GroupId, PoolId, UpstreamId
from lycheefall._rules import dispatching, wait_queue
from lycheefall._rules.dispatch_messages import DispatchRequest, Place, Refuse
from lycheefall._rules.dispatch_state import DispatchState, pool_of
from lycheefall._rules.placing import (
    concurrency_limits,
    load_spreading,
    rate_limits,
    upstream_notices,
    upstream_selection,
)
from lycheefall._rules.placing.load_spreading import Comparison, PlacementCost
from lycheefall._rules.placing.upstream_selection import UpstreamStats
from lycheefall._rules.pool_state import PoolState, pauses_of

# No request has this number.
EXPLAINED = -1


class Verdict(Enum):
    """Why an upstream is chosen or not; the first reason that applies."""

    CHOSEN = "chosen"
    EVACUATED = "evacuated"
    CLOSED = "closed"
    # The rate that it states, or that of a cold upstream, allows no request now.
    NO_PERMIT = "no-permit"
    SUSPENDED = "suspended"
    BROKEN_GROUP = "broken-group"
    # Requests that can be in time avoid groups that miss their pause target.
    SLOW_GROUP = "slow-group"
    # The free slots are reserved for requests that can be in time.
    RESERVED = "reserved"
    TRIED = "already-tried"
    FULL = "full"
    NEAR_ONE_FREE = "near-one-free"
    NO_DRAWN_SLOT = "no-drawn-slot"
    # Only two distant upstreams, drawn at random, are compared.
    NOT_DRAWN = "not-drawn"
    HIGHER_COST = "higher-cost"
    # Requests before this one leave no free slot, or the request is refused before the choice.
    NOT_COMPARED = "not-compared"


class Candidate(Struct, frozen=True, kw_only=True):
    """An upstream of the request's pool, as known to the entry."""

    upstream: UpstreamId
    address: Address
    data_centre: DataCentreId
    group: GroupId | None
    verdict: Verdict
    is_near: bool
    # Position of its owner after this entry.
    owner_distance: int
    in_flight_here: int
    in_flight_others: int
    # Age of the oldest report of other entries that counts; None if there is none.
    others_age_s: float | None
    limit: int
    slots: int
    drawn_slots: int
    cold_s: float
    suspended_s: float
    is_group_broken: bool
    is_group_slow: bool
    cost: PlacementCost
    cost_total: float


class Admission(Enum):
    """What would happen to the request."""

    PLACED = "placed"
    QUEUED = "queued"
    REFUSED = "refused"


class Decision(Struct, frozen=True, kw_only=True):
    """What would happen to a request now, and what is known of each upstream of its pool."""

    admission: Admission
    upstream: UpstreamId | None = None
    reason: str | None = None
    retry_after_s: float | None = None
    # Queued requests that would be placed before and after it.
    waiting_before: int = 0
    waiting_after: int = 0
    candidates: tuple[Candidate, ...] = ()


class _Passed(Struct, frozen=True):
    """The upstreams that passed each filter of a choice."""

    eligible: frozenset[UpstreamStats]
    untried: frozenset[UpstreamStats]
    usable: frozenset[UpstreamStats]
    free: frozenset[UpstreamStats]
    compared: frozenset[UpstreamStats]
    chosen: UpstreamStats | None


def explain(
    state: DispatchState, request: DispatchRequest, now_s: float, random: Random
) -> Decision:
    """Return what would happen to a first attempt of a request, without changing the state.

    `random` is a copy of the state's source of random numbers, which the result depends on.
    """
    played = copy_for(state, request.pool)
    played.random = random
    pool = pool_of(played, request.pool)
    described: list[tuple[Candidate, ...]] = []

    def observe(
        message: DispatchRequest, eligible: Sequence[UpstreamStats], comparison: Comparison
    ) -> None:
        if message.number == EXPLAINED:
            described[:] = [_describe(played, request.pool, _passed(eligible, comparison), now_s)]

    outputs = dispatching.on_request(played, request, now_s, observe)
    candidates = described[-1] if described else _describe(played, request.pool, None, now_s)
    for output in outputs:
        if output.number != EXPLAINED:
            continue
        if isinstance(output, Refuse):
            return Decision(
                admission=Admission.REFUSED,
                reason=output.reason.value,
                retry_after_s=output.retry_after_s,
                waiting_before=output.waiting,
                candidates=candidates,
            )
        assert isinstance(output, Place)
        return Decision(
            admission=Admission.PLACED,
            upstream=output.record.upstream,
            waiting_after=len(pool.waiting),
            candidates=candidates,
        )
    numbers = [each.number for each in wait_queue.ordered(pool, now_s)]
    before = numbers.index(EXPLAINED)
    return Decision(
        admission=Admission.QUEUED,
        waiting_before=before,
        waiting_after=len(numbers) - before - 1,
        candidates=candidates,
    )


def copy_for(state: DispatchState, name: PoolId) -> DispatchState:
    """Return a copy with the state of one pool; the immutable parts are shared."""
    pool = state.pools.get(name)
    partial = copy(state)
    partial.pools = {} if pool is None else {name: pool}
    partial.team_by_request = {}
    shared: list[Any] = [*state.peer_loads.values(), *state.peers.values()]
    shared += [state.pool_settings, state.slow_ranks]
    if pool is not None:
        members = (*pool.upstreams.by_id.values(), *pool.evacuated.values())
        shared += [*pool.waiting, *(stats.record for stats in members)]
    return deepcopy(partial, {id(each): each for each in shared})


def _passed(eligible: Sequence[UpstreamStats], comparison: Comparison) -> _Passed:
    return _Passed(
        frozenset(eligible),
        frozenset(comparison.untried),
        frozenset(comparison.usable),
        frozenset(comparison.free),
        frozenset(comparison.compared),
        comparison.chosen,
    )


def _describe(
    state: DispatchState, name: PoolId, passed: _Passed | None, now_s: float
) -> tuple[Candidate, ...]:
    pool = pool_of(state, name)
    settings = state.pool_settings.get(name)
    engine = None if settings is None else settings.engine
    ages_s = [now_s - each.received_s for each in state.peer_loads.values()]
    candidates: list[Candidate] = []
    for stats in (*pool.upstreams.by_id.values(), *pool.evacuated.values()):
        record = stats.record
        cost = load_spreading.cost_of(stats, state.data_centre, now_s)
        limit = concurrency_limits.concurrency_limit(pool, engine, stats)
        candidates.append(
            Candidate(
                upstream=record.upstream,
                address=record.address,
                data_centre=record.data_centre,
                group=upstream_selection.group_of(stats),
                verdict=_verdict(state, pool, stats, limit, passed, now_s),
                is_near=load_spreading.is_neighbour(stats),
                owner_distance=stats.owner_distance,
                in_flight_here=stats.own_in_flight,
                in_flight_others=stats.peer_in_flight,
                others_age_s=max(ages_s, default=None),
                limit=limit,
                slots=record.slots,
                drawn_slots=stats.drawn_slots,
                cold_s=record.cold_s,
                suspended_s=max(0.0, stats.suspended_until_s - now_s),
                is_group_broken=upstream_selection.is_group_broken(stats),
                is_group_slow=pauses_of(pool, stats).is_slow,
                cost=cost,
                cost_total=load_spreading.total(cost),
            )
        )
    return tuple(candidates)


def _verdict(
    state: DispatchState,
    pool: PoolState,
    stats: UpstreamStats,
    limit: int,
    passed: _Passed | None,
    now_s: float,
) -> Verdict:
    """Return the first filter that an upstream did not pass, in the order of the decision."""
    record = stats.record
    if record.upstream in pool.evacuated:
        return Verdict.EVACUATED
    if upstream_notices.is_closed(pool.notices, record, now_s):
        return Verdict.CLOSED
    limits = pool.rate_limits
    # On the copy, as in the decision: a permit is due at the same time as often as it is asked for.
    if not rate_limits.has_permit(limits, record, stats.sharers, now_s, state.random):
        return Verdict.NO_PERMIT
    is_full = upstream_selection.load_of(stats) >= limit
    if passed is None:
        return _unusable(stats, now_s) or (Verdict.FULL if is_full else Verdict.NOT_COMPARED)
    if stats not in passed.eligible:
        is_slow = pauses_of(pool, stats).is_slow
        excluded = Verdict.SLOW_GROUP if is_slow else Verdict.RESERVED
        return _unusable(stats, now_s) or (Verdict.FULL if is_full else excluded)
    if stats not in passed.untried:
        return Verdict.TRIED
    if stats not in passed.usable:
        return _unusable(stats, now_s) or Verdict.NOT_COMPARED
    if stats not in passed.free:
        return Verdict.FULL
    if stats is passed.chosen:
        return Verdict.CHOSEN
    if stats in passed.compared:
        return Verdict.HIGHER_COST
    if any(map(load_spreading.is_neighbour, passed.compared)):
        return Verdict.NEAR_ONE_FREE
    return Verdict.NOT_DRAWN if stats.drawn_slots > 0 else Verdict.NO_DRAWN_SLOT


def _unusable(stats: UpstreamStats, now_s: float) -> Verdict | None:
    if stats.suspended_until_s > now_s:
        return Verdict.SUSPENDED
    return Verdict.BROKEN_GROUP if upstream_selection.is_group_broken(stats) else None
