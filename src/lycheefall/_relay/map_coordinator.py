"""Filter that keeps the expert maps of groups near what is in demand, at one entry at a time."""

import asyncio
from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.expert_maps import ExpertMap, MapVersion, RankStatus
from lycheefall._core.ids import GroupId, PoolId
from lycheefall._core.log import log
from lycheefall._core.relay import ExpertLayout, GroupHealth, UpstreamRecord
from lycheefall._relay.connections import Connections
from lycheefall._relay.rank_calls import Rank, counts_of, held_by, ranks_of, status_of
from lycheefall._rules import expert_demand, expert_maps, map_rollout
from lycheefall._rules.expert_demand import Demand
from lycheefall._rules.map_rollout import Rollout

# Between two looks at the demand. Demand shifts within seconds; each look is paid for.
LOOK_PERIOD_S = 0.4
# Between two reports of the first rank of a group.
STATUS_PERIOD_S = 1.2
# A new map has to make passes this much shorter: each change costs orders and copies.
LEAST_GAIN = 1.12
# Part of the places in use below which passes are short enough with any map, and the same
# multiplied by how much longer passes take than with an even load.
LEAST_PRESSURE = 0.4
LEAST_URGENCY = 1.5
# The switch is some passes ahead, and until then a rank takes no other map.
PAUSE_AFTER_CHANGE_S = 0.6
# A refused or lost change is not tried again at once.
PAUSE_AFTER_FAILURE_S = 1.0
_FIRST_PASS_S = 0.06


class Coordinator(Struct, eq=False, kw_only=True):
    """What the filter needs of the entry."""

    dialect: Dialect
    records: Callable[[], tuple[UpstreamRecord, ...]]
    layout_of: Callable[[PoolId], ExpertLayout | None]
    # Part of the places of a pool that are in use.
    pressure_of: Callable[[PoolId], float]
    may_act: Callable[[], bool]
    connections: Connections
    random: Random
    pools: dict[PoolId, "Pool"] = field(default_factory=dict)
    rollouts: "set[asyncio.Task[None]]" = field(default_factory=set)


class Group(Struct, eq=False):
    """A group and its map."""

    name: GroupId
    members: list[Rank] = field(default_factory=list)
    epoch: int = -1
    # The map in force; None while it is not known.
    experts: ExpertMap | None = None
    version: MapVersion = MapVersion(0)
    highest: MapVersion = MapVersion(0)
    status: RankStatus | None = None
    status_s: float = float("-inf")
    # No report is due before this time.
    next_status_s: float = float("-inf")
    pass_s: float = _FIRST_PASS_S
    # The rank whose counts are read.
    counted: int = 0
    held_since_s: float | None = None
    is_changing: bool = False
    not_before_s: float = float("-inf")


class Pool(Struct, eq=False):
    """Groups that serve the same work, and what their requests choose."""

    name: PoolId
    layout: ExpertLayout
    demand: Demand
    groups: dict[GroupId, Group] = field(default_factory=dict)
    turn: int = 0


async def run_coordinator(state: Coordinator) -> None:
    """Look at the demand while this entry is the coordinator; changes that began are finished."""
    try:
        while True:
            await asyncio.sleep(LOOK_PERIOD_S)
            if not state.may_act():
                state.pools.clear()
                continue
            _find_groups(state)
            for pool in state.pools.values():
                await _look(state, pool)
    finally:
        for task in state.rollouts:
            task.cancel()
        await asyncio.gather(*state.rollouts, return_exceptions=True)


def _find_groups(state: Coordinator) -> None:
    """Find the ranks of all groups; one with a missing rank has no members."""
    latest: dict[tuple[PoolId, GroupId], dict[int, UpstreamRecord]] = {}
    for record in state.records():
        if record.group is None:
            continue
        ranks = latest.setdefault((record.pool, record.group.group), {})
        known = ranks.get(record.group.rank)
        if known is None or record.born_ms > known.born_ms:
            ranks[record.group.rank] = record
    for (pool_name, name), ranks in latest.items():
        layout = state.layout_of(pool_name)
        if layout is None:
            continue
        pool = state.pools.get(pool_name)
        if pool is None:
            pool = state.pools[pool_name] = Pool(pool_name, layout, Demand())
        group = pool.groups.setdefault(name, Group(name))
        is_whole = sorted(ranks) == list(range(len(ranks)))
        group.members = [
            Rank(ranks[rank], state.dialect, state.connections)
            for rank in range(len(ranks) if is_whole else 0)
        ]


async def _look(state: Coordinator, pool: Pool) -> None:
    groups = [each for each in pool.groups.values() if each.members]
    if not groups:
        return
    await asyncio.gather(*(_check(state, each, pool.layout) for each in groups))
    pool.turn += 1
    if state.pressure_of(pool.name) < LEAST_PRESSURE:
        return
    await _count(pool, groups[pool.turn % len(groups)])
    for group in groups:
        if _may_change(group) and expert_demand.is_known(pool.demand):
            await _improve(state, pool, group)


def _may_change(group: Group) -> bool:
    now_s = asyncio.get_running_loop().time()
    return group.experts is not None and not group.is_changing and now_s >= group.not_before_s


