"""Dispatch requests to upstreams, queue them or refuse them.

The rules handle bursts of one kind of request, upstreams that fail or become slow, and teams that
send far more requests than others. Requests that can still meet their target are served first:
under overload, serving the oldest first would make all of them late. About the same fraction of
the requests of each urgency rank is served, slightly more for urgent ranks, so that a flood of one
rank does not take all capacity. A request is refused as soon as its expected wait is too long.
"""

from collections.abc import Collection

from lycheefall._core.evacuations import Evacuations
from lycheefall._core.ids import (
    GroupId,
    PoolId,
    PromptPart,
    UpstreamId,
)
from lycheefall._core.relay import RelayConfiguration, UpstreamRecord
from lycheefall._rules import (
    decaying_counts,
    dispatch_peers,
    evacuation,
    planned_stop,
    record_table,
    retry_budget,
    wait_queue,
)
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    FirstByte,
    Outcome,
    Output,
    PauseObserved,
    Place,
    RefusalReason,
    Refuse,
    StopBegan,
    Withdraw,
)
from lycheefall._rules.dispatch_state import DispatchState, pool_of
from lycheefall._rules.pass_duration import pause_target_s, usable_share
from lycheefall._rules.placing import (
    cold_upstreams,
    concurrency_limits,
    group_pauses,
    load_spreading,
    rate_limits,
    upstream_notices,
    upstream_selection,
)
from lycheefall._rules.placing.load_spreading import Observe
from lycheefall._rules.placing.upstream_selection import UpstreamStats
from lycheefall._rules.pool_state import PoolState, opens_s, pauses_of, stats_of
from lycheefall._rules.record_table import RecordTable

_MIN_RETRY_AFTER_S = 0.2
# Upper bound of Retry-After as a fraction of the time left until the caller's deadline: the rest of
# the time is for serving the retry.
_RETRY_AFTER_RATIO = 0.33
# Fraction of Retry-After that is randomised, so that refused callers don't retry all at once.
_RETRY_JITTER = 0.4
# Retry-After in a pool without upstreams: about two announcement periods.
_NO_UPSTREAM_RETRY_S = 1.0
# A stalled rank blocks its group until the platform aborts the requests; the group then re-forms
# within about this time.
GROUP_SUSPENDED_S = 0.8


def apply_configuration(state: DispatchState, configuration: RelayConfiguration) -> None:
    """Apply the pool settings of a configuration."""
    state.pool_settings = {pool.name: pool for pool in configuration.pools}
    for pool in configuration.pools:
        if pool.engine is not None:
            target_s = pause_target_s(configuration, pool.name)
            pool_of(state, pool.name).usable_share = usable_share(pool.engine, target_s)


def update_upstreams(state: DispatchState, table: RecordTable) -> None:
    """Replace the known upstreams by the usable ones of a record table."""
    # Without a configuration all pools count. A pool that was removed counts until its queued
    # requests, which an earlier configuration allowed, are placed.
    queued = {name for name, pool in state.pools.items() if pool.waiting}
    pools = state.pool_settings.keys() | queued if state.pool_settings else None
    usable = {
        record.upstream: record
        for record in record_table.usable(table, pools)
        if not _is_leaving(state, record)
    }
    known = {upstream_notices.start_of(entry.record) for entry in table.entries.values()}
    for pool in state.pools.values():
        upstream_notices.retain(pool.notices, known)
        pool.lost &= known
        rate_limits.retain(pool.rate_limits, known)
        for upstream in [each for each in pool.upstreams.by_id if each not in usable]:
            del pool.upstreams.by_id[upstream]
        for upstream in [each for each in pool.evacuated if each not in usable]:
            del pool.evacuated[upstream]
    for record in usable.values():
        evacuation.place_record(state, pool_of(state, record.pool), record)
    dispatch_peers.update_owners(state)
    dispatch_peers.sum_peer_loads(state)
    dispatch_peers.update_paces(state)


