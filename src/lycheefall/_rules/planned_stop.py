"""Decide which requests a stopping entry starts.

Only a limit that the entry enforces itself bounds how long a request takes; the durations of
earlier requests do not.
"""

# Callers use another entry for their next attempt, so they need not wait.
RETRY_AFTER_S = 0.1


def may_start(deadline_s: float, ends_s: float | None) -> bool:
    """Return whether a request has its final answer before the entry ends, if it ends."""
    return ends_s is None or deadline_s <= ends_s
