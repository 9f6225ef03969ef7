"""Tests of the consensus rule."""

import os
from random import Random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from consensus_model import Faults, World
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Incarnation, LogIndex, Term
from lycheefall._core.messages.consensus import (
    Appended,
    Blank,
    Hello,
    LogEntry,
    Membership,
    ReplicaId,
    Vote,
    Voted,
)
from lycheefall._rules.consensus.replication import on_appended
from lycheefall._rules.consensus.state import Tick, other_members

SECOND_TICKS = 40


def formed(names: str = "abc", voters: str = "abc") -> World:
    """Return replicas that formed a cluster and elected a leader."""
    world = World(names, voters)
    world.heal()
    world.run(2 * SECOND_TICKS)
    assert len(world.leading()) == 1
    return world


class TestFormation:
    def test_needs_all_initial_voters(self) -> None:
        """Guards against a cluster formed beside a voter that may hold an older one."""
        world = World("abc", "abc")
        world.start("a")
        world.start("b")
        world.run(4 * SECOND_TICKS)
        assert world.leading() == []
        world.start("c")
        world.run(2 * SECOND_TICKS)
        assert len(world.leading()) == 1

    def test_lost_disk_is_no_first_start(self) -> None:
        """Guards against a second cluster formed by a replica that lost its disk."""
        world = formed()
        world.crash("b")
        world.crash("c")
        world.wipe("a")
        world.start("a")
        world.run(4 * SECOND_TICKS)
        assert world.leading() == []

    def test_one_voter(self) -> None:
        """Guards against a single replica that waits for others."""
        assert formed("a", "a").leading() == ["a"]

    def test_votes_of_a_majority_are_not_enough(self) -> None:
        """Guards against a cluster formed while one voter refuses for the entries that it holds."""
        world = World("abc", "abc")
        for name in "abc":
            world.start(name)
        world.cut = {("c", "a")}
        world.take("a", Hello(world.running["c"].me))
        for _ in range(2 * SECOND_TICKS):
            world.take("a", Hello(world.running["c"].me))
            world.run(1)
        assert world.leading() == []
        assert world.running["a"].term > 0


class TestElection:
    def test_one_vote_a_term_across_restarts(self) -> None:
        """Guards against a vote that a restart forgets, which gives a term two leaders."""
        world = formed()
        world.run(SECOND_TICKS)
        world.mail.clear()
        world.now_s += 10
        for candidate in "ab":
            world.crash("c")
            world.start("c")
            world.now_s += 10
            me = world.running[candidate].me
            world.take("c", Vote(me, world.running["c"].me.id, Term(9), LogIndex(99), Term(9)))
        assert [each.granted for _, each in world.mail if isinstance(each, Voted)] == [True, False]

    def test_candidate_behind_gets_no_vote(self) -> None:
        """Guards against a leader that lacks committed entries."""
        world = formed()
        world.mail.clear()
        world.now_s += 10
        me = world.running["a"].me
        world.take("c", Vote(me, world.running["c"].me.id, Term(9), LogIndex(1), Term(0)))
        assert [each.granted for _, each in world.mail if isinstance(each, Voted)] == [False]

    def test_resumes_within_two_seconds(self) -> None:
        """Guards against an election that takes longer than the target after a loss."""
        for _ in range(5):
            world = formed()
            world.crash(world.leading()[0])
            world.run(2 * SECOND_TICKS)
            assert len(world.leading()) == 1

    def test_isolated_replica_keeps_the_term(self) -> None:
        """Guards against a returning replica that ends the term of a working leader."""
        world = formed()
        leader = world.leading()[0]
        isolated = next(name for name in "abc" if name != leader)
        world.cut = {(isolated, other) for other in "abc"} | {(o, isolated) for o in "abc"}
        term = world.running[leader].term
        world.run(10 * SECOND_TICKS)
        world.heal()
        world.run(2 * SECOND_TICKS)
        assert world.leading() == [leader]
        assert world.running[leader].term == term

    def test_leader_without_quorum_steps_down(self) -> None:
        """Guards against a cut-off leader that goes on taking commands."""
        world = formed()
        leader = world.leading()[0]
        world.cut = {(other, leader) for other in "abc"}
        world.run(SECOND_TICKS)
        assert world.running[leader].role is not ReplicaRole.LEADER

    def test_vote_for_an_earlier_incarnation(self) -> None:
        """Guards against a replica without its disk that votes a second time in a term."""
        world = formed()
        world.wipe("b")
        world.start("b")
        world.mail.clear()
        old = ReplicaId(world.running["b"].me.id.instance, Incarnation("b2"))
        vote = Vote(world.running["a"].me, old, Term(9), LogIndex(99), Term(9))
        world.take("b", vote)
        assert not any(isinstance(message, Voted) for _, message in world.mail)


