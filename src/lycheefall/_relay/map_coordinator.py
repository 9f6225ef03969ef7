"""Filter that keeps the expert maps of groups near what is in demand, at one entry at a time."""

import asyncio
from collections.abc import Callable
from random import Random

from msgspec import Struct, field

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.expert_maps import ExpertCounts, ExpertMap, MapVersion, RankStatus
from lycheefall._core.ids import GroupId, PoolId
from lycheefall._core.log import log
from lycheefall._core.relay import ExpertLayout, GroupHealth, UpstreamRecord
from lycheefall._relay.connections import Connections
from lycheefall._relay.rank_calls import Rank, counts_of, held_by, ranks_of, status_of
from lycheefall._rules import expert_maps, map_rollout
from lycheefall._rules.map_rollout import Ranks, Rollout

# Between two looks at the demand of a group. Counts are paid for, and demand shifts in seconds.
LOOK_PERIOD_S = 1.0
# Weight of what was chosen since the last look.
FRESH_WEIGHT = 0.6
# A new map has to make passes this much shorter: each change costs orders and copies.
LEAST_GAIN = 1.05
# Copies make the passes longer meanwhile by this part.
COPY_SLOWDOWN = 0.15
_FIRST_PASS_S = 0.05
_EVEN_LOAD = 1.0


class Coordinator(Struct, eq=False, kw_only=True):
    """What the filter needs of the entry."""

    dialect: Dialect
    records: Callable[[], tuple[UpstreamRecord, ...]]
    layout_of: Callable[[PoolId], ExpertLayout | None]
    may_act: Callable[[], bool]
    connections: Connections
    random: Random
    groups: dict[GroupId, "asyncio.Task[None]"] = field(default_factory=dict)


class Group(Struct, eq=False):
    """A group and what is known of its demand."""

    name: GroupId
    layout: ExpertLayout
    epoch: int = -1
    ranks: int = 0
    # The map in force; None while it is not known.
    experts: ExpertMap | None = None
    version: MapVersion = MapVersion(0)
    loads: list[list[float]] = field(default_factory=list)
    counted: dict[int, ExpertCounts] = field(default_factory=dict)
    turn: int = 0
    step: int = 0
    step_s: float = 0.0
    pass_s: float = _FIRST_PASS_S
    held_since_s: float | None = None


async def run_coordinator(state: Coordinator) -> None:
    """Run one task for each group while this entry is the coordinator."""
    try:
        while True:
            await asyncio.sleep(LOOK_PERIOD_S)
            if state.may_act():
                _start_groups(state)
    finally:
        for task in state.groups.values():
            task.cancel()
        await asyncio.gather(*state.groups.values(), return_exceptions=True)


def _start_groups(state: Coordinator) -> None:
    for record in state.records():
        if record.group is None:
            continue
        name = record.group.group
        layout = state.layout_of(record.pool)
        running = state.groups.get(name)
        if layout is not None and (running is None or running.done()):
            group = Group(name, layout)
            state.groups[name] = asyncio.create_task(_run_group(state, group))


async def _run_group(state: Coordinator, group: Group) -> None:
    """Look at a group again and again, until another entry is the coordinator."""
    while state.may_act():
        await _look(state, group)
        await asyncio.sleep(LOOK_PERIOD_S)


async def _look(state: Coordinator, group: Group) -> None:
    members = _members(state, group)
    if not members:
        return
    turn = group.turn % len(members)
    group.turn += 1
    status = await status_of(members[0])
    if status is None or status.membership is None:
        return
    if status.membership.health is GroupHealth.BROKEN:
        group.epoch = -1
        return
    if not _is_current(group, status, members) and not await _learn(group, status, members):
        return
    ranks = ranks_of(members)
    if status.held is not None:
        await _release(group, ranks)
        return
    group.held_since_s = None
    await _count(group, members[turn], turn)
    if any(group.loads) and status.running + status.waiting > 0:
        await _improve(state, group, ranks)


def _members(state: Coordinator, group: Group) -> list[Rank]:
    """Return the ranks in their order, or nothing while one is missing."""
    latest: dict[int, UpstreamRecord] = {}
    for record in state.records():
        place = record.group
        if place is None or place.group != group.name:
            continue
        known = latest.get(place.rank)
        if known is None or record.born_ms > known.born_ms:
            latest[place.rank] = record
    if sorted(latest) != list(range(len(latest))):
        return []
    return [Rank(latest[rank], state.dialect, state.connections) for rank in range(len(latest))]


