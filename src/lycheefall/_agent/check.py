"""Check each dispatch before the upstream is called.

The agent is the authority on its own drain: it refuses new work whatever an entry believes.
"""

from collections import deque

from msgspec import Struct, field, structs

from lycheefall._agent.messages import (
    AnnounceMember,
    AttemptEnded,
    AttemptId,
    ConfigurationSeen,
    Drained,
    DrainOrdered,
    Forward,
    FromCheck,
    FromEntry,
    LoadRead,
    SignalAttempt,
    Tick,
    ToCheck,
    ToPeer,
    UpstreamSilent,
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
from lycheefall._rules import attempts
from lycheefall._rules.attempts import AttemptsState, SetDraining, SetKeyRetention
from lycheefall._rules.slots import may_start

# Lookups and bookings beyond the concurrency that may wait in the upstream, as a multiple of it.
# They are short, and a booking that is refused costs a commit.
BACKLOG_RATIO = 1.0
# Load queries that may fail before the upstream counts as failed.
SILENT_LOAD_QUERIES = 2
# Results of bookings that are kept for entries that lost their connection.
KEPT_RESULTS = 10_000
# Suspects that may wait to run alone; an upstream's concurrency is of this order.
WAITING_ALONE = 64
# Longer than an entry waits for the record of a crash, after which control knows the suspects.
CRASHED_RETENTION_S = 5.0


class Waiting(Struct, frozen=True):
    """A suspect that waits to run alone."""

    forward: Forward
    deadline_s: float


class CheckState(Struct):
    """What the check filter knows."""

    member: UpstreamMember
    attempts: AttemptsState
    revision: int = NO_REVISION
    drained_by_file: bool = False
    # Shares of the priorities of the file, in its order.
    share_ratios: tuple[float, ...] = ()
    stopping: bool = False
    silent_queries: int = 0
    load_read_s: float = 0.0
    running: dict[AttemptId, Forward] = field(default_factory=dict)
    # Results of claimed attempts, for flows that ask after a lost connection.
    finished: dict[ClaimToken, Finished] = field(default_factory=dict)
    # Suspects that wait until nothing else runs, with the times at which they must have started.
    waiting_alone: deque[Waiting] = field(default_factory=deque)
    alone: AttemptId | None = None
    # Fingerprints in flight at a crash of the upstream, and when their attempts ended.
    crashed_s: dict[Fingerprint, float] = field(default_factory=dict)


def check(state: CheckState, message: ToCheck, now_s: float) -> tuple[CheckState, list[FromCheck]]:
    """Apply one message to the state of the check filter."""
    results = _check(state, message, now_s)
    return state, [_counted(state, result) for result in results]


def _check(state: CheckState, message: ToCheck, now_s: float) -> list[FromCheck]:
    match message:
        case FromEntry():
            return _from_entry(state, message, now_s)
        case AttemptEnded():
            return _ended(state, message, now_s)
        case LoadRead():
            state.silent_queries = 0
            state.load_read_s = now_s
            return _present(state, message.load, now_s)
        case UpstreamSilent():
            state.silent_queries += 1
            return _present(state, state.member.load, now_s)
        case ConfigurationSeen():
            _take_configuration(state, message.configuration, now_s)
            return _present(state, state.member.load, now_s)
        case DrainOrdered():
            state.stopping = True
            _set_draining(state, now_s)
            return _present(state, state.member.load, now_s) + _drained(state)
        case Tick():
            return _start_alone(state, now_s) + _drained(state)


def _counted(state: CheckState, result: FromCheck) -> FromCheck:
    """Add the present count of attempts to a message that can carry it."""
    if not isinstance(result, ToPeer) or not isinstance(result.message, Refused | Finished | Pong):
        return result
    held = [*state.running.values(), *(waiting.forward for waiting in state.waiting_alone)]
    own = sum(forward.peer == result.peer for forward in held)
    attempts_now = len(held)
    if state.alone is not None or state.waiting_alone:
        # Nothing starts beside a suspect, so there is no free slot.
        attempts_now = max(attempts_now, state.member.concurrency)
    counted = structs.replace(result.message, occupancy=Occupancy(attempts_now, own))
    return ToPeer(result.peer, counted)


def _from_entry(state: CheckState, received: FromEntry, now_s: float) -> list[FromCheck]:
    message = received.message
    match message:
        case Dispatch():
            return _dispatch(state, received.peer, message, now_s)
        case Cancel() | Credit():
            return _cancel_waiting(state, message, now_s) or [SignalAttempt(message)]
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
    code = _refusal(state, dispatch)
    if code is not ResultCode.OK:
        return [ToPeer(peer, _refuse(state, dispatch, code, now_s))]
    state.attempts, (effect,) = attempts.step(state.attempts, dispatch, now_s)
    if isinstance(effect, Refused | Resolved):
        return [ToPeer(peer, effect)]
    forward = Forward(peer, dispatch)
    if dispatch.alone and state.running:
        state.waiting_alone.append(Waiting(forward, now_s + dispatch.remaining_s))
        return []
    return _start(state, forward)


def _refusal(state: CheckState, dispatch: Dispatch) -> ResultCode:
    if state.member.state is MemberState.DRAINING:
        return ResultCode.UPSTREAM_DRAINING
    if state.member.state is not MemberState.READY:
        return ResultCode.NOT_READY
    if dispatch.alone:
        is_full = len(state.waiting_alone) >= WAITING_ALONE
        return ResultCode.UPSTREAM_BUSY if is_full else ResultCode.OK
    if dispatch.fingerprint in state.crashed_s:
        # Its entry learns of the crash from the next announcement.
        return ResultCode.NOT_READY
    if state.alone is not None or state.waiting_alone:
        return ResultCode.UPSTREAM_BUSY
    if dispatch.kind is RouteKind.CHAT:
        held = [forward.dispatch.rank for forward in state.running.values()]
        ratio = state.share_ratios[dispatch.rank] if dispatch.rank < len(state.share_ratios) else 0
        begins = may_start(held, dispatch.rank, state.member.concurrency, ratio)
        return ResultCode.OK if begins else ResultCode.UPSTREAM_BUSY
    if len(state.running) >= state.member.concurrency * (1 + BACKLOG_RATIO):
        return ResultCode.UPSTREAM_BUSY
    return ResultCode.OK


def _refuse(state: CheckState, dispatch: Dispatch, code: ResultCode, now_s: float) -> Refused:
    """Release the attempt, so that the refusal also holds for a copy that comes later."""
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
    if dispatch.alone:
        state.alone = attempt
    if dispatch.claim is None:
        return [forward]
    return [ToPeer(forward.peer, Started(attempt.request, attempt.attempt)), forward]


def _start_alone(state: CheckState, now_s: float) -> list[FromCheck]:
    """Start the next suspect that is in time, if nothing runs."""
    results: list[FromCheck] = []
    while state.waiting_alone and not state.running:
        waiting = state.waiting_alone.popleft()
        if state.member.state is MemberState.FAILED:
            # Sent over a connection that is about to break, it would be blamed for the crash.
            results.append(_drop(state, waiting, ResultCode.NOT_CONNECTED, now_s))
            continue
        remaining_s = waiting.deadline_s - now_s
        if remaining_s <= 0:
            results.append(_drop(state, waiting, ResultCode.EXPIRED_BEFORE_START, now_s))
            continue
        dispatch = structs.replace(waiting.forward.dispatch, remaining_s=remaining_s)
        results += _start(state, Forward(waiting.forward.peer, dispatch))
    return results


def _cancel_waiting(state: CheckState, message: Cancel | Credit, now_s: float) -> list[FromCheck]:
    for waiting in state.waiting_alone:
        dispatch = waiting.forward.dispatch
        same = (dispatch.request, dispatch.attempt) == (message.request, message.attempt)
        if same and isinstance(message, Cancel):
            state.waiting_alone.remove(waiting)
            return [_drop(state, waiting, ResultCode.CANCELLED_BEFORE_START, now_s)]
    return []


def _drop(state: CheckState, waiting: Waiting, code: ResultCode, now_s: float) -> ToPeer:
    dispatch = waiting.forward.dispatch
    refused = Refused(dispatch.request, dispatch.attempt, code)
    state.attempts, _ = attempts.step(state.attempts, _as_finished(refused), now_s)
    return ToPeer(waiting.forward.peer, refused)


def _ended(state: CheckState, ended: AttemptEnded, now_s: float) -> list[FromCheck]:
    result = ended.result
    assert isinstance(result, Finished | Refused)
    attempt = AttemptId(result.request, result.attempt)
    forward = state.running.pop(attempt, None)
    if state.alone == attempt:
        state.alone = None
    finished = _as_finished(result)
    state.attempts, _ = attempts.step(state.attempts, finished, now_s)
    if forward is not None and forward.dispatch.claim is not None:
        _keep(state, forward.dispatch.claim, finished)
    if finished.crash is not None:
        state.crashed_s[finished.crash.fingerprint] = now_s
        # It refuses connections, so the next load queries need not be waited for.
        state.silent_queries = SILENT_LOAD_QUERIES
    has_failed = state.silent_queries >= SILENT_LOAD_QUERIES
    present = _present(state, state.member.load, now_s) if has_failed else []
    return [ToPeer(ended.peer, result), *present, *_start_alone(state, now_s), *_drained(state)]


def _as_finished(result: Finished | Refused) -> Finished:
    if isinstance(result, Finished):
        return result
    return Finished(result.request, result.attempt, result.code)


def _keep(state: CheckState, claim: ClaimToken, finished: Finished) -> None:
    state.finished.pop(claim, None)
    state.finished[claim] = finished
    if len(state.finished) > KEPT_RESULTS:
        del state.finished[next(iter(state.finished))]


def _resolve(state: CheckState, peer: bytes, resolve: Resolve, now_s: float) -> list[FromCheck]:
    state.attempts, (effect,) = attempts.step(state.attempts, resolve, now_s)
    assert isinstance(effect, Resolved)
    results: list[FromCheck] = [ToPeer(peer, effect)]
    kept = state.finished.get(resolve.claim) if resolve.claim is not None else None
    if effect.state is AttemptState.FINISHED and kept is not None:
        again = structs.replace(kept, request=resolve.request, attempt=resolve.attempt)
        results.append(ToPeer(peer, again))
    return results


def _take_configuration(state: CheckState, configuration: Configuration, now_s: float) -> None:
    state.revision = configuration.revision
    state.share_ratios = tuple(each.share_ratio for each in configuration.priorities)
    state.drained_by_file = any(
        pool.name == state.member.pool and state.member.upstream in pool.drain
        for pool in configuration.pools
    )
    retention = SetKeyRetention(configuration.limits.key_retention_s)
    state.attempts, _ = attempts.step(state.attempts, retention, now_s)
    _set_draining(state, now_s)


def _set_draining(state: CheckState, now_s: float) -> None:
    draining = SetDraining(state.stopping or state.drained_by_file)
    state.attempts, _ = attempts.step(state.attempts, draining, now_s)


def _present(state: CheckState, load: Load, now_s: float) -> list[FromCheck]:
    state.crashed_s = {f: s for f, s in state.crashed_s.items() if now_s - s < CRASHED_RETENTION_S}
    member_state = _state_now(state)
    state.member = structs.replace(
        state.member,
        state=member_state,
        load=load,
        crashed=tuple(state.crashed_s),
        has_open_attempts=member_state is MemberState.FAILED and bool(state.running),
    )
    return [AnnounceMember(state.member)]


def _state_now(state: CheckState) -> MemberState:
    if state.stopping or state.drained_by_file:
        return MemberState.DRAINING
    if state.silent_queries >= SILENT_LOAD_QUERIES:
        return MemberState.FAILED
    # A new process takes no work before it holds the committed revision.
    if state.revision == NO_REVISION or state.load_read_s == 0.0:
        return MemberState.STARTING
    return MemberState.READY


def _drained(state: CheckState) -> list[FromCheck]:
    idle = not state.running and not state.waiting_alone
    return [Drained()] if state.stopping and idle else []