def apply_evacuations(
    state: DispatchState, evacuations: Evacuations, table: RecordTable, now_s: float
) -> list[Output]:
    """Use only upstreams outside of the evacuated data centres for what is not yet placed.

    Requests that the remaining upstreams can't serve in time are refused at once. The upstreams of
    a data centre that is no longer evacuated may have become cold meanwhile.
    """
    before = () if state.evacuations is None else state.evacuations.data_centres
    state.evacuations = evacuations
    slots = {name: evacuation.usable_slots(pool) for name, pool in state.pools.items()}
    update_upstreams(state, table)
    for data_centre in set(before).difference(evacuations.data_centres):
        cold_upstreams.assume_cold(state, data_centre, now_s)
    outputs: list[Output] = []
    for name, pool in state.pools.items():
        evacuation.scale_placement_rate(pool, slots[name])
        if evacuation.is_evacuated(pool):
            refused, pool.waiting = pool.waiting, []
            reason = evacuation.reason_without_upstreams(state, pool)
            outputs += [_refuse(state, each, reason, now_s) for each in refused]
    return outputs + tick(state, now_s)


def on_request(
    state: DispatchState,
    message: DispatchRequest,
    now_s: float,
    observe: Observe | None = None,
) -> list[Output]:
    """Place a request, queue it or refuse it.

    A retry takes a token of the retry budget. It is refused if none is left, or if it has tried all
    upstreams.
    """
    pool = pool_of(state, message.pool)
    if not may_start(state, message):
        return [_refuse_late(state, message)]
    entries = max(len(state.peers) + 1, state.peer_history.most)
    retry_budget.refill(pool.retries, state.retry_bounds, entries, now_s)
    if message.is_retry:
        if all(each in message.tried for each in pool.upstreams.by_id):
            return [_refuse(state, message, RefusalReason.ALL_TRIED, now_s)]
        if message.stalled_s and not _is_another_sooner(pool, message, now_s):
            return [_refuse(state, message, RefusalReason.NO_SOONER_UPSTREAM, now_s)]
        if not retry_budget.try_consume(pool.retries):
            return [_refuse(state, message, RefusalReason.NO_RETRY_LEFT, now_s)]
    else:
        retry_budget.credit(pool.retries, state.retry_bounds, entries)
        decaying_counts.add(pool.recent_requests, message.urgency, now_s)
    if not pool.upstreams.by_id:
        return [_refuse(state, message, evacuation.reason_without_upstreams(state, pool), now_s)]
    pool.waiting.append(message)
    outputs = place_queued(state, message.pool, now_s, observe)
    if message in pool.waiting and message in wait_queue.unservable(pool, now_s):
        pool.waiting.remove(message)
        outputs.append(_refuse(state, message, RefusalReason.QUEUE_FULL, now_s))
    return outputs


def refuse_prompt(state: DispatchState, message: DispatchRequest, retry_after_s: float) -> Refuse:
    """Refuse a request whose prompt has a blocked part."""
    waiting = len(pool_of(state, message.pool).waiting)
    reason = RefusalReason.PROMPT_SUSPECTED
    return Refuse(message.number, reason, round(max(_MIN_RETRY_AFTER_S, retry_after_s), 2), waiting)


def remove_prompts(state: DispatchState, parts: Collection[PromptPart]) -> list[DispatchRequest]:
    """Remove the queued requests whose prompt has one of these parts, and return them."""
    removed: list[DispatchRequest] = []
    for pool in state.pools.values():
        matching = [each for each in pool.waiting if not set(parts).isdisjoint(each.prompt_parts)]
        pool.waiting = [each for each in pool.waiting if each not in matching]
        removed += matching
    return removed


def may_start(state: DispatchState, message: DispatchRequest) -> bool:
    """Return whether a request ends before the entry stops, or continues a begun response."""
    return message.has_response_begun or planned_stop.may_start(message.deadline_s, state.ends_s)


def begin_stop(state: DispatchState, message: StopBegan) -> list[Output]:
    """Start only requests that end before the entry does, and refuse the queued ones that don't."""
    state.ends_s = message.ends_s
    late: list[DispatchRequest] = []
    for pool in state.pools.values():
        late += [each for each in pool.waiting if not may_start(state, each)]
        pool.waiting = [each for each in pool.waiting if may_start(state, each)]
    return [_refuse_late(state, each) for each in late]


def withdraw(state: DispatchState, message: Withdraw) -> None:
    """Remove a request from the queue."""
    for pool in state.pools.values():
        pool.waiting = [each for each in pool.waiting if each.number != message.number]


