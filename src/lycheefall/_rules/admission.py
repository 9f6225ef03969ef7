"""Admission control of one pool: queue, refuse or admit each request."""

from collections.abc import Sequence
from heapq import heappop, heappush

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import RequestId, TeamId
from lycheefall._rules import fairness, shares
from lycheefall._rules.service_rate import (
    SlotRate,
    observe_admitted,
    observe_finished,
    tokens_per_s,
    tokens_per_slot_s,
)
from lycheefall._rules.shares import ClassPolicy, ClassState, WorkClass

_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0


class AdmissionRequest(Struct, frozen=True, kw_only=True):
    """A request submitted for admission."""

    request: RequestId
    team: TeamId
    weight: float
    work_class: WorkClass
    # Estimated cost; `finish` replaces it by the actual cost.
    cost_tokens: float
    # Deadline of the caller, on the same clock as now_s.
    deadline_s: float


class Admitted(Struct, frozen=True):
    """An admitted request, which occupies a slot until `finish`."""

    request: RequestId
    waited_s: float


class Refused(Struct, frozen=True):
    """A request that was not run, and the delay before a retry in seconds."""

    request: RequestId
    code: ResultCode
    retry_after_s: float


AdmissionOutcome = Admitted | Refused


class _Waiting(Struct):
    item: AdmissionRequest
    since_s: float
    expires_s: float


class _Running(Struct):
    item: AdmissionRequest
    since_s: float


class AdmissionState:
    """Classes, queued requests and running requests of one pool."""

    __slots__ = (
        "classes",
        "classes_by_urgency",
        "expiries",
        "queue_requests",
        "rate",
        "running",
        "sequence",
        "slots",
        "waiting",
    )

    def __init__(self, policies: Sequence[ClassPolicy], queue_requests: int) -> None:
        # In order of decreasing urgency.
        self.classes_by_urgency = [ClassState(policy) for policy in policies]
        self.classes = {
            class_state.policy.name: class_state for class_state in self.classes_by_urgency
        }
        self.queue_requests = queue_requests
        self.waiting: dict[RequestId, _Waiting] = {}
        self.running: dict[RequestId, _Running] = {}
        # Heap of expiry time, sequence number and request; may contain requests that have left.
        self.expiries: list[tuple[float, int, RequestId]] = []
        self.sequence = 0
        self.rate = SlotRate()
        # Slots of the pool, including busy ones, at the last call of `admit`.
        self.slots = 0


def submit(
    state: AdmissionState, item: AdmissionRequest, now_s: float
) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Queue a request or refuse it; when the queue is full, shed one request.

    `admit` admits queued requests. The outcome may be about a request other than this one.
    """
    class_state = state.classes.get(item.work_class)
    if class_state is None:
        return state, [Refused(item.request, ResultCode.UNKNOWN_PRIORITY, _MIN_RETRY_AFTER_S)]
    if item.request in state.waiting or item.request in state.running:
        return state, [Refused(item.request, ResultCode.DUPLICATE_ATTEMPT, _MIN_RETRY_AFTER_S)]
    expires_s = min(item.deadline_s, now_s + class_state.policy.max_wait_s)
    late_s = now_s + expected_wait_s(state, item, now_s) - expires_s
    if late_s > 0.0:
        code = ResultCode.DEADLINE_UNREACHABLE
        return state, [Refused(item.request, code, _retry_after_s(late_s))]
    _enqueue(state, class_state, item, now_s, expires_s)
    if len(state.waiting) > state.queue_requests:
        return state, [_shed_one(state, now_s)]
    return state, []


def admit(
    state: AdmissionState, slots: int, now_s: float
) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Admit requests while the pool has free slots; `slots` is the total, including busy ones."""
    if slots != state.slots:
        state.slots = slots
        shares.reserve_slots(state.classes_by_urgency, slots)
    shares.reserve_for_most_urgent(state.classes_by_urgency, slots, now_s)
    state, outcomes = expire(state, now_s)
    while state.waiting:
        class_state = shares.next_class(state.classes_by_urgency, slots - len(state.running))
        if class_state is None:
            break
        request = fairness.take(class_state.queue)
        if request is None:
            break
        outcomes.append(_admit_one(state, class_state, request, now_s))
    return state, outcomes


def finish(
    state: AdmissionState, request: RequestId, cost_tokens: float, now_s: float
) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Free the slot of an admitted request and charge its team the actual cost in tokens."""
    running = state.running.pop(request, None)
    if running is None:
        return state, []
    observe_finished(state.rate, cost_tokens, now_s - running.since_s)
    item = running.item
    class_state = state.classes.get(item.work_class)
    if class_state is not None:
        class_state.in_flight -= 1
        fairness.charge(class_state.queue, item.team, cost_tokens - item.cost_tokens)
    return state, []


def cancel(
    state: AdmissionState, request: RequestId, now_s: float
) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Remove a queued request that its caller cancelled; a running one ends through `finish`."""
    if request not in state.waiting:
        return state, []
    _dequeue(state, request)
    return state, [Refused(request, ResultCode.CANCELLED_BEFORE_START, 0.0)]


