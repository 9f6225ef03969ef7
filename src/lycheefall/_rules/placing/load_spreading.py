"""Spread requests evenly over the upstreams of a pool that many entries use.

Entries learn each other's requests some tenths of a second late, so entries that all select the
least loaded upstream overrun it. An entry first uses the upstreams that it or its neighbours own,
which few entries compete for. While all of these are full, it uses slots that it has drawn at the
other upstreams. It draws with each report of loads. While free slots are scarce, each entry draws
its part of them on average, so all entries together draw about as many as there are.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

from msgspec import Struct

from lycheefall._core.ids import DataCentreId, UpstreamId
from lycheefall._rules.dispatch_messages import DispatchRequest
from lycheefall._rules.placing.upstream_ownership import NEIGHBOURS
from lycheefall._rules.placing.upstream_selection import (
    UpstreamStats,
    failure_ratio,
    is_usable,
    load_of,
    slowness,
)

# Cost, in full batches, of an upstream that always fails.
_FAILURE_COST = 3.0
# Cost of an upstream in another data centre: traffic between data centres is billed.
_REMOTE_COST = 0.04
# Cost of an upstream owned by another entry, which knows its load more accurately.
_NON_OWNED_COST = 0.1
# Cost of each request in prefill: an upstream prefills its prompts one after the other, and
# several upstreams do so in parallel.
_PREFILL_COST = 0.25
# An entry with this many near upstreams draws no slots: at least one of them nearly always has room
# while any upstream of the pool has.
_ENOUGH_NEAR_UPSTREAMS = 6
# Parts of the free slots that an entry draws if the pool has a slot for each entry. Most entries
# have no request before the next report, and those that have one need more than their part.
_MAX_DRAWN_PARTS = 3.0
# Random distant upstreams that are compared; see M. Mitzenmacher, "The Power of Two Choices in
# Randomized Load Balancing", 2001.
_RANDOM_CHOICES = 2

# Returns the concurrency limit of an upstream.
LimitOf = Callable[[UpstreamStats], int]


class _Candidate(Struct, frozen=True):
    """An upstream with free slots."""

    stats: UpstreamStats
    # Free slots, less for an upstream that fails or is slow.
    room: float


class PlacementCost(Struct, frozen=True):
    """Cost of placing one more request on an upstream, by part, in full batches."""

    load: float
    remote: float
    non_owned: float
    prefill: float
    cold: float
    failure: float


class Comparison(Struct, frozen=True):
    """How a choice came about; each list holds what is left of the one before."""

    untried: Sequence[UpstreamStats]
    usable: Sequence[UpstreamStats]
    free: Sequence[UpstreamStats]
    compared: Sequence[UpstreamStats]
    chosen: UpstreamStats | None


# Receives each attempt to place a request: the request, its eligible upstreams and the choice.
Observe = Callable[[DispatchRequest, Sequence[UpstreamStats], Comparison], None]


def draw_slots(
    upstreams: Iterable[UpstreamStats], limit_of: LimitOf, entries: int, random: Random
) -> None:
    """Draw the slots of distant upstreams that this entry may use until the next report.

    Each entry draws its part of the free slots on average, or more while there are more of them
    than entries. The part of a slot that remains is rounded up or down at random.
    """
    known = list(upstreams)
    has_enough = sum(map(is_neighbour, known)) >= _ENOUGH_NEAR_UPSTREAMS
    free = [(stats, max(0, limit_of(stats) - load_of(stats))) for stats in known]
    free_per_entry = sum(slots for _, slots in free) / entries
    part = min(_MAX_DRAWN_PARTS, max(1.0, _MAX_DRAWN_PARTS * free_per_entry)) / entries
    for stats, slots in free:
        stats.drawn_slots = 0 if has_enough else int(slots * part + random.random())


def choose(
    upstreams: Iterable[UpstreamStats],
    limit_of: LimitOf,
    tried: Collection[UpstreamId],
    data_centre: DataCentreId,
    now_s: float,
    random: Random,
) -> UpstreamStats | None:
    """Return an upstream with a free slot, or None; see `compare`."""
    return compare(upstreams, limit_of, tried, data_centre, now_s, random).chosen


def compare(
    upstreams: Iterable[UpstreamStats],
    limit_of: LimitOf,
    tried: Collection[UpstreamId],
    data_centre: DataCentreId,
    now_s: float,
    random: Random,
) -> Comparison:
    """Choose an upstream with a free slot, and return what was compared.

    `limit_of` returns the concurrency limit of an upstream. Suspended upstreams and those of broken
    groups are used only if there is no other. All distant upstreams may be used for a retry, or if
    no upstream of this entry or its neighbours is usable.
    """
    untried = [stats for stats in upstreams if stats.record.upstream not in tried]
    usable = [stats for stats in untried if is_usable(stats, now_s)] or untried
    free = [stats for stats in usable if load_of(stats) < limit_of(stats)]
    compared: Sequence[UpstreamStats] = [stats for stats in free if is_neighbour(stats)]
    if not compared:
        may_use_all = bool(tried) or not any(map(is_neighbour, usable))
        distant = [
            _Candidate(stats, _room(stats, limit_of(stats), now_s))
            for stats in free
            if may_use_all or stats.drawn_slots > 0
        ]
        compared = _draw(distant, random)
    chosen = min(
        compared,
        # The random addend breaks ties between upstreams of equal cost.
        key=lambda stats: total(cost_of(stats, data_centre, now_s)) + random.random() * 1e-3,
        default=None,
    )
    return Comparison(untried, usable, free, compared, chosen)


def is_neighbour(stats: UpstreamStats) -> bool:
    """Return whether this entry or one of its neighbours owns the upstream."""
    return stats.owner_distance <= NEIGHBOURS


def _draw(candidates: Sequence[_Candidate], random: Random) -> Sequence[UpstreamStats]:
    """Draw random candidates, those with more room more often."""
    if not candidates:
        return ()
    weights = [each.room**2 for each in candidates]
    drawn = random.choices(candidates, weights, k=_RANDOM_CHOICES)
    return [each.stats for each in drawn]


def _room(stats: UpstreamStats, limit: int, now_s: float) -> float:
    sound_ratio = 1.0 - failure_ratio(stats, now_s)
    return max(1e-3, (limit - load_of(stats)) * sound_ratio / max(1.0, slowness(stats, now_s)))


def cost_of(stats: UpstreamStats, data_centre: DataCentreId, now_s: float) -> PlacementCost:
    """Return the cost of placing one more request on an upstream."""
    return PlacementCost(
        load=(load_of(stats) + 1) / max(1, stats.record.slots) * slowness(stats, now_s),
        remote=0.0 if stats.record.data_centre == data_centre else _REMOTE_COST,
        non_owned=_NON_OWNED_COST * min(stats.owner_distance, NEIGHBOURS),
        prefill=_PREFILL_COST * stats.unanswered,
        # Each second until an upstream is warm costs as much as a full batch, up to one batch.
        cold=min(1.0, stats.record.cold_s),
        failure=_FAILURE_COST * failure_ratio(stats, now_s),
    )


def total(cost: PlacementCost) -> float:
    """Return the sum of the parts."""
    return cost.load + cost.remote + cost.non_owned + cost.prefill + cost.cold + cost.failure
