"""Search for a better placement of one set of layers, within limits on copied experts.

The search starts with one replica of each expert and adds, moves or swaps replicas to reduce the
load of the most loaded rank. Replicas that a rank already holds cost no copy. The load of a slow
rank counts by its pace.
"""

from collections.abc import Sequence
from itertools import islice

from msgspec import Struct

# The search stops at this ratio of the most loaded rank to the mean: reducing it further is not
# worth a copy.
_TARGET_SKEW = 1.04
# Minimum fraction by which a step has to reduce the load of the most loaded rank.
_MIN_GAIN = 0.004
# Experts of the most loaded rank, and target ranks, that are tried in each step.
_CANDIDATE_EXPERTS = 12
_CANDIDATE_RANKS = 6


class SetSearch(Struct, eq=False):
    """Search state of the placement of one set of layers."""

    # Load of each expert.
    load: Sequence[float]
    # Factor by which each rank is slower than usual; `rank_load` includes it.
    paces: Sequence[float]
    # Experts of each rank before the change; keeping them needs no copy.
    before: list[frozenset[int]]
    # Ranks that hold each expert, and experts that each rank holds.
    holders: list[set[int]]
    experts_by_rank: list[set[int]]
    rank_load: list[float]
    # Number of experts of this set that each rank has to copy, at most `spare`.
    added: list[int]
    slots_per_rank: int
    spare: int
    # Experts that each rank may still copy, in all sets of the map together.
    copies_left: list[int]


def start_search(
    before: Sequence[Sequence[int]],
    load: Sequence[float],
    paces: Sequence[float],
    slots_per_rank: int,
    spare: int,
    copies_left: list[int],
) -> SetSearch:
    """Return a search with one replica of each expert, on the least loaded rank that holds it."""
    ranks = len(before)
    holders_before: list[list[int]] = [[] for _ in load]
    for rank, experts in enumerate(before):
        for expert in experts:
            holders_before[expert].append(rank)
    search = SetSearch(
        load,
        paces,
        [frozenset(experts) for experts in before],
        [set() for _ in load],
        [set() for _ in range(ranks)],
        [0.0] * ranks,
        [0] * ranks,
        slots_per_rank,
        spare,
        copies_left,
    )
    for expert in sorted(range(len(load)), key=lambda each: -load[each]):
        candidates = [
            r for r in holders_before[expert] if len(search.experts_by_rank[r]) < slots_per_rank
        ]
        rank = min(
            candidates,
            key=lambda each: (search.rank_load[each] + load[expert] * paces[each], each),
        )
        add(search, expert, rank)
    return search


def add(search: SetSearch, expert: int, rank: int) -> None:
    """Add a replica of an expert to a rank."""
    holders = search.holders[expert]
    load = search.load[expert]
    before = load / len(holders) if holders else 0.0
    after = load / (len(holders) + 1)
    for each in holders:
        search.rank_load[each] += (after - before) * search.paces[each]
    holders.add(rank)
    search.experts_by_rank[rank].add(expert)
    search.rank_load[rank] += after * search.paces[rank]
    if expert not in search.before[rank]:
        search.added[rank] += 1
        search.copies_left[rank] -= 1


def _remove(search: SetSearch, expert: int, rank: int) -> None:
    holders = search.holders[expert]
    load = search.load[expert]
    before = load / len(holders)
    holders.discard(rank)
    search.experts_by_rank[rank].discard(expert)
    search.rank_load[rank] -= before * search.paces[rank]
    after = load / len(holders)
    for each in holders:
        search.rank_load[each] += (after - before) * search.paces[each]
    if expert not in search.before[rank]:
        search.added[rank] -= 1
        search.copies_left[rank] += 1


