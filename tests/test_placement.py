"""Tests of expert placement."""

import random
import statistics
import time

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.ids import RankId
from lycheefall._core.messages.groups import Placement
from lycheefall._rules.placement import PlacementLimits, Plan, count_moves, place_from_scratch, plan

LIMITS = PlacementLimits(
    ranks=32, experts=128, slots_per_rank=6, expert_bytes=10**9, store_bytes_per_s=4e9
)
EVEN = [1.0] * 32


def zipf(seed: int, exponent: float = 0.8) -> list[float]:
    load = [1000.0 / (place + 1) ** exponent for place in range(128)]
    random.Random(seed).shuffle(load)
    return load


def check_valid(placement: Placement, limits: PlacementLimits) -> None:
    replica_counts = [0] * limits.ranks
    for ranks in placement:
        assert ranks
        assert len(set(ranks)) == len(ranks)
        for rank in ranks:
            replica_counts[rank] += 1
    assert max(replica_counts) <= limits.slots_per_rank


def plan_after_drift() -> Plan:
    before = place_from_scratch(LIMITS, zipf(1), EVEN)
    load = [a + b / 4 for a, b in zip(zipf(1), zipf(2), strict=True)]
    return plan(LIMITS, load, EVEN, before)


class TestPlan:
    @given(st.data())
    def test_valid(self, data: st.DataObject) -> None:
        """Guards against an unplaced expert, an overfull rank and a wrong count of moves."""
        limits = PlacementLimits(4, 7, data.draw(st.integers(2, 4)), 10, 1e6)
        loads = st.lists(st.floats(0, 1e6), min_size=7, max_size=7)
        slowness = data.draw(st.lists(st.floats(0.5, 9), min_size=4, max_size=4))
        first = plan(limits, data.draw(loads), slowness, None).placement
        check_valid(first, limits)
        second = plan(limits, data.draw(loads), slowness, first)
        check_valid(second.placement, limits)
        assert second.moves == count_moves(first, second.placement)
        assert second.moves == 0 or second.gain_s > second.cost_s

    def test_skew(self) -> None:
        """Guards against a plan that misses the target skew after a drift of the popularity."""
        moved = plan_after_drift()
        assert moved.skew_before > 1.1
        assert moved.skew_ratio <= 1.1
        again = place_from_scratch(
            LIMITS, [a + b / 4 for a, b in zip(zipf(1), zipf(2), strict=True)], EVEN
        )
        assert moved.moves < count_moves(place_from_scratch(LIMITS, zipf(1), EVEN), again) / 2

    def test_no_move_without_gain(self) -> None:
        """Guards against moves that cost more time than they save."""
        before = place_from_scratch(LIMITS, zipf(1), EVEN)
        slow_store = PlacementLimits(32, 128, 6, 10**9, store_bytes_per_s=1e6)
        assert plan(slow_store, zipf(2), EVEN, before).placement == before

    def test_stalling_rank(self) -> None:
        """Guards against a slow rank keeping its full load."""
        slowness = [2.0, *EVEN[1:]]
        moved = plan(LIMITS, zipf(1), slowness, place_from_scratch(LIMITS, zipf(1), EVEN))
        assert moved.skew_before > 1.8
        assert moved.skew_ratio <= 1.1

    def test_expert_above_the_mean(self) -> None:
        """Guards against no replica for an expert that alone keeps its rank the slowest."""
        limits = PlacementLimits(4, 10, 3, 10**9, store_bytes_per_s=2e9)
        load = [1.11, 0.01, 0.01, *[0.48] * 6, 0.0]
        ranks_by_expert = ((0,), (0, 1), (0, 2), (1,), (1,), (2,), (2,), (3,), (3,), (3,))
        before = tuple(tuple(RankId(rank) for rank in ranks) for ranks in ranks_by_expert)
        moved = plan(limits, load, [1.0] * 4, before)
        assert moved.skew_before > 1.1
        assert moved.skew_ratio <= 1.1
        check_valid(moved.placement, limits)

    def test_time(self) -> None:
        """Guards against planning that blocks the coordinator's task."""
        taken = []
        for seed in range(5):
            before = place_from_scratch(LIMITS, zipf(seed), EVEN)
            start = time.process_time()
            plan(LIMITS, zipf(seed + 100), [2.0, *EVEN[1:]], before)
            taken.append(time.process_time() - start)
        print(f"plan: median {statistics.median(taken) * 1000:.1f} ms of {len(taken)}")
        assert statistics.median(taken) < 0.1