class TestReplication:
    def test_entry_of_an_earlier_term(self) -> None:
        """Guards against committing an entry that a later leader can still replace."""
        world = formed()
        state = world.running[world.leading()[0]]
        last = state.log.entries[-1]
        commit = state.commit_index
        state.log.entries.append(LogEntry(LogIndex(last.index + 1), last.term, 0, Blank()))
        state.term = Term(last.term + 1)
        for each in other_members(state):
            match = LogIndex(last.index + 1)
            answer = Appended(each, state.me.id, state.term, True, match, world.now_s)
            on_appended(state, answer, world.now_s)
        assert state.commit_index == commit


class TestMembership:
    def test_one_change_at_a_time(self) -> None:
        """Guards against two uncommitted changes, whose majorities need not overlap."""
        world = formed("abcde", "abc")
        leader = world.leading()[0]
        state = world.running[leader]
        world.cut = {(leader, each) for each in world.names}
        first = state.log.membership_index
        for name in "de":
            world.wipe(name)
            world.start(name)
            world.take(leader, Hello(world.running[name].me))
            world.take(leader, Tick())
        changes = [each for each in state.log.entries if isinstance(each.payload, Membership)]
        assert sum(1 for each in changes if each.index > first) == 1

    def test_lost_disk_is_replaced_then_a_second(self) -> None:
        """Guards against a second loss right after a repair that takes committed entries."""
        world = formed()
        world.propose(world.leading()[0])
        for name in "bca":
            world.wipe(name)
            world.start(name)
            world.run(3 * SECOND_TICKS)
            membership = world.committed_membership()
            assert membership is not None
            assert {each.id for each in membership.voters} == {
                disk.id for disk in world.disks.values()
            }
        world.propose(world.leading()[0])
        world.run(SECOND_TICKS)
        assert all(count == max(world.committed) for count in world.applied.values())

    def test_standby_lost_during_the_repair(self) -> None:
        """Guards against a lost voter beside a lost standby that was promoted in its place."""
        world = formed("abcd", "abc")
        world.run(SECOND_TICKS)
        lost = next(name for name in "abc" if name not in world.leading())
        world.wipe(lost)
        world.start(lost)
        world.mail.append((world.leading()[0], Hello(world.running[lost].me)))
        world.cut = {(lost, each) for each in "abcd"} | {(each, lost) for each in "abcd"}
        for _ in range(4 * SECOND_TICKS):
            world.run(1)
            membership = world.running[world.leading()[0]].log.membership
            assert membership is not None
            if any(each.id.instance == "d" for each in membership.voters):
                break
        else:
            raise AssertionError("the standby was not promoted")
        world.mail.clear()
        world.wipe("d")
        world.start("d")
        world.run(4 * SECOND_TICKS)
        before = max(world.committed)
        world.propose(world.leading()[0])
        world.run(SECOND_TICKS)
        assert max(world.committed) > before

    def test_standby_replaces_a_silent_voter(self) -> None:
        """Guards against a standby that is never promoted."""
        world = formed("abcd", "abc")
        lost = next(name for name in "abc" if name not in world.leading())
        world.crash(lost)
        world.run(4 * SECOND_TICKS)
        membership = world.committed_membership()
        assert membership is not None
        names = {each.id.instance for each in membership.voters}
        assert names == set("abcd") - {lost}

    def test_snapshot_for_a_replica_behind(self) -> None:
        """Guards against a replica that can't return after the log was compacted."""
        world = formed()
        leader = world.leading()[0]
        lost = next(name for name in "abc" if name != leader)
        world.crash(lost)
        for _ in range(300):
            world.propose(leader)
        world.run(SECOND_TICKS)
        world.compact(leader)
        world.start(lost)
        world.run(SECOND_TICKS)
        assert world.applied[lost] == world.applied[leader] == max(world.committed)

    def test_all_replicas_become_voters(self) -> None:
        """Guards against replicas beyond the seeds whose disks never count."""
        world = World("abcde", "abc", grow_to=9)
        world.heal()
        world.run(4 * SECOND_TICKS)
        membership = world.committed_membership()
        assert membership is not None
        assert {each.id.instance for each in membership.voters} == set("abcde")
        assert membership.size == 5

    def test_replaced_replica_then_a_lost_disk(self) -> None:
        """Guards against a voter that never comes back and counts beside its successor.

        Its successor joined before it was taken for lost, which left four voters with one of
        them gone: the next lost disk took the majority for good.
        """
        world = World("abc", "abc", grow_to=9)
        world.heal()
        world.run(2 * SECOND_TICKS)
        gone = world.leading()[0]
        world.crash(gone)
        world.run(SECOND_TICKS)
        world.names = world.names.replace(gone, "d")
        world.start("d")
        world.run(4 * SECOND_TICKS)
        lost = next(name for name in "abc" if name not in (gone, *world.leading()))
        world.wipe(lost)
        world.run(2 * SECOND_TICKS)
        before = max(world.committed)
        world.start(lost)
        world.run(3 * SECOND_TICKS)
        world.propose(world.leading()[0])
        world.run(SECOND_TICKS)
        assert max(world.committed) > before

    def test_even_number_of_replicas(self) -> None:
        """Guards against a voter more that makes majorities larger and bears no loss more."""
        world = World("abcd", "abc", grow_to=9)
        world.heal()
        world.run(4 * SECOND_TICKS)
        membership = world.committed_membership()
        assert membership is not None
        assert len(membership.voters) == 3
        assert len(membership.learners) == 1

    def test_newcomer_lost_during_the_growth(self) -> None:
        """Guards against a group that stays even when the second of two newcomers is lost."""
        world = World("abcde", "abc", grow_to=9)
        world.heal()
        for _ in range(4 * SECOND_TICKS):
            world.run(1)
            membership = world.committed_membership()
            if membership is not None and len(membership.voters) == 4:
                break
        else:
            raise AssertionError("the first newcomer was not promoted")
        voters = {each.id.instance for each in membership.voters}
        world.wipe(next(name for name in "de" if name not in voters))
        world.run(4 * SECOND_TICKS)
        membership = world.committed_membership()
        assert membership is not None
        assert len(membership.voters) in (3, 5)


