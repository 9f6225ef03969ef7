"""Admission of attempts at an agent: which attempts may start in this incarnation.

A claim token runs at most once within the retention of its key. The agent records the highest
attempt received under each key. It keeps the record for the retention, plus the allowance for keys
ahead of control's clock and a margin, counted from the last change. Lower attempts count as
released, which means that they never start, because control numbers an attempt only after the
previous one was released. After the record is dropped, control refuses the key and creates no new
attempt under it. A Dispatch of an old attempt could arrive after that only if it was delayed for
longer than the retention, on a connection that is closed after a second of silence. Attempts of an
earlier incarnation are refused by the incarnation alone.
"""

from typing import TypeVar

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import AttemptState
from lycheefall._core.ids import AttemptNumber, IdempotencyKey, Incarnation, RequestId, TeamId
from lycheefall._core.messages.dispatch import (
    ClaimToken,
    Dispatch,
    Finished,
    Refused,
    Resolve,
    Resolved,
)

K = TypeVar("K")

# How far ahead of its clock control accepts keys (MAX_CLOCK_SKEW_MS in replicated/claims.py).
KEY_CLOCK_SKEW_S = 60.0
# Margin for the difference between the clocks of control and of the agent.
CLOCK_MARGIN_S = 3_600.0
# A request without a claim may run again, so its record only has to outlive delayed messages.
UNCLAIMED_RETENTION_S = 120.0


class SetDraining(Struct, frozen=True):
    """Start or stop refusing new work."""

    draining: bool


class SetKeyRetention(Struct, frozen=True):
    """Set how long control retains a key, in seconds."""

    key_retention_s: float


class Run(Struct, frozen=True):
    """Start an attempt and stop it at the deadline."""

    dispatch: Dispatch
    deadline_s: float


Message = Dispatch | Resolve | Finished | SetDraining | SetKeyRetention
Effect = Run | Refused | Resolved


# Teams choose their keys independently, so a key identifies an operation only within its team.
OperationId = tuple[TeamId, IdempotencyKey]


class AttemptRecord(Struct):
    """The highest attempt received under a key, or one attempt of a request without a claim."""

    attempt: AttemptNumber
    state: AttemptState
    changed_s: float


class AttemptsState(Struct):
    """Attempts of this incarnation, with and without a claim, each in order of the last change."""

    incarnation: Incarnation
    key_retention_s: float = 86_400.0
    draining: bool = False
    unclaimed: dict[tuple[RequestId, AttemptNumber], AttemptRecord] = field(default_factory=dict)
    claimed: dict[OperationId, AttemptRecord] = field(default_factory=dict)
    # Operation of each running attempt of a claim.
    running: dict[tuple[RequestId, AttemptNumber], OperationId] = field(default_factory=dict)


def initial(incarnation: Incarnation, key_retention_s: float) -> AttemptsState:
    """Return the state of a new incarnation."""
    return AttemptsState(incarnation, key_retention_s)


def step(
    state: AttemptsState, message: Message, now_s: float
) -> tuple[AttemptsState, list[Effect]]:
    """Process one message and return the resulting effects."""
    _expire(state, now_s)
    match message:
        case Dispatch():
            return state, [_dispatch(state, message, now_s)]
        case Resolve():
            return state, [_resolve(state, message, now_s)]
        case Finished():
            _finish(state, message, now_s)
        case SetDraining():
            state.draining = message.draining
        case SetKeyRetention():
            state.key_retention_s = message.key_retention_s
    return state, []


def _dispatch(state: AttemptsState, dispatch: Dispatch, now_s: float) -> Run | Refused:
    if dispatch.incarnation != state.incarnation:
        return Refused(dispatch.request, dispatch.attempt, ResultCode.WRONG_INCARNATION)
    recorded = _recorded_state(state, dispatch)
    if recorded is not AttemptState.UNSEEN:
        return Refused(dispatch.request, dispatch.attempt, _DUPLICATE_CODES[recorded])
    code = _refusal_code(state, dispatch)
    if code is not None:
        # The refusal guarantees that the attempt never starts, so a later copy must be refused too.
        _record(state, dispatch, AttemptState.RELEASED, now_s)
        return Refused(dispatch.request, dispatch.attempt, code)
    _record(state, dispatch, AttemptState.STARTED, now_s)
    if dispatch.claim is not None:
        state.running[dispatch.request, dispatch.attempt] = _operation(dispatch.claim)
    return Run(dispatch, now_s + dispatch.remaining_s)


