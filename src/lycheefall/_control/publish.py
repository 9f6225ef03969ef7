"""Publish filter: owns the membership and answers watches and status queries."""

from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import AppliedView, ClientMessage, ReplicaView, ToPublish
from lycheefall._core.evacuations import UNKNOWN_VERSION, Evacuations
from lycheefall._core.ids import (
    NO_REVISION,
    Fingerprint,
    Incarnation,
    InstanceId,
    Revision,
    UpstreamId,
)
from lycheefall._core.messages.control import (
    Changes,
    ConfigurationDelta,
    FromControl,
    StatusQuery,
    StatusReport,
    Watch,
)
from lycheefall._core.messages.membership import Announce
from lycheefall._core.pipeline import Inbox
from lycheefall._rules import configuration_delta, membership
from lycheefall._rules.configuration_delta import RecentRevision, RecentRevisions
from lycheefall._rules.membership import MemberKey, MemberKind, MembershipState, RemoveSilent
from lycheefall._wire.configuration_codec import digest_of_lines, encode_lines

# A member is removed after this time without a heartbeat.
HEARTBEAT_TIMEOUT_S = 1.0
# Version of a watcher whose membership does not come from this process.
_NO_VERSION = -1


class PublishState(Struct, eq=False, kw_only=True):
    """State from which watches are answered."""

    instance: InstanceId
    # Identifies the process rather than its disk, since membership versions restart with it.
    process: Incarnation
    view: ReplicaView
    applied: AppliedView
    recent_revisions: RecentRevisions = field(default_factory=RecentRevisions)
    members: MembershipState = field(
        default_factory=lambda: membership.initial(HEARTBEAT_TIMEOUT_S)
    )


async def run_publish(
    state: PublishState,
    inbox: Inbox[ToPublish],
    answer: Callable[[bytes, FromControl], None],
    now: Callable[[], float],
) -> None:
    """Own the membership: apply heartbeats and answer watches and status queries."""
    while True:
        batch = await inbox.drain()
        now_s = now()
        for message in batch:
            if isinstance(message, ReplicaView):
                state.view = message
            elif isinstance(message, AppliedView):
                update_applied(state, message)
        for message in batch:
            if isinstance(message, ClientMessage):
                _on_client(state, message, answer, now_s)


def update_applied(state: PublishState, view: AppliedView) -> None:
    """Update the view of the state machine and record its configuration for deltas."""
    state.applied = view
    configuration = view.configuration
    if configuration.revision > state.recent_revisions.last:
        lines = encode_lines(configuration)
        accepted = RecentRevision(configuration.revision, digest_of_lines(lines), lines)
        configuration_delta.add_revision(state.recent_revisions, accepted)


def _on_client(
    state: PublishState,
    message: ClientMessage,
    answer: Callable[[bytes, FromControl], None],
    now_s: float,
) -> None:
    match message.message:
        case Announce():
            membership.step(state.members, message.message, now_s)
        case Watch():
            membership.step(state.members, RemoveSilent(), now_s)
            answer(message.peer, changes(state, message.message, now_s))
        case StatusQuery():
            membership.step(state.members, RemoveSilent(), now_s)
            answer(message.peer, _report(state, message.message))


def _new_evacuations(state: PublishState, watch: Watch, now_s: float) -> Evacuations | None:
    """Return the evacuations if the watcher does not know them, and this replica lacks none.

    As for the configuration, a watcher gets its first ones only from a leader with a lease.
    """
    evacuations = state.applied.evacuations
    if evacuations.version <= watch.evacuations_version:
        return None
    knows_some = watch.evacuations_version != UNKNOWN_VERSION
    until_s = state.view.fresh_until_s if knows_some else state.view.lease_until_s
    is_current = now_s < until_s and state.applied.index >= state.view.commit_index
    return evacuations if is_current else None


def known_revision(state: PublishState, watch: Watch, now_s: float) -> Revision:
    """Return the revision in force, or 0 while this replica may lack it.

    A watcher without a revision gets its first one only from a leader with a lease: a follower that
    was paused can mistake old messages of its leader for new ones when it resumes.
    """
    view = state.view
    until_s = view.fresh_until_s if watch.revision else view.lease_until_s
    is_current = now_s < until_s and state.applied.index >= view.commit_index
    return state.applied.configuration.revision if is_current else NO_REVISION


def changes(state: PublishState, watch: Watch, now_s: float) -> Changes:
    """Return the changes since a watcher's revision and membership version."""
    revision = known_revision(state, watch, now_s)
    is_known = watch.replica == state.process and watch.membership_version > 0
    since = watch.membership_version if is_known else _NO_VERSION
    members = membership.changes_since(state.members, since)
    is_new = revision > watch.revision
    delta = _delta(state, watch, revision) if is_new else None
    return Changes(
        watch.sequence,
        state.process,
        state.view.leader,
        revision,
        state.applied.configuration if is_new and delta is None else None,
        members.version,
        members.full,
        members.members,
        tuple(UpstreamId(name) for name in _names(members.removed, MemberKind.UPSTREAM)),
        tuple(InstanceId(name) for name in _names(members.removed, MemberKind.ENTRY)),
        *_suspect_changes(state.applied, watch),
        delta,
        _new_evacuations(state, watch, now_s),
    )


def _delta(state: PublishState, watch: Watch, revision: Revision) -> ConfigurationDelta | None:
    return configuration_delta.delta_for(
        state.recent_revisions, watch.revision, watch.digest, revision
    )


def _suspect_changes(
    applied: AppliedView, watch: Watch
) -> tuple[int, tuple[Fingerprint, ...] | None, tuple[Fingerprint, ...] | None]:
    # The version is part of the replicated state, so versions of different replicas are comparable.
    if applied.suspects_version <= watch.suspects_version:
        return watch.suspects_version, None, None
    return applied.suspects_version, applied.refused, applied.suspects


def _names(keys: tuple[MemberKey, ...], kind: MemberKind) -> list[str]:
    return [key.name for key in keys if key.kind is kind]


def _report(state: PublishState, query: StatusQuery) -> StatusReport:
    configuration = state.applied.configuration
    return StatusReport(
        query.sequence,
        state.instance,
        state.view.role.value,
        state.view.term,
        state.view.commit_index,
        state.view.leader,
        state.view.voters,
        configuration.revision,
        configuration.digest,
        membership.changes_since(state.members, _NO_VERSION).members,
        state.applied.claims,
        groups=state.applied.groups,
        evacuations=state.applied.evacuations,
    )
