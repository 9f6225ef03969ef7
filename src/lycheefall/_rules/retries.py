"""Retry policy: which outcomes may be retried, with which backoff and within which budget.

Budgets as a ratio of first attempts: "Site Reliability Engineering" (B. Beyer and others, 2016),
chapter 21. Full jitter: M. Brooker, "Exponential Backoff And Jitter", 2015.
"""

from enum import Enum
from random import Random

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.enums import RunState
from lycheefall._core.ids import TeamId

# Retries in a new budget, before any first attempt has added to it.
_INITIAL_RETRIES = 3.0
_INITIAL_RETRIES_IN_TOTAL = 30.0
# Capacity of a budget in retries. Retries saved in hours of low load must not feed a retry storm.
_MAX_SAVED = 10.0
_MAX_SAVED_IN_TOTAL = 100.0
_BACKOFF_S = 0.02
_MAX_BACKOFF_S = 1.0


class RetryAdvice(Enum):
    """Whether and at which upstreams a request may be retried."""

    NEVER = "never"
    # At any upstream, including the same one, after a backoff.
    ANYWHERE = "anywhere"
    # Only at upstreams that were not tried yet.
    ELSEWHERE = "elsewhere"


# Outcomes that every other upstream would repeat, or that the caller caused.
_FINAL_CODES = frozenset(
    (
        ResultCode.OVERLOADED,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.FINGERPRINT_REFUSED,
        ResultCode.EXPIRED_BEFORE_START,
        ResultCode.CANCELLED_BEFORE_START,
        ResultCode.CANCELLED_AFTER_START,
        ResultCode.DUPLICATE_ATTEMPT,
    )
)
# Transient refusals, after which the same upstream may be used again.
_TRANSIENT_CODES = frozenset((ResultCode.NOT_CONNECTED, ResultCode.WRONG_INCARNATION))
# Only codes in this range report refusals and faults of the system and its upstreams. Lower codes
# are answers and faulty requests; higher ones belong to files, processes and control commands.
_FIRST_SYSTEM_CODE = 3000
_FIRST_FILE_CODE = 5000


class Budget:
    """Token bucket that first attempts fill and retries drain."""

    __slots__ = ("tokens",)

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens


class RetryBudgets:
    """Budgets of all teams, and one for their total."""

    __slots__ = ("max_saved", "ratio", "teams", "total")

    def __init__(self, ratio: float, max_saved: float = _MAX_SAVED_IN_TOTAL) -> None:
        self.ratio = ratio
        self.max_saved = max_saved
        self.total = Budget(min(max_saved, _INITIAL_RETRIES_IN_TOTAL))
        self.teams: dict[TeamId, Budget] = {}


def credit(budgets: RetryBudgets, team: TeamId, team_ratio: float) -> RetryBudgets:
    """Count a first attempt, which adds a fraction of a retry to the budgets."""
    own = budgets.teams.get(team)
    if own is None:
        own = budgets.teams[team] = Budget(_INITIAL_RETRIES)
    own.tokens = min(_MAX_SAVED, own.tokens + team_ratio)
    total = budgets.total
    total.tokens = min(budgets.max_saved, total.tokens + budgets.ratio)
    return budgets


def try_consume(budgets: RetryBudgets, team: TeamId) -> bool:
    """Take one retry or hedge from both budgets; return False and take none if either is empty."""
    own = budgets.teams.get(team)
    if own is None or own.tokens < 1.0 or budgets.total.tokens < 1.0:
        return False
    own.tokens -= 1.0
    budgets.total.tokens -= 1.0
    return True


def advise(code: ResultCode, idempotent: bool) -> RetryAdvice:
    """Return whether and where a request that ended with this code may be retried.

    An operation that is not idempotent may be retried only when it is proven not to have run.
    """
    if code in _FINAL_CODES or not _FIRST_SYSTEM_CODE <= code < _FIRST_FILE_CODE:
        return RetryAdvice.NEVER
    run = run_state(code)
    if run is RunState.RAN or (run is RunState.UNKNOWN and not idempotent):
        return RetryAdvice.NEVER
    return RetryAdvice.ANYWHERE if code in _TRANSIENT_CODES else RetryAdvice.ELSEWHERE


def backoff_s(random: Random, retries_made: int) -> float:
    """Return the random delay before the next retry in seconds; its bound doubles per retry."""
    return random.random() * min(_MAX_BACKOFF_S, _BACKOFF_S * 2.0 ** min(retries_made, 16))
