"""Tests of expert maps and the pass time that follows from one."""

import pytest

from lycheefall._core.relay import ExpertLayout
from lycheefall._rules.expert_maps import (
    even_paces,
    initial_map,
    is_complete,
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


class TestRelativePassTime:
    def test_share_of_the_experts(self) -> None:
        """Guards against a gain that counts the work which maps don't change."""
        experts = initial_map(LAYOUT, RANKS)
        even = [[1.0] * 64 for _ in range(6)]
        assert relative_pass_time(experts, even, LAYOUT, even_paces(RANKS)) == pytest.approx(1.0)
        all_on_one = [[1.0 if e % 8 == 0 else 0.0 for e in range(64)] for _ in range(6)]
        assert relative_pass_time(experts, all_on_one, LAYOUT, even_paces(RANKS)) == pytest.approx(
            0.15 + 0.85 * 8
        )

    def test_no_demand(self) -> None:
        """Guards against a division by zero."""
        assert skew_of_set(initial_map(LAYOUT, RANKS)[0], [0.0] * 64, even_paces(RANKS)) == 1.0


class TestMaps:
    def test_copies_are_counted_in_all_sets(self) -> None:
        """Guards against a copy time that covers only one set, as a rank copies one by one."""
        before = (((0,), (1,)), ((0,), (1,)))
        after = (((0, 1), (1,)), ((0, 1), (0, 1)))
        assert max_experts_to_copy(before, after) == 2

    def test_complete(self) -> None:
        """Guards against a plan from a map without one of the experts."""
        layout = ExpertLayout(
            sets=1,
            experts=3,
            expert_slots=2,
            spare=1,
            expert_bytes=1.0,
            link_bytes_per_s=1.0,
            work_share=0.85,
        )
        assert is_complete((((0, 2), (1,)),), layout)
        assert not is_complete((((0,), (1,)),), layout)
        assert not is_complete((((0, 2), (1, 3)),), layout)
