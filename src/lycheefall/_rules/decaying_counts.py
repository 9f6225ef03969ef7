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


def add(counter: DecayingCounts[K], key: K, now_s: float) -> None:
    """Add one to the count of a key."""
    counter.counts = values(counter, now_s)
    counter.updated_s = now_s
    counter.counts[key] = counter.counts.get(key, 0.0) + 1.0


def scale(counter: DecayingCounts[K], factor: float) -> None:
    """Multiply all counts by a factor."""
    counter.counts = {key: count * factor for key, count in counter.counts.items()}


def value(counter: DecayingCounts[K], key: K, now_s: float) -> float:
    """Return the decayed count of a key."""
    return counter.counts.get(key, 0.0) * _weight(counter, now_s)


def values(counter: DecayingCounts[K], now_s: float) -> dict[K, float]:
    """Return all decayed counts."""
    weight = _weight(counter, now_s)
    return {key: count * weight for key, count in counter.counts.items()}


def _weight(counter: DecayingCounts[K], now_s: float) -> float:
    return exp(-max(0.0, now_s - counter.updated_s) / counter.time_constant_s)
