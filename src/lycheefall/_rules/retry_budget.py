"""Token bucket for an entry's share of the retries that all entries may make together.

In any window, all entries together may retry `allowance` requests plus a fraction of the requests
sent. The shares of the entries must never add up to more, even while some of them are partitioned,
restart or join. So each entry divides the allowance by the largest number of entries that it has
known in the last minute, and starts with at most one token, because a restarted entry has lost its
count of retries. Half of an entry's allowance is the capacity of its bucket and the other half is
refilled in each window, so that a full bucket and the refill together don't exceed the allowance in
any window.
"""

from msgspec import Struct

# Fraction of the allowance and of the ratio that is used. The remainder covers entries that this
# one doesn't know yet, and a restart within a window.
USED_SHARE = 0.85


class RetryBudget(Struct):
    """Token bucket that refills with time and with requests; one token is one retry."""

    tokens: float = 0.0
    refilled_s: float = float("-inf")


class RetryBounds(Struct, frozen=True):
    """Bounds of the retries of all entries together."""

    # Retries per request sent.
    ratio: float
    window_s: float
    # Retries per window in addition to those of the ratio.
    allowance: float


def refill(budget: RetryBudget, bounds: RetryBounds, entries: int, now_s: float) -> None:
    """Add the tokens for the time since the last call."""
    entry_allowance = bounds.allowance * USED_SHARE / max(1, entries)
    if budget.refilled_s > float("-inf"):
        gained = entry_allowance / 2 * (now_s - budget.refilled_s) / bounds.window_s
        budget.tokens = min(entry_allowance / 2, budget.tokens + gained)
    else:
        budget.tokens = min(1.0, entry_allowance / 2)
    budget.refilled_s = now_s


def credit(budget: RetryBudget, bounds: RetryBounds, entries: int) -> None:
    """Add the tokens for one request."""
    entry_allowance = bounds.allowance * USED_SHARE / max(1, entries)
    budget.tokens = min(entry_allowance / 2, budget.tokens + bounds.ratio * USED_SHARE)


def try_consume(budget: RetryBudget) -> bool:
    """Consume one token, or return False if less than one is left."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
