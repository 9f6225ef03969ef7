"""Tests of how entries and agents handle requests that were in flight during a crash."""

from typing import Any

from msgspec.structs import replace

from lycheefall._agent.check import CRASHED_RETENTION_S, CheckState, check
from lycheefall._agent.messages import (
    AnnounceMember,
    AttemptEnded,
    Forward,
    FromEntry,
    LoadRead,
    SignalAttempt,
    ToPeer,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import MemberState, RouteKind, UpstreamKind
from lycheefall._core.messages.control import ClearSuspects
from lycheefall._core.messages.dispatch import (
    Cancel,
    ClaimToken,
    Crash,
    Dispatch,
    Finished,
    Occupancy,
    Refused,
)
from lycheefall._core.messages.entry import (
    Abandon,
    BookingAnswered,
    CallEnded,
    CrashRecorded,
    CrashReported,
    DispatchClaimed,
    FingerprintsChanged,
    FromAgent,
    LeaseAnswered,
    LeaseRequested,
    LinkDown,
    OperationKey,
    Repick,
    ReplyEnd,
    Run,
    SuspectEnded,
    Tick,
    ToLink,
    UpstreamHeartbeat,
)
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._entry.suspects import LEASE_AFTER_FAILURE_S, release_suspect
from lycheefall._rules import attempts
from lycheefall._rules.call_state import LOST_UPSTREAM_GRACE_S, NO_UPSTREAM
from lycheefall._rules.suspect_calls import PROPAGATION_DELAY_S, RECORD_RETENTION_S
from test_calls import Entry, request

FINGERPRINT = "print of r"
CRASH = Crash("run-1", FINGERPRINT)  # type: ignore[arg-type]
TOKEN = ClaimToken("t", "k", 1)  # type: ignore[arg-type]
REPICK = Repick("r", ())  # type: ignore[arg-type]
BOOKING = Run(request(operation=OperationKey("k", 0)))  # type: ignore[arg-type]


def crash_upstream(entry: Entry) -> CrashReported:
    """Run a request that crashes its upstream; return the report of the crash."""
    upstream = entry.dispatched(entry.send(Run(request()))).upstream
    lost = Finished("r", 1, ResultCode.UPSTREAM_LOST, crash=CRASH)  # type: ignore[arg-type]
    (report,) = entry.send(FromAgent(upstream, lost))
    assert isinstance(report, CrashReported)
    return report


def dispatches(results: list[Any]) -> list[Dispatch]:
    """Return the attempts that were sent."""
    sent = [each.message for each in results if isinstance(each, ToLink)]
    return [each for each in sent if isinstance(each, Dispatch)]


def announce(entry: Entry, upstream: str, now_s: float, **changes: Any) -> list[Any]:
    """Send a heartbeat of an upstream with the given changes."""
    known = entry.state.tables["pool"].upstreams[upstream]  # type: ignore[index]
    return entry.send(
        UpstreamHeartbeat(replace(known.member, **changes), known.sequence + 1), now_s
    )


def refuse_both(entry: Entry) -> str:
    """Have a request refused by its own two upstreams, which failed; return the third one."""
    first = entry.dispatched(entry.send(Run(request()))).upstream
    down = ResultCode.NOT_CONNECTED
    entry.send(FromAgent(first, Refused("r", 1, down)))  # type: ignore[arg-type]
    announce(entry, first, 0.1, state=MemberState.FAILED, has_open_attempts=True)
    second = entry.dispatched(entry.send(Tick(), 0.6)).upstream
    entry.send(FromAgent(second, Refused("r", 2, ResultCode.NOT_READY)), 0.6)  # type: ignore[arg-type]
    announce(entry, second, 0.6, state=MemberState.FAILED, has_open_attempts=True)
    (third,) = entry.state.usable
    return third


class TestEntry:
    def test_no_third_upstream_after_a_loss(self) -> None:
        """Guards against a copy sent to a third upstream before the crashes are known."""
        entry = Entry()
        third = refuse_both(entry)
        announce(entry, third, 1.5)
        assert dispatches(entry.send(Tick(), 1.5)) == []
        assert entry.dispatched(entry.send(Tick(), 0.6 + LOST_UPSTREAM_GRACE_S)).upstream == third

    def test_no_third_upstream_before_the_crash_is_known(self) -> None:
        """Guards against using a third upstream after heartbeats that were sent before a crash."""
        entry = Entry()
        upstreams = [entry.dispatched(entry.send(Run(request()))).upstream]
        for attempt, now_s in ((1, 0.5), (2, 1.0), (3, 1.5)):
            refused = Refused("r", attempt, ResultCode.NOT_CONNECTED)  # type: ignore[arg-type]
            entry.send(FromAgent(upstreams[-1], refused), now_s - 0.5)
            for upstream in list(entry.state.usable):
                announce(entry, upstream, now_s)
            upstreams.append(entry.dispatched(entry.send(Tick(), now_s)).upstream)
        assert len(set(upstreams)) == 2

    def test_agent_names_a_suspect(self) -> None:
        """Guards against a copy that keeps running while control is slow to record the crash."""
        entry = Entry()
        names = ("r", "s")
        runs = [entry.send(Run(request(name, fingerprint=FINGERPRINT))) for name in names]
        first, second = (entry.dispatched(results).upstream for results in runs)
        results = announce(entry, first, 0.1, state=MemberState.FAILED, crashed=(FINGERPRINT,))
        assert ToLink(second, Cancel("s", 1)) in results  # type: ignore[arg-type]
        late = entry.send(Tick(), 0.1 + PROPAGATION_DELAY_S)
        assert dispatches(results + late) == []
        assert sum(isinstance(each, LeaseRequested) for each in late) == 2

    def test_others_are_retried_immediately(self) -> None:
        """Guards against delaying or isolating requests that did not cause a crash."""
        entry = Entry()
        third = refuse_both(entry)
        for upstream in list(entry.state.lost_s):
            announce(entry, upstream, 0.7, has_open_attempts=False, crashed=("other",))
        new = Run(request("new", fingerprint=FINGERPRINT))
        assert entry.dispatched(entry.send(new, 0.7)).upstream == third
        entry.send(FingerprintsChanged(frozenset(), frozenset()), 1.0)
        entry.send(Tick(), 0.7 + RECORD_RETENTION_S)
        assert entry.state.suspects == frozenset()

    def test_no_retry_or_answer_before_the_record(self) -> None:
        """Guards against a retry or an answer before the crash is in the log."""
        entry = Entry()
        report = crash_upstream(entry)
        assert dispatches(entry.send(LinkDown(report.upstream, "1"))) == []  # type: ignore[arg-type]
        assert dispatches(entry.send(Tick(), 0.5)) == []
        results = entry.send(CrashRecorded(report, None), 0.6)
        assert [each.code for each in results if isinstance(each, ReplyEnd)] == [
            ResultCode.UPSTREAM_LOST
        ]

    def test_runs_under_its_lease(self) -> None:
        """Guards against a suspect in flight twice, or one that is not cleared when it finished."""
        entry = Entry()
        report = crash_upstream(entry)
        assert dispatches(entry.send(CrashRecorded(report, frozenset()), 0.0)) == []
        early = entry.send(Tick(), PROPAGATION_DELAY_S / 2)
        late = entry.send(Tick(), PROPAGATION_DELAY_S)
        assert not any(isinstance(each, LeaseRequested) for each in early)
        assert sum(isinstance(each, LeaseRequested) for each in late) == 1
        held_elsewhere = LeaseAnswered("r", FINGERPRINT, None)  # type: ignore[arg-type]
        assert dispatches(entry.send(held_elsewhere, PROPAGATION_DELAY_S)) == []
        granted = LeaseAnswered("r", FINGERPRINT, 7)  # type: ignore[arg-type]
        sent = entry.dispatched(entry.send(granted, PROPAGATION_DELAY_S))
        assert isinstance(sent.message, Dispatch) and sent.message.isolated
        done = Finished("r", 2, ResultCode.OK)  # type: ignore[arg-type]
        assert isinstance(
            entry.send(FromAgent(sent.upstream, done), PROPAGATION_DELAY_S)[0], ReplyEnd
        )
        ended = SuspectEnded("r", FINGERPRINT, 7, True)  # type: ignore[arg-type]
        assert ended in entry.send(Tick(), PROPAGATION_DELAY_S)
        assert entry.state.suspects == frozenset()

    def test_copies_are_cancelled(self) -> None:
        """Guards against a copy that keeps running after another one crashed its upstream."""
        entry = Entry()
        upstream = entry.dispatched(entry.send(Run(request()))).upstream
        changed = FingerprintsChanged(frozenset([FINGERPRINT]), frozenset())  # type: ignore[list-item]
        results = entry.send(changed)
        assert ToLink(upstream, Cancel("r", 1)) in results  # type: ignore[arg-type]
        assert dispatches(results) == []

    def test_refused_after_second_crash(self) -> None:
        """Guards against a third crash, and reporting "not run" for the request that crashed."""
        entry = Entry()
        results = entry.send(CrashRecorded(crash_upstream(entry), frozenset([FINGERPRINT])))  # type: ignore[list-item]
        end = next(each for each in results if isinstance(each, ReplyEnd))
        assert end.code is ResultCode.UPSTREAM_LOST
        refused, closed = entry.send(Run(request("again", fingerprint=FINGERPRINT)))
        assert refused.code is ResultCode.FINGERPRINT_REFUSED
        assert isinstance(closed, CallEnded)


class TestLeaseEnd:
    async def test_lease_is_kept_after_a_failure(self) -> None:
        """Guards against another copy that starts while a crash after a cancel is not recorded."""
        commands: list[Any] = []

        class Client:
            async def propose(self, command: Any, timeout_s: float) -> None:
                commands.append(command)

        for is_clear in (False, True):
            await release_suspect(Client(), SuspectEnded("r", FINGERPRINT, 7, is_clear))  # type: ignore[arg-type]
        failed, clear, finished = commands
        assert failed.duration_s == LEASE_AFTER_FAILURE_S > finished.duration_s
        assert isinstance(clear, ClearSuspects)


class TestBookings:
    def test_waits_for_its_lease(self) -> None:
        """Guards against copies under other keys that crash one upstream after the other."""
        entry = Entry()
        entry.send(FingerprintsChanged(frozenset([FINGERPRINT]), frozenset()))  # type: ignore[list-item]
        (started,) = entry.send(BOOKING)
        assert started.upstream == NO_UPSTREAM
        (early,) = entry.send(REPICK)
        late, wanted = entry.send(REPICK, PROPAGATION_DELAY_S)
        assert early.upstream is late.upstream is None
        assert isinstance(wanted, LeaseRequested)
        assert entry.send(LeaseAnswered("r", FINGERPRINT, 7), PROPAGATION_DELAY_S) == []  # type: ignore[arg-type]
        (picked,) = entry.send(REPICK, PROPAGATION_DELAY_S)
        claimed = DispatchClaimed("r", picked.upstream, "1", 1, TOKEN)  # type: ignore[arg-type]
        (dispatched,) = dispatches(entry.send(claimed, PROPAGATION_DELAY_S))
        assert dispatched.isolated
        done = ReplyEnd(request="r", code=ResultCode.OK)  # type: ignore[arg-type]
        entry.send(BookingAnswered(done), PROPAGATION_DELAY_S)
        ended = SuspectEnded("r", FINGERPRINT, 7, True)  # type: ignore[arg-type]
        assert ended in entry.send(Tick(), PROPAGATION_DELAY_S)

    def test_refused(self) -> None:
        """Guards against a refused booking that skips its claim or reports an unknown outcome."""
        entry = Entry()
        entry.send(FingerprintsChanged(frozenset(), frozenset([FINGERPRINT])))  # type: ignore[list-item]
        (started,) = entry.send(BOOKING)
        (picked,) = entry.send(REPICK)
        assert (started.upstream, picked.upstream) == (NO_UPSTREAM, None)
        assert picked.code is ResultCode.FINGERPRINT_REFUSED

    def test_lease_outlives_the_caller(self) -> None:
        """Guards against a second copy while an abandoned attempt is still running."""
        entry = Entry()
        entry.send(FingerprintsChanged(frozenset([FINGERPRINT]), frozenset()))  # type: ignore[list-item]
        entry.send(BOOKING)
        entry.send(LeaseAnswered("r", FINGERPRINT, 7))  # type: ignore[arg-type]
        entry.send(Abandon("r"))  # type: ignore[arg-type]
        assert not any(isinstance(each, SuspectEnded) for each in entry.send(Tick()))

    def test_not_sent_after_a_crash(self) -> None:
        """Guards against sending a booking whose copy crashed an upstream after the claim."""
        entry = Entry()
        (started,) = entry.send(BOOKING)
        entry.send(FingerprintsChanged(frozenset([FINGERPRINT]), frozenset()))  # type: ignore[list-item]
        claimed = DispatchClaimed("r", started.upstream, "1", 1, TOKEN)  # type: ignore[arg-type]
        (reply,) = entry.send(claimed)
        assert isinstance(reply.message, Refused)
        (picked,) = entry.send(REPICK)
        assert picked.upstream is None


def dispatch(name: str, *, isolated: bool) -> Dispatch:
    """Return a dispatch with a timeout of ten seconds."""
    fields: Any = (name, 1, "1", 10.0, RouteKind.CHAT, "POST", "/", "", b"{}", "p", 0, "f")
    return Dispatch(*fields, isolated=isolated)


class Agent:
    """The check filter of a ready agent."""

    def __init__(self) -> None:
        fields: Any = ("u", "i", "dc", "pool", UpstreamKind.ENGINE, "a", "1", MemberState.READY, 8)
        member = UpstreamMember(*fields, Load())
        self.state = CheckState(member, attempts.initial("1", 60.0))  # type: ignore[arg-type]

    def send(self, message: Any, now_s: float = 0.0) -> list[Any]:
        return check(self.state, message, now_s)[1]

    def send_dispatch(self, name: str, *, isolated: bool) -> list[Any]:
        return self.send(FromEntry(b"peer", dispatch(name, isolated=isolated)))

    def end(self, name: str, now_s: float = 0.0) -> list[str]:
        """End an attempt; return the requests that start."""
        finished = Finished(name, 1, ResultCode.OK)  # type: ignore[arg-type]
        results = self.send(AttemptEnded(b"peer", finished), now_s)
        return [each.dispatch.request for each in results if isinstance(each, Forward)]


class TestAgent:
    def test_crash_is_announced(self) -> None:
        """Guards against a copy that crashes an upstream again, and a late report of a crash."""
        agent = Agent()
        agent.state.revision = 1  # type: ignore[assignment]
        agent.send(LoadRead(Load()), 1.0)
        agent.send_dispatch("a", isolated=False)
        agent.send_dispatch("b", isolated=False)
        announced = []
        for name, crash in (("a", Crash("run-1", "f")), ("b", None)):  # type: ignore[arg-type]
            lost = Finished(name, 1, ResultCode.UPSTREAM_LOST, crash=crash)  # type: ignore[arg-type]
            results = agent.send(AttemptEnded(b"peer", lost), 1.0)
            announced += [each.member for each in results if isinstance(each, AnnounceMember)]
        assert [(each.crashed, each.has_open_attempts) for each in announced] == [
            (("f",), True),
            (("f",), False),
        ]
        agent.send(LoadRead(Load()), 2.0)
        refused = Refused("c", 1, ResultCode.NOT_READY, Occupancy(0, 0))  # type: ignore[arg-type]
        not_ready = ToPeer(b"peer", refused)
        assert agent.send_dispatch("c", isolated=False) == [not_ready]
        agent.send(LoadRead(Load()), 1.0 + CRASHED_RETENTION_S)
        assert isinstance(agent.send_dispatch("d", isolated=False)[0], Forward)

    def test_suspects_run_one_at_a_time(self) -> None:
        """Guards against a suspect that runs concurrently with other work, or starves it."""
        agent = Agent()
        assert isinstance(agent.send_dispatch("a", isolated=False)[0], Forward)
        assert agent.send_dispatch("s", isolated=True) == []
        assert agent.send_dispatch("t", isolated=True) == []
        # All eight slots count as taken while a suspect waits or runs.
        refused = Refused("b", 1, ResultCode.UPSTREAM_BUSY, Occupancy(8, 3))  # type: ignore[arg-type]
        busy = ToPeer(b"peer", refused)
        assert agent.send_dispatch("b", isolated=False) == [busy]
        assert agent.end("a") == ["s"]
        assert agent.end("s") == ["t"]
        assert agent.end("t") == []
        assert isinstance(agent.send_dispatch("c", isolated=False)[0], Forward)

    def test_waiting_suspect_is_refused_after_a_crash(self) -> None:
        """Guards against blaming a waiting suspect for the crash of the one before it."""
        agent = Agent()
        agent.send_dispatch("s", isolated=True)
        agent.send_dispatch("t", isolated=True)
        lost = Finished("s", 1, ResultCode.UPSTREAM_LOST, crash=CRASH)  # type: ignore[arg-type]
        refused = Refused("t", 1, ResultCode.NOT_CONNECTED, Occupancy(0, 0))  # type: ignore[arg-type]
        assert ToPeer(b"peer", refused) in agent.send(AttemptEnded(b"peer", lost))

    def test_waiting_suspect_is_cancelled_or_times_out(self) -> None:
        """Guards against a suspect that starts after it was cancelled or has timed out."""
        agent = Agent()
        agent.send_dispatch("a", isolated=False)
        agent.send_dispatch("s", isolated=True)
        agent.send_dispatch("t", isolated=True)
        cancel = FromEntry(b"peer", Cancel("s", 1))  # type: ignore[arg-type]
        code = ResultCode.CANCELLED_BEFORE_START
        refused = Refused("s", 1, code, Occupancy(8, 2))  # type: ignore[arg-type]
        assert agent.send(cancel) == [ToPeer(b"peer", refused)]
        assert agent.send(cancel) == [SignalAttempt(cancel.message)]  # type: ignore[arg-type]
        assert agent.end("a", 11.0) == []
