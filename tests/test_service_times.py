"""Tests of the estimate by which a stopping entry accepts requests."""

import pytest

from lycheefall._core.ids import RouteId
from lycheefall._rules import service_times
from lycheefall._rules.service_times import SAMPLES, ServiceTimes

ROUTE = RouteId("r")


class TestExpected:
    def test_unknown(self) -> None:
        """Guards against an estimate for a route that has answered nothing."""
        times = ServiceTimes()
        service_times.record(times, RouteId("other"), 1.0)
        assert service_times.expected_s(times, ROUTE) is None

    def test_covers_most_requests(self) -> None:
        """Guards against an estimate by the mean, or by a single outlier."""
        times = ServiceTimes()
        for took_s in [*[0.1] * 40, *[6.5] * 20, 30.0]:
            service_times.record(times, ROUTE, took_s)
        assert service_times.expected_s(times, ROUTE) == 6.5

    def test_old_durations_are_forgotten(self) -> None:
        """Guards against refusals because of a service that was slow long ago."""
        times = ServiceTimes()
        for took_s in [*[6.5] * SAMPLES, *[0.1] * SAMPLES]:
            service_times.record(times, ROUTE, took_s)
        assert service_times.expected_s(times, ROUTE) == 0.1


class TestFits:
    @pytest.mark.parametrize("is_repeatable", [True, False])
    @pytest.mark.parametrize(
        ("expected_s", "left_s", "deadline_s", "fits"),
        [(6.5, 6.6, 11.0, True), (6.5, 6.4, 11.0, False), (6.5, 1.0, 0.9, True)],
    )
    def test_known(
        self, expected_s: float, left_s: float, deadline_s: float, fits: bool, is_repeatable: bool
    ) -> None:
        """Guards against a request that is cut off, or refused though there is time for it."""
        arguments = (expected_s, left_s, deadline_s)
        assert service_times.fits(*arguments, is_repeatable=is_repeatable) is fits

    def test_unknown(self) -> None:
        """Guards against a booking that runs and is cut off at an entry that knows no durations."""
        assert not service_times.fits(None, 6.0, 11.0, is_repeatable=False)
        assert service_times.fits(None, 6.0, 5.0, is_repeatable=False)
        assert service_times.fits(None, 6.0, 11.0, is_repeatable=True)
