"""Tests of retry budgets and advice."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import RunState
from lycheefall._core.ids import TeamId
from lycheefall._rules import retries
from lycheefall._rules.retries import RetryAdvice, RetryBudgets

TEAMS = [TeamId("a"), TeamId("b")]


class TestBudget:
    @given(
        st.lists(st.tuples(st.sampled_from(TEAMS), st.booleans()), max_size=400),
        st.floats(0.0, 0.5),
        st.floats(0.0, 0.5),
    )
    def test_ratio_is_never_exceeded(
        self, events: list[tuple[TeamId, bool]], ratio: float, team_ratio: float
    ) -> None:
        """Guards against retries that amplify the load during a fault."""
        budgets = RetryBudgets(ratio)
        firsts = dict.fromkeys(TEAMS, 0)
        spent = dict.fromkeys(TEAMS, 0)
        for team, is_retry in events:
            if is_retry:
                spent[team] += retries.try_consume(budgets, team)
            else:
                firsts[team] += 1
                retries.credit(budgets, team, team_ratio)
            assert spent[team] <= 3.0 + team_ratio * firsts[team] + 1e-6
            assert sum(spent.values()) <= 30.0 + ratio * sum(firsts.values()) + 1e-6

    def test_saved_retries_are_capped(self) -> None:
        """Guards against retries saved over a day being spent in one burst."""
        budgets = RetryBudgets(0.1)
        for _ in range(10_000):
            retries.credit(budgets, TEAMS[0], 0.2)
        assert sum(retries.try_consume(budgets, TEAMS[0]) for _ in range(1000)) <= 11

    def test_budgets_of_teams_are_separate(self) -> None:
        """Guards against the retry storm of one team consuming the retries of all teams."""
        budgets = RetryBudgets(0.1)
        for team in TEAMS:
            retries.credit(budgets, team, 0.2)
        for _ in range(100):
            retries.try_consume(budgets, TEAMS[0])
        assert retries.try_consume(budgets, TEAMS[1])


class TestAdvice:
    @pytest.mark.parametrize("code", list(ResultCode))
    def test_depends_on_run_state_and_idempotency(self, code: ResultCode) -> None:
        """Guards against a booking that is executed twice, and a retry after a final error."""
        run = run_state(code)
        if run is not RunState.NOT_RUN:
            assert retries.advise(code, idempotent=False) is RetryAdvice.NEVER
        if run is RunState.RAN:
            assert retries.advise(code, idempotent=True) is RetryAdvice.NEVER

    def test_lost_upstream(self) -> None:
        """Guards against a lookup failing because its upstream was lost."""
        assert retries.advise(ResultCode.UPSTREAM_LOST, True) is RetryAdvice.ELSEWHERE
        assert retries.advise(ResultCode.UPSTREAM_DRAINING, False) is RetryAdvice.ELSEWHERE
        assert retries.advise(ResultCode.NOT_CONNECTED, False) is RetryAdvice.ANYWHERE

    def test_faulty_request(self) -> None:
        """Guards against a refused request crashing one upstream after another."""
        assert retries.advise(ResultCode.FINGERPRINT_REFUSED, True) is RetryAdvice.NEVER
        assert retries.advise(ResultCode.BAD_FIELD, True) is RetryAdvice.NEVER


class TestBackoff:
    @given(st.integers(0, 10_000), st.integers(0, 99))
    def test_bounds(self, retries_made: int, seed: int) -> None:
        """Guards against a backoff that overflows or exceeds the bound."""
        assert 0.0 <= retries.backoff_s(Random(seed), retries_made) <= 1.0

    def test_spread(self) -> None:
        """Guards against synchronized retries."""
        random = Random(1)
        delays_s = [retries.backoff_s(random, 3) for _ in range(100)]
        # The bound after three retries is eight times the first one of 0.02 s.
        assert min(delays_s) < 0.03 < 0.13 < max(delays_s) <= 0.16
