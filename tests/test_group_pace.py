"""Tests of telling groups that keep their pace from slow ones."""

from lycheefall._rules.group_pace import GroupPace, observe


def play(pace: GroupPace, ratio: float, seconds: float, from_s: float = 0.0) -> None:
    """Let streams of a group pause for this part of the longest pause in time."""
    for step in range(int(seconds * 20)):
        observe(pace, ratio, from_s + step * 0.05)


class TestObserve:
    def test_slow_rank(self) -> None:
        """Guards against requests that go on to a group in which all streams are late."""
        pace = GroupPace()
        play(pace, 0.6, 2.0)
        assert not pace.is_slow
        play(pace, 1.5, 1.5, 2.0)
        assert pace.is_slow

    def test_passes_after_a_shift(self) -> None:
        """Guards against groups that count as slow for the few long passes after each shift."""
        pace = GroupPace()
        for cycle in range(5):
            play(pace, 0.6, 1.8, cycle * 2.3)
            play(pace, 1.05, 0.5, cycle * 2.3 + 1.8)
            assert not pace.is_slow

    def test_keeps_pace_again(self) -> None:
        """Guards against a group that stays without work in time after its rank recovered."""
        pace = GroupPace()
        play(pace, 2.0, 3.0)
        play(pace, 0.6, 2.0, 3.0)
        assert not pace.is_slow