def on_first_byte(state: DispatchState, message: FirstByte, now_s: float) -> None:
    """Record the delay from placement to the first byte of an answer."""
    pool = pool_of(state, message.pool)
    stats = stats_of(pool, message.upstream)
    if stats is not None:
        stats.unanswered = max(0, stats.unanswered - 1)
        upstream_selection.record_delay(pool.upstreams, stats, message.delay_s, now_s)
        upstream_notices.record_response(
            pool.notices, upstream_notices.start_of(stats.record), now_s
        )


def on_pause_observed(state: DispatchState, message: PauseObserved, now_s: float) -> None:
    """Record the longest recent pause of a stream."""
    pool = pool_of(state, message.pool)
    stats = pool.upstreams.by_id.get(message.upstream)
    if stats is not None:
        group_pauses.observe(pauses_of(pool, stats), message.pause_s / message.target_s, now_s)


def on_attempt_ended(state: DispatchState, message: AttemptEnded, now_s: float) -> list[Output]:
    """Release the slot of an attempt, record its outcome and place queued requests."""
    pool = pool_of(state, message.pool)
    stats = stats_of(pool, message.upstream)
    if stats is None:
        return place_queued(state, message.pool, now_s)
    stats.own_in_flight = max(0, stats.own_in_flight - 1)
    if not message.had_first_byte:
        stats.unanswered = max(0, stats.unanswered - 1)
    match message.outcome:
        case Outcome.ANSWERED:
            upstream_selection.record_outcome(stats, False, now_s)
        case Outcome.NOT_CONNECTED:
            upstream_selection.record_outcome(stats, True, now_s)
            upstream_selection.suspend(stats, now_s)
        case Outcome.LOST | Outcome.TIMED_OUT | Outcome.FAILED | Outcome.NOT_RUN:
            upstream_selection.record_outcome(stats, True, now_s)
        case Outcome.CANCELLED | Outcome.REVOKED:
            pass
    if message.group_stalled:
        _suspend_group(pool, stats, now_s)
    return place_queued(state, message.pool, now_s)


def release_team(state: DispatchState, number: int) -> None:
    """Remove a placed request from the count of its team."""
    pool, team = state.team_by_request.pop(number, (None, None))
    if pool is not None:
        counts = pool_of(state, pool).in_service
        counts[team] = counts.get(team, 1) - 1
        if counts[team] <= 0:
            del counts[team]


def tick(state: DispatchState, now_s: float) -> list[Output]:
    """Place queued requests, and refuse those that can no longer be served in time."""
    dispatch_peers.renew_slots(state, now_s)
    outputs: list[Output] = []
    for name, pool in state.pools.items():
        outputs += place_queued(state, name, now_s)
        for message in wait_queue.unservable(pool, now_s):
            pool.waiting.remove(message)
            outputs.append(_refuse(state, message, RefusalReason.EXPIRED, now_s))
    return outputs


def place_queued(
    state: DispatchState, name: PoolId, now_s: float, observe: Observe | None = None
) -> list[Output]:
    """Assign free slots to queued requests."""
    pool = pool_of(state, name)
    outputs: list[Output] = []
    while pool.waiting:
        placed = _place_next(state, name, pool, now_s, observe)
        if placed is None:
            break
        outputs.append(placed)
    return outputs


def in_flight(state: DispatchState) -> dict[UpstreamId, int]:
    """Return the attempts in flight of this entry, by upstream."""
    return {
        stats.record.upstream: stats.own_in_flight
        for pool in state.pools.values()
        for stats in (*pool.upstreams.by_id.values(), *pool.evacuated.values())
        if stats.own_in_flight
    }


def utilization(state: DispatchState, name: PoolId) -> float:
    """Return the utilization of a pool's slots; queued requests count, so it can exceed 1."""
    pool = pool_of(state, name)
    slots = sum(max(1, stats.record.slots) for stats in pool.upstreams.by_id.values())
    used = sum(upstream_selection.load_of(stats) for stats in pool.upstreams.by_id.values()) + len(
        pool.waiting
    )
    return used / max(1, slots)


