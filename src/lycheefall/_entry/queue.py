"""Queue requests until the upstreams of their route have free capacity."""

from msgspec import Struct, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.ids import PoolId, RequestId, TeamId
from lycheefall._core.messages.entry import (
    Abandon,
    CallEnded,
    CallerRequest,
    Capacity,
    ConfigurationChanged,
    FromQueue,
    Run,
    StopBegan,
    Submit,
    Tick,
    ToQueue,
)
from lycheefall._rules import admission, planned_stop
from lycheefall._rules.admission import AdmissionOutcome, AdmissionRequest, AdmissionState, Admitted
from lycheefall._rules.refusals import STOPPING_DETAIL, refuse
from lycheefall._rules.shares import ClassPolicy, class_of, policies_of

# Pools that a route can use; routes with the same pools share a queue.
Pools = tuple[PoolId, ...]
# Nobody knows when an evacuation ends; callers learn of that within about this time.
EVACUATED_RETRY_S = 1.0


class QueueState(Struct, eq=False):
    """Admission queues by pools, and the requests that wait in them."""

    configuration: Configuration = field(default_factory=Configuration)
    queues: dict[Pools, AdmissionState] = field(default_factory=dict)
    # Requests that the upstreams of a pool may run for this entry, including running ones.
    slots: dict[PoolId, int] = field(default_factory=dict)
    # Pools whose upstreams are all in evacuated data centres.
    evacuated: set[PoolId] = field(default_factory=set)
    weights: dict[TeamId, float] = field(default_factory=dict)
    waiting: dict[RequestId, CallerRequest] = field(default_factory=dict)
    # When the entry ends all requests; None until it stops.
    ends_s: float | None = None


def step_queue(
    state: QueueState, message: ToQueue, now_s: float
) -> tuple[QueueState, list[FromQueue]]:
    """Apply one message to the queues."""
    match message:
        case Submit():
            return state, _submit(state, message.caller_request, now_s)
        case CallEnded():
            return state, _finish(state, message, now_s)
        case Abandon():
            return state, _abandon(state, message, now_s)
        case Capacity():
            return state, _set_capacity(state, message, now_s)
        case ConfigurationChanged():
            return state, _configure(state, message.configuration)
        case StopBegan():
            return state, _begin_stop(state, message, now_s)
        case Tick():
            batches = [_admit_waiting(state, pools, now_s) for pools in state.queues]
            return state, [each for batch in batches for each in batch]


def _submit(state: QueueState, caller_request: CallerRequest, now_s: float) -> list[FromQueue]:
    if not planned_stop.may_start(caller_request.deadline_s, state.ends_s):
        return [refuse(caller_request, ResultCode.SHUTTING_DOWN, STOPPING_DETAIL)]
    pools = caller_request.route.pools
    if state.evacuated.issuperset(pools):
        return [_refuse_evacuated(caller_request)]
    queue = _queue_for(state, pools)
    state.waiting[caller_request.request] = caller_request
    item = AdmissionRequest(
        request=caller_request.request,
        team=caller_request.team,
        weight=state.weights.get(caller_request.team, 1.0),
        work_class=class_of(caller_request.route.kind, caller_request.priority),
        cost_tokens=caller_request.cost_tokens,
        deadline_s=caller_request.deadline_s,
    )
    _, outcomes = admission.submit(queue, item, now_s)
    return _to_messages(state, outcomes) + _admit_waiting(state, pools, now_s)


def _set_capacity(state: QueueState, capacity: Capacity, now_s: float) -> list[FromQueue]:
    """Set the slots of a pool, and refuse what waits for evacuated pools only."""
    state.slots[capacity.pool] = capacity.slots
    if not capacity.is_evacuated:
        state.evacuated.discard(capacity.pool)
        return []
    state.evacuated.add(capacity.pool)
    refused = [
        each for each in state.waiting.values() if state.evacuated.issuperset(each.route.pools)
    ]
    for each in refused:
        _abandon(state, Abandon(each.request), now_s)
    return [_refuse_evacuated(each) for each in refused]


def _refuse_evacuated(caller_request: CallerRequest) -> FromQueue:
    detail = "all upstreams of the route are in evacuated data centres"
    return refuse(caller_request, ResultCode.NO_UPSTREAM, detail, EVACUATED_RETRY_S)


def _finish(state: QueueState, ended: CallEnded, now_s: float) -> list[FromQueue]:
    queue = _queue_for(state, ended.pools)
    admission.finish(queue, ended.request, ended.cost_tokens, now_s)
    return _admit_waiting(state, ended.pools, now_s)


def _abandon(state: QueueState, abandon: Abandon, now_s: float) -> list[FromQueue]:
    caller_request = state.waiting.pop(abandon.request, None)
    if caller_request is None:
        return [abandon]
    admission.cancel(_queue_for(state, caller_request.route.pools), abandon.request, now_s)
    return []


def _begin_stop(state: QueueState, began: StopBegan, now_s: float) -> list[FromQueue]:
    """Refuse the queued requests that may not end before the entry does."""
    state.ends_s = began.ends_s
    late = [
        each
        for each in state.waiting.values()
        if not planned_stop.may_start(each.deadline_s, state.ends_s)
    ]
    for each in late:
        _abandon(state, Abandon(each.request), now_s)
    return [refuse(each, ResultCode.SHUTTING_DOWN, STOPPING_DETAIL) for each in late]


def _admit_waiting(state: QueueState, pools: Pools, now_s: float) -> list[FromQueue]:
    slots = sum(state.slots.get(pool, 0) for pool in pools)
    _, outcomes = admission.admit(state.queues[pools], slots, now_s)
    return _to_messages(state, outcomes)


def _to_messages(state: QueueState, outcomes: list[AdmissionOutcome]) -> list[FromQueue]:
    results: list[FromQueue] = []
    for outcome in outcomes:
        caller_request = state.waiting.pop(outcome.request, None)
        if caller_request is None:
            continue
        if isinstance(outcome, Admitted):
            results.append(Run(caller_request))
        else:
            detail = "the request could not be served in time"
            results.append(refuse(caller_request, outcome.code, detail, outcome.retry_after_s))
    return results


def _configure(state: QueueState, configuration: Configuration) -> list[FromQueue]:
    state.configuration = configuration
    state.weights = {team.name: team.weight for team in configuration.teams}
    results: list[FromQueue] = []
    for pools, queue in state.queues.items():
        limits = configuration.limits
        policies = _class_policies(configuration, pools)
        _, outcomes = admission.reconfigure(queue, policies, limits.queue_requests)
        results += _to_messages(state, outcomes)
    return results


def _queue_for(state: QueueState, pools: Pools) -> AdmissionState:
    queue = state.queues.get(pools)
    if queue is None:
        limits = state.configuration.limits
        policies = _class_policies(state.configuration, pools)
        queue = state.queues[pools] = AdmissionState(policies, limits.queue_requests)
    return queue


def _class_policies(configuration: Configuration, pools: Pools) -> tuple[ClassPolicy, ...]:
    kinds = {route.kind for route in configuration.routes if route.pools == pools}
    return policies_of(configuration.priorities, kinds, configuration.limits.queue_s)
