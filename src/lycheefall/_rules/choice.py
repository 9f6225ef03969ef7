"""Choose an upstream for a request among those that may run it.

Each request has two upstreams of its own, which all entries compute alike: one by the start of its
prompt, whose prefix cache is likely to hold it, and one by its fingerprint, which spreads requests
with a popular prefix. Copies of one request that are sent through several entries then run at two
upstreams at most, so a request that crashes upstreams can't take more. An upstream that is lost
stays among the two until its crash is known, or copies would go on to a third one. The picker
compares the two by load, which keeps the balance of two random choices.
"""

from collections.abc import Iterable

from msgspec import Struct

from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PoolId, UpstreamId
from lycheefall._core.messages.entry import CallerRequest
from lycheefall._rules import rendezvous
from lycheefall._rules.routing import Ask, Picker
from lycheefall._rules.slots import reserved_slots
from lycheefall._rules.upstreams import Table, free_slots


class Wish(Struct, frozen=True, kw_only=True):
    """What limits the choice for one attempt."""

    tried: frozenset[UpstreamId] = frozenset()
    # Upstreams without a connection; they are nobody's own unless they are lost.
    offline: frozenset[UpstreamId] = frozenset()
    # Upstreams that were lost a moment ago; they stay somebody's own.
    lost: frozenset[UpstreamId] = frozenset()
    # A suspect runs at the upstream of its pool that all suspects share.
    alone: bool = False
    # Whether another upstream beside the request's own two may be risked.
    may_widen: bool = True


def choose(
    pick: Picker, table: Table, call: CallerRequest, wish: Wish, now_s: float
) -> UpstreamId | None:
    """Return the upstream for an attempt, or None when none can take it now."""
    subset = frozenset(each.member.upstream for each in table.subset)
    lost = frozenset() if wish.alone else wish.lost
    own = own_upstreams(call, subset - wish.offline | lost, alone=wish.alone)
    blocked = wish.tried | wish.offline
    all_but_own = blocked | subset - own
    if wish.alone:
        return pick(table, Ask(excluded=all_but_own, alone=True), now_s)
    # A cached prompt saves less than the wait for a slot behind long answers.
    scopes = (all_but_own, blocked) if wish.may_widen and not own & lost else (all_but_own,)
    # Less urgent requests leave the slots that agents keep, and after a wait ask for their share.
    free_slot_counts = (call.rank + 1, 1) if wish.may_widen else (call.rank + 1,)
    asks = [Ask(excluded=scope, free_slots=need) for need in free_slot_counts for scope in scopes]
    # What is left has recent errors, or no free slot; an agent would refuse a chat there.
    full = _full_upstreams(table, call) if call.route.kind is RouteKind.CHAT else frozenset()
    asks += [Ask(excluded=scope | full) for scope in scopes]
    return next((found for ask in asks if (found := pick(table, ask, now_s))), None)


def _full_upstreams(table: Table, call: CallerRequest) -> frozenset[UpstreamId]:
    return frozenset(
        each.member.upstream
        for each in table.subset
        if free_slots(each) <= reserved_slots(call.rank, each.member.concurrency)
    )


def own_upstreams(
    call: CallerRequest, names: Iterable[UpstreamId], *, alone: bool
) -> frozenset[UpstreamId]:
    """Return the upstreams that a request belongs to."""
    names = list(names)
    if alone:
        return frozenset(rendezvous.highest(isolation_key(call.route.pools[0]), names, 1))
    if not call.prefix:
        return frozenset(rendezvous.highest(call.fingerprint, names, 2))
    by_prefix = rendezvous.highest(f"prefix/{call.prefix}", names, 1)
    others = [name for name in names if name not in by_prefix]
    return frozenset([*by_prefix, *rendezvous.highest(call.fingerprint, others, 1)])


def isolation_key(pool: PoolId) -> str:
    """Return the key by which a pool's upstream for suspects is chosen."""
    return f"isolation/{pool}"
