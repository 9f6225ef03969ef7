"""Tests of estimating expert demand from monotonic counters."""

import pytest

from lycheefall._core.expert_maps import ExpertCounts, PassNumber
from lycheefall._core.ids import GroupId
from lycheefall._rules.expert_demand import (
    Demand,
    Sample,
    Source,
    add_samples,
    cosine_similarity,
    is_known,
    set_baseline,
)

SOURCE = (GroupId("g"), 0, 1)


def counts(*values: int, epoch: int = 1) -> ExpertCounts:
    """Return the counts of one set."""
    return ExpertCounts(PassNumber(1), epoch, (values,))


def sample(*values: int, source: Source = SOURCE, epoch: int = 1) -> list[Sample]:
    """Return the counts of one source."""
    return [(source, counts(*values, epoch=epoch))]


class TestAddSamples:
    def test_differences(self) -> None:
        """Guards against a demand computed from the total counts instead of the recent ones."""
        demand = Demand()
        assert not add_samples(demand, sample(90_000, 0))
        assert not is_known(demand)
        assert add_samples(demand, sample(90_000, 10_000))
        assert demand.loads == [[0.0, 1.0]]

    def test_several_ranks(self) -> None:
        """Guards against a demand that covers only the requests of one rank."""
        demand = Demand()
        other = (GroupId("g"), 1, 1)
        set_baseline(demand, sample(0, 0) + sample(0, 0, source=other))
        assert add_samples(demand, sample(9_000, 1_000) + sample(1_000, 9_000, source=other))
        assert demand.loads == [[0.5, 0.5]]

    def test_shifts_are_counted(self) -> None:
        """Guards against a time to the next shift that ignores the shifts seen so far."""
        demand = Demand()
        add_samples(demand, sample(0, 0))
        for value, shifts in (((9_000, 1_000), 0), ((17_000, 3_000), 0), ((17_500, 13_000), 1)):
            add_samples(demand, sample(*value))
            assert demand.shifts == shifts

    def test_blended_while_alike(self) -> None:
        """Guards against a demand that covers only the few requests of one sample."""
        demand = Demand()
        add_samples(demand, sample(0, 0))
        add_samples(demand, sample(6_000, 4_000))
        add_samples(demand, sample(6_000 + 4_000, 4_000 + 6_000))
        assert 0.45 < demand.loads[0][0] < 0.5

    def test_small_sample_after_a_large_one(self) -> None:
        """Guards against a short sample that replaces a well-measured demand."""
        demand = Demand()
        add_samples(demand, sample(0, 0))
        add_samples(demand, sample(60_000, 40_000))
        add_samples(demand, sample(60_000 + 2_500, 40_000 + 2_500))
        assert 0.58 < demand.loads[0][0] < 0.6

    def test_shift(self) -> None:
        """Guards against outdated demand for seconds after a sudden shift to other experts."""
        demand = Demand()
        add_samples(demand, sample(0, 0, 0))
        add_samples(demand, sample(9_000, 500, 500))
        add_samples(demand, sample(9_500, 1_000, 9_500))
        assert demand.loads[0][2] == pytest.approx(0.9)

    def test_idle_rank(self) -> None:
        """Guards against a demand computed from a handful of tokens."""
        demand = Demand()
        add_samples(demand, sample(0, 0))
        assert not add_samples(demand, sample(1, 0))
        assert not is_known(demand)

    def test_rank_that_started_again(self) -> None:
        """Guards against differences to the counts of an earlier start or epoch."""
        demand = Demand()
        add_samples(demand, sample(50_000, 50_000))
        assert not add_samples(demand, sample(9_000, 1_000, epoch=2))
        assert not add_samples(demand, sample(9_000, 1_000, source=(GroupId("g"), 0, 2), epoch=2))
        assert not is_known(demand)


def test_cosine_similarity() -> None:
    """Guards against a shift that is detected where there is none."""
    assert cosine_similarity([1.0, 2.0], [2.0, 4.0]) == pytest.approx(1.0)
    assert cosine_similarity([1.0, 0.0], [0.0, 1.0]) == 0.0
    assert cosine_similarity([0.0], [1.0]) == 0.0
