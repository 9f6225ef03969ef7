"""Tests of what an entry and an agent do with requests that were in flight during a crash."""

from typing import Any

from lycheefall._agent.check import CheckState, check
from lycheefall._agent.messages import AttemptEnded, Forward, FromEntry, Steer, ToPeer
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import MemberState, RouteKind, UpstreamKind
from lycheefall._core.messages.dispatch import (
    Cancel,
    Crash,
    Dispatch,
    Finished,
    Occupancy,
    Refused,
)
from lycheefall._core.messages.entry import (
    CallEnded,
    CrashRecorded,
    CrashSeen,
    FingerprintsChanged,
    FromAgent,
    LeaseAnswered,
    LeaseWanted,
    LinkDown,
    ReplyEnd,
    Run,
    SuspectEnded,
    Tick,
    ToLink,
)
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import attempts
from lycheefall._rules.suspect_calls import SETTLE_S
from test_calls import Entry, request

PRINT = "print of r"
CRASH = Crash("run-1", PRINT)  # type: ignore[arg-type]


def crashed(entry: Entry) -> CrashSeen:
    """Run a request into a crash of its upstream."""
    upstream = entry.dispatched(entry.send(Run(request()))).upstream
    lost = Finished("r", 1, ResultCode.UPSTREAM_LOST, crash=CRASH)  # type: ignore[arg-type]
    (seen,) = entry.send(FromAgent(upstream, lost))
    assert isinstance(seen, CrashSeen)
    return seen


def dispatches(results: list[Any]) -> list[Dispatch]:
    """Return the attempts that were sent."""
    sent = [each.message for each in results if isinstance(each, ToLink)]
    return [each for each in sent if isinstance(each, Dispatch)]


class TestEntry:
    def test_nothing_before_the_record(self) -> None:
        """Guards against a retry or an answer before the crash is in the log."""
        entry = Entry()
        seen = crashed(entry)
        assert dispatches(entry.send(LinkDown(seen.upstream, "1"))) == []  # type: ignore[arg-type]
        assert dispatches(entry.send(Tick(), 0.5)) == []
        results = entry.send(CrashRecorded(seen, None), 0.6)
        assert [each.code for each in results if isinstance(each, ReplyEnd)] == [
            ResultCode.UPSTREAM_LOST
        ]

    def test_runs_under_its_lease(self) -> None:
        """Guards against a suspect that is in flight twice, or stays a suspect for no reason."""
        entry = Entry()
        seen = crashed(entry)
        assert dispatches(entry.send(CrashRecorded(seen, frozenset()), 0.0)) == []
        early = entry.send(Tick(), SETTLE_S / 2)
        late = entry.send(Tick(), SETTLE_S)
        assert not any(isinstance(each, LeaseWanted) for each in early)
        assert sum(isinstance(each, LeaseWanted) for each in late) == 1
        held_elsewhere = LeaseAnswered("r", PRINT, None)  # type: ignore[arg-type]
        assert dispatches(entry.send(held_elsewhere, SETTLE_S)) == []
        granted = LeaseAnswered("r", PRINT, 7)  # type: ignore[arg-type]
        sent = entry.dispatched(entry.send(granted, SETTLE_S))
        assert isinstance(sent.message, Dispatch) and sent.message.alone
        done = Finished("r", 2, ResultCode.OK)  # type: ignore[arg-type]
        assert isinstance(entry.send(FromAgent(sent.upstream, done), SETTLE_S)[0], ReplyEnd)
        ended = SuspectEnded("r", PRINT, 7, True)  # type: ignore[arg-type]
        assert ended in entry.send(Tick(), SETTLE_S)
        assert entry.state.suspects == frozenset()

    def test_copies_stop(self) -> None:
        """Guards against a copy that runs on after another one crashed its upstream."""
        entry = Entry()
        upstream = entry.dispatched(entry.send(Run(request()))).upstream
        news = FingerprintsChanged(frozenset([PRINT]), frozenset())  # type: ignore[list-item]
        results = entry.send(news)
        assert ToLink(upstream, Cancel("r", 1)) in results  # type: ignore[arg-type]
        assert dispatches(results) == []

    def test_refused_after_second_crash(self) -> None:
        """Guards against a third crash, and against "not run" for the call that crashed."""
        entry = Entry()
        results = entry.send(CrashRecorded(crashed(entry), frozenset([PRINT])))  # type: ignore[list-item]
        end = next(each for each in results if isinstance(each, ReplyEnd))
        assert end.code is ResultCode.UPSTREAM_LOST
        refused, closed = entry.send(Run(request("again", fingerprint=PRINT)))
        assert refused.code is ResultCode.FINGERPRINT_REFUSED
        assert isinstance(closed, CallEnded)


def dispatch(name: str, *, alone: bool) -> Dispatch:
    """Return a dispatch of ten seconds."""
    fields: Any = (name, 1, "1", 10.0, RouteKind.CHAT, "POST", "/", "", b"{}", "p", 0, "f")
    return Dispatch(*fields, alone=alone)


class Agent:
    """The check filter of an agent that is ready."""

    def __init__(self) -> None:
        fields: Any = ("u", "i", "dc", "pool", UpstreamKind.ENGINE, "a", "1", MemberState.READY, 8)
        member = UpstreamMember(*fields, Load())
        self.state = CheckState(member, attempts.initial("1", 60.0))  # type: ignore[arg-type]

    def send(self, message: Any, now_s: float = 0.0) -> list[Any]:
        return check(self.state, message, now_s)[1]

    def ask(self, name: str, *, alone: bool) -> list[Any]:
        return self.send(FromEntry(b"peer", dispatch(name, alone=alone)))

    def end(self, name: str, now_s: float = 0.0) -> list[str]:
        """End an attempt; return the requests that start."""
        finished = Finished(name, 1, ResultCode.OK)  # type: ignore[arg-type]
        results = self.send(AttemptEnded(b"peer", finished), now_s)
        return [each.dispatch.request for each in results if isinstance(each, Forward)]


class TestAgent:
    def test_one_after_another(self) -> None:
        """Guards against a suspect that runs beside other work, or keeps others from running."""
        agent = Agent()
        assert isinstance(agent.ask("a", alone=False)[0], Forward)
        assert agent.ask("s", alone=True) == []
        assert agent.ask("t", alone=True) == []
        # No slot is free beside a suspect, of the eight there are.
        refused = Refused("b", 1, ResultCode.UPSTREAM_BUSY, Occupancy(8, 3))  # type: ignore[arg-type]
        busy = ToPeer(b"peer", refused)
        assert agent.ask("b", alone=False) == [busy]
        assert agent.end("a") == ["s"]
        assert agent.end("s") == ["t"]
        assert agent.end("t") == []
        assert isinstance(agent.ask("c", alone=False)[0], Forward)

    def test_waiting_ends(self) -> None:
        """Guards against a suspect that starts after it was cancelled or has run out of time."""
        agent = Agent()
        agent.ask("a", alone=False)
        agent.ask("s", alone=True)
        agent.ask("t", alone=True)
        cancel = FromEntry(b"peer", Cancel("s", 1))  # type: ignore[arg-type]
        code = ResultCode.CANCELLED_BEFORE_START
        refused = Refused("s", 1, code, Occupancy(8, 2))  # type: ignore[arg-type]
        assert agent.send(cancel) == [ToPeer(b"peer", refused)]
        assert agent.send(cancel) == [Steer(cancel.message)]  # type: ignore[arg-type]
        assert agent.end("a", 11.0) == []
