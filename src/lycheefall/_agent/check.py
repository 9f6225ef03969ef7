"""Admission of dispatches at the agent, before the upstream is called.

The agent decides on its own drain: while it drains, it refuses new work even if an entry still
lists the upstream as ready.

A suspect is a request that may have caused an earlier crash. It runs while no other attempt does,
so that another crash can only be its own.
"""

from collections import deque

from msgspec import Struct, field, structs

from lycheefall._agent.messages import (
    AnnounceMember,
    AttemptEnded,
    AttemptId,
    ConfigurationReceived,
    Drained,
    DrainEnded,
    DrainRequested,
    Forward,
    FromCheck,
    FromEntry,
    LoadQueryFailed,
    LoadRead,
    SignalAttempt,
    Tick,
    ToCheck,
    ToPeer,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import AttemptState, MemberState, RouteKind
from lycheefall._core.ids import NO_REVISION, Fingerprint
from lycheefall._core.messages.dispatch import (
    Cancel,
    ClaimToken,
    Credit,
    Dispatch,
    Finished,
    Occupancy,
    Ping,
    Pong,
    Refused,
    Resolve,
    Resolved,
    Started,
)
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import attempts, planned_stop
from lycheefall._rules.attempts import AttemptsState, SetDraining, SetKeyRetention
from lycheefall._rules.placing.slots import may_start

# Lookups and bookings that may queue in the upstream beyond its concurrency, as a multiple of the
# concurrency. They are short, and each refused booking costs one more commit.
BACKLOG_RATIO = 1.0
# Load queries that fail in a row before the upstream counts as failed.
FAILED_QUERY_THRESHOLD = 2
# Results of bookings that are retained for entries that lost their connection.
MAX_RETAINED_RESULTS = 10_000
# Maximum length of the queue of suspects. The concurrency of an upstream is of this order.
MAX_SUSPECT_QUEUE = 64
# Longer than an entry waits for the record of a crash; after that, control has the fingerprints.
CRASHED_RETENTION_S = 5.0


class QueuedSuspect(Struct, frozen=True):
    """A suspect that is queued until no other attempt runs."""

    forward: Forward
    deadline_s: float


class CheckState(Struct):
    """State of the check filter."""

    member: UpstreamMember
    attempts: AttemptsState
    revision: int = NO_REVISION
    drain_configured: bool = False
    # Fraction of the concurrency for each priority, in the order of the configuration file.
    share_ratios: tuple[float, ...] = ()
    stopping: bool = False
    # The drain has ended, and with it all attempts.
    has_drain_ended: bool = False
    # Load queries that have failed in a row.
    failed_queries: int = 0
    # Time of the last successful load query; 0 before the first.
    load_read_s: float = 0.0
    running: dict[AttemptId, Forward] = field(default_factory=dict)
    # Results of claimed attempts, for entries that resolve an attempt after a lost connection.
    retained_results: dict[ClaimToken, Finished] = field(default_factory=dict)
    # Suspects that wait until no other attempt runs, with their start deadlines.
    suspect_queue: deque[QueuedSuspect] = field(default_factory=deque)
    # The suspect that runs now, with no other attempt beside it.
    running_suspect: AttemptId | None = None
    # Fingerprints in flight at a crash of the upstream, with the times their attempts ended.
    crash_times_s: dict[Fingerprint, float] = field(default_factory=dict)


def check(state: CheckState, message: ToCheck, now_s: float) -> tuple[CheckState, list[FromCheck]]:
    """Apply one message to the state and return the resulting messages."""
    results = _apply(state, message, now_s)
    return state, [_with_occupancy(state, result) for result in results]


def _apply(state: CheckState, message: ToCheck, now_s: float) -> list[FromCheck]:
    match message:
        case FromEntry():
            return _handle_entry_message(state, message, now_s)
        case AttemptEnded():
            return _end_attempt(state, message, now_s)
        case LoadRead():
            state.failed_queries = 0
            state.load_read_s = now_s
            return _announce(state, message.load, now_s)
        case LoadQueryFailed():
            state.failed_queries += 1
            return _announce(state, state.member.load, now_s)
        case ConfigurationReceived():
            _apply_configuration(state, message.configuration, now_s)
            return _announce(state, state.member.load, now_s)
        case DrainRequested():
            state.stopping = True
            _update_draining(state, now_s)
            return [
                *_announce(state, state.member.load, now_s),
                *_refuse_late_suspects(state, message.ends_s, now_s),
                *_drained_if_idle(state),
            ]
        case DrainEnded():
            return _end_drain(state, now_s)
        case Tick():
            return _start_suspect(state, now_s) + _drained_if_idle(state)


def _with_occupancy(state: CheckState, result: FromCheck) -> FromCheck:
    """Return the message with the current occupancy, if its type carries one."""
    if not isinstance(result, ToPeer) or not isinstance(result.message, Refused | Finished | Pong):
        return result
    admitted = [*state.running.values(), *(queued.forward for queued in state.suspect_queue)]
    own = sum(forward.peer == result.peer for forward in admitted)
    occupied = len(admitted)
    if state.running_suspect is not None or state.suspect_queue:
        # No other attempt starts while a suspect runs or waits, so no slot is free.
        occupied = max(occupied, state.member.concurrency)
    with_occupancy = structs.replace(result.message, occupancy=Occupancy(occupied, own))
    return ToPeer(result.peer, with_occupancy)


def _handle_entry_message(state: CheckState, received: FromEntry, now_s: float) -> list[FromCheck]:
    message = received.message
    match message:
        case Dispatch():
            return _dispatch(state, received.peer, message, now_s)
        case Cancel() | Credit():
            return _cancel_suspect(state, message, now_s) or [SignalAttempt(message)]
        case Resolve():
            return _resolve(state, received.peer, message, now_s)
        case Ping():
            load = state.member.load
            aged = Load(
                load.running,
                load.waiting,
                load.queue_tokens,
                load.kv_used_ratio,
                load.age_s + now_s - state.load_read_s,
            )
            member = state.member
            peer = received.peer
            pong = Pong(message.sequence, member.incarnation, member.state, aged, peer)
            return [ToPeer(peer, pong)]


def _dispatch(state: CheckState, peer: bytes, dispatch: Dispatch, now_s: float) -> list[FromCheck]:
    code = _admission_code(state, dispatch)
    if code is not ResultCode.OK:
        return [ToPeer(peer, _refuse(state, dispatch, code, now_s))]
    state.attempts, (effect,) = attempts.step(state.attempts, dispatch, now_s)
    if isinstance(effect, Refused | Resolved):
        return [ToPeer(peer, effect)]
    forward = Forward(peer, dispatch)
    if dispatch.isolated and state.running:
        state.suspect_queue.append(QueuedSuspect(forward, now_s + dispatch.remaining_s))
        return []
    return _start(state, forward)


def _admission_code(state: CheckState, dispatch: Dispatch) -> ResultCode:
    if state.member.state is MemberState.DRAINING:
        return ResultCode.UPSTREAM_DRAINING
    if state.member.state is not MemberState.READY:
        return ResultCode.NOT_READY
    if dispatch.isolated:
        is_full = len(state.suspect_queue) >= MAX_SUSPECT_QUEUE
        return ResultCode.UPSTREAM_BUSY if is_full else ResultCode.OK
    if dispatch.fingerprint in state.crash_times_s:
        # The next announcement informs the entry of the crash.
        return ResultCode.NOT_READY
    if state.running_suspect is not None or state.suspect_queue:
        return ResultCode.UPSTREAM_BUSY
    if dispatch.kind is RouteKind.CHAT:
        running_ranks = [forward.dispatch.rank for forward in state.running.values()]
        ratio = state.share_ratios[dispatch.rank] if dispatch.rank < len(state.share_ratios) else 0
        is_admitted = may_start(running_ranks, dispatch.rank, state.member.concurrency, ratio)
        return ResultCode.OK if is_admitted else ResultCode.UPSTREAM_BUSY
    if len(state.running) >= state.member.concurrency * (1 + BACKLOG_RATIO):
        return ResultCode.UPSTREAM_BUSY
    return ResultCode.OK


def _refuse(state: CheckState, dispatch: Dispatch, code: ResultCode, now_s: float) -> Refused:
    """Release and refuse the attempt, so that a copy that arrives later is refused as well."""
    release = Resolve(dispatch.request, dispatch.attempt, dispatch.claim, dispatch.incarnation)
    state.attempts, (effect,) = attempts.step(state.attempts, release, now_s)
    assert isinstance(effect, Resolved)
    if effect.state is AttemptState.UNSEEN:
        code = ResultCode.WRONG_INCARNATION
    elif effect.state is not AttemptState.RELEASED:
        code = ResultCode.DUPLICATE_ATTEMPT
    return Refused(dispatch.request, dispatch.attempt, code)


def _start(state: CheckState, forward: Forward) -> list[FromCheck]:
    dispatch = forward.dispatch
    attempt = AttemptId(dispatch.request, dispatch.attempt)
    state.running[attempt] = forward
    if dispatch.isolated:
        state.running_suspect = attempt
    if dispatch.claim is None:
        return [forward]
    return [ToPeer(forward.peer, Started(attempt.request, attempt.attempt)), forward]


def _start_suspect(state: CheckState, now_s: float) -> list[FromCheck]:
    """Start the next suspect if no attempt runs; refuse those that can no longer start."""
    results: list[FromCheck] = []
    while state.suspect_queue and not state.running:
        queued = state.suspect_queue.popleft()
        if state.member.state is MemberState.FAILED:
            # A suspect sent over a connection that is about to break would be blamed for the crash.
            results.append(_refuse_suspect(state, queued, ResultCode.NOT_CONNECTED, now_s))
            continue
        remaining_s = queued.deadline_s - now_s
        if remaining_s <= 0:
            results.append(_refuse_suspect(state, queued, ResultCode.EXPIRED_BEFORE_START, now_s))
            continue
        dispatch = structs.replace(queued.forward.dispatch, remaining_s=remaining_s)
        results += _start(state, Forward(queued.forward.peer, dispatch))
    return results


def _refuse_late_suspects(state: CheckState, ends_s: float, now_s: float) -> list[FromCheck]:
    """Refuse the queued suspects whose deadline is after a time."""
    late = [
        queued
        for queued in state.suspect_queue
        if not planned_stop.may_start(queued.deadline_s, ends_s)
    ]
    for queued in late:
        state.suspect_queue.remove(queued)
    code = ResultCode.UPSTREAM_DRAINING
    return [_refuse_suspect(state, queued, code, now_s) for queued in late]


def _end_drain(state: CheckState, now_s: float) -> list[FromCheck]:
    """Refuse all queued suspects and cancel all attempts, so that their entries know their end."""
    state.has_drain_ended = True
    cancels = [SignalAttempt(Cancel(attempt.request, attempt.attempt)) for attempt in state.running]
    return [*_refuse_late_suspects(state, float("-inf"), now_s), *cancels]


def _cancel_suspect(state: CheckState, message: Cancel | Credit, now_s: float) -> list[FromCheck]:
    """Refuse the queued suspect that a cancel names; return no messages if there is none."""
    for queued in state.suspect_queue:
        dispatch = queued.forward.dispatch
        is_same = (dispatch.request, dispatch.attempt) == (message.request, message.attempt)
        if is_same and isinstance(message, Cancel):
            state.suspect_queue.remove(queued)
            return [_refuse_suspect(state, queued, ResultCode.CANCELLED_BEFORE_START, now_s)]
    return []


def _refuse_suspect(
    state: CheckState, queued: QueuedSuspect, code: ResultCode, now_s: float
) -> ToPeer:
    dispatch = queued.forward.dispatch
    refused = Refused(dispatch.request, dispatch.attempt, code)
    state.attempts, _ = attempts.step(state.attempts, _as_finished(refused), now_s)
    return ToPeer(queued.forward.peer, refused)


def _end_attempt(state: CheckState, ended: AttemptEnded, now_s: float) -> list[FromCheck]:
    result = ended.result
    assert isinstance(result, Finished | Refused)
    if state.has_drain_ended and result.code is ResultCode.CANCELLED_AFTER_START:
        # The entry resumes a lost stream and retries a lost lookup, but no cancelled one.
        result = structs.replace(result, code=ResultCode.UPSTREAM_LOST)
    attempt = AttemptId(result.request, result.attempt)
    forward = state.running.pop(attempt, None)
    if state.running_suspect == attempt:
        state.running_suspect = None
    finished = _as_finished(result)
    state.attempts, _ = attempts.step(state.attempts, finished, now_s)
    if forward is not None and forward.dispatch.claim is not None:
        _retain_result(state, forward.dispatch.claim, finished)
    if finished.crash is not None:
        state.crash_times_s[finished.crash.fingerprint] = now_s
        # The upstream refuses connections, so it counts as failed without further load queries.
        state.failed_queries = FAILED_QUERY_THRESHOLD
    has_failed = state.failed_queries >= FAILED_QUERY_THRESHOLD
    announcement = _announce(state, state.member.load, now_s) if has_failed else []
    return [
        ToPeer(ended.peer, result),
        *announcement,
        *_start_suspect(state, now_s),
        *_drained_if_idle(state),
    ]


def _as_finished(result: Finished | Refused) -> Finished:
    if isinstance(result, Finished):
        return result
    return Finished(result.request, result.attempt, result.code)


def _retain_result(state: CheckState, claim: ClaimToken, finished: Finished) -> None:
    state.retained_results.pop(claim, None)
    state.retained_results[claim] = finished
    if len(state.retained_results) > MAX_RETAINED_RESULTS:
        del state.retained_results[next(iter(state.retained_results))]


def _resolve(state: CheckState, peer: bytes, resolve: Resolve, now_s: float) -> list[FromCheck]:
    """Report the state of an attempt, and its result if one is retained under the claim.

    An attempt that has not started is released: it is refused if it arrives later.
    """
    state.attempts, (effect,) = attempts.step(state.attempts, resolve, now_s)
    assert isinstance(effect, Resolved)
    results: list[FromCheck] = [ToPeer(peer, effect)]
    result = state.retained_results.get(resolve.claim) if resolve.claim is not None else None
    if effect.state is AttemptState.FINISHED and result is not None:
        readdressed = structs.replace(result, request=resolve.request, attempt=resolve.attempt)
        results.append(ToPeer(peer, readdressed))
    return results


def _apply_configuration(state: CheckState, configuration: Configuration, now_s: float) -> None:
    state.revision = configuration.revision
    state.share_ratios = tuple(priority.share_ratio for priority in configuration.priorities)
    state.drain_configured = any(
        pool.name == state.member.pool and state.member.upstream in pool.drain
        for pool in configuration.pools
    )
    retention = SetKeyRetention(configuration.limits.key_retention_s)
    state.attempts, _ = attempts.step(state.attempts, retention, now_s)
    _update_draining(state, now_s)


def _update_draining(state: CheckState, now_s: float) -> None:
    draining = SetDraining(state.stopping or state.drain_configured)
    state.attempts, _ = attempts.step(state.attempts, draining, now_s)


def _announce(state: CheckState, load: Load, now_s: float) -> list[FromCheck]:
    state.crash_times_s = {
        fingerprint: ended_s
        for fingerprint, ended_s in state.crash_times_s.items()
        if now_s - ended_s < CRASHED_RETENTION_S
    }
    member_state = _member_state(state)
    state.member = structs.replace(
        state.member,
        state=member_state,
        load=load,
        crashed=tuple(state.crash_times_s),
        has_open_attempts=member_state is MemberState.FAILED and bool(state.running),
    )
    return [AnnounceMember(state.member)]


def _member_state(state: CheckState) -> MemberState:
    if state.stopping or state.drain_configured:
        return MemberState.DRAINING
    if state.failed_queries >= FAILED_QUERY_THRESHOLD:
        return MemberState.FAILED
    # A new process is not ready before it has the committed configuration.
    if state.revision == NO_REVISION or state.load_read_s == 0.0:
        return MemberState.STARTING
    return MemberState.READY


def _drained_if_idle(state: CheckState) -> list[FromCheck]:
    is_idle = not state.running and not state.suspect_queue
    return [Drained()] if state.stopping and is_idle else []
