"""Pickers: load balancing algorithms that select an upstream for a request.

`weighted_two_choices` compares two random upstreams (M. Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001) by expected delay, which is the product of load and recent delay.
The other pickers are baselines for comparison.
"""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.ids import UpstreamId
from lycheefall._rules import limits
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.prefix_cache import longest_match
from lycheefall._rules.placing.slots import reserved_slots
from lycheefall._rules.placing.upstreams import Upstream, UpstreamTable

# Number of remaining tokens that counts as one request.
_TOKENS_PER_REQUEST = 512.0
# A recent error adds as much load as a full upstream.
_LOAD_PER_ERROR = 1.0
# An upstream with at least this many recent errors is used only when all others are full.
_TOLERATED_ERRORS = 0.5
# A fully cached prompt reduces the expected delay by at most this ratio, so that a popular prefix
# can't concentrate all requests at one upstream.
_PREFIX_GAIN_RATIO = 0.4


class PickCriteria(Struct, frozen=True, kw_only=True):
    """Properties of a request that a picker uses."""

    # Hashes of the prompt's prefixes, the shortest first.
    prefixes: tuple[int, ...] = ()
    # Upstreams that must not be picked, such as those already tried.
    excluded: frozenset[UpstreamId] = frozenset()
    # The request is suspected of crashing upstreams; picks the upstream with the fewest requests.
    isolated: bool = False
    # Minimum number of free slots, capped at one more than the upstream reserves.
    free_slots: int = 0


Picker = Callable[[UpstreamTable, PickCriteria, float], UpstreamId | None]


def candidates(table: UpstreamTable, criteria: PickCriteria, now_s: float) -> list[Upstream]:
    """Return the upstreams that may receive the request now."""
    excluded = criteria.excluded
    return [
        each
        for each in table.subset
        if upstreams.in_flight(each) < limits.max_in_flight(each.limit)
        and upstreams.is_live(each, now_s)
        and each.member.upstream not in excluded
    ]


def random_choice() -> Picker:
    """Return a picker that selects a random upstream."""

    def pick(table: UpstreamTable, criteria: PickCriteria, now_s: float) -> UpstreamId | None:
        found = candidates(table, criteria, now_s)
        return table.random.choice(found).member.upstream if found else None

    return pick


def least_requests() -> Picker:
    """Return a picker that selects the upstream with the fewest attempts of this entry."""

    def pick(table: UpstreamTable, criteria: PickCriteria, now_s: float) -> UpstreamId | None:
        found = candidates(table, criteria, now_s)
        if not found:
            return None
        return min(found, key=lambda each: len(each.attempts)).member.upstream

    return pick


def two_choices() -> Picker:
    """Return a picker that selects the one of two random upstreams with fewer attempts."""

    def pick(table: UpstreamTable, criteria: PickCriteria, now_s: float) -> UpstreamId | None:
        found = candidates(table, criteria, now_s)
        if not found:
            return None
        first, second = _two_random(table, found)
        fewer = first if len(first.attempts) <= len(second.attempts) else second
        return fewer.member.upstream

    return pick


def weighted_two_choices() -> Picker:
    """Return the default picker: two choices by expected delay, with prefix cache affinity."""

    def pick(table: UpstreamTable, criteria: PickCriteria, now_s: float) -> UpstreamId | None:
        found = candidates(table, criteria, now_s)
        found = [each for each in found if not upstreams.is_failing(each, now_s)]
        if criteria.free_slots:
            found = [each for each in found if _has_free_slots(each, criteria.free_slots, now_s)]
        if not found:
            return None
        if criteria.isolated:
            return min(found, key=upstreams.requests_at).member.upstream
        first, second = _two_random(table, found)
        best, best_cost = first, expected_cost(table, first, now_s)
        cost = expected_cost(table, second, now_s)
        if cost < best_cost:
            best, best_cost = second, cost
        holder = _best_holder(table, criteria, found, best_cost, now_s)
        return (holder or best).member.upstream

    return pick


def _has_free_slots(upstream: Upstream, slots: int, now_s: float) -> bool:
    """Return whether an upstream has enough free slots, and few recent errors.

    An upstream that fails immediately always has free slots.
    """
    if upstreams.recent_errors(upstream, now_s) >= _TOLERATED_ERRORS:
        return False
    return upstreams.free_slots(upstream) > reserved_slots(slots - 1, upstream.member.concurrency)


def expected_cost(table: UpstreamTable, upstream: Upstream, now_s: float) -> float:
    """Return the relative expected delay at an upstream, without a unit."""
    tokens = upstream.member.load.queue_tokens + upstream.unreported_tokens
    requests = upstreams.requests_at(upstream) + tokens / _TOKENS_PER_REQUEST
    load = requests / max(1, upstream.member.concurrency)
    load += _LOAD_PER_ERROR * upstreams.recent_errors(upstream, now_s)
    return (1.0 + load) * (upstreams.delay_s(table, upstream, now_s) or 1.0)


def _best_holder(
    table: UpstreamTable,
    criteria: PickCriteria,
    found: list[Upstream],
    best_cost: float,
    now_s: float,
) -> Upstream | None:
    """Return the upstream that caches most of the prompt if it costs less than best_cost."""
    holders, matched_ratio = longest_match(table.hints, criteria.prefixes)
    if not holders:
        return None
    best: Upstream | None = None
    for each in found:
        if each.member.upstream in holders:
            cost = expected_cost(table, each, now_s) * (1.0 - _PREFIX_GAIN_RATIO * matched_ratio)
            if cost < best_cost:
                best, best_cost = each, cost
    return best


def _two_random(table: UpstreamTable, found: list[Upstream]) -> tuple[Upstream, Upstream]:
    count = len(found)
    first = int(table.random.random() * count)
    if count == 1:
        return found[0], found[0]
    # The offset is never 0, so the two differ.
    second = (first + 1 + int(table.random.random() * (count - 1))) % count
    return found[first], found[second]
