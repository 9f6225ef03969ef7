"""Tests of telling groups that keep their pace from slow ones."""

from lycheefall._rules.group_pauses import GroupPauses, observe


def play(pauses: GroupPauses, ratio: float, seconds: float, from_s: float = 0.0) -> None:
    """Let streams of a group pause for this part of the longest pause in time."""
    for step in range(int(seconds * 20)):
        observe(pauses, ratio, from_s + step * 0.05)


class TestObserve:
    def test_slow_rank(self) -> None:
        """Guards against requests that go on to a group in which all streams are late."""
        pauses = GroupPauses()
        play(pauses, 0.6, 2.0)
        assert not pauses.is_slow
        play(pauses, 1.5, 1.5, 2.0)
        assert pauses.is_slow

    def test_passes_after_a_shift(self) -> None:
        """Guards against groups that count as slow for the few long passes after each shift."""
        pauses = GroupPauses()
        for cycle in range(5):
            play(pauses, 0.6, 1.8, cycle * 2.3)
            play(pauses, 1.05, 0.5, cycle * 2.3 + 1.8)
            assert not pauses.is_slow

    def test_keeps_pace_again(self) -> None:
        """Guards against a group that stays without work in time after its rank recovered."""
        pauses = GroupPauses()
        play(pauses, 2.0, 3.0)
        play(pauses, 0.6, 2.0, 3.0)
        assert not pauses.is_slow
