"""Tests of planning expert maps by the time that they last, with a played series of demand."""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from lycheefall._core.expert_maps import ExpertMap
from lycheefall._core.relay import ExpertLayout
from lycheefall._rules import map_planning, placement_search
from lycheefall._rules.expert_maps import (
    even_paces,
    initial_map,
    max_experts_to_copy,
    relative_pass_time,
    skew_of_set,
)
from lycheefall._rules.map_planning import Plan, PlanTimes
from lycheefall._rules.pass_duration import COPYING_RATIO

LAYOUT = ExpertLayout(
    sets=6,
    experts=64,
    expert_slots=11,
    spare=4,
    expert_bytes=1.0,
    link_bytes_per_s=20.0,
    work_share=0.85,
)
RANKS = 8
# Ranks, layout, Zipf exponent of the demand and seconds between two shifts.
SERIES: dict[str, tuple[int, ExpertLayout, float, float]] = {
    "8 ranks": (8, LAYOUT, 1.5, 4.0),
    "12 ranks, copies of 0.4 s": (
        12,
        structs.replace(LAYOUT, sets=3, experts=96, link_bytes_per_s=2.5),
        1.3,
        4.0,
    ),
    "24 ranks, copies of 0.08 s": (
        24,
        structs.replace(
            LAYOUT, sets=16, experts=96, expert_slots=5, spare=2, link_bytes_per_s=13.0
        ),
        0.92,
        2.0,
    ),
    "32 ranks": (
        32,
        structs.replace(
            LAYOUT, sets=12, experts=128, expert_slots=5, spare=2, link_bytes_per_s=77.0
        ),
        0.79,
        4.0,
    ),
    "96 ranks": (
        96,
        structs.replace(
            LAYOUT, sets=16, experts=192, expert_slots=3, spare=2, link_bytes_per_s=160.0
        ),
        0.51,
        4.0,
    ),
}
ORDERS_S = 0.2
# From a shift to the plan, and from one change to the next.
DETECTION_S = 0.35
COOLDOWN_S = 0.45
SHIFTS = 3

Loads = Sequence[Sequence[float]]
# Returns a map and the most copies to a rank; the last argument is the time until the next shift.
Planner = Callable[[ExpertMap, Loads, ExpertLayout, float], tuple[ExpertMap, int]]


def skewed(random: Random, experts: int, exponent: float) -> list[float]:
    """Return loads by Zipf's law, in a random order."""
    load = [1.0 / (n + 1) ** exponent for n in range(experts)]
    random.shuffle(load)
    return load


def copy_s(layout: ExpertLayout) -> float:
    """Return the time to copy one expert."""
    return layout.expert_bytes / layout.link_bytes_per_s


def run_plan(
    before: ExpertMap,
    loads: Loads,
    layout: ExpertLayout,
    remaining_s: float = 4.0,
    paces: Sequence[float] | None = None,
) -> Plan:
    """Return a plan for passes that take as long as their ratio."""
    times = PlanTimes(
        pass_s=lambda ratio: ratio,
        expert_copy_s=copy_s(layout),
        orders_s=ORDERS_S,
        remaining_s=remaining_s,
    )
    paces = even_paces(len(before[0])) if paces is None else paces
    steps = map_planning.plan(before, loads, paces, layout, times)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            assert isinstance(end.value, Plan)
            return end.value


def plan_by_time(
    before: ExpertMap, loads: Loads, layout: ExpertLayout, remaining_s: float
) -> tuple[ExpertMap, int]:
    """Plan with the planner under test."""
    found = run_plan(before, loads, layout, remaining_s)
    return found.experts, found.copies


def plan_one_copy_per_set(
    before: ExpertMap, loads: Loads, layout: ExpertLayout, remaining_s: float
) -> tuple[ExpertMap, int]:
    """Plan each set for itself with one copy to a rank, whatever a copy takes: the baseline."""
    after = []
    paces = even_paces(len(before[0]))
    for old, load in zip(before, loads, strict=True):
        copies_left = [layout.experts] * len(old)
        search = placement_search.start_search(
            old, load, paces, layout.expert_slots, 1, copies_left
        )
        while placement_search.improve(search):
            pass
        new = placement_search.with_old_replicas(search)
        after.append(new if skew_of_set(new, load, paces) < skew_of_set(old, load, paces) else old)
    return tuple(after), max_experts_to_copy(before, tuple(after))


