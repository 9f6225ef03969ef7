"""Plan the placement of experts on the ranks of a group that control coordinates.

The time of a rank is the sum of the loads of its replicas, multiplied by the slowness of the rank.
"""

import heapq
from collections.abc import Sequence

from msgspec import Struct

from lycheefall._core.ids import ExpertId, RankId
from lycheefall._core.messages.groups import Placement

# Time over which the step time saved by a plan is added up, to compare it with the cost of loading.
HORIZON_S = 300.0
# Target ranks considered for a move from the slowest rank, least loaded first; bounds the search.
MAX_TARGETS = 6
# Maximum number of changes in one search.
MAX_CHANGES = 48
# The search stops at this skew: reducing it further costs more moves than it saves time.
TARGET_SKEW = 1.01
# Above this skew, a second search starts from a placement made from scratch.
RESTART_SKEW = 1.06


class PlacementLimits(Struct, frozen=True):
    """Sizes of a group and the parameters of the cost model."""

    ranks: int
    experts: int
    slots_per_rank: int
    expert_bytes: int
    # Throughput of the weight store for the whole group.
    store_bytes_per_s: float
    horizon_s: float = HORIZON_S


class Plan(Struct, frozen=True):
    """A map with its expected effect relative to the map in force."""

    placement: Placement
    moves: int
    moved_bytes: int
    # Expected step time saved over the horizon, and the time to load the moved replicas from the
    # weight store.
    gain_s: float
    cost_s: float
    # Time of the slowest rank divided by the mean, before and after.
    skew_before: float
    skew_ratio: float


class _SearchState(Struct):
    """State of a search; the times of the ranks are updated with each change."""

    load: list[float]
    slowness: list[float]
    # Ranks that hold each expert, and experts that each rank holds.
    holders: list[set[int]]
    experts_by_rank: list[set[int]]
    time: list[float]


class _Change(Struct, frozen=True):
    """Replace expert `removed` on the target rank by `added`, a replica of which is on the source.

    A swap also replaces `added` on the source rank by `removed`; otherwise both ranks hold `added`.
    """

    added: int
    removed: int
    source: int
    target: int
    swap: bool


def blend(average: Sequence[float], sample: Sequence[float], weight: float) -> list[float]:
    """Return the exponentially weighted moving average after a sample of a weight from 0 to 1."""
    return [old + weight * (new - old) for old, new in zip(average, sample, strict=True)]


def rank_times(
    placement: Placement, load: Sequence[float], slowness: Sequence[float]
) -> list[float]:
    """Return the time that each rank needs if replicas share the load of an expert equally."""
    times = [0.0] * len(slowness)
    for expert, ranks in enumerate(placement):
        share = load[expert] / len(ranks)
        for rank in ranks:
            times[rank] += share * slowness[rank]
    return times


def skew(times: Sequence[float]) -> float:
    """Return the ratio of the slowest time to the mean; 1.0 without load."""
    total = sum(times)
    return max(times) * len(times) / total if total > 0 else 1.0


def added_experts(before: Placement | None, after: Placement, rank: RankId) -> list[ExpertId]:
    """Return the experts that a rank has to load to change from one map to another."""
    return [
        ExpertId(expert)
        for expert, ranks in enumerate(after)
        if rank in ranks and (before is None or rank not in before[expert])
    ]


def count_moves(before: Placement, after: Placement) -> int:
    """Count the replicas that a map places on ranks without one in the previous map."""
    return sum(len(set(new) - set(old)) for old, new in zip(before, after, strict=True))


def place_from_scratch(
    limits: PlacementLimits, load: Sequence[float], slowness: Sequence[float]
) -> Placement:
    """Return a placement of all experts that ignores the map in force.

    Longest-processing-time-first assignment (R. L. Graham, "Bounds on Multiprocessing
    Timing Anomalies", 1969), after giving each free slot to the expert with the highest
    load per replica (redundant experts, "DeepSeek-V3 Technical Report", 2024, section 3.4).
    """
    replicas = _replica_counts(limits, load)
    items = [(load[e] / count, e) for e, count in enumerate(replicas) for _ in range(count)]
    items.sort(key=lambda item: (-item[0], item[1]))
    holders: list[set[int]] = [set() for _ in range(limits.experts)]
    free = [limits.slots_per_rank] * limits.ranks
    times = [0.0] * limits.ranks
    for share, expert in items:
        options = [r for r in range(limits.ranks) if free[r] and r not in holders[expert]]
        if not options:
            # Only ranks that already hold this expert have a free slot; the replica is optional.
            continue
        rank = min(options, key=lambda r: (times[r] + share * slowness[r], r))
        holders[expert].add(rank)
        free[rank] -= 1
        times[rank] += share * slowness[rank]
    return _placement(holders)


