"""Tests of the claim flow together with the agents' admission and the claims in control."""

from collections import Counter
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from lycheefall._core.codes import ResultCode as Code
from lycheefall._core.codes import run_state
from lycheefall._core.configuration import Limits
from lycheefall._core.enums import RouteKind, RunState
from lycheefall._core.messages.dispatch import Dispatch, Finished
from lycheefall._rules import attempts, claim_flow
from lycheefall._rules import booking_messages as bm
from lycheefall._rules.replicated import claims

UPSTREAMS = ["u1", "u2"]
ENTRIES = ["e1", "e2", "e3"]
KEYS = ["k1", "k2"]
INDEX = st.integers(0, 30)
RUN_S = 5.0
# Rounds of `settle` that take longer than the wait for an upstream.
WAIT_ROUNDS = int(claim_flow.PICK_WAIT_S / 0.2) + 2


class Simulation:
    """Entries, agents and control, connected by a network that the test controls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.control = claims.initial()
        self.restarts = dict.fromkeys(ENTRIES + UPSTREAMS, 0)
        self.agents = {u: attempts.initial(f"{u}.0", 86_400.0) for u in UPSTREAMS}  # type: ignore[arg-type]
        self.flows: dict[str, Any] = {}
        self.keys: dict[str, str] = {}
        self.answers: dict[str, bm.Answer] = {}
        # Commands in flight to control, each with the request of its flow.
        self.commands: list[tuple[str, bm.SendCommand]] = []
        # Messages in flight: request, receiver (an upstream or "entry") and message.
        self.network: list[tuple[str, str, Any]] = []
        # Request and attempt of each dispatch that has reached its agent.
        self.delivered: set[tuple[str, int]] = set()
        self.running: list[tuple[str, Dispatch]] = []
        # Number of attempts that were started under each key.
        self.runs: Counter[str] = Counter()
        # Answers to the next requests for an upstream, the last one first.
        self.choices: list[bm.Target | None] = []

    def incarnation(self, name: str) -> Any:
        """Return the current incarnation of an entry or an upstream."""
        return f"{name}.{self.restarts[name]}"

    def entries(self) -> frozenset[Any]:
        return frozenset(self.incarnation(e) for e in ENTRIES)

    def begin(self, entry: str, key: str, target: Any) -> str:
        request = f"r{len(self.keys)}"
        self.keys[request] = key
        holder = self.incarnation(entry)
        booking = bm.Booking(request, "t", key, 0, "d", holder, self.now_s + RUN_S)  # type: ignore[arg-type]
        self.flows[request], effects = claim_flow.start(booking, target)
        self.apply_effects(request, effects)
        return request

    def send(self, request: str, message: Any) -> None:
        if request in self.flows:
            _, effects = claim_flow.step(self.flows[request], message, self.now_s)
            self.apply_effects(request, effects)

    def apply_effects(self, request: str, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case bm.SendCommand():
                    self.commands.append((request, effect))
                case bm.SendDispatch():
                    dispatch = self.dispatch(request, effect)
                    self.network.append((request, effect.target.upstream, dispatch))
                case bm.SendResolve():
                    self.network.append((request, effect.upstream, effect.resolve))
                case bm.PickUpstream():
                    self.send(request, bm.Picked(self.choices.pop() if self.choices else None))
                case bm.Answer():
                    self.check_answer(request, effect)
                case bm.Ended():
                    self.flows.pop(request, None)

    def dispatch(self, request: str, sent: bm.SendDispatch) -> Dispatch:
        return Dispatch(
            request=request,  # type: ignore[arg-type]
            attempt=sent.attempt,
            incarnation=sent.target.incarnation,
            remaining_s=RUN_S,
            kind=RouteKind.BOOKING,
            method="POST",
            path="/",
            content_type="",
            body=b"",
            priority="urgent",  # type: ignore[arg-type]
            rank=0,
            fingerprint="f",  # type: ignore[arg-type]
            claim=sent.token,
        )

    def check_answer(self, request: str, answer: bm.Answer) -> None:
        """Check an answer against the number of times that the key has run."""
        assert request not in self.answers
        self.answers[request] = answer
        runs = self.runs[self.keys[request]]
        if run_state(answer.code) is RunState.NOT_RUN:
            assert runs == 0, "answered not-run, but the key ran"
        elif run_state(answer.code) is RunState.RAN:
            assert runs == 1
            assert answer.recorded is not None
            assert answer.recorded.body == self.keys[request].encode()

    def command(self, index: int, confirmed: bool) -> None:
        """Apply a command in control; the flow gets the reply only if `confirmed`."""
        request, sent = self.commands.pop(index)
        self.control, result = claims.apply(
            self.control, sent.command, int(self.now_s * 1000), Limits()
        )
        if confirmed:
            self.send(request, bm.CommandReplied(sent.sequence, result))

    def deliver(self, index: int) -> None:
        request, end, message = self.network.pop(index)
        if end == "entry":
            self.send(request, message)
            return
        if isinstance(message, Dispatch):
            self.delivered.add((request, message.attempt))
        _, effects = attempts.step(self.agents[end], message, self.now_s)
        for effect in effects:
            if isinstance(effect, attempts.Run):
                self.run(request, end, effect.dispatch)
            else:
                self.network.append((request, "entry", effect))

    def run(self, request: str, upstream: str, dispatch: Dispatch) -> None:
        key = self.keys[request]
        self.runs[key] += 1
        assert self.runs[key] == 1, "a key ran twice"
        answer = self.answers.get(request)
        assert answer is None or run_state(answer.code) is not RunState.NOT_RUN
        self.running.append((upstream, dispatch))

    def finish(self, index: int, code: Code) -> None:
        upstream, dispatch = self.running.pop(index)
        body = self.keys[dispatch.request].encode()
        finished = Finished(dispatch.request, dispatch.attempt, code, body=body)
        attempts.step(self.agents[upstream], finished, self.now_s)
        self.network.append((dispatch.request, "entry", finished))

    def restart_agent(self, upstream: str) -> None:
        self.restarts[upstream] += 1
        self.agents[upstream] = attempts.initial(self.incarnation(upstream), 86_400.0)
        self.running = [each for each in self.running if each[0] != upstream]
        # A connection delivers a message at most once, so a second copy ends with the connection.
        self.network = [each for each in self.network if not self.is_copy(*each)]

    def is_copy(self, request: str, end: str, message: Any) -> bool:
        return isinstance(message, Dispatch) and (request, message.attempt) in self.delivered

    def restart_entry(self, entry: str) -> None:
        old_incarnation = self.incarnation(entry)
        self.restarts[entry] += 1
        self.flows = {r: f for r, f in self.flows.items() if f.booking.holder != old_incarnation}

    def wake(self, step_s: float, entries: frozenset[Any]) -> None:
        self.now_s += step_s
        for request in list(self.flows):
            self.send(request, bm.Wake(entries))

    def settle(self, rounds: int = 200) -> None:
        """Deliver all messages and finish all attempts."""
        for _ in range(rounds):
            while self.commands or self.network or self.running:
                if self.commands:
                    self.command(0, confirmed=True)
                elif self.network:
                    self.deliver(0)
                else:
                    self.finish(0, Code.OK)
            self.wake(0.2, self.entries())


class BookingMachine(RuleBasedStateMachine):
    """Lose, delay and duplicate messages while processes restart and callers retry."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()

    def target(self, upstream: str, age: int) -> Any:
        """Return a target with the incarnation before the last `age` restarts."""
        incarnation = max(0, self.simulation.restarts[upstream] - age)
        return bm.Target(upstream, f"{upstream}.{incarnation}")  # type: ignore[arg-type]

    @rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(KEYS),
        upstream=st.sampled_from(UPSTREAMS),
        age=st.sampled_from([0, 0, 0, 1]),
    )
    def begin(self, entry: str, key: str, upstream: str, age: int) -> None:
        self.simulation.begin(entry, key, self.target(upstream, age))

    @rule(upstream=st.none() | st.sampled_from(UPSTREAMS), age=st.sampled_from([0, 0, 1]))
    def choose(self, upstream: str | None, age: int) -> None:
        self.simulation.choices.append(None if upstream is None else self.target(upstream, age))

    @rule(index=INDEX, confirmed=st.booleans())
    def command(self, index: int, confirmed: bool) -> None:
        if self.simulation.commands:
            self.simulation.command(index % len(self.simulation.commands), confirmed)

    @rule(index=INDEX)
    def time_out_command(self, index: int) -> None:
        if self.simulation.commands:
            request, sent = self.simulation.commands[index % len(self.simulation.commands)]
            self.simulation.send(request, bm.CommandReplied(sent.sequence, None))

    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        if self.simulation.network:
            self.simulation.deliver(index % len(self.simulation.network))

    @rule()
    def progress(self) -> None:
        for _ in range(len(self.simulation.commands)):
            self.simulation.command(0, confirmed=True)
        for _ in range(len(self.simulation.network)):
            self.simulation.deliver(0)

    @rule(index=INDEX)
    def lose(self, index: int) -> None:
        if self.simulation.network:
            self.simulation.network.pop(index % len(self.simulation.network))

    @rule(index=INDEX)
    def duplicate(self, index: int) -> None:
        if self.simulation.network:
            self.simulation.network.append(
                self.simulation.network[index % len(self.simulation.network)]
            )

    @rule(index=INDEX, code=st.sampled_from([Code.OK, Code.UPSTREAM_ERROR, Code.UPSTREAM_LOST]))
    def finish(self, index: int, code: Code) -> None:
        if self.simulation.running:
            self.simulation.finish(index % len(self.simulation.running), code)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def restart_agent(self, upstream: str) -> None:
        self.simulation.restart_agent(upstream)

    @rule(upstream=st.sampled_from(UPSTREAMS), draining=st.booleans())
    def drain(self, upstream: str, draining: bool) -> None:
        attempts.step(self.simulation.agents[upstream], attempts.SetDraining(draining), 0.0)

    @rule(entry=st.sampled_from(ENTRIES))
    def restart_entry(self, entry: str) -> None:
        self.simulation.restart_entry(entry)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def lose_link(self, upstream: str) -> None:
        for request in list(self.simulation.flows):
            self.simulation.send(request, bm.LinkLost(upstream))  # type: ignore[arg-type]

    @rule(step_s=st.sampled_from([0.0, 0.2, 0.6, 6.0]), stale=st.booleans())
    def wake(self, step_s: float, stale: bool) -> None:
        entries: frozenset[Any] = frozenset(["e1.0"]) if stale else self.simulation.entries()
        self.simulation.wake(step_s, entries)

    def teardown(self) -> None:
        self.simulation.settle()
        assert not self.simulation.flows, "a flow never ended"


