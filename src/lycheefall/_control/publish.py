"""Filter that owns the membership and answers watches and status queries."""

from collections.abc import Callable
from typing import TypeVar

from msgspec import Struct, field

from lycheefall._control.membership import (
    Members,
    members_since,
    on_announce,
    remove_silent,
)
from lycheefall._control.messages import AppliedView, ClientMessage, ReplicaView, ToPublish
from lycheefall._core.ids import NO_REVISION, Incarnation, InstanceId, Revision
from lycheefall._core.messages.control import Changes, FromControl, StatusQuery, StatusReport, Watch
from lycheefall._core.messages.membership import Announce
from lycheefall._core.pipeline import Inbox

T = TypeVar("T")


class Published(Struct, eq=False, kw_only=True):
    """What watchers are told."""

    instance: InstanceId
    # Of this process and not of its disk: membership versions start again with the process.
    process: Incarnation
    view: ReplicaView
    applied: AppliedView
    members: Members = field(default_factory=Members)


async def run_publish(
    state: Published,
    inbox: Inbox[ToPublish],
    answer: Callable[[bytes, FromControl], None],
    now: Callable[[], float],
) -> None:
    """Own the membership: take heartbeats and answer watches."""
    while True:
        batch = await inbox.drain()
        now_s = now()
        for message in batch:
            if isinstance(message, ReplicaView):
                state.view = message
            elif isinstance(message, AppliedView):
                state.applied = message
        for message in batch:
            if isinstance(message, ClientMessage):
                _on_client(state, message, answer, now_s)


def _on_client(
    state: Published,
    message: ClientMessage,
    answer: Callable[[bytes, FromControl], None],
    now_s: float,
) -> None:
    match message.message:
        case Announce():
            on_announce(state.members, message.message, now_s)
        case Watch():
            remove_silent(state.members, now_s)
            answer(message.peer, changes(state, message.message, now_s))
        case StatusQuery():
            remove_silent(state.members, now_s)
            answer(message.peer, _report(state, message.message))


def known_revision(state: Published, watch: Watch, now_s: float) -> Revision:
    """Return the revision in force, or 0 while this replica may lack it.

    A watcher without a revision gets its first one from a leader with a lease only: a follower
    that was stopped can take old messages of its leader for new ones when it continues.
    """
    view = state.view
    until_s = view.settled_until_s if watch.revision else view.lease_until_s
    is_current = now_s < until_s and state.applied.index >= view.commit
    return state.applied.configuration.revision if is_current else NO_REVISION


def changes(state: Published, watch: Watch, now_s: float) -> Changes:
    """Return what changed since a watcher's revision and membership version."""
    revision = known_revision(state, watch, now_s)
    is_delta = watch.replica == state.process and watch.membership_version > 0
    since = watch.membership_version if is_delta else 0
    members = state.members
    return Changes(
        watch.sequence,
        state.process,
        state.view.leader,
        revision,
        state.applied.configuration if revision > watch.revision else None,
        members.version,
        not is_delta,
        members_since(members, since),
        _removed(members.removed_upstreams, since) if is_delta else (),
        _removed(members.removed_entries, since) if is_delta else (),
    )


def _removed(removed: dict[T, int], since: int) -> tuple[T, ...]:
    return tuple(name for name, version in removed.items() if version > since)


def _report(state: Published, query: StatusQuery) -> StatusReport:
    configuration = state.applied.configuration
    return StatusReport(
        query.sequence,
        state.instance,
        state.view.role.value,
        state.view.term,
        state.view.commit,
        state.view.leader,
        state.view.voters,
        configuration.revision,
        configuration.digest,
        members_since(state.members, 0),
        state.applied.claims,
        groups=state.applied.groups,
    )
