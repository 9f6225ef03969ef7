"""Tests of an entry's retry budget."""

from collections import deque
from random import Random

import pytest

from lycheefall._rules.retry_budget import RetryBounds, RetryBudget, credit, refill, try_consume

BOUNDS = RetryBounds(ratio=0.2, window_s=10.0, allowance=88.0)


def most_retries_in_a_window(retried_s: list[float]) -> int:
    """Return the most retries in any window."""
    recent: deque[float] = deque()
    most = 0
    for at_s in sorted(retried_s):
        recent.append(at_s)
        while recent[0] < at_s - BOUNDS.window_s:
            recent.popleft()
        most = max(most, len(recent))
    return most


class TestRetryBudget:
    @pytest.mark.parametrize("entries", [1, 4, 16])
    @pytest.mark.parametrize("requests_per_s", [0.0, 50.0])
    def test_all_entries_together(self, entries: int, requests_per_s: float) -> None:
        """Guards against retries of all entries together above the bound of the system."""
        random = Random(1)
        budgets = [RetryBudget() for _ in range(entries)]
        retried_s: list[float] = []
        for step in range(4_000):
            now_s = step * 0.01
            for budget in budgets:
                refill(budget, BOUNDS, entries, now_s)
                if random.random() < requests_per_s / entries * 0.01:
                    credit(budget, BOUNDS, entries)
                if try_consume(budget):
                    retried_s.append(now_s)
        requests = requests_per_s * BOUNDS.window_s
        assert most_retries_in_a_window(retried_s) <= BOUNDS.ratio * requests + BOUNDS.allowance
        assert retried_s

    def test_restart_does_not_fill_the_bucket(self) -> None:
        """Guards against a full bucket at each start of an entry that keeps crashing."""
        retried_s: list[float] = []
        for start in range(10):
            budget = RetryBudget()
            for step in range(100):
                refill(budget, BOUNDS, 4, start + step * 0.01)
                if try_consume(budget):
                    retried_s.append(start + step * 0.01)
        assert most_retries_in_a_window(retried_s) <= BOUNDS.allowance / 2

    def test_no_retry_without_a_token(self) -> None:
        """Guards against a retry without a token."""
        assert not try_consume(RetryBudget())
