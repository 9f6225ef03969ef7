"""Protocol of map epochs at the coordinator of a group.

The ranks of a group run steps in lockstep, and all of them must use the same expert map in a step.
A coordinator acquires the lease, raises the fencing number in the log, and reads the committed
maps. Only then does it permit ranks to enter steps. A new map is prepared at every rank, then
committed with a first step above all permissions granted by this or any previous coordinator.
"""

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.events import Event
from lycheefall._core.ids import (
    MapEpoch,
    RankId,
    StepNumber,
)
from lycheefall._core.messages.control import (
    AcquireLease,
    CommitEpoch,
    CommittedEpoch,
    EpochResult,
    LeaseResult,
    RenewLease,
)
from lycheefall._core.messages.groups import (
    AbortEpoch,
    CommittedEpochs,
    Permit,
    Prepared,
    PrepareEpoch,
    PrepareRefused,
    QueryEpochs,
    RankReport,
    ToRank,
)
from lycheefall._rules.group_state import (
    ENDED_LEASE_S,
    FIRST_FENCING,
    LEASE_S,
    NO_EPOCH,
    NO_STEP,
    PREPARE_TIMEOUT_S,
    RENEW_AFTER_S,
    CommandResult,
    CoordinatorInput,
    CoordinatorOutput,
    CoordinatorState,
    LogLine,
    Phase,
    ProposeCommand,
    ProposePlacement,
    SendToRank,
    Tick,
    all_prepared,
    current_epoch,
    lease_name,
    may_place,
    permit_limit,
)


def step(
    state: CoordinatorState, message: CoordinatorInput, now_s: float
) -> tuple[CoordinatorState, list[CoordinatorOutput]]:
    """Apply one message to the state of a coordinator."""
    if state.phase is not Phase.LEASE and now_s >= state.lease_until_s:
        _step_down(state)
    match message:
        case Tick():
            return state, _tick(state, now_s)
        case ProposePlacement():
            return state, _start_prepare(state, message, now_s)
        case CommandResult():
            return state, _apply_result(state, message)
        case CommittedEpochs():
            return state, _apply_epochs(state, message)
        case Prepared():
            return state, _count_prepared(state, message)
        case PrepareRefused():
            return state, _apply_prepare_refusal(state, message)
        case RankReport():
            return state, _permit(state, message)


def _step_down(state: CoordinatorState) -> None:
    """Return to waiting for the lease; the highest permitted step is retained."""
    state.phase = Phase.LEASE
    state.preparing = None
    state.commit = None


def _tick(state: CoordinatorState, now_s: float) -> list[CoordinatorOutput]:
    if state.phase is Phase.LEASE:
        return [ProposeCommand(AcquireLease(lease_name(state.group), state.holder, LEASE_S))]
    results: list[CoordinatorOutput] = []
    if now_s >= state.renew_at_s:
        name = lease_name(state.group)
        results.append(ProposeCommand(RenewLease(name, state.holder, state.fencing, LEASE_S)))
    if state.phase is Phase.OLD_LEASE and now_s >= state.fence_from_s:
        state.phase = Phase.FENCE
    if state.phase is Phase.PREPARE and now_s >= state.prepare_until_s:
        return results + _abort(state, ResultCode.EXPIRED_BEFORE_START)
    return results + _pending_requests(state)


def _pending_requests(state: CoordinatorState) -> list[CoordinatorOutput]:
    """Return the requests whose answers the current phase waits for."""
    if state.phase is Phase.FENCE:
        return [ProposeCommand(_fence_command(state))]
    if state.phase is Phase.READ:
        return [QueryEpochs(state.group, state.holder)]
    if state.phase is Phase.PREPARE and state.preparing is not None:
        waiting = [r for r in map(RankId, range(state.ranks)) if r not in state.prepared]
        return [SendToRank(rank, state.preparing) for rank in waiting]
    if state.phase is Phase.COMMIT and state.commit is not None:
        return [ProposeCommand(state.commit)]
    return []


