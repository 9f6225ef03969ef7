"""Which experts are in demand, from counts that only grow."""

from collections.abc import Iterable
from math import sqrt

from msgspec import Struct, field

from lycheefall._core.expert_maps import ExpertCounts
from lycheefall._core.ids import GroupId

# Group, rank and start of the upstream that counts.
Source = tuple[GroupId, int, int]
Sample = tuple[Source, ExpertCounts]

# What was counted before a sample keeps this part of its weight beside it. A sample holds the
# work of a few dozen requests, so several of them tell more than the latest one.
_HISTORY_WEIGHT = 0.5
# Below this likeness a set is taken to be in demand for other experts than before.
SHIFT_SIMILARITY = 0.8
# Smaller samples say little.
_MIN_CHOICES = 2_000


class Demand(Struct, eq=False):
    """The part of the choices that falls on each expert, by set."""

    loads: list[list[float]] = field(default_factory=list)
    # Choices of one set that the loads are taken from; older ones count less.
    choices: float = 0.0
    last_counts: dict[Source, ExpertCounts] = field(default_factory=dict)


def set_baseline(demand: Demand, samples: Iterable[Sample]) -> None:
    """Keep counts only as the beginning of the next sample."""
    demand.last_counts.update(samples)


def add_samples(demand: Demand, samples: Iterable[Sample]) -> bool:
    """Take what was chosen since the last counts of the sources; return whether it says enough."""
    totals: list[list[int]] = []
    for source, counts in samples:
        before = demand.last_counts.get(source)
        demand.last_counts[source] = counts
        if before is None or before.epoch != counts.epoch:
            continue
        fresh = [
            [max(0, new - old) for new, old in zip(now, then, strict=True)]
            for now, then in zip(counts.counts, before.counts, strict=True)
        ]
        totals = _sum(totals, fresh) if totals else fresh
    if min(map(sum, totals), default=0) < _MIN_CHOICES:
        return False
    shares = [[value / sum(each) for value in each] for each in totals]
    choices = float(sum(totals[0]))
    history = demand.choices * _HISTORY_WEIGHT
    if demand.loads:
        weight = choices / (choices + history)
        shares = [
            _blended(current, share, weight)
            for current, share in zip(demand.loads, shares, strict=True)
        ]
    demand.loads = shares
    demand.choices = choices + history
    return True


def is_known(demand: Demand) -> bool:
    """Tell whether any sample was taken."""
    return bool(demand.loads)


def cosine_similarity(one: list[float], other: list[float]) -> float:
    """Return the cosine of two loads."""
    product = sum(a * b for a, b in zip(one, other, strict=True))
    lengths = sqrt(sum(a * a for a in one)) * sqrt(sum(b * b for b in other))
    return product / lengths if lengths > 0 else 0.0


def _sum(one: list[list[int]], other: list[list[int]]) -> list[list[int]]:
    return [
        [a + b for a, b in zip(left, right, strict=True)]
        for left, right in zip(one, other, strict=True)
    ]


def _blended(current: list[float], share: list[float], weight: float) -> list[float]:
    if cosine_similarity(current, share) < SHIFT_SIMILARITY:
        return share
    return [old + weight * (new - old) for old, new in zip(current, share, strict=True)]