# Refusals of an attempt that was received before, by its recorded state.
_DUPLICATE_CODES = {
    AttemptState.RELEASED: ResultCode.ATTEMPT_RELEASED,
    AttemptState.STARTED: ResultCode.DUPLICATE_ATTEMPT,
    AttemptState.FINISHED: ResultCode.DUPLICATE_ATTEMPT,
}


def _refusal_code(state: AttemptsState, dispatch: Dispatch) -> ResultCode | None:
    if dispatch.remaining_s <= 0:
        return ResultCode.EXPIRED_BEFORE_START
    if state.draining:
        return ResultCode.UPSTREAM_DRAINING
    return None


def _resolve(state: AttemptsState, resolve: Resolve, now_s: float) -> Resolved:
    """Return the state of an attempt; if it was not received yet, it is released first."""
    if resolve.incarnation != state.incarnation:
        return Resolved(resolve.request, resolve.attempt, AttemptState.UNSEEN)
    recorded = _recorded_state(state, resolve)
    if recorded is AttemptState.UNSEEN:
        recorded = AttemptState.RELEASED
        _record(state, resolve, recorded, now_s)
    return Resolved(resolve.request, resolve.attempt, recorded)


def _operation(claim: ClaimToken) -> OperationId:
    return claim.team, claim.key


def _recorded_state(state: AttemptsState, message: Dispatch | Resolve) -> AttemptState:
    if message.claim is None:
        record = state.unclaimed.get((message.request, message.attempt))
        return record.state if record else AttemptState.UNSEEN
    record = state.claimed.get(_operation(message.claim))
    if record is None or record.attempt < message.claim.attempt:
        return AttemptState.UNSEEN
    if record.attempt > message.claim.attempt:
        return AttemptState.RELEASED
    return record.state


def _record(
    state: AttemptsState, message: Dispatch | Resolve, recorded: AttemptState, now_s: float
) -> None:
    if message.claim is None:
        # Records are kept in order of the last change, so a changed one moves to the end.
        attempt = (message.request, message.attempt)
        state.unclaimed.pop(attempt, None)
        state.unclaimed[attempt] = AttemptRecord(message.attempt, recorded, now_s)
    else:
        operation = _operation(message.claim)
        state.claimed.pop(operation, None)
        state.claimed[operation] = AttemptRecord(message.claim.attempt, recorded, now_s)


def _finish(state: AttemptsState, finished: Finished, now_s: float) -> None:
    attempt = (finished.request, finished.attempt)
    operation = state.running.pop(attempt, None)
    if operation is not None:
        record = state.claimed.pop(operation)
        state.claimed[operation] = AttemptRecord(record.attempt, AttemptState.FINISHED, now_s)
    elif attempt in state.unclaimed:
        del state.unclaimed[attempt]
        state.unclaimed[attempt] = AttemptRecord(finished.attempt, AttemptState.FINISHED, now_s)


def _expire(state: AttemptsState, now_s: float) -> None:
    retention_s = state.key_retention_s + KEY_CLOCK_SKEW_S + CLOCK_MARGIN_S
    _drop_before(state.claimed, now_s - retention_s, now_s)
    _drop_before(state.unclaimed, now_s - UNCLAIMED_RETENTION_S, now_s)


def _drop_before(records: dict[K, AttemptRecord], limit_s: float, now_s: float) -> None:
    """Drop the records that were last changed before a time, except those of running attempts."""
    while records:
        key = next(iter(records))
        oldest = records[key]
        if oldest.changed_s >= limit_s:
            return
        del records[key]
        if oldest.state is AttemptState.STARTED:
            # A running attempt keeps its record, which moves to the end with the current time.
            oldest.changed_s = now_s
            records[key] = oldest