def _fence_command(state: CoordinatorState) -> CommitEpoch:
    """Return a commit that the log always refuses, but that raises its fencing number."""
    return CommitEpoch(state.group, NO_EPOCH, state.fencing, StepNumber(0), ())


def _apply_result(state: CoordinatorState, message: CommandResult) -> list[CoordinatorOutput]:
    command, result = message.command, message.result
    match command, result:
        case AcquireLease(), LeaseResult():
            return _apply_acquire_result(state, result, message.sent_s)
        case RenewLease(), LeaseResult():
            return _apply_renew_result(state, command, result, message.sent_s)
        case CommitEpoch(), EpochResult() if command.fencing == state.fencing:
            return _apply_commit_result(state, command, result)
    return []


def _apply_acquire_result(
    state: CoordinatorState, result: LeaseResult, sent_s: float
) -> list[CoordinatorOutput]:
    granted = result.code is ResultCode.OK and result.holder == state.holder
    if not granted or result.fencing < state.fencing:
        return []
    if result.fencing == state.fencing:
        # A resent request in a later phase; or the log still holds the lease that this coordinator
        # gave up. Commits of that time may be on their way, so it needs a higher fencing number.
        return [] if state.phase is not Phase.LEASE else [_end_lease(state)]
    _step_down(state)
    state.fencing = result.fencing
    _extend_lease(state, sent_s)
    must_wait = state.fence is FenceMode.IGNORES and result.fencing > FIRST_FENCING
    # The log times the old lease by its own clock. One more lease duration covers the clock drift
    # of the old holder and its last orders, which a platform that ignores fencing numbers executes.
    state.fence_from_s = sent_s + LEASE_S if must_wait else sent_s
    state.phase = Phase.OLD_LEASE if must_wait else Phase.FENCE
    return _pending_requests(state)


def _apply_renew_result(
    state: CoordinatorState, command: RenewLease, result: LeaseResult, sent_s: float
) -> list[CoordinatorOutput]:
    if state.phase is Phase.LEASE or command.fencing != state.fencing:
        return []
    if result.code is ResultCode.OK:
        _extend_lease(state, sent_s)
    else:
        _step_down(state)
    return []


def _end_lease(state: CoordinatorState) -> CoordinatorOutput:
    """Return a command that ends this coordinator's lease in the log."""
    name = lease_name(state.group)
    return ProposeCommand(RenewLease(name, state.holder, state.fencing, ENDED_LEASE_S))


def _extend_lease(state: CoordinatorState, sent_s: float) -> None:
    state.lease_until_s = max(state.lease_until_s, sent_s + LEASE_S)
    state.renew_at_s = max(state.renew_at_s, sent_s + RENEW_AFTER_S)


def _apply_commit_result(
    state: CoordinatorState, command: CommitEpoch, result: EpochResult
) -> list[CoordinatorOutput]:
    if result.code is ResultCode.STALE_FENCING_NUMBER:
        _step_down(state)
        return []
    if state.phase is Phase.FENCE and command.epoch == NO_EPOCH:
        state.read_epoch = result.epoch
        state.phase = Phase.READ
        return _pending_requests(state)
    if state.phase is not Phase.COMMIT or command != state.commit:
        return []
    state.commit = None
    state.preparing = None
    if result.code is not ResultCode.OK:
        _step_down(state)
        return [LogLine(Event.EPOCH_ABORTED, command.epoch, command.first_step, result.code)]
    new = CommittedEpoch(command.group, command.epoch, command.first_step, command.placement)
    state.maps = (*state.maps[-1:], new)
    state.phase = Phase.STEADY
    line = LogLine(Event.EPOCH_COMMITTED, command.epoch, command.first_step)
    return [line, *_broadcast(state, _committed_epochs(state))]