class TestRestartOfAll:
    def test_hasty_replicas_lead_soon(self) -> None:
        """Guards against seconds without a leader after all replicas were killed."""
        for seed in range(20):
            world = World("abc", "abc", is_hasty=True, starts=10 * seed)
            world.heal()
            world.run(2 * SECOND_TICKS)
            before = max(world.committed)
            for name in "abc":
                world.crash(name)
                world.start(name)
            ticks = 0
            while max(world.committed) == before:
                world.run(1)
                ticks += 1
            assert ticks <= 0.6 * SECOND_TICKS


class TestReads:
    def test_confirmed_by_a_majority(self) -> None:
        """Guards against a read that is never answered."""
        world = formed()
        world.read(world.leading()[0])
        world.run(4)
        assert world.confirmed == 1

    def test_suspended_leader(self) -> None:
        """Guards against an old configuration from a leader whose clock stood still."""
        world = formed()
        old = world.leading()[0]
        world.suspended.add(old)
        world.run(2 * SECOND_TICKS)
        new = next(name for name in world.leading() if name != old)
        world.propose(new)
        world.run(2)
        world.suspended.clear()
        world.read(old)
        world.run(SECOND_TICKS)
        assert world.confirmed == 0

    def test_refused_by_a_follower(self) -> None:
        """Guards against a follower that answers what it may have missed."""
        world = formed()
        world.read(next(name for name in "abc" if name not in world.leading()))
        world.run(4)
        assert world.confirmed == 0