def improve(search: SetSearch) -> bool:
    """Reduce the load of the most loaded rank; return whether that was possible."""
    ranks = range(len(search.rank_load))
    mean = sum(search.rank_load) / len(search.rank_load)
    worst = max(ranks, key=search.rank_load.__getitem__)
    peak = search.rank_load[worst]
    if peak <= mean * _TARGET_SKEW:
        return False
    experts = sorted(search.experts_by_rank[worst], key=lambda each: -replica_load(search, each))
    targets = sorted(ranks, key=search.rank_load.__getitem__)
    best: tuple[float, int, int, bool] | None = None
    for expert in experts[:_CANDIDATE_EXPERTS]:
        open_ranks = (each for each in targets if can_add(search, expert, each))
        for target in islice(open_ranks, _CANDIDATE_RANKS):
            for is_move in (False, True):
                reached = _peak_after(search, expert, worst, target, is_move)
                if best is None or reached < best[0]:
                    best = (reached, expert, target, is_move)
    if best is None or best[0] > peak * (1.0 - _MIN_GAIN):
        return _swap(search, worst, experts, targets)
    _, expert, target, is_move = best
    add(search, expert, target)
    if is_move:
        _remove(search, expert, worst)
    return True


def _swap(search: SetSearch, worst: int, experts: list[int], targets: list[int]) -> bool:
    """Swap an expert of the most loaded rank for a less loaded one, if no move helps."""
    best: tuple[float, int, int, int] | None = None
    for expert in experts[:_CANDIDATE_EXPERTS]:
        share = replica_load(search, expert)
        for target in targets[:_CANDIDATE_RANKS]:
            if not _can_hold(search, expert, target):
                continue
            for lesser in search.experts_by_rank[target]:
                difference = share - replica_load(search, lesser)
                if difference <= 0 or not _can_hold(search, lesser, worst):
                    continue
                reached = max(
                    search.rank_load[worst] - difference * search.paces[worst],
                    search.rank_load[target] + difference * search.paces[target],
                )
                if best is None or reached < best[0]:
                    best = (reached, expert, target, lesser)
    if best is None or best[0] > search.rank_load[worst] * (1.0 - _MIN_GAIN):
        return False
    _, expert, target, lesser = best
    add(search, expert, target)
    _remove(search, expert, worst)
    add(search, lesser, worst)
    _remove(search, lesser, target)
    return True


def replica_load(search: SetSearch, expert: int) -> float:
    """Return the load of an expert on each rank that holds it."""
    return search.load[expert] / len(search.holders[expert])


def can_add(search: SetSearch, expert: int, rank: int) -> bool:
    return len(search.experts_by_rank[rank]) < search.slots_per_rank and _can_hold(
        search, expert, rank
    )


def _can_hold(search: SetSearch, expert: int, rank: int) -> bool:
    """Return whether a rank may hold an expert, regardless of its free slots."""
    if rank in search.holders[expert]:
        return False
    if expert in search.before[rank]:
        return True
    return search.added[rank] < search.spare and search.copies_left[rank] > 0


def _peak_after(search: SetSearch, expert: int, worst: int, target: int, is_move: bool) -> float:
    """Return the higher load of the two ranks after a replica is added, or moved."""
    count = len(search.holders[expert])
    load = search.load[expert]
    share = load / count
    added = share if is_move else load / (count + 1)
    removed = share if is_move else share - added
    return max(
        search.rank_load[worst] - removed * search.paces[worst],
        search.rank_load[target] + added * search.paces[target],
    )


def peak_ratio(search: SetSearch) -> float:
    """Return the ratio of the load of the most loaded rank to the mean."""
    total = sum(search.rank_load)
    return max(search.rank_load) * len(search.rank_load) / total if total > 0 else 1.0


def with_old_replicas(search: SetSearch) -> tuple[tuple[int, ...], ...]:
    """Return the placement, with old replicas in free slots to save copies in later changes.

    An old replica is kept only if the load of its rank does not exceed the peak.
    """
    peak = max(search.rank_load)
    rank_load = list(search.rank_load)
    holder_count = [len(each) for each in search.holders]
    placement = []
    for rank, old in enumerate(search.before):
        experts = set(search.experts_by_rank[rank])
        for expert in sorted(old - experts, key=lambda each: -search.load[each]):
            if len(experts) >= search.slots_per_rank:
                break
            share = search.load[expert] / (holder_count[expert] + 1) * search.paces[rank]
            if rank_load[rank] + share <= peak:
                experts.add(expert)
                rank_load[rank] += share
                holder_count[expert] += 1
        placement.append(tuple(sorted(experts)))
    return tuple(placement)
