"""Place experts on ranks so that the load of the ranks of a group is balanced.

All ranks wait for the most loaded one in each set of layers. Experts in demand get replicas on
further ranks, which share their tokens evenly. Each layer set has a placement of its own; groups
that control coordinates have only one placement, which `placement` plans.
"""

from collections.abc import Sequence
from math import ceil

from msgspec import Struct, structs

from lycheefall._core.expert_maps import ExpertMap
from lycheefall._core.relay import ExpertLayout

# The search stops at this ratio of the most loaded rank to the mean: reducing it further is not
# worth a copy.
_TARGET_SKEW = 1.04
# Minimum fraction by which a step has to reduce the load of the most loaded rank.
_MIN_GAIN = 0.004
# A set is left unchanged if the ratio of its most loaded rank to the mean is below this.
MIN_SKEW_TO_CHANGE = 1.35
# Experts of one set that one change may copy to a rank. More gave no gain in simulated days: the
# demand shifts again before a second copy pays off.
MAX_COPIES_PER_RANK = 1
# Experts of the most loaded rank, and target ranks, that are tried in each step.
_CANDIDATE_EXPERTS = 12
_CANDIDATE_RANKS = 6


class _Search(Struct, eq=False):
    """Search state of the placement of one set of layers."""

    # Load of each expert.
    load: Sequence[float]
    # Experts of each rank before the change; keeping them needs no copy.
    before: list[frozenset[int]]
    # Ranks that hold each expert, and experts that each rank holds.
    holders: list[set[int]]
    experts_by_rank: list[set[int]]
    rank_load: list[float]
    # Number of experts that each rank has to copy, at most `spare`.
    added: list[int]
    slots_per_rank: int
    spare: int


def initial_map(layout: ExpertLayout, ranks: int) -> ExpertMap:
    """Return map 0, which assigns the experts round-robin."""
    one_set = tuple(tuple(range(rank, layout.experts, ranks)) for rank in range(ranks))
    return (one_set,) * layout.sets


def is_complete(experts: ExpertMap, layout: ExpertLayout) -> bool:
    """Return whether each set places exactly the experts of the layout."""
    all_experts = set(range(layout.experts))
    return all({each for rank in of_set for each in rank} == all_experts for of_set in experts)


def improved_set(
    before: Sequence[Sequence[int]], load: Sequence[float], layout: ExpertLayout
) -> tuple[tuple[int, ...], ...]:
    """Return a better placement of one set that copies at most `spare` experts to each rank."""
    search = _initial_search(before, load, layout)
    _replicate_hot_experts(search)
    while _improve(search):
        pass
    _restore_unused(search)
    after = tuple(tuple(sorted(experts)) for experts in search.experts_by_rank)
    if skew_of_set(after, load) < skew_of_set(before, load):
        return after
    return tuple(tuple(experts) for experts in before)


def improved_set_if_skewed(
    before: Sequence[Sequence[int]], load: Sequence[float], layout: ExpertLayout
) -> tuple[tuple[int, ...], ...]:
    """Return a better placement of one set, or the old one if its skew is low enough."""
    skew = skew_of_set(before, load)
    if skew < MIN_SKEW_TO_CHANGE:
        return tuple(tuple(experts) for experts in before)
    # A change with fewer copies takes effect sooner; the next change copies further experts.
    limited = structs.replace(layout, spare=min(layout.spare, MAX_COPIES_PER_RANK))
    return improved_set(before, load, limited)


def skew_of_set(experts_by_rank: Sequence[Sequence[int]], load: Sequence[float]) -> float:
    """Return the ratio of the load of the most loaded rank to the mean."""
    counts = [0] * len(load)
    for experts in experts_by_rank:
        for expert in experts:
            counts[expert] += 1
    rank_load = [sum(load[each] / counts[each] for each in experts) for experts in experts_by_rank]
    total = sum(rank_load)
    return max(rank_load) * len(rank_load) / total if total > 0 else 1.0


def relative_pass_time(
    experts: ExpertMap, loads: Sequence[Sequence[float]], layout: ExpertLayout
) -> float:
    """Return the ratio of the pass duration to that with an even load."""
    skews = [
        skew_of_set(experts_by_rank, load)
        for experts_by_rank, load in zip(experts, loads, strict=True)
    ]
    mean = sum(skews) / len(skews)
    return 1.0 - layout.work_share + layout.work_share * mean


def max_experts_to_copy(before: ExpertMap, after: ExpertMap) -> int:
    """Return the largest number of experts that a rank has to copy."""
    ranks = len(after[0])
    return max(
        sum(len(set(new[rank]) - set(old[rank])) for old, new in zip(before, after, strict=True))
        for rank in range(ranks)
    )


def _initial_search(
    before: Sequence[Sequence[int]], load: Sequence[float], layout: ExpertLayout
) -> _Search:
    """Return a search with one replica of each expert, on the least loaded rank that holds it."""
    ranks = len(before)
    holders_before: list[list[int]] = [[] for _ in load]
    for rank, experts in enumerate(before):
        for expert in experts:
            holders_before[expert].append(rank)
    search = _Search(
        load,
        [frozenset(experts) for experts in before],
        [set() for _ in load],
        [set() for _ in range(ranks)],
        [0.0] * ranks,
        [0] * ranks,
        layout.expert_slots,
        layout.spare,
    )
    for expert in sorted(range(len(load)), key=lambda each: -load[each]):
        candidates = [
            r
            for r in holders_before[expert]
            if len(search.experts_by_rank[r]) < layout.expert_slots
        ]
        rank = min(candidates, key=lambda each: (search.rank_load[each], each))
        _add(search, expert, rank)
    return search


