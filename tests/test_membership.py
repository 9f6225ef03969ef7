"""Tests of membership from heartbeats."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheefall._core.enums import MemberState, UpstreamKind
from lycheefall._core.messages.membership import Announce, Load, UpstreamMember
from lycheefall._rules import membership


def upstream(name: str, incarnation: int, state: MemberState, running: int = 0) -> UpstreamMember:
    """Return an upstream member whose incarnation is numbered."""
    return UpstreamMember(
        upstream=name,  # type: ignore[arg-type]
        instance="x",  # type: ignore[arg-type]
        data_centre="d",  # type: ignore[arg-type]
        pool="p",  # type: ignore[arg-type]
        kind=UpstreamKind.SERVICE,
        address="a",  # type: ignore[arg-type]
        incarnation=f"{name}.{incarnation}",  # type: ignore[arg-type]
        state=state,
        concurrency=1,
        load=Load(running=running),
    )


class MembershipMachine(RuleBasedStateMachine):
    """Deliver announcements late, twice and out of order, with a watcher that applies deltas."""

    def __init__(self) -> None:
        super().__init__()
        self.state = membership.initial(1.0, history=4)
        self.now_s = 0.0
        self.sent: list[Any] = []
        self.incarnations = {"u1": 0, "u2": 0}
        # By upstream: incarnation, highest sequence received, its announcement, time received.
        self.oracle: dict[str, tuple[int, int, Any, float]] = {}
        self.best: dict[str, tuple[int, int]] = {}
        self.watched: dict[Any, Any] = {}
        self.watched_version = -1

    @rule(
        name=st.sampled_from(["u1", "u2"]),
        restart=st.booleans(),
        member_state=st.sampled_from([MemberState.READY, MemberState.DRAINING]),
        running=st.integers(0, 2),
    )
    def announce(self, name: str, restart: bool, member_state: Any, running: int) -> None:
        self.incarnations[name] += restart and self.best.get(name, (-1, 0))[0] >= 0
        incarnation = self.incarnations[name]
        member = upstream(name, incarnation, member_state, running)
        self.sent.append((name, incarnation, Announce(member, len(self.sent))))
        self.receive(len(self.sent) - 1)

    @rule(index=st.integers(0, 50))
    def receive(self, index: int) -> None:
        if not self.sent:
            return
        name, incarnation, announce = self.sent[index % len(self.sent)]
        membership.step(self.state, announce, self.now_s)
        if (incarnation, announce.sequence) > self.best.get(name, (-1, -1)):
            self.best[name] = (incarnation, announce.sequence)
            self.oracle[name] = (incarnation, announce.sequence, announce, self.now_s)

    @rule(step_s=st.sampled_from([0.4, 1.1]))
    def sweep(self, step_s: float) -> None:
        self.now_s += step_s
        membership.step(self.state, membership.RemoveSilent(), self.now_s)
        self.oracle = {n: o for n, o in self.oracle.items() if o[3] + 1.0 > self.now_s}

    @rule()
    def watch(self) -> None:
        delta = membership.changes_since(self.state, self.watched_version)
        self.watched = {} if delta.full else self.watched
        for key in delta.removed:
            self.watched.pop(key, None)
        self.watched |= {membership.key_of(each): each.state for each in delta.members}
        self.watched_version = delta.version
        assert self.watched == {
            key: last.announce.member.state for key, last in self.state.members.items()
        }

    @invariant()
    def agrees(self) -> None:
        found = {key.name: last.announce for key, last in self.state.members.items()}
        assert found == {name: each[2] for name, each in self.oracle.items()}
        assert len(self.state.changes) <= 4


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=100, deadline=None)


class TestLateAnnouncement:
    def test_of_an_unknown_incarnation(self) -> None:
        """Guards against a late message of an ended incarnation locking out the live member."""
        state = membership.initial(1.0)
        ready = MemberState.READY
        for incarnation, sequence, now_s in ((2, 1, 0.0), (1, 9, 0.1), (2, 2, 0.2)):
            announce = Announce(upstream("u", incarnation, ready), sequence)
            membership.step(state, announce, now_s)
        membership.step(state, membership.RemoveSilent(), 1.2)
        membership.step(state, Announce(upstream("u", 2, ready), 6), 1.3)
        assert [last.announce.member.incarnation for last in state.members.values()] == ["u.2"]

    def test_load_alone_is_no_change(self) -> None:
        """Guards against sending every heartbeat to every watcher."""
        state = membership.initial(1.0)
        for sequence in range(3):
            member = upstream("u", 0, MemberState.READY, running=sequence)
            membership.step(state, Announce(member, sequence), 0.0)
        assert state.version == 1
