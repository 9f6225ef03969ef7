"""Estimate when the demand for experts will shift next, from the shifts seen so far."""

from msgspec import Struct

# Time between two shifts until some were seen.
_INITIAL_INTERVAL_S = 5.0
# Weight of a new interval; demand may shift irregularly.
_INTERVAL_WEIGHT = 0.3
# Longest interval that counts: later, maps do not wait for the next shift.
_MAX_INTERVAL_S = 30.0
# Least expected time until the next shift, as a fraction of the interval: it may be overdue.
_MIN_REMAINING_RATIO = 0.25


class ShiftTimes(Struct, eq=False):
    """Mean time between two shifts, and the time of the last one."""

    # None before the second shift.
    interval_s: float | None = None
    # None before the first shift.
    last_s: float | None = None


def record_shift(times: ShiftTimes, now_s: float) -> None:
    """Record that demand has shifted."""
    if times.last_s is not None:
        observed_s = min(_MAX_INTERVAL_S, now_s - times.last_s)
        mean_s = observed_s if times.interval_s is None else times.interval_s
        times.interval_s = mean_s + _INTERVAL_WEIGHT * (observed_s - mean_s)
    times.last_s = now_s


def remaining_s(times: ShiftTimes, now_s: float) -> float:
    """Return the expected time until demand shifts again."""
    elapsed_s = 0.0 if times.last_s is None else now_s - times.last_s
    # An interval that is longer than the mean is a sign of rarer shifts.
    mean_s = _INITIAL_INTERVAL_S if times.interval_s is None else times.interval_s
    interval_s = max(mean_s, min(_MAX_INTERVAL_S, elapsed_s))
    return max(_MIN_REMAINING_RATIO * interval_s, interval_s - elapsed_s)
