"""Filter that owns an entry's state of the upstreams and assigns requests to them."""

from asyncio import Future
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.enums import MemberState
from lycheefall._core.evacuations import UNKNOWN_VERSION
from lycheefall._core.events import Event
from lycheefall._core.ids import Fingerprint, InstanceId, PromptPart, UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.relay import (
    Crash,
    EntryRecord,
    PartTrial,
    ReplicaUpdate,
    SharedRateLimit,
    SoundPart,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._operate.exposition import COLD_UPSTREAMS, IN_FLIGHT, WAITING
from lycheefall._relay import evacuations, explanation
from lycheefall._relay.cold_log import log_cold_change
from lycheefall._relay.explain_messages import ExplainPlacement
from lycheefall._relay.messages import (
    ApplyConfiguration,
    DispatchTick,
    PromptGenerated,
    RequestEnded,
    RequestPlacement,
    SuspectedCrash,
    ToDispatch,
)
from lycheefall._rules import (
    crash_counts,
    dispatch_peers,
    dispatching,
    prompt_guard,
    record_table,
)
from lycheefall._rules.crash_counts import CrashCounts
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    FirstByte,
    Outcome,
    Output,
    PauseObserved,
    Place,
    RateLimitStated,
    Refuse,
    StopBegan,
    UpstreamClosed,
    UpstreamLeaving,
    Withdraw,
)
from lycheefall._rules.dispatch_state import DispatchState, PeerEntry, PeerLoads
from lycheefall._rules.placing import cold_upstreams, upstream_statements
from lycheefall._rules.prompt_guard import PromptGuard
from lycheefall._rules.record_table import RecordTable

DISPATCH_TICK_PERIOD_S = 0.025
# Time for which a crash or a rate limit is reported to the replicas; messages may be lost.
REPORT_S = 2.0


class DispatchSnapshot(Struct, frozen=True):
    """Part of the dispatcher's state that other filters read."""

    in_flight: dict[UpstreamId, int]
    crashes: tuple[Crash, ...]
    refused: frozenset[Fingerprint]
    upstream_count: int
    # Suspected parts of prompts on which an upstream has generated.
    sound_parts: tuple[SoundPart, ...] = ()
    part_trials: tuple[PartTrial, ...] = ()
    rate_limits: tuple[SharedRateLimit, ...] = ()
    evacuations_version: int = UNKNOWN_VERSION


class Ungenerated(Struct, frozen=True):
    """Prompt parts of a request that no upstream has generated on, and how to end its attempt."""

    parts: tuple[PromptPart, ...]
    revoked: Future[None]


class Dispatcher(Struct, eq=False, kw_only=True):
    """State of the filter."""

    dispatch_state: DispatchState
    table: RecordTable = field(default_factory=RecordTable)
    # By request number.
    pending_placements: dict[int, Future[Place | Refuse]] = field(default_factory=dict)
    crashes: CrashCounts = field(default_factory=CrashCounts)
    prompts: PromptGuard = field(default_factory=PromptGuard)
    # By request number.
    ungenerated: dict[int, Ungenerated] = field(default_factory=dict)
    reported_sound_parts: set[PromptPart] = field(default_factory=set)
    # Has new evidence of crashes reported to control at once.
    report_evidence: Callable[[], None] = lambda: None
    # Confirmed crashes that are still reported to the replicas, and when they were confirmed.
    recent_crashes: list[tuple[float, Crash]] = field(default_factory=list)
    # Changes of limits stated to this entry that are still reported to the replicas.
    recent_rate_limits: list[tuple[float, RateLimitStated]] = field(default_factory=list)
    # Requests refused because they crashed several upstreams, here or at other entries.
    refused: frozenset[Fingerprint] = frozenset()
    # Contents of the latest update of each replica.
    entries_by_replica: dict[InstanceId, tuple[EntryRecord, ...]] = field(default_factory=dict)
    refused_by_replica: dict[InstanceId, tuple[Fingerprint, ...]] = field(default_factory=dict)
    last_update_s: float = float("-inf")


