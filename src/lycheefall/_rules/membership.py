"""Membership from heartbeat announcements, with versioned deltas for watchers.

A member is the authority on its own state: an announcement with a higher sequence number of the
same incarnation replaces the last one, and nothing else ends a drain within an incarnation. A
silent member is removed, but its last announcement is retained, so that a delayed one can't add it
again.

Incarnations have no inherent order: the one first received later counts as the newer one. A
replaced incarnation is ignored while the newer one is a member. If a delayed announcement made an
ended incarnation look newer, that incarnation times out and the live one is added again.
"""

from collections import deque
from enum import Enum

from msgspec import Struct, field, structs

from lycheefall._core.ids import Incarnation
from lycheefall._core.messages.membership import Announce, Load, Member, UpstreamMember

# Retention of the last announcement of a replaced or timed-out incarnation.
ENDED_RETENTION_S = 3_600.0
# Number of changes kept for deltas; a watcher that is further behind receives a full copy.
HISTORY = 4_096


class MemberKind(Enum):
    """Kind of a member; members of different kinds may have equal ids."""

    UPSTREAM = "upstream"
    ENTRY = "entry"


class MemberKey(Struct, frozen=True):
    """Key of a member, the same for all its incarnations."""

    kind: MemberKind
    name: str


class RemoveSilent(Struct, frozen=True):
    """Timer event that removes silent members."""


class MemberChanged(Struct, frozen=True):
    """A member that is new or has changed in more than its load."""

    key: MemberKey
    member: Member


class MemberRemoved(Struct, frozen=True):
    """A member that was removed after silence."""

    key: MemberKey


class LastAnnouncement(Struct):
    """Last announcement of an incarnation and the time at which it was received."""

    announce: Announce
    received_s: float


class Change(Struct, frozen=True):
    """Change of one member, which increments the version."""

    version: int
    key: MemberKey


class Delta(Struct, frozen=True):
    """Changes that a watcher lacks; if `full` is true, the complete list of members."""

    version: int
    full: bool
    members: tuple[Member, ...]
    removed: tuple[MemberKey, ...]


class MembershipState(Struct):
    """Current members and ended incarnations, each in order of the last announcement."""

    silence_s: float
    history: int
    members: dict[MemberKey, LastAnnouncement] = field(default_factory=dict)
    ended: dict[Incarnation, LastAnnouncement] = field(default_factory=dict)
    version: int = 0
    changes: deque[Change] = field(default_factory=deque)


def initial(silence_s: float, history: int = HISTORY) -> MembershipState:
    """Return a state without members; a member is removed after silence_s seconds of silence."""
    return MembershipState(silence_s, history)


def key_of(member: Member) -> MemberKey:
    """Return the key of a member."""
    if isinstance(member, UpstreamMember):
        return MemberKey(MemberKind.UPSTREAM, member.upstream)
    return MemberKey(MemberKind.ENTRY, member.instance)


def step(
    state: MembershipState, message: Announce | RemoveSilent, now_s: float
) -> tuple[MembershipState, list[MemberChanged | MemberRemoved]]:
    """Apply one announcement, or remove the silent members."""
    if isinstance(message, RemoveSilent):
        return state, _remove_silent(state, now_s)
    return state, _announce(state, message, now_s)


def changes_since(state: MembershipState, version: int) -> Delta:
    """Return the changes after a version, or all members if the history is too short."""
    oldest = state.version - len(state.changes)
    if not oldest <= version <= state.version:
        members = tuple(last.announce.member for last in state.members.values())
        return Delta(state.version, True, members, ())
    changed: dict[MemberKey, None] = {}
    for change in reversed(state.changes):
        if change.version <= version:
            break
        changed[change.key] = None
    present = [state.members[key].announce.member for key in changed if key in state.members]
    removed = tuple(key for key in changed if key not in state.members)
    return Delta(state.version, False, tuple(present), removed)


def _announce(
    state: MembershipState, announce: Announce, now_s: float
) -> list[MemberChanged | MemberRemoved]:
    key = key_of(announce.member)
    known = state.members.get(key)
    if _is_late(announce, known) or _is_ended(state, announce):
        return []
    if known is not None:
        del state.members[key]
        if known.announce.member.incarnation != announce.member.incarnation:
            state.ended[known.announce.member.incarnation] = LastAnnouncement(known.announce, now_s)
    state.ended.pop(announce.member.incarnation, None)
    state.members[key] = LastAnnouncement(announce, now_s)
    if known is not None and _without_load(known.announce) == _without_load(announce):
        return []
    _change(state, key)
    return [MemberChanged(key, announce.member)]


def _is_late(announce: Announce, known: LastAnnouncement | None) -> bool:
    if known is None or known.announce.member.incarnation != announce.member.incarnation:
        return False
    return announce.sequence <= known.announce.sequence


def _is_ended(state: MembershipState, announce: Announce) -> bool:
    ended = state.ended.get(announce.member.incarnation)
    if ended is None:
        return False
    was_replaced = key_of(announce.member) in state.members
    return was_replaced or announce.sequence <= ended.announce.sequence


def _without_load(announce: Announce) -> Member:
    member = announce.member
    if isinstance(member, UpstreamMember):
        return structs.replace(member, load=Load())
    return member


def _change(state: MembershipState, key: MemberKey) -> None:
    state.version += 1
    state.changes.append(Change(state.version, key))
    if len(state.changes) > state.history:
        state.changes.popleft()


def _remove_silent(state: MembershipState, now_s: float) -> list[MemberChanged | MemberRemoved]:
    removed: list[MemberChanged | MemberRemoved] = []
    while state.members:
        key = next(iter(state.members))
        last = state.members[key]
        if last.received_s + state.silence_s > now_s:
            break
        del state.members[key]
        state.ended[last.announce.member.incarnation] = LastAnnouncement(last.announce, now_s)
        _change(state, key)
        removed.append(MemberRemoved(key))
    _remove_expired(state, now_s)
    return removed


def _remove_expired(state: MembershipState, now_s: float) -> None:
    while state.ended:
        incarnation = next(iter(state.ended))
        if state.ended[incarnation].received_s + ENDED_RETENTION_S > now_s:
            return
        del state.ended[incarnation]
