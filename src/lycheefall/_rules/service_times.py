"""Estimate how long the requests of a route take, to decide which ones a stopping entry accepts."""

from collections import deque

from msgspec import Struct, field

from lycheefall._core.ids import RouteId

# Latest durations of each route that count, and the fraction of them that the estimate covers.
SAMPLES = 64
COVERED_RATIO = 0.95


class ServiceTimes(Struct, eq=False):
    """Recent durations of attempts that were answered, by route."""

    recent_s: dict[RouteId, deque[float]] = field(default_factory=dict)


def record(times: ServiceTimes, route: RouteId, took_s: float) -> None:
    """Record how long an upstream took to answer completely."""
    times.recent_s.setdefault(route, deque(maxlen=SAMPLES)).append(took_s)


def expected_s(times: ServiceTimes, route: RouteId) -> float | None:
    """Return a time in which most requests of a route are answered, or None if it is unknown."""
    recent_s = times.recent_s.get(route)
    if not recent_s:
        return None
    ordered = sorted(recent_s)
    return ordered[min(len(ordered) - 1, int(COVERED_RATIO * len(ordered)))]


def fits(expected: float | None, left_s: float, deadline_s: float, *, is_repeatable: bool) -> bool:
    """Return whether a request should start when its entry has this much time left.

    If nothing is known of its route, a request that may not be repeated starts only if its own
    deadline is earlier: cut off, it would be lost, while a refusal can be repeated elsewhere.
    """
    if expected is not None:
        return min(expected, deadline_s) <= left_s
    return is_repeatable or deadline_s <= left_s