async def run_dispatch(
    state: Dispatcher,
    inbox: Inbox[ToDispatch],
    now: Callable[[], float],
) -> None:
    """Process messages until cancelled, and resolve placements as they are decided."""
    while True:
        for message in await inbox.drain():
            _deliver(state, _handle(state, message, now()))


def dispatch_snapshot(state: Dispatcher, now_s: float) -> DispatchSnapshot:
    """Return the current snapshot, and drop what has been reported long enough."""
    state.recent_crashes = [
        (confirmed_s, crash)
        for confirmed_s, crash in state.recent_crashes
        if now_s - confirmed_s < REPORT_S
    ]
    state.recent_rate_limits = [
        (stated_s, each)
        for stated_s, each in state.recent_rate_limits
        if now_s - stated_s < REPORT_S
    ]
    return DispatchSnapshot(
        dispatching.in_flight(state.dispatch_state),
        tuple(crash for _, crash in state.recent_crashes),
        state.refused,
        sum(len(pool.upstreams.by_id) for pool in state.dispatch_state.pools.values()),
        prompt_guard.sound_parts(state.prompts, now_s),
        prompt_guard.trials(state.prompts, now_s),
        tuple(
            SharedRateLimit(each.upstream, each.start_time_ms, each.rate_per_s, now_s - stated_s)
            for stated_s, each in state.recent_rate_limits
        ),
        evacuations.version_in_force(state.dispatch_state),
    )


def _handle(state: Dispatcher, message: ToDispatch, now_s: float) -> list[Output]:
    dispatch_state = state.dispatch_state
    match message:
        case RequestPlacement(request, placement, revoked):
            state.pending_placements[request.number] = placement
            if request.prompt_parts:
                state.ungenerated[request.number] = Ungenerated(request.prompt_parts, revoked)
            blocked_s = prompt_guard.blocked_for_s(state.prompts, request.prompt_parts, now_s)
            if blocked_s > 0.0:
                return [dispatching.refuse_prompt(dispatch_state, request, blocked_s)]
            may_start = dispatching.may_start(dispatch_state, request)
            if may_start and prompt_guard.start_trial(state.prompts, request.prompt_parts, now_s):
                log(Event.PROMPT_PART_TRIED, parts=request.prompt_parts)
                state.report_evidence()
            return dispatching.on_request(dispatch_state, request, now_s)
        case Withdraw():
            state.pending_placements.pop(message.number, None)
            dispatching.withdraw(dispatch_state, message)
        case AttemptEnded():
            _log_suspension(message)
            _update_suspicions(state, message, now_s)
            return dispatching.on_attempt_ended(dispatch_state, message, now_s)
        case FirstByte():
            dispatching.on_first_byte(dispatch_state, message, now_s)
        case PauseObserved():
            dispatching.on_pause_observed(dispatch_state, message, now_s)
        case UpstreamLeaving():
            if upstream_statements.on_upstream_leaving(dispatch_state, message):
                log(Event.UPSTREAM_LEAVING, upstream=message.upstream, pool=message.pool)
        case UpstreamClosed():
            upstream_statements.on_upstream_closed(dispatch_state, message, now_s)
            log(
                Event.UPSTREAM_CLOSED,
                upstream=message.upstream,
                pool=message.pool,
                duration_s=message.duration_s,
            )
        case RateLimitStated():
            if upstream_statements.on_rate_limit_stated(dispatch_state, message, now_s):
                state.recent_rate_limits.append((now_s, message))
                log(
                    Event.UPSTREAM_RATE_LIMITED,
                    upstream=message.upstream,
                    pool=message.pool,
                    rate_per_s=message.rate_per_s,
                )
        case StopBegan():
            return dispatching.begin_stop(dispatch_state, message)
        case RequestEnded(number):
            state.ungenerated.pop(number, None)
            dispatching.release_team(dispatch_state, number)
        case ApplyConfiguration(configuration):
            dispatching.apply_configuration(dispatch_state, configuration)
            dispatching.update_upstreams(dispatch_state, state.table)
            _refresh_cold(state, now_s)
        case ReplicaUpdate():
            return _on_replica_update(state, message, now_s)
        case SuspectedCrash(crash):
            crash_counts.suspect(state.crashes, crash, now_s)
            if crash.refuses_connections:
                return _on_lost_upstream(state, crash, now_s)
        case PromptGenerated(number, parts):
            state.ungenerated.pop(number, None)
            prompt_guard.on_generated(state.prompts, parts, now_s)
            if state.prompts.blocks.blocks:
                return _refresh_prompts(state, now_s)
        case ExplainPlacement():
            explanation.resolve(dispatch_state, message, now_s)
        case DispatchTick():
            _refresh_cold(state, now_s)
            _update_metrics(state)
            return dispatching.tick(dispatch_state, now_s)
    return []


