"""Table of a pool's upstreams: reported load, and the attempts this entry has sent since."""

from collections import deque
from math import ceil, exp
from random import Random

from msgspec.structs import replace

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import (
    AttemptNumber,
    DataCentreId,
    Incarnation,
    InstanceId,
    RequestId,
    UpstreamId,
)
from lycheefall._core.messages.dispatch import Occupancy
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import limits, rendezvous
from lycheefall._rules.limits import UpstreamLimit
from lycheefall._rules.placing.prefix_cache import CacheEvents, CacheHints, drop_upstream, observe

# An upstream without heartbeats for this long is not used. Upstreams send four per second.
HEARTBEAT_TIMEOUT_S = 1.0
# An upstream whose last load report is older than this is not used.
MAX_REPORT_AGE_S = 5.0
# In a larger pool, each entry uses only a subset of the upstreams.
_SUBSET_ABOVE = 32
_SUBSET_SIZE = 20
# Time constant of the decay of the counts of errors and answers.
_OUTCOMES_WINDOW_S = 5.0
# An upstream with more recent errors than this is not used. One that fails immediately always has
# free slots, so a low weight alone doesn't protect the requests that arrive while all others are
# full.
_MAX_RECENT_ERRORS = 2.5
# Weights of a new delay in the moving averages of the upstream and of the pool.
_DELAY_WEIGHT = 0.25
_POOL_DELAY_WEIGHT = 0.02
# A measured delay loses its influence over this time. After that the upstream counts as slightly
# faster than the pool, so that an avoided upstream is probed again.
_DELAY_WINDOW_S = 10.0
_UNMEASURED_DELAY_RATIO = 0.8

AttemptKey = tuple[RequestId, AttemptNumber]


class InFlightAttempt:
    """An attempt that this entry has sent or reserved and that has not ended."""

    __slots__ = ("has_begun", "is_pending", "sent_s", "tokens")

    def __init__(self, sent_s: float, tokens: float, is_pending: bool) -> None:
        self.sent_s = sent_s
        self.tokens = tokens
        self.has_begun = False
        # The claim is pending and the attempt has not been sent to the upstream.
        self.is_pending = is_pending


class Upstream:
    """State of one upstream from the view of this entry."""

    __slots__ = (
        "answers",
        "attempts",
        "attempts_of_others",
        "delay_at_s",
        "delay_s",
        "errors",
        "limit",
        "measured_s",
        "member",
        "outcomes_at_s",
        "pending",
        "recently_ended",
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
        # Time at which the last load report was measured, on this entry's clock.
        self.measured_s = float("-inf")
        # Time of the last heartbeat or load report.
        self.seen_s = now_s
        # Attempts of other entries by the agent's count, which has no lag; None before the first.
        self.attempts_of_others: int | None = None
        # Sequence of the last announcement.
        self.sequence = 0
        # Attempts whose claim is pending.
        self.pending = 0
        # Attempts in flight that the last report doesn't include.
        self.unreported = 0
        self.unreported_tokens = 0.0
        # Send and end times of the attempts that ended after the last report was measured. The
        # next report may be measured between the two times and still include the attempt.
        self.recently_ended: deque[tuple[float, float]] = deque()
        # Number of those attempts that the last report includes.
        self.reported_ended = 0
        # Exponentially decaying counts of recent outcomes.
        self.errors = 0.0
        self.answers = 0.0
        self.outcomes_at_s = now_s
        # Moving average of the delay to the first token; 0 before the first measurement.
        self.delay_s = 0.0
        self.delay_at_s = now_s


class UpstreamTable:
    """Upstreams of one pool, the subset that this entry uses, and the state of the picker."""

    __slots__ = (
        "delay_s",
        "entry_count",
        "evacuated",
        "hints",
        "instance",
        "random",
        "subset",
        "upstreams",
    )

    def __init__(self, instance: InstanceId, entry_count: int, seed: int) -> None:
        self.instance = instance
        # Number of entries that share the upstreams, including this one.
        self.entry_count = entry_count
        self.random = Random(seed)
        self.upstreams: dict[UpstreamId, Upstream] = {}
        self.subset: list[Upstream] = []
        self.evacuated: frozenset[DataCentreId] = frozenset()
        self.hints = CacheHints()
        # Moving average of the delay to the first token over all upstreams.
        self.delay_s = 0.0


def announce(
    table: UpstreamTable, member: UpstreamMember, sequence: int, now_s: float
) -> UpstreamTable:
    """Apply an upstream's announcement and its load; ignore an outdated one."""
    known = table.upstreams.get(member.upstream)
    if known is None or known.member.incarnation != member.incarnation:
        drop_upstream(table.hints, member.upstream)
        known = table.upstreams[member.upstream] = Upstream(member, now_s)
        _choose_subset(table)
    elif sequence <= known.sequence:
        return table
    known.sequence = sequence
    state_changed = known.member.state is not member.state
    # The announced load may be older than the known one; `report` compares the two.
    known.member = replace(member, load=known.member.load)
    if state_changed:
        _choose_subset(table)
    return report(table, member.upstream, member.incarnation, member.load, now_s)


def report(
    table: UpstreamTable, upstream: UpstreamId, incarnation: Incarnation, load: Load, now_s: float
) -> UpstreamTable:
    """Apply a load report, and recount the attempts sent after it was measured."""
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
        attempt.tokens
        for attempt in known.attempts.values()
        if attempt.sent_s >= measured_s and not attempt.is_pending
    ]
    known.unreported = len(later)
    known.unreported_tokens = sum(later)
    while known.recently_ended and known.recently_ended[0][1] < measured_s:
        known.recently_ended.popleft()
    known.reported_ended = sum(sent_s < measured_s for sent_s, _ in known.recently_ended)
    limits.observe_load(known.limit, load, known.member.concurrency, now_s)
    return table


