"""Filter that adapts the expert maps of groups to the demand; active at one entry at a time.

It reads how often each expert is selected, plans a map that balances the work of the ranks, and
rolls the map out if that shortens passes enough. Maps and passes are defined in
`_core.expert_maps`.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from math import ceil
from random import Random
from typing import Any, TypeVar

from msgspec import Struct, field

from lycheefall._core.events import Event
from lycheefall._core.expert_maps import ExpertMap, RankStatus
from lycheefall._core.ids import GroupId, PoolId
from lycheefall._core.log import log
from lycheefall._core.messages.relay import SlowRank
from lycheefall._core.pipeline import Inbox
from lycheefall._core.relay import EngineModel, ExpertLayout, UpstreamRecord
from lycheefall._relay.map_groups import (
    MIN_SLOW_PACE,
    STATUS_PERIOD_S,
    Group,
    Pool,
    check_group,
    may_change,
    slow_ranks,
    update_groups,
    update_paces,
    update_status,
)
from lycheefall._relay.messages import CheckGroups, PassObserved, ToCoordinator
from lycheefall._relay.rank_calls import Rank, fetch_counts, fetch_status, rank_client
from lycheefall._rules import (
    demand_shift,
    expert_demand,
    expert_maps,
    map_planning,
    map_rollout,
    pass_duration,
    shift_times,
)
from lycheefall._rules.demand_shift import PassDurations
from lycheefall._rules.expert_demand import Sample
from lycheefall._rules.map_planning import Plan, PlanTimes
from lycheefall._rules.map_rollout import RolloutResult

# Period between two checks of the groups.
CHECK_PERIOD_S = 0.4
# Period between two reads of the expert counters while no shift of the demand is detected; each
# read slows a pass down.
SAMPLE_PERIOD_S = 2.5
# Passes that take this fraction of the pause target can't be explained by full batches: the map
# does not fit the demand, and the counters are read again after this shorter time.
DEGRADED_PASS_RATIO = 0.7
RESAMPLE_PERIOD_S = 0.8
# Duration of a sample after a shift: about two passes, so that it excludes selections of experts
# from before the shift.
SHIFT_SAMPLE_S = 0.15
# Time from the first sample after a shift to the second, which is more precise.
SECOND_SAMPLE_DELAY_S = 0.6
# Number of ranks whose counters are read, at least one of each group. The counters of one rank
# cover only a few requests, and each read makes the current pass slightly longer.
SAMPLED_RANKS = 2
# Minimum ratio by which a new map must shorten the passes until demand shifts again; each change
# costs orders to all ranks and copies of experts.
MIN_GAIN = 1.08
# Weights of a new observation in the mean load. It follows more requests fast, and fewer slowly:
# right after a shift passes are longer, and the number of requests grows only then.
_MORE_ARRIVALS_WEIGHT = 0.5
_FEWER_ARRIVALS_WEIGHT = 0.1
# Weight of a new observation in the duration of the orders.
_ORDERS_WEIGHT = 0.3
# Minimum utilization of a pool, unless passes are long: below it a better map would not serve
# more requests, so counters are not read and no map is planned.
MIN_UTILIZATION = 0.7
# Minimum product of the utilization of a pool and the relative pass time (the duration of a pass
# divided by that with an even load) at which a better map is worth its cost.
URGENT_UTILIZATION = 1.5
# Passes that take this fraction of the pause target count as too long as well, because a few of
# them take much longer than the usual one.
LONG_PASS_RATIO = 0.6
# The same for the passes that are expected once the number of running requests has settled: they
# vary around that duration.
_SETTLED_PASS_RATIO = 0.45
# Status reports are 0.2 s old and a switch takes effect up to two passes later, so an earlier
# rollout would see the state before the previous switch.
CHANGE_COOLDOWN_S = 0.45
# Delay before a refused or lost change is retried.
FAILURE_BACKOFF_S = 1.0


T = TypeVar("T")

# Plans by the map in force and the paces of the ranks.
Plans = dict[tuple[ExpertMap, tuple[float, ...]], Plan]


class Coordinator(Struct, eq=False, kw_only=True):
    """Dependencies and state of the filter."""

    inbox: Inbox[ToCoordinator]
    # Returns the client of a rank.
    new_rank: Callable[[UpstreamRecord], Rank]
    records: Callable[[], tuple[UpstreamRecord, ...]]
    # Returns the performance model of the engines of a pool, or None if it has none.
    engine_of: Callable[[PoolId], EngineModel | None]
    # Returns the fraction of the slots of a pool that are in use.
    utilization_of: Callable[[PoolId], float]
    may_coordinate: Callable[[], bool]
    random: Random
    pools: dict[PoolId, Pool] = field(default_factory=dict)
    # Reported to all entries, which keep work from them.
    slow_ranks: tuple[SlowRank, ...] = ()
    pass_durations: dict[GroupId, PassDurations] = field(default_factory=dict)
    # Pause target of the streams of a pool.
    pause_target_s: dict[PoolId, float] = field(default_factory=dict)
    # Changes of maps in progress; a stopping entry waits for them.
    rollouts: "set[asyncio.Task[Any]]" = field(default_factory=set)


async def run_coordinator(state: Coordinator) -> None:
    """Adapt the maps while this entry is the coordinator, until cancelled.

    A rollout that has begun is completed after the entry stops being the coordinator.
    """
    try:
        while True:
            shifted = _process_messages(state, await state.inbox.drain())
            if shifted is None:
                continue
            if not state.may_coordinate():
                state.pools.clear()
                state.pass_durations.clear()
                state.slow_ranks = ()
                continue
            _update_pools(state)
            for pool in state.pools.values():
                await _check_pool(state, pool, pool.name in shifted)
    finally:
        for task in state.rollouts:
            task.cancel()
        await asyncio.gather(*state.rollouts, return_exceptions=True)


def _process_messages(state: Coordinator, messages: list[ToCoordinator]) -> set[PoolId] | None:
    """Record pass durations; return the pools whose demand has shifted, or None.

    None means that no check of the groups is due.
    """
    shifted: set[PoolId] = set()
    is_due = False
    now_s = asyncio.get_running_loop().time()
    for message in messages:
        match message:
            case CheckGroups():
                is_due = True
            case PassObserved():
                durations = state.pass_durations.setdefault(message.group, PassDurations())
                state.pause_target_s[message.pool] = message.target_s
                if demand_shift.observe(durations, message.pause_s, now_s):
                    shifted.add(message.pool)
                    log(
                        Event.PASSES_LONGER, group=message.group, pass_s=round(durations.usual_s, 4)
                    )
    return shifted if is_due or shifted else None


def _update_pools(state: Coordinator) -> None:
    records = state.records()
    for name in {each.pool for each in records if each.group is not None}:
        engine = state.engine_of(name)
        if engine is None or engine.layout is None:
            continue
        pool = state.pools.get(name)
        if pool is None or pool.engine != engine:
            # The estimated demand does not apply to another layout.
            pool = state.pools[name] = Pool(name, engine, engine.layout)
        update_groups(pool, records, state.new_rank)


async def _check_pool(state: Coordinator, pool: Pool, is_shifted: bool) -> None:
    """Check the groups of a pool, and start rollouts of better maps while the pool is loaded."""
    groups = [each for each in pool.groups.values() if each.members]
    statuses = await asyncio.gather(*(check_group(each, pool.layout) for each in groups))
    for group, status in zip(groups, statuses, strict=True):
        if status is not None:
            await _release_hold(state, pool, group, status)
    if not groups:
        return
    _update_arrivals(state, pool)
    is_new = not expert_demand.is_known(pool.demand) and _running_per_rank(state, pool) >= 1.0
    if not is_new and not is_shifted and not _is_loaded(state, pool):
        await _refresh_paces(state, pool, groups)
        return
    await _update_demand(state, pool, groups, is_shifted)
    await _refresh_paces(state, pool, groups)
    if expert_demand.is_known(pool.demand):
        plans: Plans = {}
        for group in groups:
            if may_change(group):
                await _improve_map(state, pool, group, plans)


async def _refresh_paces(state: Coordinator, pool: Pool, groups: list[Group]) -> None:
    """Update the paces of the ranks, and the slow ranks that all entries learn of."""
    are_long = _has_long_passes(state, pool, LONG_PASS_RATIO)
    await asyncio.gather(*(update_paces(each, are_long) for each in groups))
    state.slow_ranks = slow_ranks(state.pools.values())


async def _update_demand(
    state: Coordinator, pool: Pool, groups: list[Group], is_shifted: bool
) -> None:
    """Read the expert counters if that is due; after a shift, take a short sample at once."""
    now_s = asyncio.get_running_loop().time()
    shifts_before = pool.demand.shifts
    is_degraded = now_s >= pool.sampled_s + RESAMPLE_PERIOD_S and _has_long_passes(
        state, pool, DEGRADED_PASS_RATIO
    )
    if is_shifted or is_degraded or not expert_demand.is_known(pool.demand):
        pool.sampled_s = now_s
        pool.next_sample_s = now_s + SECOND_SAMPLE_DELAY_S
        expert_demand.set_baseline(pool.demand, await _read_samples(pool, groups))
        await asyncio.sleep(SHIFT_SAMPLE_S)
        expert_demand.add_samples(pool.demand, await _read_samples(pool, groups))
    elif now_s >= pool.next_sample_s:
        pool.sampled_s = now_s
        pool.next_sample_s = now_s + SAMPLE_PERIOD_S
        expert_demand.add_samples(pool.demand, await _read_samples(pool, groups))
    if pool.demand.shifts > shifts_before:
        shift_times.record_shift(pool.shifts, now_s)


async def _read_samples(pool: Pool, groups: list[Group]) -> list[Sample]:
    """Return the expert counters of some ranks of each group."""
    ranks_per_group = ceil(SAMPLED_RANKS / len(groups))
    targets = [
        (group.name, rank, group.members[rank])
        for group in groups
        for rank in _sampled_ranks(len(group.members), ranks_per_group)
    ]
    counters = await asyncio.gather(
        *(fetch_counts(member, pool.layout) for _, _, member in targets)
    )
    return [
        ((name, rank, member.record.start_time_ms), counts)
        for (name, rank, member), counts in zip(targets, counters, strict=True)
        if counts is not None
    ]


def _sampled_ranks(ranks: int, wanted: int) -> list[int]:
    """Return the ranks to read, spread evenly over the group."""
    count = min(ranks, wanted)
    return [number * ranks // count for number in range(count)]


async def _improve_map(state: Coordinator, pool: Pool, group: Group, plans: Plans) -> None:
    """Plan a better map, and start to roll it out if that is worth the cost.

    `plans` are the plans made in this check.
    """
    before = group.active_map
    if before is None or group.status is None:
        return
    loads = pool.demand.loads
    ratio_before = expert_maps.relative_pass_time(before, loads, pool.layout, group.paces)
    if not _is_urgent(state, pool, ratio_before):
        return
    times = PlanTimes(
        pass_s=partial(pass_duration.settled_pass_s, pool.engine, pool.requests_per_pass_s),
        expert_copy_s=pool.layout.expert_bytes / pool.layout.link_bytes_per_s,
        orders_s=pool.orders_s,
        remaining_s=shift_times.remaining_s(pool.shifts, asyncio.get_running_loop().time()),
    )
    key = before, group.paces
    found = plans.get(key)
    if found is None:
        found = plans[key] = await _plan(before, loads, group.paces, pool.layout, times)
    is_better = times.pass_s(ratio_before) >= MIN_GAIN * found.mean_pass_s
    if not is_better or not state.may_coordinate():
        return
    group.is_changing = True
    _start(state, _roll_out(state, pool, group, found, ratio_before))


def _start(state: Coordinator, change: Coroutine[None, None, T]) -> "asyncio.Task[T]":
    """Run a change of maps as a task that a stopping entry waits for."""
    task = asyncio.create_task(change)
    state.rollouts.add(task)
    task.add_done_callback(state.rollouts.discard)
    return task


async def _plan(
    before: ExpertMap,
    loads: list[list[float]],
    paces: tuple[float, ...],
    layout: ExpertLayout,
    times: PlanTimes,
) -> Plan:
    """Plan a map, and yield to requests between the parts of the search."""
    steps = map_planning.plan(before, loads, paces, layout, times)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            plan: Plan = end.value
            return plan
        await asyncio.sleep(0)


def _update_arrivals(state: Coordinator, pool: Pool) -> None:
    """Update the running requests per rank for each second of a pass."""
    usual_s = _usual_pass_s(state, pool)
    if usual_s:
        observed = _running_per_rank(state, pool) / usual_s
        difference = observed - pool.requests_per_pass_s
        weight = _MORE_ARRIVALS_WEIGHT if difference > 0.0 else _FEWER_ARRIVALS_WEIGHT
        pool.requests_per_pass_s += weight * difference


def _is_loaded(state: Coordinator, pool: Pool) -> bool:
    """Return whether a better map could serve requests that are now refused or late.

    This is known before the demand is read: passes show how uneven the load of the ranks is.
    """
    if state.utilization_of(pool.name) >= MIN_UTILIZATION:
        return True
    running = _running_per_rank(state, pool)
    ratio = pass_duration.observed_ratio(pool.engine, running, _usual_pass_s(state, pool))
    return _will_be_long(state, pool, ratio) or _has_long_passes(state, pool, LONG_PASS_RATIO)


def _is_urgent(state: Coordinator, pool: Pool, relative_pass_time: float) -> bool:
    """Return whether requests queue or streams are late because passes are, or will be, long."""
    if state.utilization_of(pool.name) * relative_pass_time >= URGENT_UTILIZATION:
        return True
    will_be_long = _will_be_long(state, pool, relative_pass_time)
    return will_be_long or _has_long_passes(state, pool, LONG_PASS_RATIO)


def _will_be_long(state: Coordinator, pool: Pool, ratio: float) -> bool:
    """Return whether passes will be long once more requests run because of longer passes."""
    target_s = state.pause_target_s.get(pool.name, 0.0)
    settled_s = pass_duration.settled_pass_s(pool.engine, pool.requests_per_pass_s, ratio)
    return 0.0 < _SETTLED_PASS_RATIO * target_s < settled_s


def _running_per_rank(state: Coordinator, pool: Pool) -> float:
    return min(1.0, state.utilization_of(pool.name)) * pool.engine.slots


def _usual_pass_s(state: Coordinator, pool: Pool) -> float:
    """Return the longest usual pass of the groups of a pool; 0 if none is known."""
    return max(
        (
            state.pass_durations[each].usual_s
            for each in pool.groups
            if each in state.pass_durations
        ),
        default=0.0,
    )


def _has_long_passes(state: Coordinator, pool: Pool, ratio: float) -> bool:
    """Return whether any group's passes exceed a fraction of the pause target of the pool."""
    target_s = state.pause_target_s.get(pool.name, 0.0)
    return 0.0 < ratio * target_s < _usual_pass_s(state, pool)


