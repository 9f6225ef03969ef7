"""Protocol of map epochs at one rank: prepare weights, track permissions, enter steps."""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import (
    ExpertId,
    FencingNumber,
    GroupId,
    Incarnation,
    MapEpoch,
    RankId,
    StepNumber,
)
from lycheefall._core.messages.control import CommittedEpoch
from lycheefall._core.messages.groups import (
    AbortEpoch,
    CommittedEpochs,
    DropWeights,
    EnterStep,
    LoadFailed,
    LoadWeights,
    Permit,
    Placement,
    Prepared,
    PrepareEpoch,
    PrepareRefused,
    QueryEpochs,
    RankReport,
    StepDone,
    StepEntered,
    StepRefused,
    WeightsLoaded,
)
from lycheefall._rules.placement import added_experts

NO_STEP = StepNumber(-1)
# Latest committed maps that a rank keeps; it needs the current one and the next.
MAX_MAPS = 8
# A rank reports early when this many permitted steps remain.
REPORT_BELOW_STEPS = 32
# Lower bound of the interval between the requests of a rank that may not enter a step, however
# often it tries.
MIN_REQUEST_INTERVAL_S = 0.05


class ReportDue(Struct, frozen=True):
    """Timer event for the periodic report of a rank."""


RankInput = (
    PrepareEpoch
    | AbortEpoch
    | Permit
    | CommittedEpochs
    | EnterStep
    | StepDone
    | WeightsLoaded
    | LoadFailed
    | ReportDue
)
RankOutput = (
    Prepared
    | PrepareRefused
    | RankReport
    | QueryEpochs
    | LoadWeights
    | DropWeights
    | StepEntered
    | StepRefused
)


class RankState(Struct):
    """State of the agent of one rank: maps, permissions and weights."""

    group: GroupId
    rank: RankId
    incarnation: Incarnation
    # Experts whose weights the rank has loaded.
    resident: set[ExpertId] = field(default_factory=set)
    loading: set[ExpertId] = field(default_factory=set)
    # Highest fencing number seen; orders and permissions with a lower one are refused.
    fencing: FencingNumber = FencingNumber(0)
    # True once control has answered this incarnation, so that the fencing number is current.
    joined: bool = False
    # Committed maps in the order of their epochs.
    maps: list[CommittedEpoch] = field(default_factory=list)
    preparing: PrepareEpoch | None = None
    # Highest step that the rank may enter, and highest step that it has entered.
    permitted: StepNumber = NO_STEP
    entered: StepNumber = NO_STEP
    # True once the rank has reported its current step to this incarnation of the agent.
    step_known: bool = False
    next_request_s: float = 0.0
    # Work since the last report.
    expert_tokens: list[float] = field(default_factory=list)
    busy_s: float = 0.0


def initial(
    group: GroupId, rank: RankId, incarnation: Incarnation, resident: frozenset[ExpertId]
) -> RankState:
    """Return the initial state of an agent of a rank."""
    return RankState(group, rank, incarnation, set(resident))


def step(state: RankState, message: RankInput, now_s: float) -> tuple[RankState, list[RankOutput]]:
    """Apply one message to the state of a rank."""
    match message:
        case PrepareEpoch():
            return state, _prepare(state, message)
        case AbortEpoch():
            return state, _abort(state, message)
        case Permit():
            return state, _permit(state, message)
        case CommittedEpochs():
            return state, _add_maps(state, message)
        case EnterStep():
            return state, _enter(state, message, now_s)
        case StepDone():
            return state, _record_step(state, message)
        case WeightsLoaded():
            return state, _weights_loaded(state, message)
        case LoadFailed():
            return state, _load_failed(state, message)
        case ReportDue():
            return state, _report(state)


def known_epoch(state: RankState) -> MapEpoch:
    """Return the highest committed epoch known to the rank."""
    return state.maps[-1].epoch if state.maps else MapEpoch(0)


def is_stale(state: RankState, fencing: FencingNumber) -> bool:
    """Return whether a fencing number is lower than the highest seen."""
    return fencing < state.fencing


def is_permitted(state: RankState, number: StepNumber) -> bool:
    """Return whether no epoch unknown to this rank can start at or before a step."""
    return number <= state.permitted


def _prepare(state: RankState, message: PrepareEpoch) -> list[RankOutput]:
    if is_stale(state, message.fencing):
        return [_prepare_refusal(state, message, ResultCode.STALE_FENCING_NUMBER)]
    if not state.joined:
        return [_epochs_request(state)]
    state.fencing = message.fencing
    if message.epoch <= known_epoch(state):
        return []
    if state.preparing != message:
        state.preparing = message
        return (
            _drop_unused(state)
            + _load_missing(state, message.placement)
            + _answer_if_prepared(state)
        )
    return _answer_if_prepared(state)


def _answer_if_prepared(state: RankState) -> list[RankOutput]:
    """Answer a preparation once all weights are loaded.

    A restarted agent first waits for the current step of its rank. The rank may have entered steps
    under a permission of the previous incarnation, and the answer must cover them.
    """
    message = state.preparing
    if message is None or not state.step_known or _missing_experts(state, message.placement):
        return []
    return [
        Prepared(
            state.group,
            state.rank,
            state.incarnation,
            message.fencing,
            message.epoch,
            message.attempt,
            max(state.permitted, state.entered),
        )
    ]


def _abort(state: RankState, message: AbortEpoch) -> list[RankOutput]:
    pending = state.preparing
    if pending is None or is_stale(state, message.fencing):
        return []
    if (pending.epoch, pending.attempt) != (message.epoch, message.attempt):
        return []
    state.preparing = None
    return _drop_unused(state)


