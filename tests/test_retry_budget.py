"""Tests of an entry's retry budget."""

from collections import deque
from random import Random

import pytest

from lycheefall._rules.retry_budget import RetryBounds, RetryBudget, credit, refill, try_consume

BOUNDS = RetryBounds(ratio=0.2, window_s=10.0, allowance=88.0)


def largest_window(spent_s: list[float]) -> int:
    """Return the most retries in any window."""
    recent: deque[float] = deque()
    most = 0
    for at_s in sorted(spent_s):
        recent.append(at_s)
        while recent[0] < at_s - BOUNDS.window_s:
            recent.popleft()
        most = max(most, len(recent))
    return most


class TestRetryShare:
    @pytest.mark.parametrize("entries", [1, 4, 16])
    @pytest.mark.parametrize("requests_per_s", [0.0, 50.0])
    def test_all_entries_together(self, entries: int, requests_per_s: float) -> None:
        """Guards against retries of all entries together above the bound of the system."""
        random = Random(1)
        shares = [RetryBudget() for _ in range(entries)]
        spent: list[float] = []
        for step in range(4_000):
            now_s = step * 0.01
            for share in shares:
                refill(share, BOUNDS, entries, now_s)
                if random.random() < requests_per_s / entries * 0.01:
                    credit(share, BOUNDS, entries)
                if try_consume(share):
                    spent.append(now_s)
        requests = requests_per_s * BOUNDS.window_s
        assert largest_window(spent) <= BOUNDS.ratio * requests + BOUNDS.allowance
        assert spent

    def test_restarts_save_nothing(self) -> None:
        """Guards against a full bucket at each start of an entry that keeps crashing."""
        spent: list[float] = []
        for start in range(10):
            share = RetryBudget()
            for step in range(100):
                refill(share, BOUNDS, 4, start + step * 0.01)
                if try_consume(share):
                    spent.append(start + step * 0.01)
        assert largest_window(spent) <= BOUNDS.allowance / 2

    def test_empty(self) -> None:
        """Guards against a retry without a token."""
        assert not try_consume(RetryBudget())