def _is_current(group: Group, status: RankStatus, members: list[Rank]) -> bool:
    now_s = asyncio.get_running_loop().time()
    if status.step > group.step and group.step:
        group.pass_s = (now_s - group.step_s) / (status.step - group.step)
    group.step, group.step_s = status.step, now_s
    epoch = -1 if status.membership is None else status.membership.epoch
    return (
        group.experts is not None
        and epoch == group.epoch
        and status.map_version == group.version
        and len(members) == group.ranks == status.ranks
    )


async def _learn(group: Group, status: RankStatus, members: list[Rank]) -> bool:
    """Ask the ranks for the map in force, after a new epoch or as a new coordinator."""
    if status.membership is None or len(members) != status.ranks:
        return False
    if group.epoch != status.membership.epoch:
        group.counted = {}
    group.epoch = status.membership.epoch
    group.ranks = len(members)
    group.version = status.map_version
    if not status.map_version:
        group.experts = expert_maps.initial_map(group.layout, group.ranks)
        return True
    held = await asyncio.gather(*(held_by(each) for each in members))
    known = [each for each in held if each is not None and each.version == status.map_version]
    if len(known) != len(members):
        group.experts = None
        return False
    group.experts = tuple(
        tuple(each.experts[number] for each in known) for number in range(group.layout.sets)
    )
    return True


async def _count(group: Group, member: Rank, rank: int) -> None:
    """Blend in what the requests of one rank chose since it was last asked."""
    counts = await counts_of(member, group.layout.sets)
    if counts is None:
        return
    before = group.counted.get(rank)
    group.counted[rank] = counts
    if counts.epoch != group.epoch:
        return
    fresh = [list(map(float, each)) for each in counts.counts]
    if before is not None:
        fresh = [
            [max(0.0, new - old) for new, old in zip(each, earlier, strict=True)]
            for each, earlier in zip(fresh, map(list, before.counts), strict=True)
        ]
    if not group.loads:
        group.loads = [[] for _ in fresh]
    for number, each in enumerate(fresh):
        total = sum(each)
        if total > 0:
            share = [value / total for value in each]
            held = group.loads[number] or share
            group.loads[number] = [
                old + FRESH_WEIGHT * (new - old) for old, new in zip(held, share, strict=True)
            ]


async def _improve(state: Coordinator, group: Group, ranks: Ranks) -> None:
    """Plan a better map and put it in force, where that is worth its orders and copies."""
    before = group.experts
    if before is None or not all(group.loads):
        return
    sets = []
    for held, load in zip(before, group.loads, strict=True):
        sets.append(expert_maps.improved_set(held, load, group.layout))
        # Requests go on between the sets of a plan.
        await asyncio.sleep(0)
    after = tuple(sets)
    ratio_before = expert_maps.pass_ratio(before, group.loads, group.layout)
    ratio_after = expert_maps.pass_ratio(after, group.loads, group.layout)
    gain = ratio_before / ratio_after
    if gain < LEAST_GAIN or not state.may_act():
        return
    known = await map_rollout.statuses(ranks)
    if known is None:
        return
    version = map_rollout.next_version(known, state.random)
    copied = expert_maps.copies(before, after)
    copy_s = copied * group.layout.expert_bytes / group.layout.link_bytes_per_s
    result = await map_rollout.roll_out(ranks, known, after, version, copy_s, group.pass_s)
    if result is Rollout.IN_FORCE:
        group.experts, group.version = after, version
    else:
        group.experts = None
    log(
        Event.EXPERTS_PLACED,
        group=group.name,
        epoch=group.epoch,
        version=version,
        outcome=result.value,
        ratio_before=round(ratio_before, 3),
        ratio_after=round(ratio_after, 3),
        copies=copied,
        pass_s=round(group.pass_s, 4),
    )


async def _release(group: Group, ranks: Ranks) -> None:
    """Let a group go on that was left held."""
    now_s = asyncio.get_running_loop().time()
    if group.held_since_s is None:
        group.held_since_s = now_s
        return
    known = await map_rollout.statuses(ranks)
    if known is None:
        return
    result = await map_rollout.release(ranks, known, now_s - group.held_since_s)
    group.experts = None
    log(
        Event.EXPERTS_PLACED,
        group=group.name,
        epoch=group.epoch,
        outcome="waiting" if result is None else result.value,
        held_s=round(now_s - group.held_since_s, 3),
    )