async def _roll_out(
    state: Coordinator,
    pool: Pool,
    group: Group,
    plan: Plan,
    ratio_before: float,
) -> None:
    """Switch a group to a new map, and log the result.

    `ratio_before` is the relative pass time with the current map.
    """
    after = plan.experts
    before = group.active_map
    status = await fetch_status(group.members[0])
    if before is None or status is None:
        group.is_changing = False
        return
    update_status(group, status, asyncio.get_running_loop().time())
    version = map_rollout.next_version(group.highest_version, state.random)
    copied = expert_maps.max_experts_to_copy(before, after)
    copy_s = copied * pool.layout.expert_bytes / pool.layout.link_bytes_per_s
    result = RolloutResult.GROUP_LOST
    began_s = asyncio.get_running_loop().time()
    try:
        ranks = rank_client(group.members, pool.layout)
        result = await map_rollout.roll_out(
            ranks, status, after, version, copy_s, group.pass_s, state.may_coordinate
        )
    finally:
        group.highest_version = version
        group.is_changing = False
        group.active_map = after if result is RolloutResult.IN_FORCE else None
        group.version = version if result is RolloutResult.IN_FORCE else group.version
        now_s = asyncio.get_running_loop().time()
        if result is RolloutResult.IN_FORCE:
            # A report from before the switch would name the previous map.
            group.next_status_s = now_s + STATUS_PERIOD_S
            group.next_change_s = now_s + CHANGE_COOLDOWN_S
            orders_s = max(0.0, now_s - began_s - copy_s)
            pool.orders_s += _ORDERS_WEIGHT * (orders_s - pool.orders_s)
        else:
            group.next_change_s = now_s + FAILURE_BACKOFF_S
        log(
            Event.EXPERTS_PLACED,
            group=group.name,
            epoch=group.epoch,
            version=version,
            outcome=result.value,
            ranks=len(group.members),
            ratio_before=round(ratio_before, 3),
            ratio_after=round(plan.pass_ratio, 3),
            copies=copied,
            slow_ranks=sum(each > MIN_SLOW_PACE for each in group.paces),
            pass_s=round(group.pass_s, 4),
            took_s=round(now_s - began_s, 3),
        )


async def _release_hold(state: Coordinator, pool: Pool, group: Group, status: RankStatus) -> None:
    """Complete the switch of a group that a previous rollout left paused, once that is possible."""
    if status.paused_before is None or group.is_changing:
        group.hold_since_s = None
        return
    # The status is requested at every check until the group is released.
    now_s = group.next_status_s = asyncio.get_running_loop().time()
    if group.hold_since_s is None:
        group.hold_since_s = now_s
    held_for_s = now_s - group.hold_since_s
    ranks = rank_client(group.members, pool.layout)
    statuses = await map_rollout.statuses(ranks)
    if statuses is None or group.active_map is None or not state.may_coordinate():
        return
    highest = max(max(each.map_version, each.prepared, each.armed) for each in statuses)
    version = map_rollout.next_version(max(group.highest_version, highest), state.random)
    result = await _start(
        state,
        map_rollout.complete_abandoned_switch(
            ranks, statuses, group.active_map, version, held_for_s
        ),
    )
    if result is not None:
        group.active_map = None
        group.highest_version = version
    log(
        Event.EXPERTS_PLACED,
        group=group.name,
        epoch=group.epoch,
        outcome="waiting" if result is None else result.value,
        held_s=round(held_for_s, 3),
    )
