"""Tests of detecting that the passes of a group became longer."""

import pytest

from lycheefall._rules.pass_length import PassLength, observe


def observe_passes(
    length: PassLength, pass_s: float, passes: int, from_s: float, streams: int = 6
) -> list[float]:
    """Observe passes with several streams each, and return when a shift was detected."""
    seen: list[float] = []
    for number in range(1, passes + 1):
        now_s = from_s + number * pass_s
        seen += [now_s - from_s for _ in range(streams) if observe(length, pass_s, now_s)]
    return seen


class TestObserve:
    def test_first_long_pass(self) -> None:
        """Guards against seconds of long passes before a new map is planned."""
        length = PassLength()
        assert observe_passes(length, 0.06, 20, 0.0) == []
        assert observe_passes(length, 0.12, 3, 1.2) == pytest.approx([0.12])

    def test_seen_again_after_a_new_map(self) -> None:
        """Guards against a second shift that is hidden by the first."""
        length = PassLength()
        observe_passes(length, 0.06, 20, 0.0)
        observe_passes(length, 0.12, 5, 1.2)
        observe_passes(length, 0.06, 10, 1.8)
        assert observe_passes(length, 0.12, 3, 2.4) == pytest.approx([0.12])

    def test_prompts_between_events(self) -> None:
        """Guards against reading the counters, which costs time of the ranks, without a shift."""
        length = PassLength()
        for number in range(100):
            assert not observe(length, 0.06 if number % 3 else 0.07, number * 0.01)

    def test_one_stream_that_pauses(self) -> None:
        """Guards against a shift that is detected from a single slow upstream."""
        length = PassLength()
        observe_passes(length, 0.06, 20, 0.0)
        assert not observe(length, 0.5, 1.3)
        assert observe_passes(length, 0.06, 5, 1.3) == []
