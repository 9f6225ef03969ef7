"""Tests of the consensus step function."""

import os
from random import Random

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from consensus_model import Cluster, Faults
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Incarnation, LogIndex, Term
from lycheefall._core.messages.consensus import (
    AppendReply,
    Hello,
    LogEntry,
    Membership,
    NoOp,
    ReplicaId,
    RequestVote,
    VoteReply,
)
from lycheefall._rules.consensus.replication import on_append_reply
from lycheefall._rules.consensus.state import Tick, other_members

TICKS_PER_SECOND = 40


def bootstrapped_cluster(names: str = "abc", voters: str = "abc") -> Cluster:
    """Return a bootstrapped cluster with an elected leader."""
    cluster = Cluster(names, voters)
    cluster.heal()
    cluster.run(2 * TICKS_PER_SECOND)
    assert len(cluster.current_leaders()) == 1
    return cluster


class TestBootstrap:
    def test_needs_all_initial_voters(self) -> None:
        """Guards against bootstrapping while an absent voter may belong to an older cluster."""
        cluster = Cluster("abc", "abc")
        cluster.start("a")
        cluster.start("b")
        cluster.run(4 * TICKS_PER_SECOND)
        assert cluster.current_leaders() == []
        cluster.start("c")
        cluster.run(2 * TICKS_PER_SECOND)
        assert len(cluster.current_leaders()) == 1

    def test_lost_disk_does_not_bootstrap(self) -> None:
        """Guards against a second cluster bootstrapped by a replica that lost its disk."""
        cluster = bootstrapped_cluster()
        cluster.crash("b")
        cluster.crash("c")
        cluster.wipe("a")
        cluster.start("a")
        cluster.run(4 * TICKS_PER_SECOND)
        assert cluster.current_leaders() == []

    def test_one_voter(self) -> None:
        """Guards against a single-voter cluster that waits for other replicas."""
        assert bootstrapped_cluster("a", "a").current_leaders() == ["a"]

    def test_votes_of_a_majority_are_not_enough(self) -> None:
        """Guards against bootstrapping on a majority while a voter refuses for its log entries."""
        cluster = Cluster("abc", "abc")
        for name in "abc":
            cluster.start(name)
        cluster.cut_links = {("c", "a")}
        cluster.deliver("a", Hello(cluster.running["c"].replica))
        for _ in range(2 * TICKS_PER_SECOND):
            cluster.deliver("a", Hello(cluster.running["c"].replica))
            cluster.run(1)
        assert cluster.current_leaders() == []
        assert cluster.running["a"].term > 0


class TestElection:
    def test_one_vote_per_term_across_restarts(self) -> None:
        """Guards against a vote lost in a restart, which allows two leaders in one term."""
        cluster = bootstrapped_cluster()
        cluster.run(TICKS_PER_SECOND)
        cluster.in_flight.clear()
        cluster.now_s += 10
        for candidate in "ab":
            cluster.crash("c")
            cluster.start("c")
            cluster.now_s += 10
            sender = cluster.running[candidate].replica
            cluster.deliver(
                "c",
                RequestVote(
                    sender, cluster.running["c"].replica.id, Term(9), LogIndex(99), Term(9)
                ),
            )
        assert [each.granted for _, each in cluster.in_flight if isinstance(each, VoteReply)] == [
            True,
            False,
        ]

    def test_candidate_behind_gets_no_vote(self) -> None:
        """Guards against a leader that lacks committed entries."""
        cluster = bootstrapped_cluster()
        cluster.in_flight.clear()
        cluster.now_s += 10
        sender = cluster.running["a"].replica
        cluster.deliver(
            "c", RequestVote(sender, cluster.running["c"].replica.id, Term(9), LogIndex(1), Term(0))
        )
        assert [each.granted for _, each in cluster.in_flight if isinstance(each, VoteReply)] == [
            False
        ]

    def test_resumes_within_two_seconds(self) -> None:
        """Guards against more than two seconds without a leader after the leader crashed."""
        for _ in range(5):
            cluster = bootstrapped_cluster()
            cluster.crash(cluster.current_leaders()[0])
            cluster.run(2 * TICKS_PER_SECOND)
            assert len(cluster.current_leaders()) == 1

    def test_isolated_replica_keeps_the_term(self) -> None:
        """Guards against a reconnected replica that deposes a working leader."""
        cluster = bootstrapped_cluster()
        leader = cluster.current_leaders()[0]
        isolated = next(name for name in "abc" if name != leader)
        cluster.cut_links = {(isolated, other) for other in "abc"} | {(o, isolated) for o in "abc"}
        term = cluster.running[leader].term
        cluster.run(10 * TICKS_PER_SECOND)
        cluster.heal()
        cluster.run(2 * TICKS_PER_SECOND)
        assert cluster.current_leaders() == [leader]
        assert cluster.running[leader].term == term

    def test_leader_without_quorum_steps_down(self) -> None:
        """Guards against a partitioned leader that continues to accept commands."""
        cluster = bootstrapped_cluster()
        leader = cluster.current_leaders()[0]
        cluster.cut_links = {(other, leader) for other in "abc"}
        cluster.run(TICKS_PER_SECOND)
        assert cluster.running[leader].role is not ReplicaRole.LEADER

    def test_vote_for_an_earlier_incarnation(self) -> None:
        """Guards against a replica that lost its disk and votes twice in one term."""
        cluster = bootstrapped_cluster()
        cluster.wipe("b")
        cluster.start("b")
        cluster.in_flight.clear()
        old = ReplicaId(cluster.running["b"].replica.id.instance, Incarnation("b2"))
        vote = RequestVote(cluster.running["a"].replica, old, Term(9), LogIndex(99), Term(9))
        cluster.deliver("b", vote)
        assert not any(isinstance(message, VoteReply) for _, message in cluster.in_flight)