async def _check(state: Coordinator, group: Group, layout: ExpertLayout) -> None:
    """Ask the first rank how the group is, and learn its map where it is not known."""
    now_s = asyncio.get_running_loop().time()
    is_due = now_s >= group.next_status_s or group.experts is None
    if group.is_changing or not is_due:
        return
    status = await status_of(group.members[0])
    if status is None or status.membership is None:
        return
    _take_status(group, status, now_s)
    group.next_status_s = now_s + STATUS_PERIOD_S
    if status.membership.health is GroupHealth.BROKEN or status.ranks != len(group.members):
        group.experts = None
        return
    epoch = status.membership.epoch
    if (group.epoch, group.version) != (epoch, status.map_version) or group.experts is None:
        await _learn(group, layout, status)
    if status.held is None:
        group.held_since_s = None
    else:
        await _release(state, group, now_s)


def _take_status(group: Group, status: RankStatus, now_s: float) -> None:
    """Keep a report, and learn how long a pass takes from the one before it."""
    before = group.status
    if before is not None and status.step > before.step and status.running:
        group.pass_s = (now_s - group.status_s) / (status.step - before.step)
    group.status, group.status_s = status, now_s


async def _learn(group: Group, layout: ExpertLayout, status: RankStatus) -> None:
    """Ask the ranks for the map in force, after a new epoch or as a new coordinator."""
    group.epoch = -1 if status.membership is None else status.membership.epoch
    group.version = status.map_version
    group.highest = max(group.highest, status.map_version, status.prepared)
    group.experts = None
    if not status.map_version:
        group.experts = expert_maps.initial_map(layout, len(group.members))
        return
    held = await asyncio.gather(*(held_by(each) for each in group.members))
    known = [each for each in held if each is not None and each.version == status.map_version]
    if len(known) == len(group.members):
        group.experts = tuple(
            tuple(each.experts[number] for each in known) for number in range(layout.sets)
        )


async def _count(pool: Pool, group: Group) -> None:
    """Take what the requests of one rank chose since it was last asked."""
    rank = group.counted % len(group.members)
    counts = await counts_of(group.members[rank], pool.layout.sets)
    source = (group.name, rank, group.members[rank].record.born_ms)
    if counts is None or not expert_demand.take(pool.demand, source, counts):
        # An idle rank tells nothing; the next one may.
        group.counted += 1


async def _improve(state: Coordinator, pool: Pool, group: Group) -> None:
    """Plan a better map and begin to put it in force, where that is worth its costs."""
    before = group.experts
    if before is None or group.status is None:
        return
    loads = pool.demand.loads
    sets = []
    for held, load in zip(before, loads, strict=True):
        sets.append(expert_maps.worthwhile_set(held, load, pool.layout))
        # Requests go on between the sets of a plan.
        await asyncio.sleep(0)
    after = tuple(sets)
    ratio_before = expert_maps.pass_ratio(before, loads, pool.layout)
    ratio_after = expert_maps.pass_ratio(after, loads, pool.layout)
    is_urgent = state.pressure_of(pool.name) * ratio_before >= LEAST_URGENCY
    is_worth_it = ratio_before >= LEAST_GAIN * ratio_after
    if not (is_urgent and is_worth_it and state.may_act()):
        return
    group.is_changing = True
    task = asyncio.create_task(_roll_out(state, pool, group, after, (ratio_before, ratio_after)))
    state.rollouts.add(task)
    task.add_done_callback(state.rollouts.discard)


async def _roll_out(
    state: Coordinator,
    pool: Pool,
    group: Group,
    after: ExpertMap,
    ratios: tuple[float, float],
) -> None:
    before = group.experts
    status = await status_of(group.members[0])
    if before is None or status is None:
        group.is_changing = False
        return
    _take_status(group, status, asyncio.get_running_loop().time())
    version = map_rollout.next_version(group.highest, state.random)
    copied = expert_maps.copies(before, after)
    copy_s = copied * pool.layout.expert_bytes / pool.layout.link_bytes_per_s
    result = Rollout.GROUP_LOST
    try:
        ranks = ranks_of(group.members)
        result = await map_rollout.roll_out(
            ranks, status, after, version, copy_s, group.pass_s, state.may_act
        )
    finally:
        group.highest = version
        group.is_changing = False
        group.experts = after if result is Rollout.IN_FORCE else None
        group.version = version if result is Rollout.IN_FORCE else group.version
        now_s = asyncio.get_running_loop().time()
        if result is Rollout.IN_FORCE:
            # A report from before the switch would name the map before.
            group.next_status_s = now_s + STATUS_PERIOD_S
            group.not_before_s = now_s + PAUSE_AFTER_CHANGE_S
        else:
            group.not_before_s = now_s + PAUSE_AFTER_FAILURE_S
        log(
            Event.EXPERTS_PLACED,
            group=group.name,
            epoch=group.epoch,
            version=version,
            outcome=result.value,
            ratio_before=round(ratios[0], 3),
            ratio_after=round(ratios[1], 3),
            copies=copied,
            pass_s=round(group.pass_s, 4),
        )


async def _release(state: Coordinator, group: Group, now_s: float) -> None:
    """Let a group go on that was left held."""
    # Until it goes on, each look counts.
    group.next_status_s = now_s
    if group.held_since_s is None:
        group.held_since_s = now_s
    held_for_s = now_s - group.held_since_s
    ranks = ranks_of(group.members)
    known = await map_rollout.statuses(ranks)
    if known is None or group.experts is None or not state.may_act():
        return
    highest = max(max(each.map_version, each.prepared, each.armed) for each in known)
    version = map_rollout.next_version(max(group.highest, highest), state.random)
    result = await map_rollout.release(ranks, known, group.experts, version, held_for_s)
    if result is not None:
        group.experts = None
        group.highest = version
    log(
        Event.EXPERTS_PLACED,
        group=group.name,
        epoch=group.epoch,
        outcome="waiting" if result is None else result.value,
        held_s=round(held_for_s, 3),
    )
