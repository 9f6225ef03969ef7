"""Tests of the demand for experts from counts that only grow."""

import pytest

from lycheefall._core.expert_maps import ExpertCounts, PassNumber
from lycheefall._core.ids import GroupId
from lycheefall._rules.expert_demand import Demand, is_known, likeness, take

SOURCE = (GroupId("g"), 0, 1)


def counts(*values: int, epoch: int = 1) -> ExpertCounts:
    """Return the counts of one set."""
    return ExpertCounts(PassNumber(1), epoch, (values,))


class TestTake:
    def test_differences(self) -> None:
        """Guards against a demand from all that ever was instead of the last moment."""
        demand = Demand()
        assert take(demand, SOURCE, counts(90_000, 0))
        assert not is_known(demand)
        assert take(demand, SOURCE, counts(90_000, 10_000))
        assert demand.loads == [[0.0, 1.0]]

    def test_blended_while_alike(self) -> None:
        """Guards against a plan for the few requests of one sample."""
        demand = Demand()
        take(demand, SOURCE, counts(0, 0))
        take(demand, SOURCE, counts(6_000, 4_000))
        take(demand, SOURCE, counts(6_000 + 4_000, 4_000 + 6_000))
        assert 0.5 < demand.loads[0][0] < 0.6

    def test_shift(self) -> None:
        """Guards against seconds of old demand after other experts came into demand at once."""
        demand = Demand()
        take(demand, SOURCE, counts(0, 0, 0))
        take(demand, SOURCE, counts(9_000, 500, 500))
        take(demand, SOURCE, counts(9_500, 1_000, 9_500))
        assert demand.loads[0][2] == pytest.approx(0.9)

    def test_idle_rank(self) -> None:
        """Guards against a demand from a handful of tokens."""
        demand = Demand()
        take(demand, SOURCE, counts(0, 0))
        assert not take(demand, SOURCE, counts(1, 0))
        assert not is_known(demand)

    def test_rank_that_started_again(self) -> None:
        """Guards against differences to the counts of an earlier start or epoch."""
        demand = Demand()
        take(demand, SOURCE, counts(50_000, 50_000))
        assert take(demand, SOURCE, counts(9_000, 1_000, epoch=2))
        assert take(demand, (GroupId("g"), 0, 2), counts(9_000, 1_000, epoch=2))
        assert not is_known(demand)


def test_likeness() -> None:
    """Guards against a shift that is seen where there is none."""
    assert likeness([1.0, 2.0], [2.0, 4.0]) == pytest.approx(1.0)
    assert likeness([1.0, 0.0], [0.0, 1.0]) == 0.0
    assert likeness([0.0], [1.0]) == 0.0