def _apply_epochs(state: CoordinatorState, message: CommittedEpochs) -> list[CoordinatorOutput]:
    """Apply the committed maps; ignore an answer from before the fencing number was raised."""
    if state.phase is not Phase.READ or message.fencing < state.fencing:
        return []
    newest = message.maps[-1].epoch if message.maps else NO_EPOCH
    if message.fencing > state.fencing or newest != state.read_epoch:
        _step_down(state)
        return []
    state.maps = message.maps
    state.phase = Phase.STEADY
    return _broadcast(state, _committed_epochs(state))


def _committed_epochs(state: CoordinatorState) -> CommittedEpochs:
    return CommittedEpochs(state.group, state.fencing, state.maps)


def _broadcast(state: CoordinatorState, message: ToRank) -> list[CoordinatorOutput]:
    return [SendToRank(RankId(rank), message) for rank in range(state.ranks)]


def _start_prepare(
    state: CoordinatorState, message: ProposePlacement, now_s: float
) -> list[CoordinatorOutput]:
    if not may_place(state):
        return []
    epoch = MapEpoch(current_epoch(state) + 1)
    state.attempt += 1
    state.preparing = PrepareEpoch(
        state.group, state.fencing, epoch, state.attempt, message.placement
    )
    state.prepared = set()
    state.prepare_until_s = now_s + PREPARE_TIMEOUT_S
    state.phase = Phase.PREPARE
    return _pending_requests(state)


def _count_prepared(state: CoordinatorState, message: Prepared) -> list[CoordinatorOutput]:
    preparing = state.preparing
    if state.phase is not Phase.PREPARE or preparing is None:
        return []
    expected = (preparing.fencing, preparing.epoch, preparing.attempt)
    if (message.fencing, message.epoch, message.attempt) != expected:
        return []
    state.prepared.add(message.rank)
    state.permitted = max(state.permitted, message.permitted_step)
    return _commit(state, preparing) if all_prepared(state) else []


def _commit(state: CoordinatorState, preparing: PrepareEpoch) -> list[CoordinatorOutput]:
    last = state.maps[-1].first_step if state.maps else NO_STEP
    first_step = StepNumber(max(state.permitted, last) + 1)
    state.commit = CommitEpoch(
        preparing.group, preparing.epoch, preparing.fencing, first_step, preparing.placement
    )
    state.phase = Phase.COMMIT
    line = LogLine(Event.EPOCH_PREPARED, preparing.epoch, first_step)
    return [line, ProposeCommand(state.commit)]


def _apply_prepare_refusal(
    state: CoordinatorState, message: PrepareRefused
) -> list[CoordinatorOutput]:
    preparing = state.preparing
    if state.phase is not Phase.PREPARE or preparing is None:
        return []
    if message.fencing > state.fencing:
        _step_down(state)
        return []
    if (message.epoch, message.attempt) != (preparing.epoch, preparing.attempt):
        return []
    return _abort(state, message.code)


def _abort(state: CoordinatorState, code: ResultCode) -> list[CoordinatorOutput]:
    preparing = state.preparing
    if preparing is None:
        return []
    state.preparing = None
    state.phase = Phase.STEADY
    abort = AbortEpoch(preparing.group, preparing.fencing, preparing.epoch, preparing.attempt)
    line = LogLine(Event.EPOCH_ABORTED, preparing.epoch, state.reached, code)
    return [line, *_broadcast(state, abort)]


def _permit(state: CoordinatorState, message: RankReport) -> list[CoordinatorOutput]:
    """Answer a report with a permission, and with the maps if the rank lacks the latest."""
    state.reached = max(state.reached, message.step)
    if state.phase not in (Phase.STEADY, Phase.PREPARE, Phase.COMMIT) or not state.maps:
        return []
    results: list[CoordinatorOutput] = []
    epoch = current_epoch(state)
    if message.epoch < epoch:
        results.append(SendToRank(message.rank, _committed_epochs(state)))
    last_step = permit_limit(state)
    if last_step > message.permitted_step:
        state.permitted = max(state.permitted, last_step)
        permit = Permit(state.group, state.fencing, message.incarnation, epoch, last_step)
        results.append(SendToRank(message.rank, permit))
    return results
