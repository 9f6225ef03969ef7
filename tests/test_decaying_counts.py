"""Tests of counts with exponential decay."""

import pytest

from lycheefall._rules.decaying_counts import DecayingCounts, add, value, values


class TestDecay:
    def test_steady_rate(self) -> None:
        """Guards against a rate estimated over too short or too long a period."""
        counter = DecayingCounts(2.0)
        for step in range(4_000):
            add(counter, 1, step * 0.01)
        assert value(counter, 1, 40.0) / 2.0 == pytest.approx(100.0, rel=0.02)

    def test_burst_decays(self) -> None:
        """Guards against a burst that never decays."""
        counter = DecayingCounts(2.0)
        add(counter, 1, 0.0)
        add(counter, 2, 0.0)
        assert values(counter, 20.0)[2] < 1e-4
        assert value(counter, 3, 0.0) == 0.0
