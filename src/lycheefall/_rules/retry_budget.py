"""An entry's part of the retries that all entries may make together.

The whole system may send, in any window, `allowance` requests plus a part of the requests more
than once. The parts of all entries must never add up to more, also while some of them are cut
off, start again or join. So each entry uses its part of the allowance for the number of entries
that it knows, and starts with nothing saved: an entry that restarts has forgotten what it spent.
"""

from msgspec import Struct

# The rest is left for entries that this one doesn't know yet, and for a restart within a window.
USED_SHARE = 0.85


class RetryBudget(Struct):
    """Retries that are left, as a bucket that fills with time and with requests."""

    tokens: float = 0.0
    filled_s: float = float("-inf")


class RetryBounds(Struct, frozen=True):
    """What the system may send more than once."""

    ratio: float
    window_s: float
    allowance: float


def refill(budget: RetryBudget, bounds: RetryBounds, entries: int, now_s: float) -> None:
    """Add what the time since the last call earned."""
    part = bounds.allowance * USED_SHARE / max(1, entries)
    if budget.filled_s > float("-inf"):
        earned = part / 2 * (now_s - budget.filled_s) / bounds.window_s
        budget.tokens = min(part / 2, budget.tokens + earned)
    else:
        budget.tokens = min(1.0, part / 2)
    budget.filled_s = now_s


def credit(budget: RetryBudget, bounds: RetryBounds, entries: int) -> None:
    """Add what one request earns."""
    part = bounds.allowance * USED_SHARE / max(1, entries)
    budget.tokens = min(part / 2, budget.tokens + bounds.ratio * USED_SHARE)


def try_consume(budget: RetryBudget) -> bool:
    """Take one retry, or return False."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