def _log_suspension(message: AttemptEnded) -> None:
    if message.group_stalled or message.outcome is Outcome.NOT_CONNECTED:
        log(
            Event.UPSTREAM_SUSPENDED,
            upstream=message.upstream,
            pool=message.pool,
            outcome=message.outcome.value,
            group_stalled=message.group_stalled,
        )


def _on_replica_update(state: Dispatcher, update: ReplicaUpdate, now_s: float) -> list[Output]:
    """Merge the update of a replica, and place queued requests if any upstream has changed."""
    state.last_update_s = now_s
    before = evacuations.version_in_force(state.dispatch_state)
    evacuated = evacuations.put_in_force(state.dispatch_state, state.table, update, now_s)
    if before != evacuations.version_in_force(state.dispatch_state):
        state.report_evidence()
    changed = [each for each in update.records if record_table.merge(state.table, each, now_s)]
    for record in changed:
        log(
            Event.UPSTREAM_SEEN if record.state is MemberState.READY else Event.UPSTREAM_LEFT,
            upstream=record.upstream,
            pool=record.pool,
            address=record.address,
            state=record.state.value,
            sequence=record.sequence,
            born_ms=record.start_time_ms,
            replica=update.replica,
            news=update.sequence,
        )
    for record in changed:
        _confirm_crashes(state, record.upstream, record.start_time_ms, now_s)
    if update.entries is not None:
        state.entries_by_replica[update.replica] = update.entries
    entries = state.entries_by_replica.get(update.replica, ())
    peers = {each.entry: PeerEntry(each.data_centre, now_s) for each in entries}
    loads = None if update.in_flight is None else PeerLoads(update.in_flight, now_s)
    dispatch_peers.update_peers(state.dispatch_state, peers, update.replica, loads, now_s)
    dispatch_peers.update_slow_ranks(state.dispatch_state, update.replica, update.slow_ranks, now_s)
    state.refused_by_replica[update.replica] = update.refused
    _update_refused(state, now_s)
    for lost in update.lost:
        start = (lost.upstream, lost.start_time_ms)
        upstream_statements.on_upstream_lost(state.dispatch_state, start, now_s - lost.age_s)
    prompt_guard.on_verdicts(state.prompts, update.replica, update.part_verdicts, now_s)
    _report_sound_parts(state, now_s)
    refused = evacuated + _refresh_prompts(state, now_s)
    if changed:
        record_table.drop_departed(state.table, now_s)
        dispatching.update_upstreams(state.dispatch_state, state.table)
        _refresh_cold(state, now_s)
    upstream_statements.on_shared_rate_limits(state.dispatch_state, update.rate_limits, now_s)
    if not changed:
        return refused
    placed = [
        output
        for pool in list(state.dispatch_state.pools)
        for output in dispatching.place_queued(state.dispatch_state, pool, now_s)
    ]
    return refused + placed


def _refresh_cold(state: Dispatcher, now_s: float) -> None:
    """Start and end the limits of cold upstreams, and log them."""
    for change in cold_upstreams.refresh(state.dispatch_state, state.table, now_s):
        log_cold_change(change, state.dispatch_state.peer_history.most)


def _report_sound_parts(state: Dispatcher, now_s: float) -> None:
    """Report at once that this entry has seen sound responses to newly suspected parts."""
    sound = {each.part for each in prompt_guard.sound_parts(state.prompts, now_s)}
    if not sound <= state.reported_sound_parts:
        state.report_evidence()
    state.reported_sound_parts = sound


