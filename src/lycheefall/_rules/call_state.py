"""State of the calls of an entry, shared by the rules for plain calls and for bookings."""

from collections.abc import Callable, Collection

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import (
    AttemptNumber,
    Fingerprint,
    Incarnation,
    RequestId,
    UpstreamId,
)
from lycheefall._core.messages.dispatch import Dispatch
from lycheefall._core.messages.entry import CallEnded, CallerRequest, FromDispatch, ReplyEnd
from lycheefall._core.messages.membership import UpstreamMember

# Frames that may wait for one caller to read them.
WINDOW_FRAMES = 256

NO_UPSTREAM = UpstreamId("")
NO_INCARNATION = Incarnation("")


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
    upstream: UpstreamId = NO_UPSTREAM
    incarnation: Incarnation = NO_INCARNATION
    tokens: list[str] = field(default_factory=list)
    unread_frames: int = 0
    tried: set[UpstreamId] = field(default_factory=set)


# Chooses one of the upstreams for a request.
Pick = Callable[[CallerRequest, list[Upstream], float], Upstream]


class CallsState(Struct):
    """Requests and upstreams of one entry."""

    pick: Pick
    upstreams: dict[UpstreamId, Upstream] = field(default_factory=dict)
    calls: dict[RequestId, Call] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    suspects: frozenset[Fingerprint] = frozenset()
    refused: frozenset[Fingerprint] = frozenset()


def choose(
    state: CallsState, request: CallerRequest, tried: Collection[UpstreamId], now_s: float
) -> Upstream | None:
    """Return an upstream for the request, one that was not tried if there is any."""
    usable = [
        upstream
        for upstream in state.upstreams.values()
        if upstream.connected
        and upstream.member.state is MemberState.READY
        and upstream.member.pool in request.route.pools
    ]
    untried = [each for each in usable if each.member.upstream not in tried]
    found = untried or usable
    return state.pick(request, found, now_s) if found else None


def occupy(call: Call, upstream: Upstream) -> None:
    """Count the call as running at the upstream."""
    call.upstream = upstream.member.upstream
    call.incarnation = upstream.incarnation
    call.tried.add(call.upstream)
    upstream.running += 1
    upstream.running_tokens += call.call.cost_tokens


def leave(state: CallsState, call: Call) -> None:
    """Take the call off its upstream."""
    upstream = state.upstreams.get(call.upstream)
    if upstream is not None:
        upstream.running -= 1
        upstream.running_tokens -= call.call.cost_tokens
    call.upstream = NO_UPSTREAM


def make_dispatch(state: CallsState, call: Call, now_s: float) -> Dispatch:
    """Return the dispatch of the call's attempt."""
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


def end(state: CallsState, call: Call, code: ResultCode, detail: str) -> list[FromDispatch]:
    """End a call with a code."""
    reply = ReplyEnd(
        request=call.call.request,
        code=code,
        upstream=call.upstream,
        attempts=call.attempt,
        detail=detail,
    )
    return [reply, close(state, call)]


def close(state: CallsState, call: Call) -> CallEnded:
    """Forget a call and give its slot back."""
    leave(state, call)
    del state.calls[call.call.request]
    return CallEnded(call.call.request, call.call.route.pools, call.call.cost_tokens)