def plan(
    limits: PlacementLimits,
    load: Sequence[float],
    slowness: Sequence[float],
    in_force: Placement | None,
) -> Plan:
    """Return the map with the highest net gain; the map in force when no move has a net gain.

    `load` is the popularity of each expert, `slowness` the time of each rank for one unit
    of load. Local search from the map in force: each move reduces the load of the slowest rank.
    """
    if in_force is None:
        return _evaluate(limits, load, slowness, place_from_scratch(limits, load, slowness), None)
    best = _search(limits, load, slowness, in_force, in_force)
    if best.skew_ratio <= RESTART_SKEW:
        return best
    # The search from the map in force can stop in a local optimum, where no single change helps the
    # slowest rank.
    restart = place_from_scratch(limits, load, slowness)
    other = _search(limits, load, slowness, restart, in_force)
    return other if _net_gain_s(other) > _net_gain_s(best) else best


def _search(
    limits: PlacementLimits,
    load: Sequence[float],
    slowness: Sequence[float],
    start: Placement,
    in_force: Placement,
) -> Plan:
    """Return the best plan found by a local search from the placement `start`."""
    state = _initial_state(load, slowness, start)
    before: list[set[int]] = [set(ranks) for ranks in in_force]
    slowest_time = max(rank_times(in_force, load, slowness))
    best_net_gain_s, best = _search_net_gain_s(limits, state, before, slowest_time), start
    for _ in range(MAX_CHANGES):
        if skew(state.time) <= TARGET_SKEW:
            break
        change = (
            _add_replica(state)
            or _best_change(state, MAX_TARGETS)
            or _best_change(state, limits.ranks)
        )
        if change is None:
            break
        _apply_change(state, change)
        net_gain_s = _search_net_gain_s(limits, state, before, slowest_time)
        if net_gain_s > best_net_gain_s:
            best_net_gain_s, best = net_gain_s, _placement(state.holders)
    result = _evaluate(limits, load, slowness, best, in_force)
    # The incremental times accumulate rounding errors, so exact times decide.
    return (
        result if _net_gain_s(result) > 0 else _evaluate(limits, load, slowness, in_force, in_force)
    )


def _search_net_gain_s(
    limits: PlacementLimits, state: _SearchState, before: Sequence[set[int]], slowest_time: float
) -> float:
    """Return the gain minus the cost of the current placement, without building a plan."""
    pairs = zip(state.holders, before, strict=True)
    moves = sum(len(new - old) for new, old in pairs)
    saved_ratio = 1.0 - max(state.time) / slowest_time if slowest_time > 0 else 0.0
    cost_s = moves * limits.expert_bytes / limits.store_bytes_per_s
    return limits.horizon_s * saved_ratio - cost_s


def _net_gain_s(result: Plan) -> float:
    return result.gain_s - result.cost_s


def _replica_counts(limits: PlacementLimits, load: Sequence[float]) -> list[int]:
    slots = limits.ranks * limits.slots_per_rank
    if slots < limits.experts:
        raise ValueError(f"{slots} slots can't hold {limits.experts} experts")
    counts = [1] * limits.experts
    heap = [(-load[e], e) for e in range(limits.experts)]
    heapq.heapify(heap)
    for _ in range(slots - limits.experts):
        if not heap:
            break
        _, expert = heapq.heappop(heap)
        counts[expert] += 1
        if counts[expert] < limits.ranks:
            heapq.heappush(heap, (-load[expert] / counts[expert], expert))
    return counts


def _initial_state(
    load: Sequence[float], slowness: Sequence[float], placement: Placement
) -> _SearchState:
    experts_by_rank: list[set[int]] = [set() for _ in slowness]
    for expert, ranks in enumerate(placement):
        for rank in ranks:
            experts_by_rank[rank].add(expert)
    holders: list[set[int]] = [set(ranks) for ranks in placement]
    times = rank_times(placement, load, slowness)
    return _SearchState(list(load), list(slowness), holders, experts_by_rank, times)


def _placement(holders: Sequence[set[int]]) -> Placement:
    return tuple(tuple(RankId(rank) for rank in sorted(ranks)) for ranks in holders)