def play(planner: Planner, name: str, seed: int) -> float:
    """Return the mean relative pass time of a series in which demand shifts several times."""
    ranks, layout, exponent, period_s = SERIES[name]
    random = Random(seed)
    experts = initial_map(layout, ranks)
    total_s = 0.0
    for _ in range(SHIFTS):
        loads = [skewed(random, layout.experts, exponent) for _ in range(layout.sets)]
        ratio = relative_pass_time(experts, loads, layout, even_paces(ranks))
        now_s = DETECTION_S
        total_s += DETECTION_S * ratio
        while now_s < period_s:
            after, copies = planner(experts, loads, layout, period_s - now_s)
            copying_s = copies * copy_s(layout)
            if after == experts or now_s + ORDERS_S + copying_s >= period_s:
                break
            total_s += ratio * (ORDERS_S + copying_s * COPYING_RATIO)
            experts, ratio = after, relative_pass_time(after, loads, layout, even_paces(ranks))
            now_s += ORDERS_S + copying_s
            pause_s = min(COOLDOWN_S, period_s - now_s)
            total_s += ratio * pause_s
            now_s += pause_s
        total_s += ratio * (period_s - now_s)
    return total_s / (SHIFTS * period_s)


class TestPlayedSeries:
    @pytest.mark.parametrize("name", SERIES)
    def test_against_one_copy_per_set(self, name: str) -> None:
        """Guards against a change of map that takes longer than the map lasts."""
        by_time = play(plan_by_time, name, seed=1)
        baseline = play(plan_one_copy_per_set, name, seed=1)
        print(f"{name}: mean pass {by_time:.2f} by time, {baseline:.2f} with one copy per set")
        has_long_copies = SERIES[name][1].sets * copy_s(SERIES[name][1]) > 1.0
        assert by_time <= baseline * (0.9 if has_long_copies else 1.02)


class TestPlan:
    def test_few_copies_before_a_near_shift(self) -> None:
        """Guards against copies that are complete only when demand has shifted again."""
        loads = [skewed(Random(n), 64, 1.5) for n in range(6)]
        before = initial_map(LAYOUT, RANKS)
        soon = run_plan(before, loads, LAYOUT, remaining_s=0.5)
        later = run_plan(before, loads, LAYOUT, remaining_s=20.0)
        assert soon.copies < later.copies
        assert soon.pass_ratio > later.pass_ratio

    def test_no_time_left(self) -> None:
        """Guards against orders and copies for a map that can't pay off."""
        loads = [skewed(Random(n), 64, 1.5) for n in range(6)]
        before = initial_map(LAYOUT, RANKS)
        assert run_plan(before, loads, LAYOUT, remaining_s=ORDERS_S).experts == before

    def test_even_demand(self) -> None:
        """Guards against copies that do not shorten a pass, and a division by zero."""
        before = initial_map(LAYOUT, RANKS)
        for load in (1.0, 0.0):
            assert run_plan(before, [[load] * 64] * 6, LAYOUT).experts == before

    @settings(max_examples=60)
    @given(
        st.integers(0, 10_000),
        st.integers(0, 10_000),
        st.sampled_from([0, 1, 4]),
        st.sampled_from([8, 9, 11]),
    )
    def test_any_sequence(self, first: int, second: int, spare: int, slots: int) -> None:
        """Guards against an expert on no rank, and against more places or copies than there are."""
        layout = structs.replace(LAYOUT, sets=2, spare=spare, expert_slots=slots)
        before = initial_map(layout, RANKS)
        for seed in (first, second):
            loads = [skewed(Random(seed + n), 64, 1.5) for n in range(layout.sets)]
            found = run_plan(before, loads, layout)
            for old, new in zip(before, found.experts, strict=True):
                held = Counter(expert for experts in new for expert in experts)
                assert set(held) == set(range(64))
                assert all(len(set(experts)) == len(experts) <= slots for experts in new)
                added = [len(set(a) - set(b)) for a, b in zip(new, old, strict=True)]
                assert max(added) <= spare
            assert max_experts_to_copy(before, found.experts) <= found.copies
            assert found.pass_ratio == pytest.approx(
                relative_pass_time(found.experts, loads, layout, even_paces(RANKS))
            )
            assert (
                found.pass_ratio
                <= relative_pass_time(before, loads, layout, even_paces(RANKS)) + 1e-9
            )
            before = found.experts

    @pytest.mark.parametrize("seed", range(3))
    def test_balances_map_0(self, seed: int) -> None:
        """Guards against ranks that wait for the one that holds the expert in demand."""
        loads = [skewed(Random(seed + n), 64, 1.5) for n in range(6)]
        before = initial_map(LAYOUT, RANKS)
        found = run_plan(before, loads, structs.replace(LAYOUT, expert_bytes=0.1))
        assert relative_pass_time(before, loads, LAYOUT, even_paces(RANKS)) > 2.0
        assert found.pass_ratio <= 1.1

    def test_slow_rank(self) -> None:
        """Guards against a group that waits for a slow rank with as many experts as the others."""
        loads = [skewed(Random(n), 64, 1.0) for n in range(6)]
        before = run_plan(initial_map(LAYOUT, RANKS), loads, LAYOUT, 20.0).experts
        paces = (1.0,) * (RANKS - 1) + (4.0,)
        found = run_plan(before, loads, LAYOUT, 20.0, paces)
        assert relative_pass_time(before, loads, LAYOUT, paces) > 3.0
        assert relative_pass_time(found.experts, loads, LAYOUT, paces) < 1.5
