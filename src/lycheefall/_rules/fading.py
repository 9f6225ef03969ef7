"""Counts that lose their weight with time."""

from math import exp

from msgspec import Struct, field


class Fading(Struct, eq=False):
    """Counts by key; each lasts for about `period_s`."""

    period_s: float
    counts: dict[int, float] = field(default_factory=dict)
    at_s: float = 0.0


def add(fading: Fading, key: int, now_s: float) -> None:
    """Count one."""
    fading.counts = values(fading, now_s)
    fading.at_s = now_s
    fading.counts[key] = fading.counts.get(key, 0.0) + 1.0


def value(fading: Fading, key: int, now_s: float) -> float:
    """Return a count now."""
    return fading.counts.get(key, 0.0) * _weight(fading, now_s)


def values(fading: Fading, now_s: float) -> dict[int, float]:
    """Return all counts now."""
    weight = _weight(fading, now_s)
    return {key: count * weight for key, count in fading.counts.items()}


def _weight(fading: Fading, now_s: float) -> float:
    return exp(-max(0.0, now_s - fading.at_s) / fading.period_s)
