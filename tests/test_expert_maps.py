"""Tests of the placement of experts."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheefall._core.relay import ExpertLayout
from lycheefall._rules.expert_maps import (
    MAX_COPIES_PER_RANK,
    improved_set,
    improved_set_if_skewed,
    initial_map,
    max_experts_to_copy,
    relative_pass_time,
    skew_of_set,
)

LAYOUT = ExpertLayout(
    sets=6,
    experts=64,
    expert_slots=11,
    spare=4,
    expert_bytes=1.0,
    link_bytes_per_s=1.0,
    work_share=0.85,
)
RANKS = 8


def skewed(seed: int, experts: int = 64, exponent: float = 1.5) -> list[float]:
    """Return loads by Zipf's law, in a random order."""
    load = [1.0 / (n + 1) ** exponent for n in range(experts)]
    Random(seed).shuffle(load)
    return load


class TestImprovedSet:
    @pytest.mark.parametrize("seed", range(5))
    def test_against_map_0(self, seed: int) -> None:
        """Guards against ranks that wait for the one that holds the expert in demand."""
        before = initial_map(LAYOUT, RANKS)[0]
        load = skewed(seed)
        assert skew_of_set(before, load) > 2.0
        assert skew_of_set(improved_set(before, load, LAYOUT), load) <= 1.1

    @settings(max_examples=100)
    @given(st.integers(0, 10_000), st.integers(0, 10_000), st.sampled_from([0, 1, 4]))
    def test_any_sequence(self, first: int, second: int, spare: int) -> None:
        """Guards against an expert on no rank, and against more places or copies than there are."""
        layout = ExpertLayout(
            sets=1,
            experts=64,
            expert_slots=11,
            spare=spare,
            expert_bytes=1.0,
            link_bytes_per_s=1.0,
            work_share=0.85,
        )
        before = initial_map(layout, RANKS)[0]
        for seed in (first, second):
            load = skewed(seed)
            after = improved_set(before, load, layout)
            held = Counter(expert for experts in after for expert in experts)
            assert set(held) == set(range(64))
            assert all(len(set(experts)) == len(experts) <= 11 for experts in after)
            added = [len(set(new) - set(old)) for new, old in zip(after, before, strict=True)]
            assert max(added) <= spare
            assert skew_of_set(after, load) <= skew_of_set(before, load) + 1e-9 or spare == 0
            before = after

    def test_large_group(self) -> None:
        """Guards against a search that fails for a group of 32 ranks and 128 experts."""
        layout = ExpertLayout(
            sets=12,
            experts=128,
            expert_slots=5,
            spare=2,
            expert_bytes=1.0,
            link_bytes_per_s=1.0,
            work_share=0.85,
        )
        before = initial_map(layout, 32)[0]
        load = skewed(3, experts=128)
        assert skew_of_set(improved_set(before, load, layout), load) < skew_of_set(before, load) / 2

    def test_no_demand(self) -> None:
        """Guards against a division by zero."""
        before = initial_map(LAYOUT, RANKS)[0]
        assert skew_of_set(before, [0.0] * 64) == 1.0
        assert improved_set(before, [0.0] * 64, LAYOUT) is not None


class TestImprovedSetIfSkewed:
    def test_even_set_stays(self) -> None:
        """Guards against copies that do not shorten a pass."""
        before = initial_map(LAYOUT, RANKS)[0]
        assert improved_set_if_skewed(before, [1.0] * 64, LAYOUT) == before

    def test_few_copies(self) -> None:
        """Guards against a map that is in force only after demand has shifted again."""
        before = initial_map(LAYOUT, RANKS)[0]
        after = improved_set_if_skewed(before, skewed(1), LAYOUT)
        assert max_experts_to_copy((before,), (after,)) <= MAX_COPIES_PER_RANK


class TestRelativePassTime:
    def test_share_of_the_experts(self) -> None:
        """Guards against a gain that counts the work which maps don't change."""
        experts = initial_map(LAYOUT, RANKS)
        even = [[1.0] * 64 for _ in range(6)]
        assert relative_pass_time(experts, even, LAYOUT) == pytest.approx(1.0)
        all_on_one = [[1.0 if e % 8 == 0 else 0.0 for e in range(64)] for _ in range(6)]
        assert relative_pass_time(experts, all_on_one, LAYOUT) == pytest.approx(0.15 + 0.85 * 8)
