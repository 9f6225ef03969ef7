"""Counts with exponential decay."""

from collections.abc import Hashable
from math import exp
from typing import Generic, TypeVar

from msgspec import Struct, field

K = TypeVar("K", bound=Hashable)


class DecayingCounts(Struct, Generic[K], eq=False):
    """Counts by key; they decay by a factor of e in `time_constant_s`."""

    time_constant_s: float
    counts: dict[K, float] = field(default_factory=dict)
    updated_s: float = 0.0


def add(fading: DecayingCounts[K], key: K, now_s: float) -> None:
    """Add one to the count of a key."""
    fading.counts = values(fading, now_s)
    fading.updated_s = now_s
    fading.counts[key] = fading.counts.get(key, 0.0) + 1.0


def value(fading: DecayingCounts[K], key: K, now_s: float) -> float:
    """Return the decayed count of a key."""
    return fading.counts.get(key, 0.0) * _weight(fading, now_s)


def values(fading: DecayingCounts[K], now_s: float) -> dict[K, float]:
    """Return all decayed counts."""
    weight = _weight(fading, now_s)
    return {key: count * weight for key, count in fading.counts.items()}


def _weight(fading: DecayingCounts[K], now_s: float) -> float:
    return exp(-max(0.0, now_s - fading.updated_s) / fading.time_constant_s)
