"""Check each dispatch before the upstream is called.

The agent is the authority on its own drain: it refuses new work whatever an entry believes.
"""

from msgspec import Struct

from lycheefall._agent.messages import (
    AttemptEnded,
    AttemptId,
    ConfigurationSeen,
    Drained,
    DrainOrdered,
    Forward,
    FromCheck,
    FromEntry,
    LoadRead,
    Present,
    Steer,
    Tick,
    ToCheck,
    ToPeer,
    UpstreamSilent,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import AttemptState, MemberState
from lycheefall._core.ids import NO_REVISION
from lycheefall._core.messages.dispatch import (
    Cancel,
    Credit,
    Dispatch,
    Ping,
    Pong,
    Refused,
    Resolve,
    Resolved,
    Started,
)
from lycheefall._core.messages.membership import Load, UpstreamMember

# Attempts beyond the concurrency that may wait in the upstream, as a multiple of it.
BACKLOG_RATIO = 1.0
# Load queries that may fail before the upstream counts as failed.
SILENT_LOAD_QUERIES = 2


class CheckState(Struct):
    """What the check filter knows."""

    member: UpstreamMember
    revision: int = NO_REVISION
    drained_by_file: bool = False
    stopping: bool = False
    silent_queries: int = 0
    load_read_s: float = 0.0
    running: dict[AttemptId, Dispatch] = {}
    seen: dict[AttemptId, AttemptState] = {}
    # A suspect that waits until nothing else runs.
    waiting_alone: Forward | None = None
    alone: AttemptId | None = None


def check(state: CheckState, message: ToCheck, now_s: float) -> tuple[CheckState, list[FromCheck]]:
    """Apply one message to the state of the check filter."""
    match message:
        case FromEntry():
            return state, _from_entry(state, message, now_s)
        case AttemptEnded():
            return state, _ended(state, message)
        case LoadRead():
            state.silent_queries = 0
            state.load_read_s = now_s
            return state, _present(state, message.load)
        case UpstreamSilent():
            state.silent_queries += 1
            return state, _present(state, state.member.load)
        case ConfigurationSeen():
            _take_configuration(state, message.configuration)
            return state, _present(state, state.member.load)
        case DrainOrdered():
            state.stopping = True
            return state, _present(state, state.member.load) + _drained(state)
        case Tick():
            return state, _start_alone(state) + _drained(state)


def _from_entry(state: CheckState, received: FromEntry, now_s: float) -> list[FromCheck]:
    message = received.message
    match message:
        case Dispatch():
            return _dispatch(state, received.peer, message)
        case Cancel() | Credit():
            return [Steer(message)]
        case Resolve():
            return [ToPeer(received.peer, _resolve(state, message))]
        case Ping():
            load = state.member.load
            aged = Load(
                load.running,
                load.waiting,
                load.queue_tokens,
                load.kv_used_ratio,
                load.age_s + now_s - state.load_read_s,
            )
            pong = Pong(message.sequence, state.member.incarnation, state.member.state, aged)
            return [ToPeer(received.peer, pong)]


def _dispatch(state: CheckState, peer: bytes, dispatch: Dispatch) -> list[FromCheck]:
    attempt = AttemptId(dispatch.request, dispatch.attempt)
    code = _refusal(state, attempt, dispatch)
    if code is not ResultCode.OK:
        return [ToPeer(peer, Refused(dispatch.request, dispatch.attempt, code))]
    forward = Forward(peer, dispatch)
    if dispatch.alone and state.running:
        state.waiting_alone = forward
        return []
    return _start(state, attempt, forward)


def _refusal(state: CheckState, attempt: AttemptId, dispatch: Dispatch) -> ResultCode:
    if dispatch.incarnation != state.member.incarnation:
        return ResultCode.WRONG_INCARNATION
    seen = state.seen.get(attempt)
    if seen is AttemptState.RELEASED:
        return ResultCode.ATTEMPT_RELEASED
    if seen is not None:
        return ResultCode.DUPLICATE_ATTEMPT
    if state.member.state is MemberState.DRAINING:
        return ResultCode.UPSTREAM_DRAINING
    if state.member.state is not MemberState.READY:
        return ResultCode.NOT_READY
    if dispatch.remaining_s <= 0:
        return ResultCode.EXPIRED_BEFORE_START
    if state.alone is not None or state.waiting_alone is not None:
        return ResultCode.UPSTREAM_BUSY
    if len(state.running) >= state.member.concurrency * (1 + BACKLOG_RATIO):
        return ResultCode.UPSTREAM_BUSY
    return ResultCode.OK


def _start(state: CheckState, attempt: AttemptId, forward: Forward) -> list[FromCheck]:
    state.running[attempt] = forward.dispatch
    state.seen[attempt] = AttemptState.STARTED
    if forward.dispatch.alone:
        state.alone = attempt
    if forward.dispatch.claim is None:
        return [forward]
    return [ToPeer(forward.peer, Started(attempt.request, attempt.attempt)), forward]


def _start_alone(state: CheckState) -> list[FromCheck]:
    forward = state.waiting_alone
    if forward is None or state.running:
        return []
    state.waiting_alone = None
    dispatch = forward.dispatch
    return _start(state, AttemptId(dispatch.request, dispatch.attempt), forward)


def _ended(state: CheckState, ended: AttemptEnded) -> list[FromCheck]:
    result = ended.result
    assert not isinstance(result, Pong)
    attempt = AttemptId(result.request, result.attempt)
    state.running.pop(attempt, None)
    state.seen[attempt] = AttemptState.FINISHED
    if state.alone == attempt:
        state.alone = None
    return [ToPeer(ended.peer, result), *_start_alone(state), *_drained(state)]


def _resolve(state: CheckState, resolve: Resolve) -> Resolved:
    attempt = AttemptId(resolve.request, resolve.attempt)
    known = state.seen.setdefault(attempt, AttemptState.RELEASED)
    return Resolved(resolve.request, resolve.attempt, known)


def _take_configuration(state: CheckState, configuration: Configuration) -> None:
    state.revision = configuration.revision
    state.drained_by_file = any(
        pool.name == state.member.pool and state.member.upstream in pool.drain
        for pool in configuration.pools
    )


def _present(state: CheckState, load: Load) -> list[FromCheck]:
    old = state.member
    state.member = UpstreamMember(
        old.upstream,
        old.instance,
        old.data_centre,
        old.pool,
        old.kind,
        old.address,
        old.incarnation,
        _state_now(state),
        old.concurrency,
        load,
    )
    return [Present(state.member)]


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
    idle = not state.running and state.waiting_alone is None
    return [Drained()] if state.stopping and idle else []