class TestReplication:
    def test_entry_of_an_earlier_term(self) -> None:
        """Guards against committing an entry that a later leader can still overwrite."""
        cluster = bootstrapped_cluster()
        state = cluster.running[cluster.current_leaders()[0]]
        last = state.log.entries[-1]
        commit = state.commit_index
        state.log.entries.append(LogEntry(LogIndex(last.index + 1), last.term, 0, NoOp()))
        state.term = Term(last.term + 1)
        for each in other_members(state):
            match = LogIndex(last.index + 1)
            answer = AppendReply(each, state.replica.id, state.term, True, match, cluster.now_s)
            on_append_reply(state, answer, cluster.now_s)
        assert state.commit_index == commit


class TestMembership:
    def test_one_change_at_a_time(self) -> None:
        """Guards against two uncommitted changes, whose majorities need not overlap."""
        cluster = bootstrapped_cluster("abcde", "abc")
        leader = cluster.current_leaders()[0]
        state = cluster.running[leader]
        cluster.cut_links = {(leader, each) for each in cluster.names}
        first = state.log.membership_index
        for name in "de":
            cluster.wipe(name)
            cluster.start(name)
            cluster.deliver(leader, Hello(cluster.running[name].replica))
            cluster.deliver(leader, Tick())
        changes = [each for each in state.log.entries if isinstance(each.payload, Membership)]
        assert sum(1 for each in changes if each.index > first) == 1

    def test_disks_lost_one_after_another(self) -> None:
        """Guards against committed entries lost with a second disk right after a repair."""
        cluster = bootstrapped_cluster()
        cluster.propose(cluster.current_leaders()[0])
        for name in "bca":
            cluster.wipe(name)
            cluster.start(name)
            cluster.run(3 * TICKS_PER_SECOND)
            membership = cluster.committed_membership()
            assert membership is not None
            assert {each.id for each in membership.voters} == {
                disk.id for disk in cluster.disks.values()
            }
        cluster.propose(cluster.current_leaders()[0])
        cluster.run(TICKS_PER_SECOND)
        assert all(count == max(cluster.committed) for count in cluster.applied.values())

    def test_standby_lost_during_the_repair(self) -> None:
        """Guards against losing the majority when a standby promoted for a lost voter fails."""
        cluster = bootstrapped_cluster("abcd", "abc")
        cluster.run(TICKS_PER_SECOND)
        lost = next(name for name in "abc" if name not in cluster.current_leaders())
        cluster.wipe(lost)
        cluster.start(lost)
        cluster.in_flight.append(
            (cluster.current_leaders()[0], Hello(cluster.running[lost].replica))
        )
        cluster.cut_links = {(lost, each) for each in "abcd"} | {(each, lost) for each in "abcd"}
        for _ in range(4 * TICKS_PER_SECOND):
            cluster.run(1)
            membership = cluster.running[cluster.current_leaders()[0]].log.membership
            assert membership is not None
            if any(each.id.instance == "d" for each in membership.voters):
                break
        else:
            raise AssertionError("the standby was not promoted")
        cluster.in_flight.clear()
        cluster.wipe("d")
        cluster.start("d")
        cluster.run(4 * TICKS_PER_SECOND)
        before = max(cluster.committed)
        cluster.propose(cluster.current_leaders()[0])
        cluster.run(TICKS_PER_SECOND)
        assert max(cluster.committed) > before

    def test_standby_replaces_a_silent_voter(self) -> None:
        """Guards against a standby that is never promoted."""
        cluster = bootstrapped_cluster("abcd", "abc")
        lost = next(name for name in "abc" if name not in cluster.current_leaders())
        cluster.crash(lost)
        cluster.run(4 * TICKS_PER_SECOND)
        membership = cluster.committed_membership()
        assert membership is not None
        names = {each.id.instance for each in membership.voters}
        assert names == set("abcd") - {lost}

    def test_snapshot_for_a_replica_behind(self) -> None:
        """Guards against a replica that can't catch up after the log was compacted."""
        cluster = bootstrapped_cluster()
        leader = cluster.current_leaders()[0]
        lost = next(name for name in "abc" if name != leader)
        cluster.crash(lost)
        for _ in range(300):
            cluster.propose(leader)
        cluster.run(TICKS_PER_SECOND)
        cluster.compact(leader)
        cluster.start(lost)
        cluster.run(TICKS_PER_SECOND)
        assert cluster.applied[lost] == cluster.applied[leader] == max(cluster.committed)

    def test_all_replicas_become_voters(self) -> None:
        """Guards against replicas beyond the initial voters that never become voters."""
        cluster = Cluster("abcde", "abc", grow_to=9)
        cluster.heal()
        cluster.run(4 * TICKS_PER_SECOND)
        membership = cluster.committed_membership()
        assert membership is not None
        assert {each.id.instance for each in membership.voters} == set("abcde")
        assert membership.size == 5

    def test_replaced_replica_then_a_lost_disk(self) -> None:
        """Guards against a voter that never returns but stays a voter beside its successor.

        The successor joined before the voter counted as lost, which left four voters with one of
        them gone. The next lost disk then cost the majority permanently.
        """
        cluster = Cluster("abc", "abc", grow_to=9)
        cluster.heal()
        cluster.run(2 * TICKS_PER_SECOND)
        gone = cluster.current_leaders()[0]
        cluster.crash(gone)
        cluster.run(TICKS_PER_SECOND)
        cluster.names = cluster.names.replace(gone, "d")
        cluster.start("d")
        cluster.run(4 * TICKS_PER_SECOND)
        lost = next(name for name in "abc" if name not in (gone, *cluster.current_leaders()))
        cluster.wipe(lost)
        cluster.run(2 * TICKS_PER_SECOND)
        before = max(cluster.committed)
        cluster.start(lost)
        cluster.run(3 * TICKS_PER_SECOND)
        cluster.propose(cluster.current_leaders()[0])
        cluster.run(TICKS_PER_SECOND)
        assert max(cluster.committed) > before

    def test_even_number_of_replicas(self) -> None:
        """Guards against an even number of voters, which tolerates no more failures."""
        cluster = Cluster("abcd", "abc", grow_to=9)
        cluster.heal()
        cluster.run(4 * TICKS_PER_SECOND)
        membership = cluster.committed_membership()
        assert membership is not None
        assert len(membership.voters) == 3
        assert len(membership.learners) == 1

    def test_newcomer_lost_during_the_growth(self) -> None:
        """Guards against an even number of voters left by the loss of one of two new replicas."""
        cluster = Cluster("abcde", "abc", grow_to=9)
        cluster.heal()
        for _ in range(4 * TICKS_PER_SECOND):
            cluster.run(1)
            membership = cluster.committed_membership()
            if membership is not None and len(membership.voters) == 4:
                break
        else:
            raise AssertionError("no new replica was promoted")
        voters = {each.id.instance for each in membership.voters}
        cluster.wipe(next(name for name in "de" if name not in voters))
        cluster.run(4 * TICKS_PER_SECOND)
        membership = cluster.committed_membership()
        assert membership is not None
        assert len(membership.voters) in (3, 5)


