"""Table of a pool's upstreams: what they report and what this entry has sent since."""

from collections import deque
from math import ceil, exp
from random import Random

from msgspec.structs import replace

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import AttemptNumber, Incarnation, InstanceId, RequestId, UpstreamId
from lycheefall._core.messages.dispatch import Occupancy
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import limits, rendezvous
from lycheefall._rules.limits import UpstreamLimit
from lycheefall._rules.prefix_cache import CacheEvents, CacheHints, drop_upstream, observe

# Heartbeats come four times a second.
SILENT_AFTER_S = 1.0
STALE_AFTER_S = 5.0
_SUBSET_ABOVE = 32
_SUBSET_SIZE = 20
_OUTCOMES_WINDOW_S = 5.0
# An upstream that fails at once always has free slots, so a low weight alone doesn't protect the
# requests that find all others full.
_MAX_RECENT_ERRORS = 2.5
_DELAY_WEIGHT = 0.25
_POOL_DELAY_WEIGHT = 0.02
# A measured delay loses its force in this time. The upstream then counts as a little faster than
# the pool, so that an avoided one is tried again.
_DELAY_WINDOW_S = 10.0
_UNMEASURED_DELAY_RATIO = 0.8

AttemptKey = tuple[RequestId, AttemptNumber]


class InFlightAttempt:
    """An attempt in flight."""

    __slots__ = ("at_s", "has_begun", "is_pending", "tokens")

    def __init__(self, at_s: float, tokens: float, is_pending: bool) -> None:
        self.at_s = at_s
        self.tokens = tokens
        self.has_begun = False
        # Waits for its claim and is not at the upstream yet.
        self.is_pending = is_pending


class Upstream:
    """One upstream as this entry sees it."""

    __slots__ = (
        "answers",
        "attempts",
        "delay_at_s",
        "delay_s",
        "ended",
        "errors",
        "limit",
        "measured_s",
        "member",
        "others",
        "outcomes_at_s",
        "pending",
        "reported_ended",
        "seen_s",
        "sequence",
        "unreported",
        "unreported_tokens",
    )

    def __init__(self, member: UpstreamMember, now_s: float) -> None:
        self.member = member
        self.limit = UpstreamLimit(member.concurrency)
        self.attempts: dict[AttemptKey, InFlightAttempt] = {}
        # When the last report was measured, on this entry's clock.
        self.measured_s = float("-inf")
        self.seen_s = now_s
        # Attempts of others by the agent's own count, which has no lag; None before it is heard.
        self.others: int | None = None
        # Sequence of the last announcement.
        self.sequence = 0
        # Attempts that wait for their claim.
        self.pending = 0
        # Attempts in flight that the last report doesn't contain.
        self.unreported = 0
        self.unreported_tokens = 0.0
        # Times sent and ended of the attempts that ended after the last report was measured; the
        # next report may be measured between the two and contain them.
        self.ended: deque[tuple[float, float]] = deque()
        # Those among them that the last report contains.
        self.reported_ended = 0
        # Recent outcomes, which lose weight with time.
        self.errors = 0.0
        self.answers = 0.0
        self.outcomes_at_s = now_s
        self.delay_s = 0.0
        self.delay_at_s = now_s


class Table:
    """Upstreams of one pool, the part of them that this entry uses, and the picker's state."""

    __slots__ = (
        "delay_s",
        "entries",
        "hints",
        "instance",
        "random",
        "subset",
        "upstreams",
    )

    def __init__(self, instance: InstanceId, entries: int, seed: int) -> None:
        self.instance = instance
        self.entries = entries
        self.random = Random(seed)
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.subset: list[Upstream] = []
        self.hints = CacheHints()
        # Recent delay to the first token over all upstreams.
        self.delay_s = 0.0


def announce(table: Table, member: UpstreamMember, sequence: int, now_s: float) -> Table:
    """Take over what an upstream announces about itself, with its load; ignore it when late."""
    known = table.upstreams.get(member.upstream)
    if known is None or known.member.incarnation != member.incarnation:
        drop_upstream(table.hints, member.upstream)
        known = table.upstreams[member.upstream] = Upstream(member, now_s)
        _choose_subset(table)
    elif sequence <= known.sequence:
        return table
    known.sequence = sequence
    state_changed = known.member.state is not member.state
    # The load may be older than the one known; `report` decides.
    known.member = replace(member, load=known.member.load)
    if state_changed:
        _choose_subset(table)
    return report(table, member.upstream, member.incarnation, member.load, now_s)


