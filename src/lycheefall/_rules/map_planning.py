"""Plan the expert map of a group by time: how many experts to copy before demand shifts again.

Copies to a rank are made one after the other, and passes stay long until all of them are complete.
A plan with few copies is in force soon, one with many balances the ranks better. Both are compared
by the mean pass duration until demand is expected to shift. The copies that a rank may make are
shared by all sets of layers, and go where the load exceeds the mean most.
"""

import heapq
from collections.abc import Callable, Generator, Sequence
from math import ceil

from msgspec import Struct

from lycheefall._core.expert_maps import ExpertMap
from lycheefall._core.relay import ExpertLayout
from lycheefall._rules import placement_search
from lycheefall._rules.expert_maps import relative_pass_time, skew_of_set
from lycheefall._rules.pass_duration import COPYING_RATIO
from lycheefall._rules.placement_search import SetSearch

# Numbers of copies to a rank that are compared grow by this factor, and by at least the number
# that takes this fraction of the remaining time: each one costs a search.
_COPIES_GROWTH = 1.3
_MIN_COPY_RATIO = 0.02
# The comparison ends at this factor of the shortest mean pass.
_MAX_PASS_RATIO = 1.2
# Most copies to a rank that are compared first, whatever the link carries.
_MAX_FIRST_COPIES = 16
# Steps of a search after which a plan yields to other tasks, a few milliseconds of processor time.
_STEPS_PER_YIELD = 4


class PlanTimes(Struct, frozen=True, kw_only=True):
    """Durations that decide how many experts to copy.

    `pass_s` returns the duration of a pass for its ratio to that with an even load.
    """

    pass_s: Callable[[float], float]

    # Copy of one expert.
    expert_copy_s: float
    # Orders of a map change, besides its copies.
    orders_s: float
    # Expected time until demand shifts again.
    remaining_s: float


class Plan(Struct, frozen=True):
    """A map, and what is expected of it."""

    experts: ExpertMap
    # Most experts that a rank has to copy.
    copies: int
    # Ratio of the pass duration to that with an even load.
    pass_ratio: float
    # Mean pass duration until demand shifts, including the time of the change.
    mean_pass_s: float


def plan(
    before: ExpertMap,
    loads: Sequence[Sequence[float]],
    paces: Sequence[float],
    layout: ExpertLayout,
    times: PlanTimes,
) -> Generator[None, None, Plan]:
    """Return the plan with the shortest mean pass; yield between the parts of the search.

    Without a better map, this is the present one.
    """
    ratio_before = relative_pass_time(before, loads, layout, paces)
    best = Plan(before, 0, ratio_before, times.pass_s(ratio_before))
    copies_left = [0] * len(before[0])
    searches = []
    for experts, load in zip(before, loads, strict=True):
        searches.append(
            placement_search.start_search(
                experts, load, paces, layout.expert_slots, layout.spare, copies_left
            )
        )
        yield
    copies = 0
    while copies < layout.sets * layout.spare:
        added = _next_copies(copies, times) - copies
        copies += added
        if change_s(copies, times) >= times.remaining_s:
            break
        for rank in range(len(copies_left)):
            copies_left[rank] += added
        yield from _improve_jointly(searches)
        found = yield from _plan_of(before, searches, loads, paces)
        ratio = relative_pass_time(found, loads, layout, paces)
        mean_pass_s = _mean_pass_s(copies, ratio_before, ratio, times)
        if mean_pass_s < best.mean_pass_s:
            best = Plan(found, copies, ratio, mean_pass_s)
        if min(copies_left) > 0 or mean_pass_s > best.mean_pass_s * _MAX_PASS_RATIO:
            break
    return best


def change_s(copies: int, times: PlanTimes) -> float:
    """Return the duration of a map change with a number of copies to a rank."""
    return times.orders_s + copies * times.expert_copy_s


def _next_copies(copies: int, times: PlanTimes) -> int:
    least = int(_MIN_COPY_RATIO * times.remaining_s / max(times.expert_copy_s, 1e-6))
    return max(copies + 1, ceil(copies * _COPIES_GROWTH), min(least, _MAX_FIRST_COPIES))


def _mean_pass_s(copies: int, ratio_before: float, ratio_after: float, times: PlanTimes) -> float:
    """Return the mean pass duration until demand shifts."""
    copying_s = copies * times.expert_copy_s
    changed_s = times.remaining_s - change_s(copies, times)
    total = (
        times.orders_s * times.pass_s(ratio_before)
        + copying_s * COPYING_RATIO * times.pass_s(ratio_before)
        + changed_s * times.pass_s(ratio_after)
    )
    return total / times.remaining_s


def _improve_jointly(searches: list[SetSearch]) -> Generator[None, None, None]:
    """Improve the set with the highest peak until no set can be improved."""
    steps = 0
    for improve, priority in (
        (_replicate_hottest, _hottest_load),
        (placement_search.improve, placement_search.peak_ratio),
    ):
        queue = [(-priority(each), number) for number, each in enumerate(searches)]
        heapq.heapify(queue)
        while queue:
            _, number = heapq.heappop(queue)
            if improve(searches[number]):
                heapq.heappush(queue, (-priority(searches[number]), number))
            steps += 1
            if steps % _STEPS_PER_YIELD == 0:
                yield


def _hottest_load(search: SetSearch) -> float:
    """Return the highest load of a replica, relative to the mean load of a rank."""
    mean = sum(search.rank_load) / len(search.rank_load)
    highest = max(load / len(held) for load, held in zip(search.load, search.holders, strict=True))
    return highest / mean if mean > 0 else 0.0


def _replicate_hottest(search: SetSearch) -> bool:
    """Add a replica of the expert with the highest load, if that exceeds the mean of the ranks.

    Otherwise the search spends the copies that a rank may make on less loaded experts.
    """
    mean = sum(search.rank_load) / len(search.rank_load)
    loads = [load / len(held) for load, held in zip(search.load, search.holders, strict=True)]
    hot = [expert for expert, load in enumerate(loads) if load > mean]
    for expert in sorted(hot, key=loads.__getitem__, reverse=True):
        ranks = range(len(search.rank_load))
        targets = [each for each in ranks if placement_search.can_add(search, expert, each)]
        if targets:
            placement_search.add(search, expert, min(targets, key=search.rank_load.__getitem__))
            return True
    return False


def _plan_of(
    before: ExpertMap,
    searches: list[SetSearch],
    loads: Sequence[Sequence[float]],
    paces: Sequence[float],
) -> Generator[None, None, ExpertMap]:
    """Return the map of the searches; a set that did not improve stays as it was."""
    found = []
    for old, search, load in zip(before, searches, loads, strict=True):
        new = placement_search.with_old_replicas(search)
        found.append(new if skew_of_set(new, load, paces) < skew_of_set(old, load, paces) else old)
        yield
    return tuple(found)
