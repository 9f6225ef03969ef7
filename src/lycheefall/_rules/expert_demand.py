"""Estimate the demand for experts from the monotonic counters of the ranks.

A choice is one selection of an expert by a request, which the counters of a rank count by layer
set and expert.
"""

from collections.abc import Iterable
from math import sqrt

from msgspec import Struct, field

from lycheefall._core.expert_maps import ExpertCounts
from lycheefall._core.ids import GroupId

# Group, rank and start time of the upstream that keeps the counters.
Source = tuple[GroupId, int, int]
Sample = tuple[Source, ExpertCounts]

# Decay of the weight of earlier samples with each new one. A sample covers a few dozen requests,
# so several samples estimate the demand better than the latest one.
_HISTORY_WEIGHT = 0.5
# Below this cosine similarity, the demand of a layer set has shifted to other experts, and a new
# sample replaces the earlier ones.
SHIFT_SIMILARITY = 0.8
# Minimum number of choices in each layer set for a sample to be used.
_MIN_CHOICES = 1_000


class Demand(Struct, eq=False):
    """Estimated demand for the experts of a pool."""

    # Fraction of the choices that falls on each expert, by layer set; empty at first.
    loads: list[list[float]] = field(default_factory=list)
    # Weighted number of choices in one layer set that the loads are based on; older choices have
    # less weight.
    choices: float = 0.0
    # Number of samples that showed a shift of the demand.
    shifts: int = 0
    # The next sample consists of the choices since these counts.
    last_counts: dict[Source, ExpertCounts] = field(default_factory=dict)


def set_baseline(demand: Demand, samples: Iterable[Sample]) -> None:
    """Store counts as the start of the next sample."""
    demand.last_counts.update(samples)


def add_samples(demand: Demand, samples: Iterable[Sample]) -> bool:
    """Add the choices since the last counts; return False if they are too few to be used."""
    totals: list[list[int]] = []
    for source, counts in samples:
        before = demand.last_counts.get(source)
        demand.last_counts[source] = counts
        if before is None or before.epoch != counts.epoch:
            continue
        increments = [
            [max(0, new - old) for new, old in zip(now, then, strict=True)]
            for now, then in zip(counts.counts, before.counts, strict=True)
        ]
        totals = _sum(totals, increments) if totals else increments
    if min(map(sum, totals), default=0) < _MIN_CHOICES:
        return False
    shares = [[value / sum(each) for value in each] for each in totals]
    choices = float(sum(totals[0]))
    history = demand.choices * _HISTORY_WEIGHT
    if demand.loads:
        weight = choices / (choices + history)
        demand.shifts += _is_shift(demand.loads, shares)
        shares = [
            _blended(current, share, weight)
            for current, share in zip(demand.loads, shares, strict=True)
        ]
    demand.loads = shares
    demand.choices = choices + history
    return True


def is_known(demand: Demand) -> bool:
    """Return whether any sample was used."""
    return bool(demand.loads)


def cosine_similarity(one: list[float], other: list[float]) -> float:
    """Return the cosine similarity of two loads, or 0 if one is all zero."""
    product = sum(a * b for a, b in zip(one, other, strict=True))
    lengths = sqrt(sum(a * a for a in one)) * sqrt(sum(b * b for b in other))
    return product / lengths if lengths > 0 else 0.0


def _is_shift(loads: list[list[float]], shares: list[list[float]]) -> bool:
    """Return whether a sample differs from the demand in most layer sets."""
    shifted = [
        cosine_similarity(load, share) < SHIFT_SIMILARITY
        for load, share in zip(loads, shares, strict=True)
    ]
    return 2 * sum(shifted) > len(shifted)


def _sum(one: list[list[int]], other: list[list[int]]) -> list[list[int]]:
    return [
        [a + b for a, b in zip(left, right, strict=True)]
        for left, right in zip(one, other, strict=True)
    ]


def _blended(current: list[float], share: list[float], weight: float) -> list[float]:
    if cosine_similarity(current, share) < SHIFT_SIMILARITY:
        return share
    return [old + weight * (new - old) for old, new in zip(current, share, strict=True)]