def report(
    table: Table, upstream: UpstreamId, incarnation: Incarnation, load: Load, now_s: float
) -> Table:
    """Take over a load report, and count only what was sent after it was measured."""
    known = table.upstreams.get(upstream)
    if known is None or known.member.incarnation != incarnation:
        return table
    known.seen_s = now_s
    measured_s = now_s - load.age_s
    if measured_s < known.measured_s:
        return table
    known.measured_s = measured_s
    known.member = replace(known.member, load=load)
    later = [
        sent.tokens
        for sent in known.attempts.values()
        if sent.at_s >= measured_s and not sent.is_pending
    ]
    known.unreported = len(later)
    known.unreported_tokens = sum(later)
    while known.ended and known.ended[0][1] < measured_s:
        known.ended.popleft()
    known.reported_ended = sum(sent_s < measured_s for sent_s, _ in known.ended)
    limits.observe_load(known.limit, load, known.member.concurrency, now_s)
    return table


def occupied(table: Table, upstream: UpstreamId, occupancy: Occupancy) -> Table:
    """Take over an agent's own count of the attempts that it holds."""
    known = table.upstreams.get(upstream)
    if known is not None:
        known.others = max(0, occupancy.attempts - occupancy.own)
    return table


def cache_events(table: Table, events: CacheEvents) -> Table:
    """Take over cache events of the upstream's present incarnation."""
    known = table.upstreams.get(events.upstream)
    if known is not None and known.member.incarnation == events.incarnation:
        observe(table.hints, events)
    return table


def set_state(table: Table, upstream: UpstreamId, state: MemberState) -> Table:
    """Note a state learned otherwise, such as a refusal because of a drain."""
    known = table.upstreams.get(upstream)
    if known is not None and known.member.state is not state:
        known.member = replace(known.member, state=state)
        _choose_subset(table)
    return table


def leave(table: Table, upstream: UpstreamId) -> Table:
    """Remove an upstream that control no longer lists."""
    if table.upstreams.pop(upstream, None) is not None:
        drop_upstream(table.hints, upstream)
        _choose_subset(table)
    return table


def reserve(table: Table, upstream: UpstreamId, attempt: AttemptKey, tokens: float) -> Table:
    """Count an attempt that waits for its claim; it loads the upstream only once it is sent."""
    known = table.upstreams[upstream]
    known.attempts[attempt] = InFlightAttempt(0.0, tokens, is_pending=True)
    known.pending += 1
    return table


def sent(
    table: Table, upstream: UpstreamId, attempt: AttemptKey, tokens: float, now_s: float
) -> Table:
    """Count an attempt that was sent, whether or not it was reserved."""
    known = table.upstreams[upstream]
    before = known.attempts.get(attempt)
    if before is not None and before.is_pending:
        known.pending -= 1
    known.attempts[attempt] = InFlightAttempt(now_s, tokens, is_pending=False)
    known.unreported += 1
    known.unreported_tokens += tokens
    if now_s - known.delay_at_s >= _DELAY_WINDOW_S:
        # One attempt is enough to measure; the old delay holds until its first token.
        known.delay_at_s = now_s
    return table


def in_flight(upstream: Upstream) -> int:
    """Return the attempts that this entry has sent to an upstream and that have not ended."""
    return len(upstream.attempts) - upstream.pending


def first_token(table: Table, upstream: UpstreamId, attempt: AttemptKey, now_s: float) -> Table:
    """Learn from the delay to an attempt's first token, or to a service's whole answer.

    Later tokens of the attempt are ignored.
    """
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.get(attempt)
    if known is None or in_progress is None or in_progress.has_begun:
        return table
    in_progress.has_begun = True
    elapsed_s = now_s - in_progress.at_s
    limits.observe_first_token(known.limit, elapsed_s, in_flight(known), now_s)
    before_s = delay_s(table, known, now_s) or elapsed_s
    known.delay_s = before_s + _DELAY_WEIGHT * (elapsed_s - before_s)
    known.delay_at_s = now_s
    pool_s = table.delay_s or elapsed_s
    table.delay_s = pool_s + _POOL_DELAY_WEIGHT * (elapsed_s - pool_s)
    return table