def apply_occupancy(
    table: UpstreamTable, upstream: UpstreamId, occupancy: Occupancy
) -> UpstreamTable:
    """Apply an agent's own count of the attempts it is running."""
    known = table.upstreams.get(upstream)
    if known is not None:
        known.attempts_of_others = max(0, occupancy.attempts - occupancy.own)
    return table


def apply_cache_events(table: UpstreamTable, events: CacheEvents) -> UpstreamTable:
    """Apply cache events of the upstream's current incarnation; ignore those of others."""
    known = table.upstreams.get(events.upstream)
    if known is not None and known.member.incarnation == events.incarnation:
        observe(table.hints, events)
    return table


def set_state(table: UpstreamTable, upstream: UpstreamId, state: MemberState) -> UpstreamTable:
    """Set a state that was not announced, such as draining after a refusal."""
    known = table.upstreams.get(upstream)
    if known is not None and known.member.state is not state:
        known.member = replace(known.member, state=state)
        _choose_subset(table)
    return table


def evacuate(table: UpstreamTable, data_centres: frozenset[DataCentreId]) -> None:
    """Use no upstreams of these data centres, and those of all others again."""
    table.evacuated = data_centres
    _choose_subset(table)


def remove(table: UpstreamTable, upstream: UpstreamId) -> UpstreamTable:
    """Remove an upstream that control no longer lists."""
    if table.upstreams.pop(upstream, None) is not None:
        drop_upstream(table.hints, upstream)
        _choose_subset(table)
    return table


def reserve(
    table: UpstreamTable, upstream: UpstreamId, attempt: AttemptKey, tokens: float
) -> UpstreamTable:
    """Count an attempt whose claim is pending; it adds no load to the upstream until sent."""
    known = table.upstreams[upstream]
    known.attempts[attempt] = InFlightAttempt(0.0, tokens, is_pending=True)
    known.pending += 1
    return table


def record_sent(
    table: UpstreamTable, upstream: UpstreamId, attempt: AttemptKey, tokens: float, now_s: float
) -> UpstreamTable:
    """Count an attempt that was sent, reserved before or not."""
    known = table.upstreams[upstream]
    before = known.attempts.get(attempt)
    if before is not None and before.is_pending:
        known.pending -= 1
    known.attempts[attempt] = InFlightAttempt(now_s, tokens, is_pending=False)
    known.unreported += 1
    known.unreported_tokens += tokens
    if now_s - known.delay_at_s >= _DELAY_WINDOW_S:
        # One attempt is enough for a measurement; the old delay applies until its first token.
        known.delay_at_s = now_s
    return table


def in_flight(upstream: Upstream) -> int:
    """Return the number of attempts of this entry that were sent and have not ended."""
    return len(upstream.attempts) - upstream.pending


def record_first_token(
    table: UpstreamTable, upstream: UpstreamId, attempt: AttemptKey, now_s: float
) -> UpstreamTable:
    """Record the delay to an attempt's first token, or to a service's complete answer.

    Later tokens of the attempt are ignored.
    """
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.get(attempt)
    if known is None or in_progress is None or in_progress.has_begun:
        return table
    in_progress.has_begun = True
    elapsed_s = now_s - in_progress.sent_s
    limits.observe_first_token(known.limit, elapsed_s, in_flight(known), now_s)
    before_s = delay_s(table, known, now_s) or elapsed_s
    known.delay_s = before_s + _DELAY_WEIGHT * (elapsed_s - before_s)
    known.delay_at_s = now_s
    pool_s = table.delay_s or elapsed_s
    table.delay_s = pool_s + _POOL_DELAY_WEIGHT * (elapsed_s - pool_s)
    return table


