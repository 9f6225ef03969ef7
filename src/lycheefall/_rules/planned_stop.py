"""Decide which requests a stopping entry starts.

Only a limit that the entry enforces itself bounds how long a request takes; the durations of
earlier requests do not.
"""

# Callers use another entry for their next attempt, so they need not wait.
RETRY_AFTER_S = 0.1


def end_s(deadline_s: float, ends_s: float | None) -> float:
    """Return when a request ends: at its deadline, or earlier with the entry."""
    return deadline_s if ends_s is None else min(deadline_s, ends_s)


def may_start(deadline_s: float, ends_s: float | None) -> bool:
    """Return whether a request has its final answer before the entry ends, if it ends."""
    return ends_s is None or deadline_s <= ends_s
