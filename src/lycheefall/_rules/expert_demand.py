"""Which experts are in demand, from counts that only grow."""

from math import sqrt

from msgspec import Struct, field

from lycheefall._core.expert_maps import ExpertCounts
from lycheefall._core.ids import GroupId

# Group, rank and start of the upstream that counts.
Source = tuple[GroupId, int, int]

# Weight of a new sample beside those before it; one sample holds the work of a few requests.
SAMPLE_WEIGHT = 0.3
# Below this likeness a set is taken to be in demand for other experts than before.
SHIFT_LIKENESS = 0.8
# Smaller samples say little.
_LEAST_CHOICES = 2_000


class Demand(Struct, eq=False):
    """The part of the choices that falls on each expert, by set."""

    loads: list[list[float]] = field(default_factory=list)
    counted: dict[Source, ExpertCounts] = field(default_factory=dict)


def take(demand: Demand, source: Source, counts: ExpertCounts) -> bool:
    """Take what was chosen since the last counts of a source; return whether it says enough."""
    before = demand.counted.get(source)
    demand.counted[source] = counts
    if before is None or before.epoch != counts.epoch:
        return True
    fresh = [
        [max(0, new - old) for new, old in zip(now, then, strict=True)]
        for now, then in zip(counts.counts, before.counts, strict=True)
    ]
    if min(map(sum, fresh), default=0) < _LEAST_CHOICES:
        return False
    shares = [[value / sum(each) for value in each] for each in fresh]
    if not demand.loads:
        demand.loads = shares
        return True
    demand.loads = [_blended(held, share) for held, share in zip(demand.loads, shares, strict=True)]
    return True


def is_known(demand: Demand) -> bool:
    """Tell whether any sample was taken."""
    return bool(demand.loads)


def likeness(one: list[float], other: list[float]) -> float:
    """Return the cosine of two loads."""
    product = sum(a * b for a, b in zip(one, other, strict=True))
    lengths = sqrt(sum(a * a for a in one)) * sqrt(sum(b * b for b in other))
    return product / lengths if lengths > 0 else 0.0


def _blended(held: list[float], share: list[float]) -> list[float]:
    if likeness(held, share) < SHIFT_LIKENESS:
        return share
    return [old + SAMPLE_WEIGHT * (new - old) for old, new in zip(held, share, strict=True)]