def record_ended(
    table: UpstreamTable, upstream: UpstreamId, attempt: AttemptKey, failed: bool, now_s: float
) -> UpstreamTable:
    """Record the end of an attempt; `failed` means a fault of the upstream."""
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.pop(attempt, None)
    if known is None or in_progress is None:
        return table
    if in_progress.is_pending:
        known.pending -= 1
        return table
    if in_progress.sent_s >= known.measured_s:
        known.unreported -= 1
        known.unreported_tokens -= in_progress.tokens
    else:
        known.reported_ended += 1
    known.recently_ended.append((in_progress.sent_s, now_s))
    decay_ratio = exp((known.outcomes_at_s - now_s) / _OUTCOMES_WINDOW_S)
    known.errors = known.errors * decay_ratio + failed
    known.answers = known.answers * decay_ratio + (not failed)
    known.outcomes_at_s = now_s
    return table


def record_refused(
    table: UpstreamTable, upstream: UpstreamId, attempt: AttemptKey
) -> UpstreamTable:
    """Remove an attempt that its agent refused; it counts neither as an answer nor as an error."""
    known = table.upstreams.get(upstream)
    in_progress = None if known is None else known.attempts.pop(attempt, None)
    if known is None or in_progress is None:
        return table
    if in_progress.is_pending:
        known.pending -= 1
    elif in_progress.sent_s >= known.measured_s:
        known.unreported -= 1
        known.unreported_tokens -= in_progress.tokens
    return table


def recent_errors(upstream: Upstream, now_s: float) -> float:
    """Return the decayed number of recent errors, weighted by the ratio of errors to outcomes."""
    errors = upstream.errors
    if errors == 0.0:
        return 0.0
    decay_ratio = exp((upstream.outcomes_at_s - now_s) / _OUTCOMES_WINDOW_S)
    return errors * decay_ratio * errors / (errors + upstream.answers)


def is_failing(upstream: Upstream, now_s: float) -> bool:
    """Return whether an upstream fails too often to be used, even when all others are full."""
    return upstream.errors != 0.0 and recent_errors(upstream, now_s) > _MAX_RECENT_ERRORS


def delay_s(table: UpstreamTable, upstream: Upstream, now_s: float) -> float:
    """Return the recent delay to the first token in seconds, or an estimate from the pool's."""
    if upstream.delay_s == 0.0:
        return table.delay_s
    age_s = now_s - upstream.delay_at_s
    if age_s >= _DELAY_WINDOW_S:
        return table.delay_s * _UNMEASURED_DELAY_RATIO
    known_ratio = 1.0 - age_s / _DELAY_WINDOW_S
    return table.delay_s + known_ratio * (upstream.delay_s - table.delay_s)


def requests_at(upstream: Upstream) -> int:
    """Return the requests at an upstream by its agent's count, if any, or its last report."""
    if upstream.attempts_of_others is not None:
        return upstream.attempts_of_others + in_flight(upstream)
    load = upstream.member.load
    reported = load.running + load.waiting + upstream.unreported - upstream.reported_ended
    return max(reported, in_flight(upstream))


def is_live(upstream: Upstream, now_s: float) -> bool:
    """Return whether an upstream is ready, has recent heartbeats and a recent load report."""
    return (
        upstream.member.state is MemberState.READY
        and now_s - upstream.seen_s <= HEARTBEAT_TIMEOUT_S
        and now_s - upstream.measured_s <= MAX_REPORT_AGE_S
    )


def free_slots(upstream: Upstream) -> int:
    """Return the estimated number of requests that an upstream could start immediately."""
    return max(0, upstream.member.concurrency - requests_at(upstream))


def pool_slots(table: UpstreamTable, now_s: float) -> int:
    """Return the slots of the pool that this entry may use, including busy ones.

    In addition to its own requests, an entry counts only its part of the free slots. Excess
    requests wait in the entry's queue, which orders by urgency and reserves slots.
    """
    used, free, fair = 0, 0.0, 0.0
    for each in table.subset:
        if is_live(each, now_s) and not is_failing(each, now_s):
            limit = limits.max_in_flight(each.limit)
            own = min(limit, in_flight(each))
            used += own + each.pending
            free += min(limit - own, free_slots(each) / max(1, table.entry_count))
            fair += each.member.concurrency / max(1, table.entry_count)
    # An entry is the first to know of a slot that its own request frees. An entry that uses more
    # than its part therefore rounds its free slots down; otherwise the other entries would never
    # get their parts.
    return used + (int(free) if used > fair else ceil(free))


def _choose_subset(table: UpstreamTable) -> None:
    ready = [
        upstream
        for upstream, known in table.upstreams.items()
        if known.member.state is MemberState.READY
        and known.member.data_centre not in table.evacuated
    ]
    if len(ready) > _SUBSET_ABOVE:
        ready = rendezvous.highest(table.instance, ready, _SUBSET_SIZE)
    table.subset = [table.upstreams[upstream] for upstream in ready]