def _evaluate(
    limits: PlacementLimits,
    load: Sequence[float],
    slowness: Sequence[float],
    placement: Placement,
    in_force: Placement | None,
) -> Plan:
    after = rank_times(placement, load, slowness)
    if in_force is None:
        moves = sum(len(ranks) for ranks in placement)
        before = after
    else:
        moves = count_moves(in_force, placement)
        before = rank_times(in_force, load, slowness)
    moved_bytes = moves * limits.expert_bytes
    slowest_time = max(before)
    saved_ratio = 1.0 - max(after) / slowest_time if slowest_time > 0 else 0.0
    return Plan(
        placement=placement,
        moves=moves,
        moved_bytes=moved_bytes,
        gain_s=limits.horizon_s * saved_ratio,
        cost_s=moved_bytes / limits.store_bytes_per_s,
        skew_before=skew(before),
        skew_ratio=skew(after),
    )


def _best_change(state: _SearchState, targets: int) -> _Change | None:
    """Return the change with the lowest time on the ranks it touches, if it helps the slowest."""
    source = max(range(len(state.time)), key=state.time.__getitem__)
    limit = state.time[source]
    best: _Change | None = None
    for target in heapq.nsmallest(targets, range(len(state.time)), state.time.__getitem__):
        for added in sorted(state.experts_by_rank[source] - state.experts_by_rank[target]):
            for removed in sorted(state.experts_by_rank[target]):
                for change in _candidate_changes(state, added, removed, source, target):
                    touched = _slowest_touched(state, change)
                    if touched < limit - 1e-12:
                        limit, best = touched, change
    return best


def _add_replica(state: _SearchState) -> _Change | None:
    """Return a change that adds a replica of an expert whose share alone exceeds the mean time.

    The rank of such an expert stays the slowest whatever else is moved. The target may become the
    slowest rank temporarily; the search continues and keeps the result only with a net gain.
    """
    source = max(range(len(state.time)), key=state.time.__getitem__)
    added = max(
        state.experts_by_rank[source], key=lambda e: (state.load[e] / len(state.holders[e]), e)
    )
    share = state.load[added] / len(state.holders[added]) * state.slowness[source]
    if share * len(state.time) <= sum(state.time):
        return None
    candidates = (
        _Change(added, removed, source, target, swap=False)
        for target in range(len(state.time))
        if added not in state.experts_by_rank[target]
        for removed in sorted(state.experts_by_rank[target])
        if len(state.holders[removed]) > 1
    )
    return min(candidates, key=lambda change: _slowest_touched(state, change), default=None)


def _candidate_changes(
    state: _SearchState, added: int, removed: int, source: int, target: int
) -> list[_Change]:
    """Return the changes that place an expert of the slowest rank on another rank."""
    changes = []
    heavier = state.load[added] * len(state.holders[removed])
    lighter = state.load[removed] * len(state.holders[added])
    # A swap that gives the slowest rank the larger share can't help it.
    if removed not in state.experts_by_rank[source] and heavier > lighter:
        changes.append(_Change(added, removed, source, target, swap=True))
    if len(state.holders[removed]) > 1:
        changes.append(_Change(added, removed, source, target, swap=False))
    return changes


def _slowest_touched(state: _SearchState, change: _Change) -> float:
    """Return the time of the slowest of the ranks that a change touches."""
    deltas = _deltas(state, change)
    return max(state.time[rank] + delta for rank, delta in deltas.items())


def _deltas(state: _SearchState, change: _Change) -> dict[int, float]:
    load, slowness, holders = state.load, state.slowness, state.holders
    added, removed = change.added, change.removed
    if change.swap:
        moved = load[added] / len(holders[added]) - load[removed] / len(holders[removed])
        return {
            change.source: -moved * slowness[change.source],
            change.target: moved * slowness[change.target],
        }
    deltas = {change.target: 0.0}
    count = len(holders[added])
    share_decrease = load[added] / count - load[added] / (count + 1)
    for rank in holders[added]:
        deltas[rank] = -share_decrease * slowness[rank]
    deltas[change.target] += load[added] / (count + 1) * slowness[change.target]
    count = len(holders[removed])
    share_increase = load[removed] / (count - 1) - load[removed] / count
    for rank in holders[removed]:
        share = -load[removed] / count if rank == change.target else share_increase
        deltas[rank] = deltas.get(rank, 0.0) + share * slowness[rank]
    return deltas


def _apply_change(state: _SearchState, change: _Change) -> None:
    for rank, delta in _deltas(state, change).items():
        state.time[rank] += delta
    _replace(state, change.target, change.added, change.removed)
    if change.swap:
        _replace(state, change.source, change.removed, change.added)


def _replace(state: _SearchState, rank: int, added: int, removed: int) -> None:
    state.experts_by_rank[rank].remove(removed)
    state.holders[removed].remove(rank)
    state.experts_by_rank[rank].add(added)
    state.holders[added].add(rank)