def _permit(state: RankState, message: Permit) -> list[RankOutput]:
    if is_stale(state, message.fencing) or message.incarnation != state.incarnation:
        return []
    if not state.joined or known_epoch(state) < message.epoch:
        return [_epochs_request(state)]
    state.fencing = message.fencing
    state.permitted = max(state.permitted, message.last_step)
    return []


def _add_maps(state: RankState, message: CommittedEpochs) -> list[RankOutput]:
    """Add committed maps; they come from the log and need no fencing check."""
    state.fencing = max(state.fencing, message.fencing)
    by_epoch = {each.epoch: each for each in (*state.maps, *message.maps)}
    state.maps = [by_epoch[epoch] for epoch in sorted(by_epoch)][-MAX_MAPS:]
    if message.requester == state.incarnation:
        state.joined = True
    pending = state.preparing
    if pending is not None and pending.epoch <= known_epoch(state):
        state.preparing = None
    return _load_live_maps(state)


def _load_live_maps(state: RankState) -> list[RankOutput]:
    """Load missing weights of the current and later maps, for example after a restart."""
    results: list[RankOutput] = []
    for each in _live_maps(state):
        results += _load_missing(state, each.placement)
    return results


def _enter(state: RankState, message: EnterStep, now_s: float) -> list[RankOutput]:
    # After a restart of the agent, only the rank itself knows its current step.
    state.entered = max(state.entered, StepNumber(message.step - 1))
    if not state.step_known:
        state.step_known = True
        return _answer_if_prepared(state) + _try_enter(state, message, now_s)
    return _try_enter(state, message, now_s)


def _try_enter(state: RankState, message: EnterStep, now_s: float) -> list[RankOutput]:
    if not is_permitted(state, message.step):
        return _refuse_entry(state, message, now_s)
    usable = [each for each in state.maps if each.first_step <= message.step]
    if not usable:
        return _refuse_entry(state, message, now_s)
    current = max(usable, key=lambda each: each.first_step)
    if _missing_experts(state, current.placement):
        return [_not_ready(message), *_load_missing(state, current.placement)]
    state.entered = max(state.entered, message.step)
    entered = StepEntered(message.step, current.epoch, current.placement)
    results: list[RankOutput] = [entered, *_drop_unused(state)]
    if state.permitted - message.step == REPORT_BELOW_STEPS:
        results += _report(state)
    return results


def _refuse_entry(state: RankState, message: EnterStep, now_s: float) -> list[RankOutput]:
    """Refuse a step, and request the permission and maps needed to enter it."""
    if now_s < state.next_request_s:
        return [_not_ready(message)]
    state.next_request_s = now_s + MIN_REQUEST_INTERVAL_S
    return [_not_ready(message), *_report(state)]


def _not_ready(message: EnterStep) -> StepRefused:
    return StepRefused(message.step, ResultCode.NOT_READY)


def _record_step(state: RankState, message: StepDone) -> list[RankOutput]:
    if len(state.expert_tokens) != len(message.expert_tokens):
        state.expert_tokens = [0.0] * len(message.expert_tokens)
    for expert, tokens in enumerate(message.expert_tokens):
        state.expert_tokens[expert] += tokens
    state.busy_s += message.busy_s
    return []


def _weights_loaded(state: RankState, message: WeightsLoaded) -> list[RankOutput]:
    state.resident.update(message.experts)
    state.loading.difference_update(message.experts)
    return _answer_if_prepared(state)


def _load_failed(state: RankState, message: LoadFailed) -> list[RankOutput]:
    state.loading.difference_update(message.experts)
    pending = state.preparing
    if pending is None or not _missing_experts(state, pending.placement):
        return []
    state.preparing = None
    return [_prepare_refusal(state, pending, message.code)]


def _report(state: RankState) -> list[RankOutput]:
    report = RankReport(
        state.group,
        state.rank,
        state.incarnation,
        state.entered,
        state.permitted,
        known_epoch(state),
        tuple(state.expert_tokens),
        state.busy_s,
    )
    state.expert_tokens = []
    state.busy_s = 0.0
    return [report] if state.joined else [report, _epochs_request(state)]


def _live_maps(state: RankState) -> list[CommittedEpoch]:
    """Return the current map and the next; a coordinator commits at most one epoch ahead."""
    if state.entered == NO_STEP:
        return state.maps[-2:]
    used = [each.first_step for each in state.maps if each.first_step <= state.entered]
    first = max(used, default=NO_STEP)
    return [each for each in state.maps if each.first_step >= first]


def _needed_experts(state: RankState, placement: Placement) -> set[ExpertId]:
    return set(added_experts(None, placement, state.rank))


def _missing_experts(state: RankState, placement: Placement) -> set[ExpertId]:
    return _needed_experts(state, placement) - state.resident


def _load_missing(state: RankState, placement: Placement) -> list[RankOutput]:
    missing = _missing_experts(state, placement) - state.loading
    if not missing:
        return []
    state.loading |= missing
    return [LoadWeights(state.fencing, tuple(sorted(missing)))]


def _drop_unused(state: RankState) -> list[RankOutput]:
    needed: set[ExpertId] = set()
    for each in _live_maps(state):
        needed |= _needed_experts(state, each.placement)
    if state.preparing is not None:
        needed |= _needed_experts(state, state.preparing.placement)
    unused = state.resident - needed
    if not unused:
        return []
    state.resident -= unused
    return [DropWeights(tuple(sorted(unused)))]


def _epochs_request(state: RankState) -> QueryEpochs:
    return QueryEpochs(state.group, state.incarnation)


def _prepare_refusal(state: RankState, message: PrepareEpoch, code: ResultCode) -> PrepareRefused:
    return PrepareRefused(
        state.group, state.rank, state.fencing, message.epoch, message.attempt, code
    )