def _add(search: _Search, expert: int, rank: int) -> None:
    holders = search.holders[expert]
    load = search.load[expert]
    before = load / len(holders) if holders else 0.0
    after = load / (len(holders) + 1)
    for each in holders:
        search.rank_load[each] += after - before
    holders.add(rank)
    search.experts_by_rank[rank].add(expert)
    search.rank_load[rank] += after
    if expert not in search.before[rank]:
        search.added[rank] += 1


def _remove(search: _Search, expert: int, rank: int) -> None:
    holders = search.holders[expert]
    load = search.load[expert]
    before = load / len(holders)
    holders.discard(rank)
    search.experts_by_rank[rank].discard(expert)
    search.rank_load[rank] -= before
    after = load / len(holders)
    for each in holders:
        search.rank_load[each] += after - before
    if expert not in search.before[rank]:
        search.added[rank] -= 1


def _replicate_hot_experts(search: _Search) -> None:
    """Replicate the experts whose load exceeds the mean rank load before the search starts.

    Otherwise the search spends the copies that a rank may make on less loaded experts.
    """
    mean = sum(search.rank_load) / len(search.rank_load)
    for expert in sorted(range(len(search.load)), key=lambda each: -search.load[each]):
        if search.load[expert] <= mean:
            return
        wanted = min(len(search.rank_load), ceil(search.load[expert] / mean))
        while len(search.holders[expert]) < wanted:
            ranks = [r for r in range(len(search.rank_load)) if _can_add(search, expert, r)]
            if not ranks:
                break
            _add(search, expert, min(ranks, key=lambda each: (search.rank_load[each], each)))


def _improve(search: _Search) -> bool:
    """Reduce the load of the most loaded rank; return whether that was possible."""
    ranks = range(len(search.rank_load))
    mean = sum(search.rank_load) / len(search.rank_load)
    worst = max(ranks, key=lambda each: search.rank_load[each])
    peak = search.rank_load[worst]
    if peak <= mean * _TARGET_SKEW:
        return False
    experts = sorted(search.experts_by_rank[worst], key=lambda each: -_replica_load(search, each))
    targets = sorted(ranks, key=lambda each: search.rank_load[each])
    best: tuple[float, int, int, bool] | None = None
    for expert in experts[:_CANDIDATE_EXPERTS]:
        open_ranks = [each for each in targets if _can_add(search, expert, each)]
        for target in open_ranks[:_CANDIDATE_RANKS]:
            for is_move in (False, True):
                reached = _peak_after(search, expert, worst, target, is_move)
                if best is None or reached < best[0]:
                    best = (reached, expert, target, is_move)
    if best is None or best[0] > peak * (1.0 - _MIN_GAIN):
        return _swap(search, worst, experts, targets)
    _, expert, target, is_move = best
    _add(search, expert, target)
    if is_move:
        _remove(search, expert, worst)
    return True


def _swap(search: _Search, worst: int, experts: list[int], targets: list[int]) -> bool:
    """Swap an expert of the most loaded rank for a less loaded one, if no move helps."""
    best: tuple[float, int, int, int] | None = None
    for expert in experts[:_CANDIDATE_EXPERTS]:
        share = _replica_load(search, expert)
        for target in targets[:_CANDIDATE_RANKS]:
            if not _can_hold(search, expert, target):
                continue
            for lesser in search.experts_by_rank[target]:
                difference = share - _replica_load(search, lesser)
                if difference <= 0 or not _can_hold(search, lesser, worst):
                    continue
                reached = max(
                    search.rank_load[worst] - difference, search.rank_load[target] + difference
                )
                if best is None or reached < best[0]:
                    best = (reached, expert, target, lesser)
    if best is None or best[0] > search.rank_load[worst] * (1.0 - _MIN_GAIN):
        return False
    _, expert, target, lesser = best
    _add(search, expert, target)
    _remove(search, expert, worst)
    _add(search, lesser, worst)
    _remove(search, lesser, target)
    return True


def _replica_load(search: _Search, expert: int) -> float:
    return search.load[expert] / len(search.holders[expert])


def _can_add(search: _Search, expert: int, rank: int) -> bool:
    return len(search.experts_by_rank[rank]) < search.slots_per_rank and _can_hold(
        search, expert, rank
    )


def _can_hold(search: _Search, expert: int, rank: int) -> bool:
    """Return whether a rank may hold an expert, regardless of its free slots."""
    if rank in search.holders[expert]:
        return False
    return expert in search.before[rank] or search.added[rank] < search.spare


def _peak_after(search: _Search, expert: int, worst: int, target: int, is_move: bool) -> float:
    """Return the higher load of the two ranks after a replica is added, or moved."""
    count = len(search.holders[expert])
    load = search.load[expert]
    share = load / count
    if is_move:
        return max(search.rank_load[worst] - share, search.rank_load[target] + share)
    shared = load / (count + 1)
    return max(search.rank_load[worst] - share + shared, search.rank_load[target] + shared)


def _restore_unused(search: _Search) -> None:
    """Keep old replicas in free slots if the peak load allows, to save copies later."""
    peak = max(search.rank_load)
    for rank, before in enumerate(search.before):
        for expert in sorted(
            before - search.experts_by_rank[rank], key=lambda each: -search.load[each]
        ):
            if len(search.experts_by_rank[rank]) >= search.slots_per_rank:
                break
            added = search.load[expert] / (len(search.holders[expert]) + 1)
            if search.rank_load[rank] + added <= peak:
                _add(search, expert, rank)
