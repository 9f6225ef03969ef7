"""Tests of the check filter of an agent."""

from typing import Any

from lycheefall._agent.check import CheckState, check
from lycheefall._agent.messages import (
    AttemptEnded,
    DrainEnded,
    DrainRequested,
    FromEntry,
    SignalAttempt,
    ToPeer,
)
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import MemberState, RouteKind, UpstreamKind
from lycheefall._core.messages.dispatch import (
    Cancel,
    Dispatch,
    Finished,
    Occupancy,
    Ping,
    Pong,
    Refused,
)
from lycheefall._core.messages.membership import Load, UpstreamMember
from lycheefall._rules import attempts

CONCURRENCY = 8


class Agent:
    """The check filter of an agent that is ready, and a counter of the attempts sent to it."""

    def __init__(self) -> None:
        fields: Any = ("u", "i", "dc", "pool", UpstreamKind.ENGINE, "a", "1", MemberState.READY)
        member = UpstreamMember(*fields, CONCURRENCY, Load())
        self.state = CheckState(member, attempts.initial("1", 60.0))  # type: ignore[arg-type]
        self.count = 0

    def send(self, message: Any) -> list[Any]:
        return check(self.state, message, 0.0)[1]

    def dispatch(
        self, rank: int = 0, kind: RouteKind = RouteKind.CHAT, *, peer: bytes = b"a"
    ) -> ResultCode:
        """Send the next attempt; return the code with which it is refused, or OK."""
        self.count += 1
        fields: Any = (f"r{self.count}", 1, "1", 10.0, kind, "POST", "/", "", b"{}", "p", rank)
        (result,) = self.send(FromEntry(peer, Dispatch(*fields, "f")))
        is_refused = isinstance(result, ToPeer) and isinstance(result.message, Refused)
        return result.message.code if is_refused else ResultCode.OK

    def end(self, number: int, peer: bytes = b"a") -> Any:
        """End an attempt; return the message that its entry receives."""
        finished: Any = Finished(f"r{number}", 1, ResultCode.OK)  # type: ignore[arg-type]
        (reply,) = self.send(AttemptEnded(peer, finished))
        return reply.message

    def occupancy(self, peer: bytes) -> Occupancy | None:
        """Return the occupancy that a heartbeat reports."""
        (pong,) = self.send(FromEntry(peer, Ping(1)))
        assert isinstance(pong.message, Pong)
        return pong.message.occupancy


class TestOccupancy:
    def test_own_and_all(self) -> None:
        """Guards against an entry that counts attempts of another entry as its own."""
        agent = Agent()
        for peer in (b"a", b"a", b"b"):
            agent.dispatch(peer=peer)
        assert agent.occupancy(b"a") == Occupancy(3, 2)
        assert agent.occupancy(b"b") == Occupancy(3, 1)
        assert agent.end(1).occupancy == Occupancy(2, 1)
        assert agent.occupancy(b"c") == Occupancy(2, 0)


class TestAdmission:
    def test_shares_by_priority(self) -> None:
        """Guards against urgent requests that queue in an engine behind long batch requests."""
        agent = Agent()
        agent.state.share_ratios = (0.2, 0.1, 0.05)
        batch = [agent.dispatch(2) for _ in range(CONCURRENCY)]
        assert batch.count(ResultCode.OK) == CONCURRENCY - 2
        assert {agent.dispatch(), agent.dispatch()} == {ResultCode.OK}
        assert agent.dispatch() is ResultCode.UPSTREAM_BUSY
        agent.end(1)
        # A priority gets its share despite the reserved slots, but no more than that.
        assert [agent.dispatch(1), agent.dispatch(1)] == [ResultCode.OK, ResultCode.UPSTREAM_BUSY]

    def test_backlog_of_bookings(self) -> None:
        """Guards against bookings refused while a service is busy, which costs a commit each."""
        agent = Agent()
        codes = [agent.dispatch(0, RouteKind.BOOKING) for _ in range(2 * CONCURRENCY + 1)]
        assert codes.count(ResultCode.OK) == 2 * CONCURRENCY
        assert codes[-1] is ResultCode.UPSTREAM_BUSY


class TestPlannedStop:
    def test_running_attempts(self) -> None:
        """Guards against attempts that vanish with their agent, or end as a caller's cancel."""
        agent = Agent()
        agent.dispatch()
        agent.send(DrainRequested(60.0))
        assert agent.send(DrainEnded()) == [SignalAttempt(Cancel("r1", 1))]  # type: ignore[arg-type]
        cancelled: Any = Finished("r1", 1, ResultCode.CANCELLED_AFTER_START)  # type: ignore[arg-type]
        reply = agent.send(AttemptEnded(b"a", cancelled))[0]
        assert reply.message.code is ResultCode.UPSTREAM_LOST

    def test_queued_suspects(self) -> None:
        """Guards against a queued suspect that waits for an agent that ends before it."""
        agent = Agent()
        agent.dispatch()
        for number, remaining_s in enumerate((10.0, 2.0)):
            fields: Any = (f"s{number}", 1, "1", remaining_s, RouteKind.CHAT, "POST", "/", "", b"")
            suspect = Dispatch(*fields, "p", 0, "f", isolated=True)  # type: ignore[arg-type]
            assert agent.send(FromEntry(b"a", suspect)) == []
        for message in (DrainRequested(5.0), DrainEnded()):
            (refused,) = [each for each in agent.send(message) if isinstance(each, ToPeer)]
            assert isinstance(refused.message, Refused)
            assert refused.message.code is ResultCode.UPSTREAM_DRAINING