def expire(state: AdmissionState, now_s: float) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Refuse the queued requests that have reached their expiry time."""
    outcomes: list[AdmissionOutcome] = []
    while state.expiries and state.expiries[0][0] <= now_s:
        _, _, request = heappop(state.expiries)
        waiting = state.waiting.get(request)
        if waiting is None:
            continue
        if now_s < waiting.expires_s:
            # The heap entry belongs to an earlier request with the same id.
            continue
        _dequeue(state, request)
        retry_after_s = _retry_after_s(expected_wait_s(state, waiting.item, now_s))
        outcomes.append(Refused(request, ResultCode.EXPIRED_BEFORE_START, retry_after_s))
    return state, outcomes


def reconfigure(
    state: AdmissionState, policies: Sequence[ClassPolicy], queue_requests: int
) -> tuple[AdmissionState, list[AdmissionOutcome]]:
    """Apply new classes and bounds, and refuse the queued requests of removed classes."""
    configured = {policy.name for policy in policies}
    outcomes: list[AdmissionOutcome] = []
    for request, waiting in list(state.waiting.items()):
        if waiting.item.work_class not in configured:
            _dequeue(state, request)
            outcomes.append(Refused(request, ResultCode.UNKNOWN_PRIORITY, _MIN_RETRY_AFTER_S))
    before = state.classes
    state.classes_by_urgency = [
        before.get(policy.name) or ClassState(policy) for policy in policies
    ]
    for class_state, policy in zip(state.classes_by_urgency, policies, strict=True):
        class_state.policy = policy
    state.classes = {
        class_state.policy.name: class_state for class_state in state.classes_by_urgency
    }
    state.queue_requests = queue_requests
    shares.reserve_slots(state.classes_by_urgency, state.slots)
    return state, outcomes


def next_expiry_s(state: AdmissionState) -> float | None:
    """Return the earliest time at which `expire` may act, or None when the queue is empty."""
    return state.expiries[0][0] if state.waiting else None


def expected_wait_s(state: AdmissionState, item: AdmissionRequest, now_s: float) -> float:
    """Estimate the wait of a new request in seconds from the service rate and the cost ahead.

    More urgent classes are served first, and less urgent ones with a backlog keep their shares. The
    wait is no longer than it would be if the class were served only by its own share.
    """
    # Capacity and share are in tokens per second.
    capacity = state.slots * tokens_per_slot_s(state.rate)
    own = state.classes[item.work_class]
    urgent_tokens = 0.0
    urgent_tokens_per_s = 0.0
    backlogged_share_ratio = 0.0
    is_less_urgent = False
    for class_state in state.classes_by_urgency:
        if class_state is own:
            is_less_urgent = True
        elif is_less_urgent:
            backlogged_share_ratio += (
                class_state.policy.share_ratio if class_state.queue.length else 0.0
            )
        else:
            urgent_tokens += class_state.queue.backlog_tokens
            urgent_tokens_per_s += tokens_per_s(class_state.admission_rate, now_s)
    own_tokens = own.queue.backlog_tokens and (
        fairness.tokens_ahead(own.queue, item.team, item.weight, item.cost_tokens)
        - item.cost_tokens
    )
    if capacity <= 0.0 or not (own_tokens or urgent_tokens):
        return 0.0
    remaining_ratio = 1.0 - urgent_tokens_per_s / capacity - backlogged_share_ratio
    by_urgency_s = urgent_tokens / capacity + own_tokens / (capacity * max(remaining_ratio, 1e-9))
    share = capacity * own.policy.share_ratio
    return min(by_urgency_s, own_tokens / share) if share > 0.0 else by_urgency_s


def _enqueue(
    state: AdmissionState,
    class_state: ClassState,
    item: AdmissionRequest,
    now_s: float,
    expires_s: float,
) -> None:
    state.waiting[item.request] = _Waiting(item, now_s, expires_s)
    state.sequence += 1
    heappush(state.expiries, (expires_s, state.sequence, item.request))
    fairness.add(class_state.queue, item.team, item.weight, item.request, item.cost_tokens)


def _admit_one(
    state: AdmissionState, class_state: ClassState, request: RequestId, now_s: float
) -> Admitted:
    waiting = state.waiting.pop(request)
    state.running[request] = _Running(waiting.item, now_s)
    shares.count_started(class_state)
    observe_admitted(class_state.admission_rate, waiting.item.cost_tokens, now_s)
    shares.update_credits(state.classes_by_urgency, class_state, waiting.item.cost_tokens)
    return Admitted(request, now_s - waiting.since_s)


def _dequeue(state: AdmissionState, request: RequestId) -> None:
    item = state.waiting.pop(request).item
    fairness.remove(state.classes[item.work_class].queue, item.team, request)


def _shed_one(state: AdmissionState, now_s: float) -> Refused:
    # Each class is entitled to an equal part of the queue. Of the classes that exceed their part,
    # the one of least worth sheds first.
    places = state.queue_requests // len(state.classes_by_urgency)
    over = [each for each in state.classes_by_urgency if each.queue.length > places]
    victim = min(reversed(over), key=lambda class_state: class_state.policy.worth)
    team_queue = fairness.longest_team_queue(victim.queue)
    assert team_queue is not None, "a class above its part of the queue has a team queue"
    request = fairness.newest(team_queue)
    item = state.waiting[request].item
    _dequeue(state, request)
    retry_after_s = _retry_after_s(expected_wait_s(state, item, now_s))
    return Refused(request, ResultCode.OVERLOADED, retry_after_s)


def _retry_after_s(estimate_s: float) -> float:
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, estimate_s))