def ended(
    table: Table, upstream: UpstreamId, attempt: AttemptKey, failed: bool, now_s: float
) -> Table:
    """Count the end of an attempt; `failed` is for faults of the upstream only."""
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.pop(attempt, None)
    if known is None or in_progress is None:
        return table
    if in_progress.is_pending:
        known.pending -= 1
        return table
    if in_progress.at_s >= known.measured_s:
        known.unreported -= 1
        known.unreported_tokens -= in_progress.tokens
    else:
        known.reported_ended += 1
    known.ended.append((in_progress.at_s, now_s))
    decay_ratio = exp((known.outcomes_at_s - now_s) / _OUTCOMES_WINDOW_S)
    known.errors = known.errors * decay_ratio + failed
    known.answers = known.answers * decay_ratio + (not failed)
    known.outcomes_at_s = now_s
    return table


def refused(table: Table, upstream: UpstreamId, attempt: AttemptKey) -> Table:
    """Uncount an attempt that its agent refused; it is neither an answer nor an error."""
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.pop(attempt, None)
    if known is None or in_progress is None:
        return table
    if in_progress.is_pending:
        known.pending -= 1
    elif in_progress.at_s >= known.measured_s:
        known.unreported -= 1
        known.unreported_tokens -= in_progress.tokens
    return table


def recent_errors(upstream: Upstream, now_s: float) -> float:
    """Return the recent errors that count: the fewer, the more answers there are beside them."""
    errors = upstream.errors
    if errors == 0.0:
        return 0.0
    decay_ratio = exp((upstream.outcomes_at_s - now_s) / _OUTCOMES_WINDOW_S)
    return errors * decay_ratio * errors / (errors + upstream.answers)


def is_failing(upstream: Upstream, now_s: float) -> bool:
    """Return whether an upstream fails so often that it rests, even when all others are full."""
    return upstream.errors != 0.0 and recent_errors(upstream, now_s) > _MAX_RECENT_ERRORS


def delay_s(table: Table, upstream: Upstream, now_s: float) -> float:
    """Return the recent delay to the first token, or the pool's where nothing recent is known."""
    if upstream.delay_s == 0.0:
        return table.delay_s
    age_s = now_s - upstream.delay_at_s
    if age_s >= _DELAY_WINDOW_S:
        return table.delay_s * _UNMEASURED_DELAY_RATIO
    known_ratio = 1.0 - age_s / _DELAY_WINDOW_S
    return table.delay_s + known_ratio * (upstream.delay_s - table.delay_s)


def requests_at(upstream: Upstream) -> int:
    """Return the requests at an upstream, by its agent's count or else by its last report."""
    if upstream.others is not None:
        return upstream.others + in_flight(upstream)
    load = upstream.member.load
    reported = load.running + load.waiting + upstream.unreported - upstream.reported_ended
    return max(reported, in_flight(upstream))


def is_live(upstream: Upstream, now_s: float) -> bool:
    """Return whether an upstream may be sent work at all."""
    return (
        upstream.member.state is MemberState.READY
        and now_s - upstream.seen_s <= SILENT_AFTER_S
        and now_s - upstream.measured_s <= STALE_AFTER_S
    )


def free_slots(upstream: Upstream) -> int:
    """Return the requests that an upstream could begin at once, as far as it is known."""
    return max(0, upstream.member.concurrency - requests_at(upstream))


def pool_slots(table: Table, now_s: float) -> int:
    """Return the slots of the pool for this entry, busy ones included.

    Beside its own requests an entry counts only its part of what is free. What exceeds that waits
    in the entry's queue, where the order of urgency holds and slots are kept free.
    """
    used, free, fair = 0, 0.0, 0.0
    for each in table.subset:
        if is_live(each, now_s) and not is_failing(each, now_s):
            allowed = limits.allowed(each.limit)
            own = min(allowed, in_flight(each))
            used += own + each.pending
            free += min(allowed - own, free_slots(each) / max(1, table.entries))
            fair += each.member.concurrency / max(1, table.entries)
    # An entry hears first of a slot that its own request leaves, so one that has more than its
    # part takes no fraction of a free slot; the others would never get their parts.
    return used + (int(free) if used > fair else ceil(free))


def _choose_subset(table: Table) -> None:
    ready = [
        upstream
        for upstream, known in table.upstreams.items()
        if known.member.state is MemberState.READY
    ]
    if len(ready) > _SUBSET_ABOVE:
        ready = rendezvous.highest(table.instance, ready, _SUBSET_SIZE)
    table.subset = [table.upstreams[upstream] for upstream in ready]
