"""Measure step-time skew and bytes moved of placement policies over a seeded day.

Each policy sees the same day: the popularity of the experts drifts, and one rank slows down
in the middle third. The skew is that of the time that the experts take on each rank.
"""

import argparse
import math
import statistics
import time
from collections.abc import Callable

import msgspec

from lycheefall._core.ids import GroupId, Incarnation, MapEpoch, RankId
from lycheefall._core.messages.groups import Placement, RankReport
from lycheefall._fakes.ranks import (
    RankGroup,
    expert_tokens,
    make_daily_popularity,
    run_step,
    tokens_on,
)
from lycheefall._rules import group_load
from lycheefall._rules.group_load import GroupLoad
from lycheefall._rules.placement import Limits, count_moves, place_from_scratch, plan

RANKS = 32
EXPERTS = 128
SLOTS = 6
STORE_BYTES_PER_S = 2e9
# A day of drift in four hours, sampled by one step a second.
DAY_S = 14_400.0
PLAN_PERIOD_S = 10
STALLING_RANK = RankId(5)
STALL_SLOWDOWN = 1.5

Policy = Callable[[Limits, GroupLoad, Placement], Placement]


def keep(limits: Limits, load: GroupLoad, placement: Placement) -> Placement:
    """Never change the map."""
    return placement


def always(limits: Limits, load: GroupLoad, placement: Placement) -> Placement:
    """Place everything anew at every chance, whatever it costs to move."""
    return place_from_scratch(limits, load.popularity or [], load.slowness)


def uncosted(limits: Limits, load: GroupLoad, placement: Placement) -> Placement:
    """Search from the map in force as ours does, with moves that cost nothing."""
    free = msgspec.structs.replace(limits, store_bytes_per_s=math.inf)
    return plan(free, load.popularity or [], load.slowness, placement).placement


def weighed(limits: Limits, load: GroupLoad, placement: Placement) -> Placement:
    """Move when the gain exceeds the cost."""
    start = time.perf_counter()
    made = plan(limits, load.popularity or [], load.slowness, placement)
    _plan_s.append(time.perf_counter() - start)
    return made.placement


_plan_s: list[float] = []


POLICIES = (
    ("static", keep),
    ("anew at every chance", always),
    ("search without cost", uncosted),
    ("ours", weighed),
)


def report(
    group: RankGroup, placement: Placement, rank: int, busy_s: float, at_s: float
) -> RankReport:
    """Return what a rank reports of one step."""
    tokens = tokens_on(RankId(rank), placement, expert_tokens(group, at_s))
    none = group.next_step
    return RankReport(
        GroupId("bench"), RankId(rank), Incarnation("r"), none, none, MapEpoch(1), tokens, busy_s
    )


def run(limits: Limits, policy: Policy, seed: int) -> tuple[list[float], list[float], int, int]:
    """Return the skew and the slowest time of each step, the bytes moved and the maps used."""
    group = RankGroup(make_daily_popularity(EXPERTS, seed, DAY_S), RANKS, 65_536.0, 1e-5)
    load = group_load.initial(EXPERTS, RANKS)
    placement = place_from_scratch(limits, expert_tokens(group, 0.0), load.slowness)
    coming: tuple[float, Placement] | None = None
    skews, slowest, moved, maps = [], [], 0, 1
    for second in range(int(DAY_S)):
        stalls = DAY_S / 3 <= second < 2 * DAY_S / 3
        group.slowdown = {STALLING_RANK: STALL_SLOWDOWN} if stalls else {}
        if coming is not None and second >= coming[0]:
            placement, coming, maps = coming[1], None, maps + 1
        step = run_step(group, [placement], second)
        skews.append(step.skew_ratio)
        slowest.append(max(step.rank_s))
        if second % PLAN_PERIOD_S >= PLAN_PERIOD_S - 2:
            for rank in range(RANKS):
                group_load.observe(load, report(group, placement, rank, step.rank_s[rank], second))
        if second % PLAN_PERIOD_S == PLAN_PERIOD_S - 1 and coming is None:
            group_load.close_window(load)
            wanted = policy(limits, load, placement)
            moves = count_moves(placement, wanted)
            if moves:
                moved += moves * limits.expert_bytes
                coming = (second + 1 + moves * limits.expert_bytes / STORE_BYTES_PER_S, wanted)
    return skews, slowest, moved, maps


def main() -> None:
    """Print one table row for each policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--expert-mb", type=int, default=50)
    options = parser.parse_args()
    limits = Limits(RANKS, EXPERTS, SLOTS, options.expert_mb * 10**6, STORE_BYTES_PER_S)
    print("| policy | skew median | p95 | mean | steps <= 1.1 | step time | GB moved | maps |")
    print("|---|---|---|---|---|---|---|---|")
    static_s = 0.0
    for name, policy in POLICIES:
        skews, slowest, moved, maps = run(limits, policy, options.seed)
        static_s = static_s or statistics.mean(slowest)
        p95 = statistics.quantiles(skews, n=20)[-1]
        within = sum(skew <= 1.1 for skew in skews) / len(skews)
        row = f"{statistics.median(skews):.3f} | {p95:.3f} | {statistics.mean(skews):.3f}"
        ratio = statistics.mean(slowest) / static_s
        print(f"| {name} | {row} | {within:.1%} | {ratio:.3f} | {moved / 1e9:.1f} | {maps} |")
    print(f"\nplan: median {statistics.median(_plan_s) * 1000:.1f} ms, {len(_plan_s)} plans")


if __name__ == "__main__":
    main()