def _place_next(
    state: DispatchState, name: PoolId, pool: PoolState, now_s: float, observe: Observe | None
) -> Place | None:
    """Place the first queued request for which an upstream has a free slot."""
    engine = None if name not in state.pool_settings else state.pool_settings[name].engine
    # By whether the request is late.
    eligible: dict[bool, list[UpstreamStats]] = {}
    exhausted: set[bool] = set()
    for message in wait_queue.ordered(pool, now_s):
        is_late = wait_queue.is_late(pool, message, now_s)
        # An earlier request of the same lateness found no free slot. A retry may still find one: it
        # excludes the upstreams that it has tried, and falls back to suspended or distant ones.
        if is_late in exhausted and not message.tried:
            continue
        if is_late not in eligible:
            eligible[is_late] = concurrency_limits.eligible_upstreams(
                pool, engine, is_late, now_s, state.random
            )
        comparison = load_spreading.compare(
            eligible[is_late],
            lambda each: concurrency_limits.concurrency_limit(pool, engine, each),
            message.tried,
            state.data_centre,
            now_s,
            state.random,
        )
        if observe is not None:
            observe(message, eligible[is_late], comparison)
        stats = comparison.chosen
        if stats is None:
            exhausted.add(is_late)
            continue
        pool.waiting.remove(message)
        stats.own_in_flight += 1
        stats.unanswered += 1
        stats.drawn_slots = max(0, stats.drawn_slots - 1)
        rate_limits.use_permit(pool.rate_limits, stats.record, stats.sharers, now_s)
        decaying_counts.add(pool.recent_placements, message.urgency, now_s)
        decaying_counts.add(pool.placement_rate, None, now_s)
        pool.in_service[message.team] = pool.in_service.get(message.team, 0) + 1
        state.team_by_request[message.number] = (name, message.team)
        load = upstream_selection.load_of(stats)
        return Place(message.number, stats.record, load, now_s - message.arrived_s)
    return None


def _refuse(
    state: DispatchState, message: DispatchRequest, reason: RefusalReason, now_s: float
) -> Refuse:
    pool = pool_of(state, message.pool)
    left_s = max(0.0, message.deadline_s - now_s)
    closed_s = opens_s(pool, now_s) - now_s
    if closed_s > 0.0:
        # A caller that returns before the first upstream opens would be refused again.
        jitter = 1.0 + _RETRY_JITTER * state.random.random()
        retry_after_s = round(max(_MIN_RETRY_AFTER_S, closed_s * jitter), 2)
        closed = RefusalReason.UPSTREAMS_CLOSED
        return Refuse(message.number, closed, retry_after_s, len(pool.waiting))
    if reason in (RefusalReason.NO_UPSTREAM, RefusalReason.EVACUATED):
        wait_s = _NO_UPSTREAM_RETRY_S
    elif not any(
        upstream_selection.is_usable(stats, now_s) for stats in pool.upstreams.by_id.values()
    ):
        # Groups take seconds to form again, and a caller that returns before is refused again.
        wait_s = left_s
    else:
        wait_s = (len(pool.waiting) + 1) / wait_queue.placements_per_s(pool, now_s)
    wait_s = max(_MIN_RETRY_AFTER_S, min(wait_s, left_s * _RETRY_AFTER_RATIO))
    jitter = 1.0 - _RETRY_JITTER * state.random.random()
    return Refuse(message.number, reason, round(wait_s * jitter, 2), len(pool.waiting))


def _is_another_sooner(pool: PoolState, message: DispatchRequest, now_s: float) -> bool:
    """Return whether an untried upstream usually responds within the time already waited."""
    return any(
        upstream_selection.is_usable(stats, now_s)
        and upstream_selection.expected_delay_s(pool.upstreams, stats, now_s) < message.stalled_s
        for upstream, stats in pool.upstreams.by_id.items()
        if upstream not in message.tried
    )


def _refuse_late(state: DispatchState, message: DispatchRequest) -> Refuse:
    waiting = len(pool_of(state, message.pool).waiting)
    retry_after_s = planned_stop.RETRY_AFTER_S
    return Refuse(message.number, RefusalReason.STOPPING, retry_after_s, waiting)


def _is_leaving(state: DispatchState, record: UpstreamRecord) -> bool:
    return upstream_notices.start_of(record) in pool_of(state, record.pool).notices.leaving


def _suspend_group(pool: PoolState, stats: UpstreamStats, now_s: float) -> None:
    """Suspend the group of an upstream, or the upstream itself if it is in no group."""
    group: GroupId | None = None if stats.record.group is None else stats.record.group.group
    if group is None:
        upstream_selection.suspend(stats, now_s)
    else:
        upstream_selection.suspend_group(pool.upstreams, group, now_s + GROUP_SUSPENDED_S)