ratios = st.sampled_from([0.0, 0.05, 0.3])


class ConsensusMachine(RuleBasedStateMachine):
    """Drives replicas through faults; `World` checks what must hold after each step."""

    @initialize(
        shape=st.sampled_from([("abc", "abc"), ("abcd", "abc"), ("abcde", "abcde")]),
        ticks=st.integers(0, 80),
        grow_to=st.sampled_from([0, 9]),
        is_hasty=st.booleans(),
    )
    def open(self, shape: tuple[str, str], ticks: int, grow_to: int, is_hasty: bool) -> None:
        """Start all replicas."""
        self.world = World(*shape, grow_to=grow_to, is_hasty=is_hasty)
        self.world.heal()
        self.world.run(ticks)

    @rule(
        ticks=st.integers(1, 60),
        seed=st.integers(0, 1_000_000),
        loss=ratios,
        duplicate=ratios,
        reorder=ratios,
    )
    def run_with_faults(
        self, ticks: int, seed: int, loss: float, duplicate: float, reorder: float
    ) -> None:
        """Let time pass with loss, duplication and reordering."""
        self.world.run(ticks, Faults(Random(seed), loss, duplicate, reorder))

    @rule(count=st.integers(1, 5))
    def propose(self, count: int) -> None:
        """Propose at every replica that considers itself leader."""
        for name in self.world.leading():
            for _ in range(count):
                self.world.propose(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 30))
    def restart(self, name: str, ticks: int) -> None:
        """End a replica, and start it again later."""
        if name in self.world.names:
            self.world.crash(name)
            self.world.run(ticks)
            self.world.start(name)

    @precondition(lambda self: self.world.mail)
    @rule(data=st.data())
    def die_in_step(self, data: st.DataObject) -> None:
        """End a replica after it took a message, before the sync."""
        name, message = data.draw(st.sampled_from(self.world.mail))
        if name in self.world.running:
            self.world.take(name, message, dies=True)
            self.world.start(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 30))
    def lose_disk(self, name: str, ticks: int) -> None:
        """Delete the disk of a replica, if a majority keeps theirs."""
        if name in self.world.names and self.world.may_wipe(name):
            self.world.wipe(name)
            self.world.run(ticks)
            self.world.start(name)

    @rule(pairs=st.sets(st.tuples(st.sampled_from("abcde"), st.sampled_from("abcde"))))
    def cut(self, pairs: set[tuple[str, str]]) -> None:
        """Cut links, each in one direction."""
        self.world.cut = pairs

    @rule(name=st.sampled_from("abcde"))
    def read(self, name: str) -> None:
        """Begin a read, which must not miss a commit."""
        self.world.read(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 60))
    def suspend(self, name: str, ticks: int) -> None:
        """Let a replica and its clock stand still, then read there at once."""
        self.world.suspended.add(name)
        self.world.run(ticks)
        self.world.suspended.discard(name)
        self.world.read(name)

    @rule(name=st.sampled_from("abcde"))
    def isolate(self, name: str) -> None:
        """Cut all links of one replica."""
        names = self.world.names
        self.world.cut = {(name, each) for each in names} | {(each, name) for each in names}

    @rule(name=st.sampled_from("abcde"))
    def compact(self, name: str) -> None:
        """Take a snapshot at a replica."""
        if name in self.world.running:
            self.world.compact(name)

    @rule(ticks=st.integers(10, 120))
    def recover(self, ticks: int) -> None:
        """Let everything work for a while."""
        self.world.heal()
        self.world.run(ticks)

    def teardown(self) -> None:
        """Check that the replicas agree again and take commands once all faults end."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.heal()
        world.run(8 * SECOND_TICKS)
        assert len(world.leading()) == 1, "no leader after all faults ended"
        before = max(world.committed)
        world.propose(world.leading()[0])
        world.run(SECOND_TICKS)
        assert max(world.committed) > before


ConsensusMachine.TestCase.settings = settings(
    max_examples=int(os.environ.get("LYCHEEFALL_EXAMPLES", "60")),
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
    # Shrinking a run of thousands of messages takes minutes.
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
TestConsensusMachine = ConsensusMachine.TestCase