class TestRestartOfAll:
    def test_leader_after_restart_of_all(self) -> None:
        """Guards against seconds without a leader after all replicas were restarted."""
        for seed in range(20):
            cluster = Cluster("abc", "abc", has_fast_start=True, start_count=10 * seed)
            cluster.heal()
            cluster.run(2 * TICKS_PER_SECOND)
            before = max(cluster.committed)
            for name in "abc":
                cluster.crash(name)
                cluster.start(name)
            ticks = 0
            while max(cluster.committed) == before:
                cluster.run(1)
                ticks += 1
            assert ticks <= 0.6 * TICKS_PER_SECOND


class TestReads:
    def test_confirmed_by_a_majority(self) -> None:
        """Guards against a read that is never answered."""
        cluster = bootstrapped_cluster()
        cluster.read(cluster.current_leaders()[0])
        cluster.run(4)
        assert cluster.confirmed_reads == 1

    def test_suspended_leader(self) -> None:
        """Guards against a stale read from a leader that was suspended with its clock."""
        cluster = bootstrapped_cluster()
        old = cluster.current_leaders()[0]
        cluster.suspended.add(old)
        cluster.run(2 * TICKS_PER_SECOND)
        new = next(name for name in cluster.current_leaders() if name != old)
        cluster.propose(new)
        cluster.run(2)
        cluster.suspended.clear()
        cluster.read(old)
        cluster.run(TICKS_PER_SECOND)
        assert cluster.confirmed_reads == 0

    def test_refused_by_a_follower(self) -> None:
        """Guards against a stale read from a follower."""
        cluster = bootstrapped_cluster()
        cluster.read(next(name for name in "abc" if name not in cluster.current_leaders()))
        cluster.run(4)
        assert cluster.confirmed_reads == 0


