"""Tests of a booking's flow together with the agents' check and the claims in control."""

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
# Rounds of `settle` that are longer than the wait for an upstream.
WAIT_ROUNDS = int(claim_flow.PICK_WAIT_S / 0.2) + 2


class World:
    """Entries, agents and control joined by a network that the test controls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.control = claims.initial()
        self.restarts = dict.fromkeys(ENTRIES + UPSTREAMS, 0)
        self.agents = {u: attempts.initial(f"{u}.0", 86_400.0) for u in UPSTREAMS}  # type: ignore[arg-type]
        self.flows: dict[str, Any] = {}
        self.keys: dict[str, str] = {}
        self.answers: dict[str, bm.Answer] = {}
        self.commands: list[tuple[str, bm.SendCommand]] = []
        self.network: list[tuple[str, str, Any]] = []
        self.delivered: set[tuple[str, int]] = set()
        self.running: list[tuple[str, Dispatch]] = []
        self.runs: Counter[str] = Counter()
        self.choices: list[bm.Target | None] = []

    def incarnation(self, name: str) -> Any:
        return f"{name}.{self.restarts[name]}"

    def entries(self) -> frozenset[Any]:
        return frozenset(self.incarnation(e) for e in ENTRIES)

    def begin(self, entry: str, key: str, target: Any) -> str:
        request = f"r{len(self.keys)}"
        self.keys[request] = key
        holder = self.incarnation(entry)
        booking = bm.Booking(request, "t", key, 0, "d", holder, self.now_s + RUN_S)  # type: ignore[arg-type]
        self.flows[request], effects = claim_flow.start(booking, target)
        self.carry_out(request, effects)
        return request

    def tell(self, request: str, message: Any) -> None:
        if request in self.flows:
            _, effects = claim_flow.step(self.flows[request], message, self.now_s)
            self.carry_out(request, effects)

    def carry_out(self, request: str, effects: list[Any]) -> None:
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
                    self.tell(request, bm.Picked(self.choices.pop() if self.choices else None))
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
        assert request not in self.answers
        self.answers[request] = answer
        runs = self.runs[self.keys[request]]
        if run_state(answer.code) is RunState.NOT_RUN:
            assert runs == 0, "answered not-run, but the key ran"
        elif run_state(answer.code) is RunState.RAN:
            assert runs == 1
            assert answer.answer is not None
            assert answer.answer.body == self.keys[request].encode()

    def command(self, index: int, confirmed: bool) -> None:
        request, sent = self.commands.pop(index)
        self.control, result = claims.apply(
            self.control, sent.command, int(self.now_s * 1000), Limits()
        )
        if confirmed:
            self.tell(request, bm.CommandReplied(sent.sequence, result))

    def deliver(self, index: int) -> None:
        request, end, message = self.network.pop(index)
        if end == "entry":
            self.tell(request, message)
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
        told = self.answers.get(request)
        assert told is None or run_state(told.code) is not RunState.NOT_RUN
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
        gone = self.incarnation(entry)
        self.restarts[entry] += 1
        self.flows = {r: f for r, f in self.flows.items() if f.booking.holder != gone}

    def wake(self, step_s: float, entries: frozenset[Any]) -> None:
        self.now_s += step_s
        for request in list(self.flows):
            self.tell(request, bm.Wake(entries))

    def settle(self, rounds: int = 200) -> None:
        """Let everything arrive until nothing is left to do."""
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
        self.world = World()

    def target(self, upstream: str, age: int) -> Any:
        incarnation = max(0, self.world.restarts[upstream] - age)
        return bm.Target(upstream, f"{upstream}.{incarnation}")  # type: ignore[arg-type]

    @rule(
        entry=st.sampled_from(ENTRIES),
        key=st.sampled_from(KEYS),
        upstream=st.sampled_from(UPSTREAMS),
        age=st.sampled_from([0, 0, 0, 1]),
    )
    def begin(self, entry: str, key: str, upstream: str, age: int) -> None:
        self.world.begin(entry, key, self.target(upstream, age))

    @rule(upstream=st.none() | st.sampled_from(UPSTREAMS), age=st.sampled_from([0, 0, 1]))
    def choose(self, upstream: str | None, age: int) -> None:
        self.world.choices.append(None if upstream is None else self.target(upstream, age))

    @rule(index=INDEX, confirmed=st.booleans())
    def command(self, index: int, confirmed: bool) -> None:
        if self.world.commands:
            self.world.command(index % len(self.world.commands), confirmed)

    @rule(index=INDEX)
    def time_out_command(self, index: int) -> None:
        if self.world.commands:
            request, sent = self.world.commands[index % len(self.world.commands)]
            self.world.tell(request, bm.CommandReplied(sent.sequence, None))

    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        if self.world.network:
            self.world.deliver(index % len(self.world.network))

    @rule()
    def progress(self) -> None:
        for _ in range(len(self.world.commands)):
            self.world.command(0, confirmed=True)
        for _ in range(len(self.world.network)):
            self.world.deliver(0)

    @rule(index=INDEX)
    def lose(self, index: int) -> None:
        if self.world.network:
            self.world.network.pop(index % len(self.world.network))

    @rule(index=INDEX)
    def duplicate(self, index: int) -> None:
        if self.world.network:
            self.world.network.append(self.world.network[index % len(self.world.network)])

    @rule(index=INDEX, code=st.sampled_from([Code.OK, Code.UPSTREAM_ERROR, Code.UPSTREAM_LOST]))
    def finish(self, index: int, code: Code) -> None:
        if self.world.running:
            self.world.finish(index % len(self.world.running), code)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def restart_agent(self, upstream: str) -> None:
        self.world.restart_agent(upstream)

    @rule(upstream=st.sampled_from(UPSTREAMS), draining=st.booleans())
    def drain(self, upstream: str, draining: bool) -> None:
        attempts.step(self.world.agents[upstream], attempts.SetDraining(draining), 0.0)

    @rule(entry=st.sampled_from(ENTRIES))
    def restart_entry(self, entry: str) -> None:
        self.world.restart_entry(entry)

    @rule(upstream=st.sampled_from(UPSTREAMS))
    def lose_link(self, upstream: str) -> None:
        for request in list(self.world.flows):
            self.world.tell(request, bm.LinkLost(upstream))  # type: ignore[arg-type]

    @rule(step_s=st.sampled_from([0.0, 0.2, 0.6, 6.0]), stale=st.booleans())
    def wake(self, step_s: float, stale: bool) -> None:
        entries: frozenset[Any] = frozenset(["e1.0"]) if stale else self.world.entries()
        self.world.wake(step_s, entries)

    def teardown(self) -> None:
        self.world.settle()
        assert not self.world.flows, "a flow never ended"


TestBookings = BookingMachine.TestCase
TestBookings.settings = settings(max_examples=300, stateful_step_count=50, deadline=None)


class TestEnds:
    def begin(self, world: World, entry: str, upstream: str = "u1") -> str:
        return world.begin(entry, "k1", bm.Target(upstream, world.incarnation(upstream)))  # type: ignore[arg-type]

    def test_takeover_of_a_lost_entry(self) -> None:
        """Guards against a key that stays blocked by an entry that died before its dispatch."""
        world = World()
        self.begin(world, "e1")
        world.command(0, confirmed=True)
        world.network.clear()
        world.restart_entry("e1")
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        retry = self.begin(world, "e2")
        world.settle(2)
        assert world.now_s < claim_flow.TAKEOVER_AFTER_S
        assert world.answers[retry].code is Code.OK

    def test_join_then_replay(self) -> None:
        """Guards against a retry in flight that doesn't get the first try's answer."""
        world = World()
        first, second = self.begin(world, "e1"), self.begin(world, "e2", "u2")
        world.settle(5)
        assert world.answers[first].code is Code.OK
        assert world.answers[second].code is Code.REPLAYED

    def test_refused_moves_on(self) -> None:
        """Guards against a refused attempt that ends a booking another upstream could run."""
        world = World()
        attempts.step(world.agents["u1"], attempts.SetDraining(True), 0.0)
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        first = self.begin(world, "e1")
        world.settle(5)
        second = self.begin(world, "e1")
        world.settle(5)
        assert [world.answers[r].code for r in (first, second)] == [Code.OK, Code.REPLAYED]

    def test_no_upstream_gives_the_claim_up(self) -> None:
        """Guards against a not-run answer that blocks or contradicts the next retry."""
        world = World()
        attempts.step(world.agents["u1"], attempts.SetDraining(True), 0.0)
        first = self.begin(world, "e1")
        world.settle(WAIT_ROUNDS)
        assert world.answers[first].code is Code.NO_UPSTREAM
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        retry = self.begin(world, "e2")
        world.settle(1)
        assert world.answers[retry].code is Code.OK

    def test_waits_for_an_upstream(self) -> None:
        """Guards against a refusal while the only free upstream is busy for a moment."""
        world = World()
        attempts.step(world.agents["u1"], attempts.SetDraining(True), 0.0)
        first = self.begin(world, "e1")
        world.settle(5)
        assert first not in world.answers
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        world.settle(2)
        assert world.answers[first].code is Code.OK

    def test_restarted_agent(self) -> None:
        """Guards against a booking that runs again because its agent forgot it."""
        world = World()
        first = self.begin(world, "e1")
        world.command(0, confirmed=True)
        world.deliver(0)
        world.restart_agent("u1")
        world.network.clear()
        world.tell(first, bm.LinkLost("u1"))  # type: ignore[arg-type]
        world.settle(2)
        assert world.answers[first].code is Code.OUTCOME_UNKNOWN

    def test_second_copy_of_a_dispatch(self) -> None:
        """Guards against the refusal of a copy being read as a proof that nothing started."""
        world = World()
        first = self.begin(world, "e1")
        world.command(0, confirmed=True)
        world.network *= 2
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        world.settle(1)
        assert world.answers[first].code is Code.OK

    def test_claim_that_expires_while_joined(self) -> None:
        """Guards against a not-run answer for a key that another entry may have run."""
        world = World()
        self.begin(world, "e1")
        second = self.begin(world, "e2")
        world.command(0, confirmed=True)
        world.command(0, confirmed=True)
        world.control.floor_ms = 1
        world.wake(0.2, world.entries())
        world.command(0, confirmed=True)
        assert world.answers[second].code is Code.OUTCOME_UNKNOWN

    def test_unconfirmed_claim(self) -> None:
        """Guards against a not-run answer when control can't tell what ran under the key."""
        world = World()
        first = self.begin(world, "e1")
        world.tell(first, bm.CommandReplied(1, None))  # type: ignore[arg-type]
        assert world.answers[first].code is Code.CLAIM_UNCONFIRMED

    def test_unconfirmed_give_up(self) -> None:
        """Guards against asking the agent of a claim that was given up and has none."""
        world = World()
        attempts.step(world.agents["u1"], attempts.SetDraining(True), 0.0)
        self.begin(world, "e1")
        world.settle(WAIT_ROUNDS)
        retry = self.begin(world, "e2")
        world.command(0, confirmed=True)
        world.tell(retry, bm.CommandReplied(2, None))  # type: ignore[arg-type]
        world.settle(WAIT_ROUNDS)
        assert world.answers[retry].code is Code.NO_UPSTREAM

    def test_claim_granted_after_the_deadline(self) -> None:
        """Guards against a dispatch nobody waits for, and against a claim that is left held."""
        world = World()
        first = self.begin(world, "e1")
        world.wake(6.0, world.entries())
        assert world.answers[first].code is Code.CLAIM_UNCONFIRMED
        world.command(0, confirmed=True)
        assert not world.network
        retry = self.begin(world, "e2", "u2")
        world.choices.append(bm.Target("u2", "u2.0"))  # type: ignore[arg-type]
        world.settle(1)
        assert world.answers[retry].code is Code.OK
