"""Tests of estimating when the demand for experts shifts next."""

import pytest

from lycheefall._rules.shift_times import ShiftTimes, record_shift, remaining_s


class TestShiftTimes:
    def test_regular_shifts(self) -> None:
        """Guards against plans for longer than a map lasts."""
        times = ShiftTimes()
        for now_s in (10.0, 12.0, 14.0, 16.0):
            record_shift(times, now_s)
        assert remaining_s(times, 16.5) == pytest.approx(1.5)

    def test_overdue_shift(self) -> None:
        """Guards against a negative time, or one that allows no change at all."""
        times = ShiftTimes()
        record_shift(times, 10.0)
        record_shift(times, 14.0)
        assert 0.5 < remaining_s(times, 18.5) < 4.0

    def test_rare_shifts(self) -> None:
        """Guards against small plans long after demand has stopped shifting."""
        times = ShiftTimes()
        record_shift(times, 10.0)
        record_shift(times, 12.0)
        assert remaining_s(times, 100.0) > 5.0

    def test_none_seen(self) -> None:
        """Guards against a start without any estimate."""
        assert remaining_s(ShiftTimes(), 3.0) > 1.0
