"""Choose an upstream for each attempt of a request.

Each request has two own upstreams, which all entries compute identically by rendezvous hashing:
one from the start of its prompt, whose prefix cache is likely to contain it, and one from its
fingerprint, which spreads requests with a popular prefix. Copies of one request that arrive
through several entries then run at no more than two upstreams, so a request that crashes upstreams
takes down no more than these two. A lost upstream stays one of the two until its crash is
confirmed; otherwise copies would be sent to a third upstream. The picker compares the two by load,
which balances as well as two random choices.
"""

from collections.abc import Iterable

from msgspec import Struct

from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PoolId, UpstreamId
from lycheefall._core.messages.entry import CallerRequest
from lycheefall._rules import rendezvous
from lycheefall._rules.placing.routing import PickCriteria, Picker
from lycheefall._rules.placing.slots import reserved_slots
from lycheefall._rules.placing.upstreams import UpstreamTable, free_slots


class ChoiceConstraints(Struct, frozen=True, kw_only=True):
    """Constraints on the choice for one attempt."""

    tried: frozenset[UpstreamId] = frozenset()
    # Upstreams without a connection; only those that are also in `lost` can be own upstreams.
    offline: frozenset[UpstreamId] = frozenset()
    # Upstreams that were lost recently; they remain own upstreams of their requests.
    lost: frozenset[UpstreamId] = frozenset()
    # The request is suspected of crashing upstreams; all suspects of a pool share one upstream.
    isolated: bool = False
    # Whether upstreams other than the request's own two may be used.
    may_use_other_upstreams: bool = True


def choose(
    pick: Picker,
    table: UpstreamTable,
    caller_request: CallerRequest,
    constraints: ChoiceConstraints,
    now_s: float,
) -> UpstreamId | None:
    """Return the upstream for an attempt, or None when no upstream can accept it now."""
    subset = frozenset(each.member.upstream for each in table.subset)
    lost = frozenset() if constraints.isolated else constraints.lost
    own = own_upstreams(
        caller_request, subset - constraints.offline | lost, isolated=constraints.isolated
    )
    unavailable = constraints.tried | constraints.offline
    all_but_own = unavailable | subset - own
    if constraints.isolated:
        return pick(table, PickCriteria(excluded=all_but_own, isolated=True), now_s)
    # A prefix cache hit saves less time than waiting for a slot behind long answers costs.
    scopes = (
        (all_but_own, unavailable)
        if constraints.may_use_other_upstreams and not own & lost
        else (all_but_own,)
    )
    # Less urgent requests first respect the slots that agents reserve; once they have waited, they
    # also try any free slot, which the share of their priority may allow them.
    free_slot_counts = (
        (caller_request.rank + 1, 1)
        if constraints.may_use_other_upstreams
        else (caller_request.rank + 1,)
    )
    queries = [
        PickCriteria(excluded=scope, free_slots=free_slot_count)
        for free_slot_count in free_slot_counts
        for scope in scopes
    ]
    # The remaining upstreams have recent errors or no free slot. An agent without a free slot
    # refuses a chat, so full upstreams are excluded for chats.
    full = (
        _full_upstreams(table, caller_request)
        if caller_request.route.kind is RouteKind.CHAT
        else frozenset()
    )
    queries += [PickCriteria(excluded=scope | full) for scope in scopes]
    return next((found for criteria in queries if (found := pick(table, criteria, now_s))), None)


def _full_upstreams(table: UpstreamTable, caller_request: CallerRequest) -> frozenset[UpstreamId]:
    return frozenset(
        each.member.upstream
        for each in table.subset
        if free_slots(each) <= reserved_slots(caller_request.rank, each.member.concurrency)
    )


def own_upstreams(
    caller_request: CallerRequest, names: Iterable[UpstreamId], *, isolated: bool
) -> frozenset[UpstreamId]:
    """Return the own upstreams of a request among the given names."""
    names = list(names)
    if isolated:
        return frozenset(rendezvous.highest(isolation_key(caller_request.route.pools[0]), names, 1))
    if not caller_request.prefix:
        return frozenset(rendezvous.highest(caller_request.fingerprint, names, 2))
    by_prefix = rendezvous.highest(f"prefix/{caller_request.prefix}", names, 1)
    others = [name for name in names if name not in by_prefix]
    return frozenset([*by_prefix, *rendezvous.highest(caller_request.fingerprint, others, 1)])


def isolation_key(pool: PoolId) -> str:
    """Return the hash key that selects the upstream of a pool for suspect requests."""
    return f"isolation/{pool}"
