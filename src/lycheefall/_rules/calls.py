"""Decide what an entry does with each released request: pick, dispatch, retry, resume, end."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, RouteKind
from lycheefall._core.ids import (
    FIRST_ATTEMPT,
    AttemptNumber,
    Fingerprint,
    Incarnation,
    PoolId,
    RequestId,
    UpstreamId,
)
from lycheefall._core.messages.dispatch import (
    Cancel,
    Credit,
    Dispatch,
    Finished,
    Frame,
    Pong,
    Refused,
    Resolved,
    Started,
    ToEntry,
)
from lycheefall._core.messages.entry import (
    Abandon,
    CallEnded,
    CallerRequest,
    Capacity,
    ConfigurationChanged,
    FingerprintsChanged,
    FramesRead,
    FromAgent,
    FromDispatch,
    LinkDown,
    LinkUp,
    ReplyEnd,
    ReplyTokens,
    Run,
    Tick,
    ToDispatch,
    ToLink,
    UpstreamsChanged,
)
from lycheefall._core.messages.membership import Load, UpstreamMember

# Frames that may wait for one caller to read them.
WINDOW_FRAMES = 256
MAX_ATTEMPTS = 4


class Upstream(Struct):
    """What the entry knows about an upstream and has running there."""

    member: UpstreamMember
    incarnation: Incarnation
    connected: bool = False
    running: int = 0
    running_tokens: int = 0


class Call(Struct):
    """A request that was released, and its attempt that counts now."""

    call: CallerRequest
    attempt: AttemptNumber = AttemptNumber(0)
    upstream: UpstreamId = UpstreamId("")
    incarnation: Incarnation = Incarnation("")
    tokens: list[str] = []
    unread_frames: int = 0
    tried: set[UpstreamId] = set()


# Chooses one of the upstreams for a request.
Pick = Callable[[CallerRequest, list[Upstream], float], Upstream]


class CallsState(Struct):
    """Requests and upstreams of one entry."""

    pick: Pick
    upstreams: dict[UpstreamId, Upstream] = {}
    calls: dict[RequestId, Call] = {}
    configuration: Configuration = Configuration()
    suspects: frozenset[Fingerprint] = frozenset()
    refused: frozenset[Fingerprint] = frozenset()


def step_calls(
    state: CallsState, message: ToDispatch, now_s: float
) -> tuple[CallsState, list[FromDispatch]]:
    """Apply one message to the calls of an entry."""
    match message:
        case FromAgent():
            return state, _from_agent(state, message.upstream, message.message, now_s)
        case Run():
            return state, _run(state, message.call, now_s)
        case FramesRead():
            return state, _credit(state, message)
        case Abandon():
            return state, _abandon(state, message.request)
        case LinkUp():
            return state, _link_up(state, message)
        case LinkDown():
            return state, _link_down(state, message, now_s)
        case UpstreamsChanged():
            return state, _upstreams(state, message)
        case ConfigurationChanged():
            state.configuration = message.configuration
            return state, []
        case FingerprintsChanged():
            state.suspects = message.suspects
            state.refused = message.refused
            return state, []
        case Tick():
            return state, _expire(state, now_s) + _capacities(state)


def _run(state: CallsState, request: CallerRequest, now_s: float) -> list[FromDispatch]:
    call = Call(request)
    state.calls[request.request] = call
    if request.fingerprint in state.refused:
        detail = "this request has crashed upstreams and is refused for now"
        return _end(state, call, ResultCode.FINGERPRINT_REFUSED, detail)
    if request.operation is not None:
        return _end(state, call, ResultCode.NOT_READY, "bookings are not served yet")
    return _attempt(state, call, ResultCode.NO_UPSTREAM, now_s)


def _attempt(
    state: CallsState, call: Call, otherwise: ResultCode, now_s: float
) -> list[FromDispatch]:
    """Start the next attempt, or end the call with a code if no upstream may take it."""
    request = call.call
    usable = _usable(state, request.route.pools)
    untried = [each for each in usable if each.member.upstream not in call.tried] or usable
    if not untried or call.attempt >= MAX_ATTEMPTS:
        return _end(state, call, otherwise, "no upstream of the route can take the request")
    upstream = state.pick(request, untried, now_s)
    call.attempt = AttemptNumber(call.attempt + 1)
    call.upstream = upstream.member.upstream
    call.incarnation = upstream.incarnation
    call.tried.add(call.upstream)
    upstream.running += 1
    upstream.running_tokens += request.cost_tokens
    return [ToLink(call.upstream, _dispatch(state, call, now_s))]


def _usable(state: CallsState, pools: Iterable[PoolId]) -> list[Upstream]:
    return [
        upstream
        for upstream in state.upstreams.values()
        if upstream.connected
        and upstream.member.state is MemberState.READY
        and upstream.member.pool in pools
    ]


def _dispatch(state: CallsState, call: Call, now_s: float) -> Dispatch:
    request = call.call
    return Dispatch(
        request.request,
        call.attempt,
        call.incarnation,
        request.deadline_s - now_s,
        request.route.kind,
        request.method,
        request.path,
        request.content_type,
        request.body,
        request.priority,
        request.rank,
        request.fingerprint,
        resume_tokens=tuple(call.tokens),
        credit=max(1, WINDOW_FRAMES - call.unread_frames),
        alone=request.fingerprint in state.suspects,
    )


def _from_agent(
    state: CallsState, source: UpstreamId, message: ToEntry, now_s: float
) -> list[FromDispatch]:
    match message:
        case Frame():
            return _frame(state, message, now_s)
        case Finished():
            return _finished(state, message, now_s)
        case Refused():
            return _refused(state, message, now_s)
        case Pong():
            _load(state, source, message.load, message.state)
            return []
        case Started() | Resolved():
            return []


def _current(state: CallsState, request: RequestId, attempt: AttemptNumber) -> Call | None:
    call = state.calls.get(request)
    return call if call is not None and call.attempt == attempt else None


def _frame(state: CallsState, frame: Frame, now_s: float) -> list[FromDispatch]:
    call = _current(state, frame.request, frame.attempt)
    if call is None:
        return []
    fresh = frame.tokens[len(call.tokens) - frame.sequence :]
    if frame.sequence > len(call.tokens):
        return _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    if not fresh:
        return []
    call.tokens.extend(fresh)
    call.unread_frames += 1
    return [ReplyTokens(frame.request, fresh)]


def _finished(state: CallsState, finished: Finished, now_s: float) -> list[FromDispatch]:
    call = _current(state, finished.request, finished.attempt)
    if call is None:
        return []
    if finished.code is ResultCode.UPSTREAM_LOST:
        return _lost(state, call, finished.code, now_s)
    if finished.code is ResultCode.OK and finished.token_count != len(call.tokens):
        return _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    end = ReplyEnd(
        request=finished.request,
        code=finished.code,
        status=finished.status,
        content_type=finished.content_type,
        body=finished.body,
        finish_reason=finished.finish_reason,
        upstream=call.upstream,
        attempts=call.attempt,
    )
    return [end, _close(state, call)]


def _refused(state: CallsState, refused: Refused, now_s: float) -> list[FromDispatch]:
    call = _current(state, refused.request, refused.attempt)
    if call is None:
        return []
    _leave(state, call)
    return _attempt(state, call, refused.code, now_s)


def _lost(state: CallsState, call: Call, code: ResultCode, now_s: float) -> list[FromDispatch]:
    """Try elsewhere after an attempt that may have run."""
    _leave(state, call)
    if not call.call.route.idempotent:
        return _end(state, call, code, "the upstream was lost while it ran the request")
    return _attempt(state, call, code, now_s)


def _load(state: CallsState, source: UpstreamId, load: Load, announced: MemberState) -> None:
    upstream = state.upstreams.get(source)
    if upstream is not None:
        upstream.member = replace_load(upstream.member, load, announced)


def replace_load(member: UpstreamMember, load: Load, state: MemberState) -> UpstreamMember:
    """Return the member with another load and state."""
    return UpstreamMember(
        member.upstream,
        member.instance,
        member.data_centre,
        member.pool,
        member.kind,
        member.address,
        member.incarnation,
        state,
        member.concurrency,
        load,
    )


def _credit(state: CallsState, read: FramesRead) -> list[FromDispatch]:
    call = state.calls.get(read.request)
    if call is None:
        return []
    call.unread_frames -= read.frames
    return [ToLink(call.upstream, Credit(read.request, call.attempt, read.frames))]


def _abandon(state: CallsState, request: RequestId) -> list[FromDispatch]:
    call = state.calls.get(request)
    if call is None:
        return []
    return [*_cancel(call), _close(state, call)]


def _cancel(call: Call) -> list[FromDispatch]:
    # A booking goes on: its outcome is recorded for the next try of its key.
    if call.call.route.kind is RouteKind.BOOKING:
        return []
    return [ToLink(call.upstream, Cancel(call.call.request, call.attempt))]


def _link_up(state: CallsState, up: LinkUp) -> list[FromDispatch]:
    upstream = state.upstreams.get(up.upstream)
    if upstream is not None:
        upstream.connected = True
        upstream.incarnation = up.incarnation
    return []


def _link_down(state: CallsState, down: LinkDown, now_s: float) -> list[FromDispatch]:
    upstream = state.upstreams.get(down.upstream)
    if upstream is not None:
        upstream.connected = False
    lost = [
        call
        for call in state.calls.values()
        if call.upstream == down.upstream and call.incarnation == down.incarnation
    ]
    results: list[FromDispatch] = []
    for call in lost:
        results += _lost(state, call, ResultCode.UPSTREAM_LOST, now_s)
    return results


def _upstreams(state: CallsState, changed: UpstreamsChanged) -> list[FromDispatch]:
    for member in changed.upstreams:
        known = state.upstreams.get(member.upstream)
        if known is None:
            state.upstreams[member.upstream] = Upstream(member, member.incarnation)
        else:
            known.member = member
    for removed in changed.removed:
        state.upstreams.pop(removed, None)
    return []


def _expire(state: CallsState, now_s: float) -> list[FromDispatch]:
    expired = [call for call in state.calls.values() if call.call.deadline_s <= now_s]
    results: list[FromDispatch] = []
    for call in expired:
        results += _cancel(call)
        results += _end(
            state, call, ResultCode.TIMEOUT_AFTER_START, "the request ran into its timeout"
        )
    return results


def _capacities(state: CallsState) -> list[FromDispatch]:
    slots: dict[PoolId, int] = {pool.name: 0 for pool in state.configuration.pools}
    for upstream in state.upstreams.values():
        if upstream.connected and upstream.member.state is MemberState.READY:
            pool = upstream.member.pool
            slots[pool] = slots.get(pool, 0) + upstream.member.concurrency
    return [Capacity(pool, number) for pool, number in slots.items()]


def _end(state: CallsState, call: Call, code: ResultCode, detail: str) -> list[FromDispatch]:
    end = ReplyEnd(
        request=call.call.request,
        code=code,
        upstream=call.upstream,
        attempts=call.attempt,
        detail=detail,
    )
    return [end, _close(state, call)]


def _close(state: CallsState, call: Call) -> CallEnded:
    _leave(state, call)
    del state.calls[call.call.request]
    return CallEnded(call.call.request, call.call.route.pools, call.call.cost_tokens)


def _leave(state: CallsState, call: Call) -> None:
    """Take the call off its upstream."""
    upstream = state.upstreams.get(call.upstream)
    if upstream is not None and call.attempt >= FIRST_ATTEMPT:
        upstream.running -= 1
        upstream.running_tokens -= call.call.cost_tokens
    call.upstream = UpstreamId("")
