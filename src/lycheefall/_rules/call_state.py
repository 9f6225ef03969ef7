"""State of the calls of an entry, shared by the rules for bookings and for all other calls.

A call is a request that the queue has admitted, until its caller is answered or disconnects.
"""

from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration, Limits
from lycheefall._core.ids import (
    AttemptNumber,
    DataCentreId,
    FencingNumber,
    Fingerprint,
    Incarnation,
    InstanceId,
    PoolId,
    RequestId,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.dispatch import Dispatch, Finished
from lycheefall._core.messages.entry import (
    CallEnded,
    CallerRequest,
    FromDispatch,
    ReplyEnd,
    SuspectEnded,
)
from lycheefall._rules.hedging import HedgingState
from lycheefall._rules.placing import upstreams
from lycheefall._rules.placing.choice import ChoiceConstraints, choose
from lycheefall._rules.placing.routing import Picker
from lycheefall._rules.placing.upstreams import AttemptKey, UpstreamTable
from lycheefall._rules.retries import RetryBudgets, try_consume
from lycheefall._rules.streams import StreamState

# Flow control window: frames buffered for one caller.
WINDOW_FRAMES = 256
# After this delay every entry knows of a crash that a copy of the request caused elsewhere.
OTHER_UPSTREAMS_AFTER_S = 0.5
# Requests keep their affinity to a lost upstream for this long, unless its agent has reported all
# requests that were in flight: a copy must not move to another upstream before the crash is known.
# Shorter than MAX_PARK_S, so that a request that has lost both its upstreams is not refused.
LOST_UPSTREAM_GRACE_S = 1.5

NO_UPSTREAM = UpstreamId("")
NO_INCARNATION = Incarnation("")


class OtherAttempt(Struct, frozen=True):
    """An attempt of a hedged lookup that runs concurrently with the current one."""

    attempt: AttemptNumber
    upstream: UpstreamId
    incarnation: Incarnation
    slot_key: AttemptKey
    sent_s: float


class Call(Struct, eq=False):
    """State of a request that the queue has admitted, and of its current attempt."""

    caller_request: CallerRequest
    # Number of the current attempt; 0 before the first.
    attempt: AttemptNumber = AttemptNumber(0)
    # Number of attempts so far, which is also the number of the latest one; stays 0 for a booking,
    # whose attempts are numbered by its claim.
    attempts: AttemptNumber = AttemptNumber(0)
    # Upstream of the current attempt, and the incarnation of its agent.
    upstream: UpstreamId = NO_UPSTREAM
    incarnation: Incarnation = NO_INCARNATION
    # Key of the slot that the call holds in the table of upstreams, or None if it holds none, and
    # how many slots the call has taken so far.
    slot_key: AttemptKey | None = None
    slots_taken: int = 0
    # When the current attempt was sent.
    sent_s: float = 0.0
    # Upstream and time of a planned hedge, and the attempt that runs concurrently with the current
    # one.
    hedge_upstream: UpstreamId = NO_UPSTREAM
    hedge_due_s: float = 0.0
    other: OtherAttempt | None = None
    # Error answer of one of two attempts; sent to the caller if the other one is not answered.
    failure: ReplyEnd | None = None
    stream: StreamState | None = None
    # Frames that were sent to the caller and not yet read, for flow control.
    unread_frames: int = 0
    tried: set[UpstreamId] = field(default_factory=set)
    # Attempts that agents refused because no slot was free; they do not count as failures.
    busy_refusals: int = 0
    # An attempt may have run, but its outcome is unknown.
    may_have_run: bool = False
    # When the call was parked for lack of an upstream; None while it is not.
    parked_s: float | None = None
    # No attempt is made before this time.
    not_before_s: float = 0.0
    # The call may use only its own upstreams before this time.
    own_upstreams_until_s: float = 0.0
    # The attempt ended with a crash whose record is not committed yet.
    crash_pending: bool = False
    # Fencing number of the lease of a suspect, and the earliest time of the next lease request.
    lease: FencingNumber | None = None
    lease_due_s: float = 0.0
    # A suspect finished without a crash.
    is_clear: bool = False

    @property
    def tokens(self) -> list[str]:
        """Return the tokens that were delivered to the caller."""
        return self.stream.delivered if self.stream is not None else []


class CallsState(Struct, eq=False):
    """Calls and upstreams of one entry."""

    instance: InstanceId
    # Load-balancing policy, and the function that charges a retry to the budgets.
    pick: Picker
    spend_retry: Callable[[RetryBudgets, TeamId], bool] = try_consume
    seed: int = 0
    # Number of entries that share the concurrency of each upstream.
    entry_count: int = 1
    tables: dict[PoolId, UpstreamTable] = field(default_factory=dict)
    pools: dict[UpstreamId, PoolId] = field(default_factory=dict)
    connected: dict[UpstreamId, Incarnation] = field(default_factory=dict)
    # Upstreams that are ready and connected, and the times at which others were lost.
    usable: set[UpstreamId] = field(default_factory=set)
    lost_s: dict[UpstreamId, float] = field(default_factory=dict)
    evacuated: frozenset[DataCentreId] = frozenset()
    # When the entry ends all requests; None until it stops.
    ends_s: float | None = None
    calls: dict[RequestId, Call] = field(default_factory=dict)
    # Calls that no upstream could take yet, in the order in which they were parked.
    parked: dict[RequestId, Call] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    # Fraction of a retry that each first attempt of a team adds to its budget.
    team_ratios: dict[TeamId, float] = field(default_factory=dict)
    budgets: RetryBudgets = field(default_factory=lambda: RetryBudgets(Limits().retry_ratio))
    hedging: HedgingState = field(default_factory=HedgingState)
    # Lookups with two attempts in flight.
    hedged: dict[RequestId, Call] = field(default_factory=dict)
    # Requests that were in flight during a crash, and those that are refused after a second one.
    suspects: frozenset[Fingerprint] = frozenset()
    refused: frozenset[Fingerprint] = frozenset()
    # When this entry learned of each suspect, and when it last learned of a crash of it.
    suspected_s: dict[Fingerprint, float] = field(default_factory=dict)
    recorded_s: dict[Fingerprint, float] = field(default_factory=dict)
    # Suspects in the last update from control, and the time of the update.
    confirmed_suspects: frozenset[Fingerprint] = frozenset()
    confirmed_s: float = float("-inf")
    # Leases to release at the next tick.
    leases_to_release: list[SuspectEnded] = field(default_factory=list)


def table_of(state: CallsState, upstream: UpstreamId) -> UpstreamTable | None:
    """Return the table that contains an upstream, or None."""
    return state.tables.get(state.pools.get(upstream, PoolId("")))


def call_of_attempt(state: CallsState, request: RequestId, attempt: AttemptNumber) -> Call | None:
    """Return the call of a request if the attempt is its current one, else None."""
    call = state.calls.get(request)
    return call if call is not None and call.attempt == attempt else None


def choose_upstream(
    state: CallsState, call: Call, tried: set[UpstreamId], now_s: float
) -> UpstreamId | None:
    """Return an upstream that can take the call now, or None."""
    isolated = call.caller_request.fingerprint in state.suspects
    lost = frozenset(
        name for name, at_s in state.lost_s.items() if now_s - at_s < LOST_UPSTREAM_GRACE_S
    )
    for pool in call.caller_request.route.pools:
        table = state.tables.get(pool)
        if table is None:
            continue
        constraints = ChoiceConstraints(
            tried=frozenset(tried),
            offline=frozenset(name for name in table.upstreams if name not in state.connected),
            lost=_of_table(table, lost),
            isolated=isolated,
            may_use_other_upstreams=may_use_other_upstreams(call, now_s),
        )
        found = choose(state.pick, table, call.caller_request, constraints, now_s)
        if found is not None:
            return found
    return None


def _of_table(table: UpstreamTable, names: frozenset[UpstreamId]) -> frozenset[UpstreamId]:
    return frozenset(name for name in names if name in table.upstreams)


def may_use_other_upstreams(call: Call, now_s: float) -> bool:
    """Return whether the call may use upstreams other than its own.

    A booking may, because it would be refused otherwise, and its claim prevents copies under its
    key from running. Any other request may only after it was parked for
    OTHER_UPSTREAMS_AFTER_S, so that copies through several entries cannot crash more than its own
    upstreams.
    """
    if call.caller_request.operation is not None:
        return True
    has_waited = call.parked_s is not None and now_s - call.parked_s >= OTHER_UPSTREAMS_AFTER_S
    return has_waited and not call.may_have_run and now_s >= call.own_upstreams_until_s


def assign_upstream(state: CallsState, call: Call, upstream: UpstreamId, now_s: float) -> None:
    """Assign the call to an upstream and take a slot there."""
    table = table_of(state, upstream)
    assert table is not None
    call.upstream = upstream
    call.incarnation = state.connected[upstream]
    call.tried.add(upstream)
    call.sent_s = now_s
    call.slots_taken += 1
    call.slot_key = (call.caller_request.request, AttemptNumber(call.slots_taken))
    tokens = call.caller_request.cost_tokens
    if call.caller_request.operation is not None:
        upstreams.reserve(table, upstream, call.slot_key, tokens)
    else:
        upstreams.record_sent(table, upstream, call.slot_key, tokens, now_s)


def record_first_token(state: CallsState, call: Call, now_s: float) -> None:
    """Record the first token or answer of the call for the delay of its upstream."""
    table = table_of(state, call.upstream)
    if table is not None and call.slot_key is not None:
        upstreams.record_first_token(table, call.upstream, call.slot_key, now_s)


def release_upstream(state: CallsState, call: Call, now_s: float, *, failed: bool = False) -> None:
    """Release the slots of the call; `failed` marks a fault of the current upstream only."""
    table = table_of(state, call.upstream)
    if table is not None and call.slot_key is not None:
        upstreams.record_ended(table, call.upstream, call.slot_key, failed, now_s)
    call.slot_key = None
    release_other_attempt(state, call, now_s)


def release_other_attempt(
    state: CallsState, call: Call, now_s: float, *, failed: bool = False
) -> None:
    """Release the slot of the attempt that runs concurrently with the current one."""
    other = call.other
    if other is None:
        return
    table = table_of(state, other.upstream)
    if table is not None:
        upstreams.record_ended(table, other.upstream, other.slot_key, failed, now_s)
    call.other = None
    del state.hedged[call.caller_request.request]


def release_refused(state: CallsState, call: Call) -> None:
    """Release the slot of the call at an upstream that refused it."""
    table = table_of(state, call.upstream)
    if table is not None and call.slot_key is not None:
        upstreams.record_refused(table, call.upstream, call.slot_key)
    call.slot_key = None


def make_dispatch(state: CallsState, call: Call, now_s: float) -> Dispatch:
    """Return the Dispatch message of the current attempt."""
    caller_request = call.caller_request
    return Dispatch(
        caller_request.request,
        call.attempt,
        call.incarnation,
        caller_request.deadline_s - now_s,
        caller_request.route.kind,
        caller_request.method,
        caller_request.path,
        caller_request.content_type,
        caller_request.body,
        caller_request.priority,
        caller_request.rank,
        caller_request.fingerprint,
        resume_tokens=tuple(call.tokens),
        credit=max(1, WINDOW_FRAMES - call.unread_frames),
        isolated=caller_request.fingerprint in state.suspects,
    )


def make_reply(call: Call, finished: Finished) -> ReplyEnd:
    """Return the answer to the caller from the result of the current attempt."""
    return ReplyEnd(
        request=finished.request,
        code=finished.code,
        status=finished.status,
        content_type=finished.content_type,
        body=finished.body,
        finish_reason=finished.finish_reason,
        upstream=call.upstream,
        attempts=call.attempts - call.busy_refusals,
    )


def end_call(
    state: CallsState, call: Call, code: ResultCode, detail: str, now_s: float
) -> list[FromDispatch]:
    """Answer the caller with a code or the error answer of an attempt, and remove the call."""
    reply = call.failure or ReplyEnd(
        request=call.caller_request.request,
        code=code,
        upstream=call.upstream,
        attempts=call.attempts - call.busy_refusals,
        detail=detail,
    )
    return [reply, remove_call(state, call, now_s)]


def remove_call(state: CallsState, call: Call, now_s: float, *, failed: bool = False) -> CallEnded:
    """Delete a call, release its slots and schedule the release of its lease."""
    release_upstream(state, call, now_s, failed=failed)
    caller_request = call.caller_request
    del state.calls[caller_request.request]
    state.parked.pop(caller_request.request, None)
    if call.lease is not None:
        suspect_ended = SuspectEnded(
            caller_request.request, caller_request.fingerprint, call.lease, call.is_clear
        )
        state.leases_to_release.append(suspect_ended)
    cost_tokens = caller_request.prompt_tokens + max(1, len(call.tokens))
    return CallEnded(caller_request.request, caller_request.route.pools, cost_tokens)


def timeout_code(call: Call) -> ResultCode:
    """Return the result code of a call that timed out, by whether an attempt may have run."""
    may_have_run = call.may_have_run or call.slot_key is not None
    return ResultCode.TIMEOUT_AFTER_START if may_have_run else ResultCode.EXPIRED_BEFORE_START
