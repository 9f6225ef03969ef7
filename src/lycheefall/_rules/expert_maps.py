"""Maps of experts to the ranks of a group, and the pass time that follows from one.

All ranks wait for the most loaded one in each set of layers. Experts in demand get replicas on
further ranks, which share their tokens evenly. Each layer set has a placement of its own; groups
that control coordinates have only one placement, which `placement` plans.

The pace of a rank is the factor by which it is slower than usual.
"""

from collections.abc import Sequence

from lycheefall._core.expert_maps import ExpertMap
from lycheefall._core.relay import ExpertLayout


def initial_map(layout: ExpertLayout, ranks: int) -> ExpertMap:
    """Return map 0, which assigns the experts round-robin."""
    one_set = tuple(tuple(range(rank, layout.experts, ranks)) for rank in range(ranks))
    return (one_set,) * layout.sets


def is_complete(experts: ExpertMap, layout: ExpertLayout) -> bool:
    """Return whether each set places exactly the experts of the layout."""
    all_experts = set(range(layout.experts))
    return all({each for rank in of_set for each in rank} == all_experts for of_set in experts)


def even_paces(ranks: int) -> tuple[float, ...]:
    """Return the paces of ranks none of which is slow."""
    return (1.0,) * ranks


def skew_of_set(
    experts_by_rank: Sequence[Sequence[int]], load: Sequence[float], paces: Sequence[float]
) -> float:
    """Return the ratio of the time of the slowest rank to that with an even load at full pace."""
    counts = [0] * len(load)
    for experts in experts_by_rank:
        for expert in experts:
            counts[expert] += 1
    rank_load = [sum(load[each] / counts[each] for each in experts) for experts in experts_by_rank]
    total = sum(rank_load)
    if total <= 0:
        return 1.0
    slowest = max(each * pace for each, pace in zip(rank_load, paces, strict=True))
    return slowest * len(rank_load) / total


def relative_pass_time(
    experts: ExpertMap,
    loads: Sequence[Sequence[float]],
    layout: ExpertLayout,
    paces: Sequence[float],
) -> float:
    """Return the ratio of the pass duration to that with an even load."""
    skews = [
        skew_of_set(experts_by_rank, load, paces)
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