def _on_lost_upstream(state: Dispatcher, crash: Crash, now_s: float) -> list[Output]:
    """Confirm a crash, and stop using what it affects."""
    start = (crash.upstream, crash.start_time_ms)
    if upstream_statements.on_upstream_lost(state.dispatch_state, start, now_s):
        log(Event.UPSTREAM_LOST, upstream=crash.upstream, born_ms=crash.start_time_ms)
    _confirm_crashes(state, crash.upstream, None, now_s)
    state.report_evidence()
    return _refresh_prompts(state, now_s)


def _refresh_prompts(state: Dispatcher, now_s: float) -> list[Output]:
    """Update the blocked parts of prompts, and end what is on the way with a new one.

    An upstream that has not generated yet drops a request when its connection closes.
    """
    before = set(state.prompts.blocks.blocks)
    blocked = prompt_guard.refresh(state.prompts, now_s, state.dispatch_state.random)
    for part in blocked:
        crashes = state.prompts.blocks.blocks[part].crashes
        log(Event.PROMPT_PART_BLOCKED, part=part, crashes=crashes)
    for part in before - set(state.prompts.blocks.blocks):
        log(Event.PROMPT_PART_CLEARED, part=part)
    if not blocked:
        return []
    for number, each in list(state.ungenerated.items()):
        if not set(blocked).isdisjoint(each.parts):
            del state.ungenerated[number]
            if not each.revoked.done():
                each.revoked.set_result(None)
    return [
        dispatching.refuse_prompt(
            state.dispatch_state,
            request,
            prompt_guard.blocked_for_s(state.prompts, request.prompt_parts, now_s),
        )
        for request in dispatching.remove_prompts(state.dispatch_state, blocked)
    ]


def _update_suspicions(state: Dispatcher, message: AttemptEnded, now_s: float) -> None:
    """Confirm or clear the suspected crashes of an upstream by the outcome of an attempt."""
    if message.outcome is Outcome.NOT_CONNECTED:
        _confirm_crashes(state, message.upstream, None, now_s)
    elif message.outcome in (Outcome.ANSWERED, Outcome.FAILED, Outcome.NOT_RUN):
        crash_counts.clear(state.crashes, message.upstream)


def _confirm_crashes(
    state: Dispatcher, upstream: UpstreamId, started_ms: int | None, now_s: float
) -> None:
    confirmed = crash_counts.confirm(state.crashes, upstream, started_ms, now_s)
    for crash in confirmed:
        state.recent_crashes.append((now_s, crash))
        if crash.prompt_parts:
            prompt_guard.on_crash(state.prompts, crash, now_s)
        log(Event.CRASH_SUSPECTED, fingerprint=crash.fingerprint, upstream=crash.upstream)
    if confirmed:
        _update_refused(state, now_s)


def _update_refused(state: Dispatcher, now_s: float) -> None:
    refused = frozenset(crash_counts.refused_fingerprints(state.crashes, now_s)).union(
        *state.refused_by_replica.values()
    )
    for fingerprint in refused - state.refused:
        log(Event.FINGERPRINT_REFUSED, fingerprint=fingerprint)
    state.refused = refused


def _deliver(state: Dispatcher, outputs: list[Output]) -> None:
    """Resolve the pending placements, and release upstreams that no caller waits for."""
    for output in outputs:
        placement = state.pending_placements.pop(output.number, None)
        if placement is not None and not placement.done():
            placement.set_result(output)
        elif isinstance(output, Place):
            # The caller disconnected before the upstream was assigned.
            pool, upstream = output.record.pool, output.record.upstream
            dispatching.release_team(state.dispatch_state, output.number)
            attempt_ended = AttemptEnded(pool, upstream, Outcome.CANCELLED)
            _deliver(
                state,
                dispatching.on_attempt_ended(
                    state.dispatch_state, attempt_ended, state.last_update_s
                ),
            )


def _update_metrics(state: Dispatcher) -> None:
    for name, pool in state.dispatch_state.pools.items():
        WAITING.labels(name).set(len(pool.waiting))
        IN_FLIGHT.labels(name).set(
            sum(stats.own_in_flight for stats in pool.upstreams.by_id.values())
        )
        COLD_UPSTREAMS.labels(name).set(len(pool.rate_limits.cold))