ratios = st.sampled_from([0.0, 0.05, 0.3])


class ConsensusMachine(RuleBasedStateMachine):
    """Injects faults into a cluster; `Cluster` checks the invariants after each step."""

    @initialize(
        shape=st.sampled_from([("abc", "abc"), ("abcd", "abc"), ("abcde", "abcde")]),
        ticks=st.integers(0, 80),
        grow_to=st.sampled_from([0, 9]),
        has_fast_start=st.booleans(),
    )
    def start_cluster(
        self, shape: tuple[str, str], ticks: int, grow_to: int, has_fast_start: bool
    ) -> None:
        """Start all replicas."""
        self.cluster = Cluster(*shape, grow_to=grow_to, has_fast_start=has_fast_start)
        self.cluster.heal()
        self.cluster.run(ticks)

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
        """Run with message loss, duplication and reordering."""
        self.cluster.run(ticks, Faults(Random(seed), loss, duplicate, reorder))

    @rule(count=st.integers(1, 5))
    def propose(self, count: int) -> None:
        """Propose commands at every replica that considers itself the leader."""
        for name in self.cluster.current_leaders():
            for _ in range(count):
                self.cluster.propose(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 30))
    def restart(self, name: str, ticks: int) -> None:
        """Crash a replica and restart it later."""
        if name in self.cluster.names:
            self.cluster.crash(name)
            self.cluster.run(ticks)
            self.cluster.start(name)

    @precondition(lambda self: self.cluster.in_flight)
    @rule(data=st.data())
    def crash_before_sync(self, data: st.DataObject) -> None:
        """Crash a replica after it processed a message, before the sync."""
        name, message = data.draw(st.sampled_from(self.cluster.in_flight))
        if name in self.cluster.running:
            self.cluster.deliver(name, message, crashes=True)
            self.cluster.start(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 30))
    def lose_disk(self, name: str, ticks: int) -> None:
        """Delete the disk of a replica if a majority of the disks remains."""
        if name in self.cluster.names and self.cluster.may_wipe(name):
            self.cluster.wipe(name)
            self.cluster.run(ticks)
            self.cluster.start(name)

    @rule(pairs=st.sets(st.tuples(st.sampled_from("abcde"), st.sampled_from("abcde"))))
    def cut_links(self, pairs: set[tuple[str, str]]) -> None:
        """Cut links, each in one direction only."""
        self.cluster.cut_links = pairs

    @rule(name=st.sampled_from("abcde"))
    def read(self, name: str) -> None:
        """Start a read, which must not miss a commit."""
        self.cluster.read(name)

    @rule(name=st.sampled_from("abcde"), ticks=st.integers(0, 60))
    def suspend(self, name: str, ticks: int) -> None:
        """Suspend a replica and its clock, then start a read there on resumption."""
        self.cluster.suspended.add(name)
        self.cluster.run(ticks)
        self.cluster.suspended.discard(name)
        self.cluster.read(name)

    @rule(name=st.sampled_from("abcde"))
    def isolate(self, name: str) -> None:
        """Cut all links of one replica."""
        names = self.cluster.names
        self.cluster.cut_links = {(name, each) for each in names} | {(each, name) for each in names}

    @rule(name=st.sampled_from("abcde"))
    def compact(self, name: str) -> None:
        """Take a snapshot at a replica."""
        if name in self.cluster.running:
            self.cluster.compact(name)

    @rule(ticks=st.integers(10, 120))
    def recover(self, ticks: int) -> None:
        """End all faults and run for a while."""
        self.cluster.heal()
        self.cluster.run(ticks)

    def teardown(self) -> None:
        """Check that a leader is elected and commits a command once all faults end."""
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.heal()
        cluster.run(8 * TICKS_PER_SECOND)
        assert len(cluster.current_leaders()) == 1, "no leader after all faults ended"
        before = max(cluster.committed)
        cluster.propose(cluster.current_leaders()[0])
        cluster.run(TICKS_PER_SECOND)
        assert max(cluster.committed) > before


ConsensusMachine.TestCase.settings = settings(
    max_examples=int(os.environ.get("LYCHEEFALL_EXAMPLES", "60")),
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
    # No shrinking: it takes minutes for a run of thousands of messages.
    phases=(Phase.explicit, Phase.reuse, Phase.generate),
)
TestConsensusMachine = ConsensusMachine.TestCase
