"""Tests of hedging, a second attempt of a slow lookup: its delay, budgets and answer."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheefall._core.codes import ResultCode, run_state
from lycheefall._core.configuration import Configuration, Limits, Route, Team
from lycheefall._core.enums import MemberState, RouteKind, RunState
from lycheefall._core.messages.dispatch import Cancel, Crash, Dispatch, Finished, Pong, Refused
from lycheefall._core.messages.entry import (
    Abandon,
    Capacity,
    ConfigurationChanged,
    FingerprintsChanged,
    FromAgent,
    HedgeDue,
    LinkDown,
    ReplyEnd,
    Run,
    ScheduleHedge,
    SendHedge,
    Tick,
    ToLink,
)
from lycheefall._core.messages.membership import Load
from lycheefall._rules import hedging
from lycheefall._rules.hedging import HedgeTimes, HedgingState
from test_calls import Entry, request

ROUTE = Route(name="l", kind=RouteKind.LOOKUP, pools=("pool",), priority="p")  # type: ignore[arg-type]
HEDGE_DELAY_S = 0.02
OK = ResultCode.OK


class TestHedgeTimes:
    @given(st.lists(st.floats(0.0, 10.0), min_size=20, max_size=300))
    def test_p95_of_recent_times(self, times_s: list[float]) -> None:
        """Guards against hedges of more than one in twenty lookups."""
        times = HedgeTimes()
        for each in times_s:
            hedging.observe_time(times, each)
        delay_s = hedging.upstream_hedge_delay_s(times, RouteKind.LOOKUP)
        recent = sorted(times_s[-128:])
        assert delay_s == recent[int(len(recent) * 0.95)]

    def test_old_times_are_forgotten(self) -> None:
        """Guards against a delay that follows the latencies of a past fault."""
        times = HedgeTimes()
        for number in range(400):
            hedging.observe_time(times, 9.0 if number < 200 else 0.1)
        assert hedging.upstream_hedge_delay_s(times, RouteKind.LOOKUP) == 0.1

    def test_no_delay_without_measured_lookups(self) -> None:
        """Guards against a booking sent twice by a hedge, and hedges with too few measurements."""
        times = HedgeTimes()
        assert hedging.upstream_hedge_delay_s(times, RouteKind.LOOKUP) is None
        for _ in range(100):
            hedging.observe_time(times, 0.1)
        assert hedging.upstream_hedge_delay_s(times, RouteKind.BOOKING) is None
        assert hedging.upstream_hedge_delay_s(times, RouteKind.CHAT) is None


class TestDelay:
    def test_one_slow_upstream_of_three(self) -> None:
        """Guards against a slow upstream that raises the delay to its own latency."""
        state = HedgingState()
        for upstream, elapsed_s in (("u0", 0.03), ("u1", 0.04), ("u2", 2.0)):
            for _ in range(20):
                hedging.observe(state, "pool", upstream, elapsed_s)  # type: ignore[arg-type]
        assert hedging.hedge_delay_s(state, "pool", 0.02) == 0.04  # type: ignore[arg-type]
        assert hedging.hedge_delay_s(state, "pool", 0.1) == 0.1  # type: ignore[arg-type]
        assert hedging.hedge_delay_s(state, "other", 0.1) is None  # type: ignore[arg-type]


class TestBudget:
    @given(st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=600))
    def test_hedge_ratio_is_never_exceeded(self, events: list[tuple[Any, bool]]) -> None:
        """Guards against hedges beyond their share of lookups, by a team or in total."""
        state = HedgingState()
        lookups, hedges = dict.fromkeys("ab", 0), dict.fromkeys("ab", 0)
        for team, is_hedge in events:
            if is_hedge:
                hedges[team] += hedging.try_consume(state, team)
            else:
                lookups[team] += 1
                hedging.count_lookup(state, team)
            assert hedges[team] <= 3 + 0.05 * lookups[team] + 1e-6
            assert sum(hedges.values()) <= 20 + 0.05 * sum(lookups.values()) + 1e-6


class HedgingEntry(Entry):
    """An entry with three services whose measured latencies are below the delay floor."""

    def __init__(self, **limits: Any) -> None:
        super().__init__()
        teams = (Team(name="t"),)  # type: ignore[arg-type]
        configuration = Configuration(revision=1, limits=Limits(**limits), teams=teams)  # type: ignore[arg-type]
        self.send(ConfigurationChanged(configuration))
        for number in range(60):
            hedging.observe(self.state.hedging, "pool", f"u{number % 3}", 0.001)  # type: ignore[arg-type]

    def start_lookup(self, name: str = "r", **changes: Any) -> list[Any]:
        return self.send(Run(request(name, route=ROUTE, stream=False, **changes)))

    def start_hedged(self, name: str = "r") -> tuple[ToLink, ToLink]:
        """Start a lookup and its second attempt."""
        first = self.dispatched(self.start_lookup(name))
        (sent,) = self.send(HedgeDue(name), HEDGE_DELAY_S)  # type: ignore[arg-type]
        assert isinstance(sent, SendHedge)
        assert sent.first == first.upstream != sent.link.upstream
        return first, sent.link


def end_of(results: list[Any]) -> ReplyEnd:
    """Return the only answer."""
    (end,) = [each for each in results if isinstance(each, ReplyEnd)]
    return end


def finished(name: str, attempt: int, code: ResultCode, **fields: Any) -> Finished:
    """Return the end of an attempt."""
    return Finished(name, attempt, code, **fields)  # type: ignore[arg-type]


class TestSecondAttempt:
    def test_plan_and_send(self) -> None:
        """Guards against a hedge sent twice, for a chat, or because the entry itself lags."""
        entry = HedgingEntry()
        assert ScheduleHedge("r", HEDGE_DELAY_S) in entry.start_lookup()  # type: ignore[arg-type]
        assert len(entry.send(HedgeDue("r"), HEDGE_DELAY_S)) == 1  # type: ignore[arg-type]
        assert entry.send(HedgeDue("r"), HEDGE_DELAY_S) == []  # type: ignore[arg-type]
        chat = entry.send(Run(request("chat")))
        assert not any(isinstance(each, ScheduleHedge) for each in chat)
        lagging = HedgingEntry()
        lagging.start_lookup()
        rescheduled = lagging.send(HedgeDue("r"), HEDGE_DELAY_S + 0.1)  # type: ignore[arg-type]
        assert [type(each) for each in rescheduled] == [ScheduleHedge]
        off = HedgingEntry(hedge_ratio=0.0).start_lookup()
        assert not any(isinstance(each, ScheduleHedge) for each in off)

    @pytest.mark.parametrize("winner", [1, 2])
    def test_first_complete_answer(self, winner: int) -> None:
        """Guards against two answers, and an attempt that is not cancelled after the answer."""
        entry = HedgingEntry()
        links = entry.start_hedged()
        loser = links[2 - winner].upstream
        answer = finished("r", winner, OK, body=b"x")
        results = entry.send(FromAgent(links[winner - 1].upstream, answer), 0.03)
        end = end_of(results)
        assert (end.body, end.upstream, end.attempts) == (b"x", links[winner - 1].upstream, 2)
        assert ToLink(loser, Cancel("r", 3 - winner)) in results  # type: ignore[arg-type]
        late = entry.send(FromAgent(loser, finished("r", 3 - winner, OK, body=b"y")), 0.04)
        assert not any(isinstance(each, ReplyEnd) for each in late)
        assert entry.state.hedged == {}
        assert not any(each.attempts for each in entry.state.tables["pool"].upstreams.values())  # type: ignore[index]

    def test_slow_upstream_is_measured(self) -> None:
        """Guards against a slow upstream whose delay is never measured, as hedges answer first."""
        entry = HedgingEntry()
        first, second = entry.start_hedged()
        entry.send(FromAgent(second.upstream, finished("r", 2, OK)), 0.5)
        assert entry.state.tables["pool"].upstreams[first.upstream].delay_s > 0.4  # type: ignore[index]

    @pytest.mark.parametrize("obstacle", ["full", "draining", "failing", "offline", "suspect"])
    def test_hedge_upstream_is_unsuitable(self, obstacle: str) -> None:
        """Guards against a hedge to an unhealthy upstream, or of a request suspected of crashes."""
        entry = HedgingEntry()
        first = entry.dispatched(entry.start_lookup()).upstream
        for name in ("u0", "u1", "u2"):
            if obstacle == "suspect" or name == first:
                continue
            if obstacle == "failing":
                entry.state.tables["pool"].upstreams[name].errors = 9.0  # type: ignore[index]
                continue
            state = MemberState.DRAINING if obstacle == "draining" else MemberState.READY
            load = Load(16 if obstacle == "full" else 0, 0, 0, 0.0, 0.0)
            entry.send(FromAgent(name, Pong(1, "1", state, load)))  # type: ignore[arg-type]
            if obstacle == "offline":
                entry.send(LinkDown(name, "1"))  # type: ignore[arg-type]
        if obstacle == "suspect":
            entry.state.suspects = frozenset(["print of r"])  # type: ignore[list-item]
        assert entry.send(HedgeDue("r"), HEDGE_DELAY_S) == []  # type: ignore[arg-type]

    def test_hedge_reduces_capacity(self) -> None:
        """Guards against a queued request that is sent to the slot of a second attempt."""
        entry = HedgingEntry()
        before = [each for each in entry.send(Tick()) if isinstance(each, Capacity)]
        entry.start_hedged()
        after = [each for each in entry.send(Tick(), HEDGE_DELAY_S) if isinstance(each, Capacity)]
        assert after[0].slots == before[0].slots - 1

    def test_crash_cancels_the_other_attempt(self) -> None:
        """Guards against a request that keeps running after it crashed one of its upstreams."""
        entry = HedgingEntry()
        first, second = entry.start_hedged()
        crash = Crash("run-1", "print of r")  # type: ignore[arg-type]
        lost = finished("r", 2, ResultCode.UPSTREAM_LOST, crash=crash)
        results = entry.send(FromAgent(second.upstream, lost), 0.03)
        assert results[0] == ToLink(first.upstream, Cancel("r", 1))  # type: ignore[arg-type]
        assert entry.state.calls["r"].crash_pending  # type: ignore[index]

    def test_both_attempts_are_cancelled(self) -> None:
        """Guards against one of two attempts that keeps running when both must be cancelled."""
        for message in (Abandon("r"), FingerprintsChanged(frozenset(["print of r"]), frozenset())):  # type: ignore[arg-type, list-item]
            entry = HedgingEntry()
            links = entry.start_hedged()
            results = entry.send(message, 0.03)
            for number, link in enumerate(links, 1):
                assert ToLink(link.upstream, Cancel("r", number)) in results  # type: ignore[arg-type]


# Result codes that an agent may return, with the run state that each implies.
RUN_STATES = {
    OK: RunState.RAN,
    ResultCode.UPSTREAM_ERROR: RunState.RAN,
    ResultCode.UPSTREAM_LOST: RunState.UNKNOWN,
    ResultCode.TIMEOUT_AFTER_START: RunState.UNKNOWN,
    ResultCode.UPSTREAM_BUSY: RunState.NOT_RUN,
    ResultCode.UPSTREAM_DRAINING: RunState.NOT_RUN,
    ResultCode.NOT_CONNECTED: RunState.NOT_RUN,
}


class Oracle:
    """Model of one lookup: the run state of each attempt, and the answers to the caller."""

    def __init__(self) -> None:
        self.sent: dict[int, ToLink] = {}
        self.running: list[int] = []
        # An unfinished attempt counts as UNKNOWN, because it may have run.
        self.known: dict[int, RunState] = {}
        self.answers = 0

    def observe(self, results: list[Any]) -> None:
        for each in results:
            link = each.link if isinstance(each, SendHedge) else each
            if isinstance(link, ToLink) and isinstance(link.message, Dispatch):
                number = link.message.attempt
                assert number == len(self.sent) + 1
                self.sent[number] = link
                self.running.append(number)
                self.known[number] = RunState.UNKNOWN
            if isinstance(each, ReplyEnd):
                self.check(each)

    def check(self, end: ReplyEnd) -> None:
        self.answers += 1
        state = run_state(end.code)
        assert end.attempts == len(self.sent)
        if state is RunState.NOT_RUN:
            assert set(self.known.values()) <= {RunState.NOT_RUN}
        if state is RunState.RAN:
            number = int(end.body)
            assert self.known[number] is RunState.RAN
            assert self.sent[number].upstream == end.upstream


class TestAnswers:
    @settings(max_examples=400, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 1), st.sampled_from([*RUN_STATES, "down", "due", "tick"])),
            max_size=12,
        )
    )
    def test_against_oracle(self, events: list[tuple[int, Any]]) -> None:
        """Guards against two answers, an answer that no attempt gave, and a wrong run state."""
        entry, oracle, now_s = HedgingEntry(), Oracle(), 0.0
        oracle.observe(entry.start_lookup())
        for index, event in events:
            now_s += HEDGE_DELAY_S
            if event == "due":
                # The first HedgeDue finds the entry lagging and is scheduled again.
                for _ in range(2):
                    oracle.observe(entry.send(HedgeDue("r"), now_s))  # type: ignore[arg-type]
            elif event == "tick":
                now_s += 0.5
                oracle.observe(entry.send(Tick(), now_s))
            elif oracle.running:
                number = oracle.running.pop(index % len(oracle.running))
                upstream = oracle.sent[number].upstream
                if event == "down":
                    oracle.observe(entry.send(LinkDown(upstream, "1"), now_s))  # type: ignore[arg-type]
                    continue
                oracle.known[number] = RUN_STATES[event]
                message: Any = Refused("r", number, event)  # type: ignore[arg-type]
                if RUN_STATES[event] is not RunState.NOT_RUN:
                    message = finished("r", number, event, body=b"%d" % number)
                oracle.observe(entry.send(FromAgent(upstream, message), now_s))
        oracle.observe(entry.send(Tick(), 30.0))
        assert oracle.answers == 1
        assert entry.state.calls == {} and entry.state.hedged == {}
        assert not any(each.attempts for each in entry.state.tables["pool"].upstreams.values())  # type: ignore[index]
