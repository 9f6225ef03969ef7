"""Tests of admission by priority, share and deadline."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec import structs

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Priority
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PriorityId, RequestId, TeamId
from lycheefall._rules import admission, shares
from lycheefall._rules.admission import (
    AdmissionOutcome,
    AdmissionRequest,
    AdmissionState,
    Admitted,
    Refused,
)
from lycheefall._rules.shares import WorkClass

PRIORITIES = tuple(
    Priority(name=PriorityId(name), target_s=target_s, worth=worth)
    for name, target_s, worth in (("urgent", 0.6, 100.0), ("soon", 5.0, 10.0), ("later", 60.0, 1.0))
)
QUEUE_S = 5.0
POLICIES = shares.policies_of(PRIORITIES, list(RouteKind), QUEUE_S)
NAMES = [policy.name for policy in POLICIES]
URGENT, LATER = NAMES[0], NAMES[-1]
NO_DEADLINE_S = 1e9
MAX_TOKENS = 100


def admission_request(
    name: str,
    work_class: WorkClass = URGENT,
    team: str = "team",
    tokens: float = 10.0,
    deadline_s: float = NO_DEADLINE_S,
) -> AdmissionRequest:
    """Return a request for admission."""
    return AdmissionRequest(
        request=RequestId(name),
        team=TeamId(team),
        weight=1.0,
        work_class=work_class,
        cost_tokens=tokens,
        deadline_s=deadline_s,
    )


def state_with_rate(slots: int, tokens_per_slot: float = 10.0) -> AdmissionState:
    """Return a state in which one finished request has set the service rate."""
    state = AdmissionState(POLICIES, 1000)
    admission.submit(state, admission_request("first", tokens=tokens_per_slot), 0.0)
    admission.admit(state, slots, 0.0)
    admission.finish(state, RequestId("first"), tokens_per_slot, 1.0)
    return state


def admitted_ids(outcomes: list[AdmissionOutcome]) -> list[RequestId]:
    """Return the ids of the admitted requests."""
    return [each.request for each in outcomes if isinstance(each, Admitted)]


class AdmissionMachine(RuleBasedStateMachine):
    """Compare the admission state with a model of queued and running requests."""

    def __init__(self) -> None:
        super().__init__()
        self.bound = 8
        self.state = AdmissionState(POLICIES, self.bound)
        self.waiting: dict[RequestId, float] = {}
        self.running: list[RequestId] = []
        self.now_s = 0.0
        self.count = 0

    def _apply(self, outcomes: list[AdmissionOutcome]) -> None:
        for each in outcomes:
            del self.waiting[each.request]
            if isinstance(each, Admitted):
                self.running.append(each.request)

    @rule(
        work_class=st.sampled_from(NAMES),
        team=st.sampled_from("abc"),
        tokens=st.integers(1, MAX_TOKENS),
        allowed_s=st.floats(0.1, 20.0),
    )
    def submit(self, work_class: WorkClass, team: str, tokens: int, allowed_s: float) -> None:
        self.count += 1
        new = admission_request(str(self.count), work_class, team, tokens, self.now_s + allowed_s)
        policy = POLICIES[NAMES.index(work_class)]
        self.waiting[new.request] = self.now_s + min(allowed_s, policy.max_wait_s)
        self._apply(admission.submit(self.state, new, self.now_s)[1])

    @rule(slots=st.integers(0, 12), step_s=st.floats(0.0, 2.0))
    def admit(self, slots: int, step_s: float) -> None:
        self.now_s += step_s
        free = slots - len(self.running)
        outcomes = admission.admit(self.state, slots, self.now_s)[1]
        self._apply(outcomes)
        assert len(admitted_ids(outcomes)) <= max(0, free)
        assert all(expires_s > self.now_s for expires_s in self.waiting.values())

    @rule(data=st.data(), tokens=st.integers(1, MAX_TOKENS))
    def finish(self, data: st.DataObject, tokens: int) -> None:
        if self.running:
            request = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
            admission.finish(self.state, request, tokens, self.now_s)

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if self.waiting:
            request = data.draw(st.sampled_from(sorted(self.waiting)))
            self._apply(admission.cancel(self.state, request, self.now_s)[1])
            assert request not in self.waiting

    @invariant()
    def each_request_has_one_place(self) -> None:
        assert set(self.state.waiting) == set(self.waiting)
        assert set(self.state.running) == set(self.running)
        assert sum(each.queue.length for each in self.state.classes_by_urgency) == len(self.waiting)
        assert sum(each.in_flight for each in self.state.classes_by_urgency) == len(self.running)
        assert len(self.waiting) <= self.bound


TestAdmissionMachine = AdmissionMachine.TestCase


class TestReservedShare:
    @settings(deadline=None, max_examples=60)
    @given(
        flood=st.sampled_from(NAMES),
        other=st.sampled_from(NAMES),
        slots=st.integers(4, 40),
        costs=st.lists(st.integers(1, MAX_TOKENS), min_size=8, max_size=8),
    )
    def test_flood_does_not_starve_other_classes(
        self, flood: WorkClass, other: WorkClass, slots: int, costs: list[int]
    ) -> None:
        """Guards against a flood of one class starving another class."""
        state = AdmissionState(POLICIES, 100_000)
        served = dict.fromkeys(NAMES, 0.0)
        running: list[AdmissionRequest] = []
        sent: dict[RequestId, AdmissionRequest] = {}
        for step in range(400):
            for work_class in {flood, other}:
                new = admission_request(f"{work_class}{step}", work_class, tokens=costs[step % 8])
                sent[new.request] = new
                assert not admission.submit(state, new, 0.0)[1]
            for request in admitted_ids(admission.admit(state, slots, 0.0)[1]):
                running.append(sent[request])
                served[sent[request].work_class] += sent[request].cost_tokens
            if running:
                ended = running.pop(0)
                admission.finish(state, ended.request, ended.cost_tokens, 0.0)
        share = POLICIES[NAMES.index(other)].share_ratio
        assert served[other] >= share * sum(served.values()) - 2 * MAX_TOKENS

    @pytest.mark.parametrize("flood", NAMES)
    @pytest.mark.parametrize("other", [shares.BOOKINGS, shares.LOOKUPS])
    def test_services_find_a_free_slot(self, flood: WorkClass, other: WorkClass) -> None:
        """Guards against lookups and bookings waiting for the end of requests of a flood."""
        state = AdmissionState(POLICIES, 1000)
        for number in range(100):
            admission.submit(state, admission_request(str(number), flood), 0.0)
        admission.admit(state, 24, 0.0)
        admission.submit(state, admission_request("new", other), 0.1)
        admitted = admitted_ids(admission.admit(state, 24, 0.1)[1])
        assert (RequestId("new") in admitted) == (flood != other)
        assert len(state.running) <= 24

    def test_urgent_goes_before_a_flood(self) -> None:
        """Guards against urgent requests queueing behind less urgent ones."""
        state = AdmissionState(POLICIES, 1000)
        for number in range(100):
            admission.submit(state, admission_request(str(number), LATER), 0.0)
        admission.admit(state, 20, 0.0)
        admission.submit(state, admission_request("urgent"), 0.1)
        assert admitted_ids(admission.admit(state, 20, 0.1)[1]) == ["urgent"]


class TestEarlyRefusal:
    def test_refused_when_the_queue_is_too_long(self) -> None:
        """Guards against queueing a request that can only expire."""
        state = state_with_rate(slots=2)
        for number in range(40):
            admission.submit(state, admission_request(str(number), LATER), 1.0)
        admission.admit(state, 2, 1.0)
        outcomes = admission.submit(state, admission_request("late", LATER, deadline_s=1.5), 1.0)[1]
        assert [each.request for each in outcomes] == ["late"]
        assert isinstance(outcomes[0], Refused)
        assert outcomes[0].code is ResultCode.DEADLINE_UNREACHABLE
        assert outcomes[0].retry_after_s >= 1.0

    def test_small_team_is_not_refused_for_a_large_one(self) -> None:
        """Guards against refusing a small team because of a large team's backlog."""
        state = state_with_rate(slots=2)
        for number in range(30):
            admission.submit(state, admission_request(str(number), LATER, "large"), 1.0)
        admission.admit(state, 2, 1.0)
        assert not admission.submit(
            state, admission_request("x", LATER, "small", deadline_s=3.5), 1.0
        )[1]

    def test_nothing_is_refused_before_a_rate_is_measured(self) -> None:
        """Guards against a new entry refusing its first requests."""
        state = AdmissionState(POLICIES, 1000)
        for number in range(100):
            assert not admission.submit(state, admission_request(str(number)), 0.0)[1]


