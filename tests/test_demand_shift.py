"""Tests of detecting shifts of expert demand from stream pauses."""

import pytest

from lycheefall._rules.demand_shift import PassDurations, observe


def observe_passes(
    durations: PassDurations, pass_s: float, passes: int, from_s: float, streams: int = 6
) -> list[float]:
    """Observe passes with several streams each; return the delays at which shifts were detected."""
    detected: list[float] = []
    for number in range(1, passes + 1):
        now_s = from_s + number * pass_s
        detected += [now_s - from_s for _ in range(streams) if observe(durations, pass_s, now_s)]
    return detected


class TestObserve:
    def test_detected_in_the_first_long_pass(self) -> None:
        """Guards against seconds of long passes before a new map is planned."""
        durations = PassDurations()
        assert observe_passes(durations, 0.06, 20, 0.0) == []
        assert observe_passes(durations, 0.12, 3, 1.2) == pytest.approx([0.12])

    def test_second_shift_after_a_new_map(self) -> None:
        """Guards against a second shift that is hidden by the first."""
        durations = PassDurations()
        observe_passes(durations, 0.06, 20, 0.0)
        observe_passes(durations, 0.12, 5, 1.2)
        observe_passes(durations, 0.06, 10, 1.8)
        assert observe_passes(durations, 0.12, 3, 2.4) == pytest.approx([0.12])

    def test_prefill_between_events_is_no_shift(self) -> None:
        """Guards against reading the counters, which costs time of the ranks, without a shift."""
        durations = PassDurations()
        for number in range(100):
            assert not observe(durations, 0.06 if number % 3 else 0.07, number * 0.01)

    def test_single_pausing_stream_is_no_shift(self) -> None:
        """Guards against a shift that is detected from a single slow upstream."""
        durations = PassDurations()
        observe_passes(durations, 0.06, 20, 0.0)
        assert not observe(durations, 0.5, 1.3)
        assert observe_passes(durations, 0.06, 5, 1.3) == []