TestBookings = BookingMachine.TestCase
TestBookings.settings = settings(max_examples=300, stateful_step_count=50, deadline=None)


class TestOutcomes:
    def begin(self, simulation: Simulation, entry: str, upstream: str = "u1") -> str:
        return simulation.begin(entry, "k1", bm.Target(upstream, simulation.incarnation(upstream)))  # type: ignore[arg-type]

    def test_takeover_of_a_lost_entry(self) -> None:
        """Guards against a key that stays blocked by an entry that crashed before its dispatch."""
        simulation = Simulation()
        self.begin(simulation, "e1")
        simulation.command(0, confirmed=True)
        simulation.network.clear()
        simulation.restart_entry("e1")
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        retry = self.begin(simulation, "e2")
        simulation.settle(2)
        assert simulation.now_s < claim_flow.RESOLVE_AFTER_S
        assert simulation.answers[retry].code is Code.OK

    def test_join_then_replay(self) -> None:
        """Guards against a concurrent retry that does not get the answer of the first request."""
        simulation = Simulation()
        first, second = self.begin(simulation, "e1"), self.begin(simulation, "e2", "u2")
        simulation.settle(5)
        assert simulation.answers[first].code is Code.OK
        assert simulation.answers[second].code is Code.REPLAYED

    def test_refused_attempt_is_reassigned(self) -> None:
        """Guards against a booking that ends at a refusal when another upstream could run it."""
        simulation = Simulation()
        attempts.step(simulation.agents["u1"], attempts.SetDraining(True), 0.0)
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        first = self.begin(simulation, "e1")
        simulation.settle(5)
        second = self.begin(simulation, "e1")
        simulation.settle(5)
        assert [simulation.answers[r].code for r in (first, second)] == [Code.OK, Code.REPLAYED]

    def test_no_upstream_gives_the_claim_up(self) -> None:
        """Guards against a "not run" answer that blocks or contradicts the next retry."""
        simulation = Simulation()
        attempts.step(simulation.agents["u1"], attempts.SetDraining(True), 0.0)
        first = self.begin(simulation, "e1")
        simulation.settle(WAIT_ROUNDS)
        assert simulation.answers[first].code is Code.NO_UPSTREAM
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        retry = self.begin(simulation, "e2")
        simulation.settle(1)
        assert simulation.answers[retry].code is Code.OK

    def test_waits_for_an_upstream(self) -> None:
        """Guards against a refusal while the only upstream is busy for a short time."""
        simulation = Simulation()
        attempts.step(simulation.agents["u1"], attempts.SetDraining(True), 0.0)
        first = self.begin(simulation, "e1")
        simulation.settle(5)
        assert first not in simulation.answers
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        simulation.settle(2)
        assert simulation.answers[first].code is Code.OK

    def test_restarted_agent(self) -> None:
        """Guards against a booking that runs again because its agent restarted."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.command(0, confirmed=True)
        simulation.deliver(0)
        simulation.restart_agent("u1")
        simulation.network.clear()
        simulation.send(first, bm.LinkLost("u1"))  # type: ignore[arg-type]
        simulation.settle(2)
        assert simulation.answers[first].code is Code.OUTCOME_UNKNOWN

    def test_second_copy_of_a_dispatch(self) -> None:
        """Guards against the refusal of a copy being read as a proof that nothing started."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.command(0, confirmed=True)
        simulation.network *= 2
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        simulation.settle(1)
        assert simulation.answers[first].code is Code.OK

    def test_claim_that_expires_while_joined(self) -> None:
        """Guards against a "not run" answer for a key that another entry may have run."""
        simulation = Simulation()
        self.begin(simulation, "e1")
        second = self.begin(simulation, "e2")
        simulation.command(0, confirmed=True)
        simulation.command(0, confirmed=True)
        simulation.control.floor_ms = 1
        simulation.wake(0.2, simulation.entries())
        simulation.command(0, confirmed=True)
        assert simulation.answers[second].code is Code.OUTCOME_UNKNOWN

    def test_unconfirmed_claim(self) -> None:
        """Guards against a "not run" answer when control cannot confirm what ran under the key."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.send(first, bm.CommandReplied(1, None))  # type: ignore[arg-type]
        assert simulation.answers[first].code is Code.CLAIM_UNCONFIRMED

    def test_unconfirmed_give_up(self) -> None:
        """Guards against a Resolve for a claim that was given up and has no agent."""
        simulation = Simulation()
        attempts.step(simulation.agents["u1"], attempts.SetDraining(True), 0.0)
        self.begin(simulation, "e1")
        simulation.settle(WAIT_ROUNDS)
        retry = self.begin(simulation, "e2")
        simulation.command(0, confirmed=True)
        simulation.send(retry, bm.CommandReplied(2, None))  # type: ignore[arg-type]
        simulation.settle(WAIT_ROUNDS)
        assert simulation.answers[retry].code is Code.NO_UPSTREAM

    def test_claim_granted_after_the_deadline(self) -> None:
        """Guards against a dispatch after the deadline, and a claim that is never released."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.wake(6.0, simulation.entries())
        assert simulation.answers[first].code is Code.CLAIM_UNCONFIRMED
        simulation.command(0, confirmed=True)
        assert not simulation.network
        retry = self.begin(simulation, "e2", "u2")
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        simulation.settle(1)
        assert simulation.answers[retry].code is Code.OK

    def test_claim_granted_in_a_planned_stop(self) -> None:
        """Guards against a booking that is sent by an entry that may end before it."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.send(first, bm.Stopping(RUN_S - 1.0))
        simulation.command(0, confirmed=True)
        assert not simulation.network
        simulation.settle(1)
        assert simulation.answers[first].code is Code.SHUTTING_DOWN
        retry = self.begin(simulation, "e2", "u2")
        simulation.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        simulation.settle(1)
        assert simulation.answers[retry].code is Code.OK

    def test_attempt_at_the_end_of_a_planned_stop(self) -> None:
        """Guards against a booking that is cut off, or called "not run", while it may run."""
        simulation = Simulation()
        first = self.begin(simulation, "e1")
        simulation.command(0, confirmed=True)
        simulation.send(first, bm.Stopping(1.0))
        simulation.wake(1.1, simulation.entries())
        assert simulation.answers[first].code is Code.OUTCOME_UNKNOWN