class TestQueueBound:
    def test_longest_queue_is_trimmed_first(self) -> None:
        """Guards against the flood of one team displacing another team's request."""
        state = AdmissionState(POLICIES, 20)
        admission.submit(state, admission_request("small", team="small"), 0.0)
        refused = [
            outcome
            for number in range(50)
            for outcome in admission.submit(
                state, admission_request(str(number), team="large"), 0.0
            )[1]
        ]
        assert len(refused) == 31
        assert RequestId("small") in state.waiting

    def test_class_of_least_worth_is_trimmed_first(self) -> None:
        """Guards against less urgent requests displacing urgent ones."""
        state = AdmissionState(POLICIES, 20)
        for number in range(30):
            admission.submit(state, admission_request(f"later{number}", LATER), 0.0)
        for number in range(30):
            admission.submit(state, admission_request(f"urgent{number}"), 0.0)
        lengths = {each.policy.name: each.queue.length for each in state.classes_by_urgency}
        assert lengths[URGENT] == 16
        assert lengths[LATER] == 4


class TestReconfigure:
    def test_removed_class(self) -> None:
        """Guards against requests left in a class that the new configuration removes."""
        state = AdmissionState(POLICIES, 20)
        admission.submit(state, admission_request("gone", LATER), 0.0)
        admission.submit(state, admission_request("kept"), 0.0)
        outcomes = admission.reconfigure(state, POLICIES[:-1], 20)[1]
        assert [each.request for each in outcomes] == ["gone"]
        assert admitted_ids(admission.admit(state, 4, 0.0)[1]) == ["kept"]

    def test_longer_wait(self) -> None:
        """Guards against a request that never expires after a reload allows a longer wait."""
        state = AdmissionState(POLICIES, 20)
        admission.submit(state, admission_request("waits"), 0.0)
        longer = shares.policies_of(PRIORITIES[1:], list(RouteKind), 60.0)
        renamed = [structs.replace(longer[0], name=URGENT), *longer[1:]]
        admission.reconfigure(state, renamed, 20)
        outcomes = admission.expire(state, 10.0)[1] + admission.expire(state, 100.0)[1]
        assert [each.request for each in outcomes] == ["waits"]


class TestUrgentSlots:
    def test_slots_follow_the_recent_peak(self) -> None:
        """Guards against a flood occupying the reserved slots between two urgent bursts."""
        slots, burst = 32, 9
        policies = shares.policies_of(PRIORITIES, [RouteKind.CHAT], QUEUE_S)
        state = AdmissionState(policies, 1000)
        for number in range(burst):
            admission.submit(state, admission_request(f"u{number}"), 1.0)
        admission.admit(state, slots, 1.0)
        for number in range(burst):
            admission.finish(state, RequestId(f"u{number}"), 10.0, 2.0)
        for number in range(2 * slots):
            admission.submit(state, admission_request(f"l{number}", LATER), 2.0)
        admission.admit(state, slots, 2.0)
        for number in range(burst):
            admission.submit(state, admission_request(f"v{number}"), 3.0)
        admitted = admitted_ids(admission.admit(state, slots, 3.0)[1])
        assert len([each for each in admitted if each.startswith("v")]) == burst
