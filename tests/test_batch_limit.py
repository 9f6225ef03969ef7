"""Tests of the size of an engine's batches."""

from lycheefall._rules.batch_limit import LEAST_SHARE, BatchLimit, observe, places


def played(ratio: float, seconds: float, limit: BatchLimit | None = None) -> BatchLimit:
    """Return the limit after streams had this pause, against the target, for a while."""
    held = limit or BatchLimit()
    begin_s = max(0.0, held.changed_s)
    for step in range(int(seconds * 50)):
        observe(held, ratio, begin_s + step * 0.02)
    return held


class TestBatchLimit:
    def test_shrinks_while_pauses_are_a_little_too_long(self) -> None:
        """Guards against full batches in which each stream misses its pace by a little."""
        limit = played(1.05, 3.0)
        assert LEAST_SHARE <= limit.share < 0.8
        assert places(limit, 6) < 6

    def test_never_below_half(self) -> None:
        """Guards against engines that are left idle."""
        assert places(played(1.2, 60.0), 6) == 3
        assert places(played(1.2, 60.0), 1) == 1

    def test_slow_rank(self) -> None:
        """Guards against smaller batches when a slow rank makes all pauses far too long."""
        assert places(played(12.0, 10.0), 6) == 6

    def test_grows_back(self) -> None:
        """Guards against small batches long after the pauses are short again."""
        limit = played(1.1, 5.0)
        assert places(played(0.7, 20.0, limit), 6) == 6
