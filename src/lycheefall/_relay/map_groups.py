"""State of groups of ranks and of their expert maps, as the map coordinator knows it."""

import asyncio
from collections.abc import Callable, Iterable

from msgspec import Struct, field

from lycheefall._core.expert_maps import ExpertMap, MapVersion, RankStatus
from lycheefall._core.ids import GroupId, PoolId
from lycheefall._core.messages.relay import SlowRank
from lycheefall._core.relay import EngineModel, ExpertLayout, GroupHealth, UpstreamRecord
from lycheefall._relay.rank_calls import Rank, fetch_loaded_experts, fetch_status
from lycheefall._rules import expert_maps
from lycheefall._rules.expert_demand import Demand
from lycheefall._rules.shift_times import ShiftTimes

# Period between two status requests to the first rank of a group.
STATUS_PERIOD_S = 1.2
# Period between two requests for the paces of the ranks.
PACES_PERIOD_S = 1.5
# A rank with a lower pace does not count as slow, and a higher pace counts as this one: the rank
# holds nearly no load then.
MIN_SLOW_PACE = 1.25
MAX_PACE = 10.0
# Assumed duration of the orders of a map change until one was made.
_INITIAL_ORDERS_S = 0.2
# Assumed duration of a pass until two status reports give the actual one.
_INITIAL_PASS_S = 0.06


class Group(Struct, eq=False):
    """A group of ranks and its expert map."""

    name: GroupId
    members: list[Rank] = field(default_factory=list)
    epoch: int = -1
    # None while it is unknown.
    active_map: ExpertMap | None = None
    version: MapVersion = MapVersion(0)
    # The highest version used so far, including failed rollouts.
    highest_version: MapVersion = MapVersion(0)
    status: RankStatus | None = None
    status_received_s: float = float("-inf")
    # Time of the next status request.
    next_status_s: float = float("-inf")
    # Pace of each rank, and the time of the next request for them.
    paces: tuple[float, ...] = ()
    next_paces_s: float = float("-inf")
    # Duration of a pass.
    pass_s: float = _INITIAL_PASS_S
    # Time at which the group was first seen paused by a previous rollout; None if it is not paused.
    hold_since_s: float | None = None
    # Whether a rollout is in progress.
    is_changing: bool = False
    # Earliest time of the next rollout.
    next_change_s: float = float("-inf")


class Pool(Struct, eq=False):
    """Groups of one pool, and the demand of their requests for experts."""

    name: PoolId
    engine: EngineModel
    layout: ExpertLayout
    # Running requests per rank for each second of a pass.
    requests_per_pass_s: float = 0.0
    shifts: ShiftTimes = field(default_factory=ShiftTimes)
    # Mean duration of the orders of a map change, without its copies.
    orders_s: float = _INITIAL_ORDERS_S
    demand: Demand = field(default_factory=Demand)
    groups: dict[GroupId, Group] = field(default_factory=dict)
    # Time of the next read of the expert counters, unless passes become longer before.
    next_sample_s: float = float("-inf")
    # Time of the last read.
    sampled_s: float = float("-inf")


def update_groups(
    pool: Pool,
    records: Iterable[UpstreamRecord],
    new_rank: Callable[[UpstreamRecord], Rank],
) -> None:
    """Update the members of all groups of a pool from the upstream records.

    A group with a missing rank has no members, because a map change needs all ranks.
    """
    latest: dict[GroupId, dict[int, UpstreamRecord]] = {}
    for record in records:
        if record.group is None or record.pool != pool.name:
            continue
        ranks = latest.setdefault(record.group.group, {})
        previous = ranks.get(record.group.rank)
        if previous is None or record.start_time_ms > previous.start_time_ms:
            ranks[record.group.rank] = record
    for name, group in pool.groups.items():
        if name not in latest:
            group.members = []
    for name, ranks in latest.items():
        group = pool.groups.setdefault(name, Group(name))
        is_complete = sorted(ranks) == list(range(len(ranks)))
        if len(group.paces) != len(ranks):
            group.paces = expert_maps.even_paces(len(ranks))
        group.members = [new_rank(ranks[rank]) for rank in range(len(ranks) if is_complete else 0)]


async def check_group(group: Group, layout: ExpertLayout) -> RankStatus | None:
    """Return the status of the first rank if it is due, and fetch the map if it has changed.

    Returns None if no status is due, the rank does not respond, or the group is incomplete.
    """
    now_s = asyncio.get_running_loop().time()
    is_due = now_s >= group.next_status_s or group.active_map is None
    if group.is_changing or not is_due:
        return None
    status = await fetch_status(group.members[0])
    if status is None or status.membership is None:
        return None
    update_status(group, status, now_s)
    group.next_status_s = now_s + STATUS_PERIOD_S
    if status.membership.health is GroupHealth.BROKEN or status.ranks != len(group.members):
        group.active_map = None
        return None
    known_map = (group.epoch, group.version)
    if known_map != (status.membership.epoch, status.map_version) or group.active_map is None:
        await _fetch_map(group, layout, status)
    return status


def update_status(group: Group, status: RankStatus, now_s: float) -> None:
    """Store a status report, and derive the duration of a pass from the previous one."""
    before = group.status
    if before is not None and status.step > before.step and status.running:
        group.pass_s = (now_s - group.status_received_s) / (status.step - before.step)
    group.status, group.status_received_s = status, now_s


def may_change(group: Group) -> bool:
    """Return whether a rollout can begin now."""
    now_s = asyncio.get_running_loop().time()
    return group.active_map is not None and not group.is_changing and now_s >= group.next_change_s


async def update_paces(group: Group, are_passes_long: bool) -> None:
    """Fetch the paces of the ranks if passes are long, or if a rank was slow before."""
    now_s = asyncio.get_running_loop().time()
    has_slow_rank = max(group.paces, default=1.0) > MIN_SLOW_PACE
    if now_s < group.next_paces_s or not (are_passes_long or has_slow_rank):
        return
    group.next_paces_s = now_s + PACES_PERIOD_S
    found = await asyncio.gather(*(fetch_status(each) for each in group.members))
    group.paces = tuple(
        1.0 if status is None or status.pace <= MIN_SLOW_PACE else min(MAX_PACE, status.pace)
        for status in found
    )


def slow_ranks(pools: Iterable[Pool]) -> tuple[SlowRank, ...]:
    """Return the slow ranks of all groups."""
    return tuple(
        SlowRank(member.record.upstream, member.record.start_time_ms, pace)
        for pool in pools
        for group in pool.groups.values()
        if group.members
        for member, pace in zip(group.members, group.paces, strict=True)
        if pace > MIN_SLOW_PACE
    )


async def _fetch_map(group: Group, layout: ExpertLayout, status: RankStatus) -> None:
    """Fetch the active map from the ranks, after a new epoch or as a new coordinator.

    The map stays unknown if a rank does not report it, or reports one of another layout.
    """
    group.epoch = -1 if status.membership is None else status.membership.epoch
    group.version = status.map_version
    group.highest_version = max(group.highest_version, status.map_version, status.prepared)
    group.active_map = None
    if not status.map_version:
        group.active_map = expert_maps.initial_map(layout, len(group.members))
        return
    reports = await asyncio.gather(*(fetch_loaded_experts(each) for each in group.members))
    loaded = [each for each in reports if each is not None and each.version == status.map_version]
    if len(loaded) == len(group.members) and all(
        len(each.experts) == layout.sets for each in loaded
    ):
        found = tuple(
            tuple(each.experts[number] for each in loaded) for number in range(layout.sets)
        )
        group.active_map = found if expert_maps.is_complete(found, layout) else None
