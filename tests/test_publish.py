"""Tests of the membership and of the answers to watches."""

from msgspec import structs

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._control.publish import PublishState, changes
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, ReplicaRole, UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    LogIndex,
    PoolId,
    Revision,
    Term,
    UpstreamId,
)
from lycheefall._core.messages.control import Changes, Watch
from lycheefall._core.messages.membership import Announce, UpstreamMember
from lycheefall._rules import membership
from lycheefall._rules.membership import RemoveSilent

MEMBER = UpstreamMember(
    UpstreamId("u"),
    InstanceId("i"),
    DataCentreId("cork-a"),
    PoolId("p"),
    UpstreamKind.SERVICE,
    Address("127.0.0.1:1"),
    Incarnation("one"),
    MemberState.READY,
    8,
)


def publish_state(fresh_until_s: float = 100.0, lease_until_s: float = 100.0) -> PublishState:
    """Return the publish state of a replica with revision 3 in force."""
    view = ReplicaView(
        ReplicaRole.LEADER, Term(1), LogIndex(5), None, (), fresh_until_s, lease_until_s
    )
    applied = AppliedView(LogIndex(5), Configuration(revision=Revision(3)), 0)
    return PublishState(
        instance=InstanceId("a"), process=Incarnation("p"), view=view, applied=applied
    )


def answer_watch(
    state: PublishState, revision: int = 3, version: int = 0, now_s: float = 0.0
) -> Changes:
    """Return the answer to a watch."""
    return changes(state, Watch(1, Revision(revision), Incarnation("p"), version), now_s)


class TestRevision:
    def test_configuration_is_sent_once(self) -> None:
        """Guards against a configuration that is sent with every poll."""
        assert answer_watch(publish_state(), 2).configuration is not None
        assert answer_watch(publish_state(), 3).configuration is None

    def test_stale_replica_reports_no_revision(self) -> None:
        """Guards against an isolated replica that serves a stale configuration."""
        answer = answer_watch(publish_state(fresh_until_s=1.0), 2, now_s=1.0)
        assert (answer.revision, answer.configuration) == (0, None)

    def test_first_configuration_needs_a_lease(self) -> None:
        """Guards against a first configuration that comes from a replica without a lease."""
        state = publish_state(lease_until_s=0.0)
        assert answer_watch(state, 0).configuration is None
        assert answer_watch(state, 1).configuration is not None

    def test_unapplied_commits(self) -> None:
        """Guards against serving a revision while committed entries are not applied yet."""
        state = publish_state()
        state.view = structs.replace(state.view, commit_index=LogIndex(6))
        assert answer_watch(state, 2).configuration is None


class TestMembership:
    def test_delta(self) -> None:
        """Guards against a membership change that a watcher misses, or gets with every poll."""
        state = publish_state()
        membership.step(state.members, Announce(MEMBER, 1), 0.0)
        first = answer_watch(state)
        assert (first.full, first.members) == (True, (MEMBER,))
        membership.step(state.members, Announce(MEMBER, 2), 0.5)
        assert answer_watch(state, version=first.membership_version).members == ()
        draining = structs.replace(MEMBER, state=MemberState.DRAINING)
        membership.step(state.members, Announce(draining, 3), 0.6)
        second = answer_watch(state, version=first.membership_version)
        assert (second.full, second.members) == (False, (draining,))

    def test_silent_member_is_removed(self) -> None:
        """Guards against requests that are sent to a member without heartbeats."""
        state = publish_state()
        membership.step(state.members, Announce(MEMBER, 1), 0.0)
        version = answer_watch(state).membership_version
        membership.step(state.members, RemoveSilent(), 0.99)
        assert answer_watch(state, version=version).removed_upstreams == ()
        membership.step(state.members, RemoveSilent(), 1.1)
        assert answer_watch(state, version=version).removed_upstreams == ("u",)
        membership.step(state.members, Announce(MEMBER, 2), 1.2)
        assert answer_watch(state, version=version).members == (MEMBER,)

    def test_out_of_order_heartbeat(self) -> None:
        """Guards against a delayed heartbeat that restores an older member state."""
        state = publish_state()
        draining = structs.replace(MEMBER, state=MemberState.DRAINING)
        membership.step(state.members, Announce(draining, 2), 0.0)
        membership.step(state.members, Announce(MEMBER, 1), 0.1)
        assert answer_watch(state).members == (draining,)

    def test_replaced_incarnation(self) -> None:
        """Guards against a heartbeat of a replaced process that overrides its successor."""
        state = publish_state()
        membership.step(state.members, Announce(MEMBER, 9), 0.0)
        restarted = structs.replace(MEMBER, incarnation=Incarnation("two"))
        membership.step(state.members, Announce(restarted, 1), 0.1)
        membership.step(state.members, Announce(MEMBER, 10), 0.2)
        assert answer_watch(state).members == (restarted,)


class TestSuspects:
    def test_suspects_are_sent_once(self) -> None:
        """Guards against a change of suspects that an entry misses, or gets with every poll."""
        state = publish_state()
        state.applied = AppliedView(
            LogIndex(5),
            Configuration(revision=Revision(3)),
            0,
            suspects_version=4,
            suspects=(Fingerprint("s"),),
            refused=(Fingerprint("r"),),
        )
        first = changes(state, Watch(1, Revision(3), Incarnation("p"), 0, 3), 0.0)
        assert (first.suspects_version, first.suspects, first.refused) == (4, ("s",), ("r",))
        again = changes(state, Watch(1, Revision(3), Incarnation("p"), 0, 4), 0.0)
        assert (again.suspects_version, again.suspects, again.refused) == (4, None, None)
