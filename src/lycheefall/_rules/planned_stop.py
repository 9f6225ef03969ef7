"""Decide which requests a stopping entry starts, and when a stopping replica of control ends.

Only a limit that the process enforces itself bounds how long a request takes; the durations of
earlier requests do not.
"""

# Callers use another entry for their next attempt, so they need not wait.
RETRY_AFTER_S = 0.1
# Time for a replica to send the last answers, and to exit before it is killed.
CONTROL_EXIT_MARGIN_S = 0.3


def end_s(deadline_s: float, ends_s: float | None) -> float:
    """Return when a request ends: at its deadline, or earlier with the entry."""
    return deadline_s if ends_s is None else min(deadline_s, ends_s)


def may_start(deadline_s: float, ends_s: float | None) -> bool:
    """Return whether a request has its final answer before the entry ends, if it ends."""
    return ends_s is None or deadline_s <= ends_s


def control_ends_s(stopped_s: float, grace_s: float, longest_call_s: float) -> float:
    """Return when a replica ends at the latest: after the calls in progress, before a kill."""
    last_answer_s = stopped_s + longest_call_s + CONTROL_EXIT_MARGIN_S
    return min(last_answer_s, stopped_s + grace_s - CONTROL_EXIT_MARGIN_S)
