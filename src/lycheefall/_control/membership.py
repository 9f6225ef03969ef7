"""Members that announce themselves (small internal version, until _rules/membership.py)."""

from msgspec import Struct, field

from lycheefall._core.ids import Incarnation, InstanceId, UpstreamId
from lycheefall._core.messages.membership import Announce, Member, UpstreamMember

# A member is left out after this time without a heartbeat.
SILENT_AFTER_S = 1.0
# Incarnations that were replaced; their late heartbeats are ignored.
KEPT_INCARNATIONS = 10_000


class Seen(Struct, frozen=True):
    """The latest heartbeat of a member."""

    member: Member
    sequence: int
    heard_s: float
    # The membership version in which the member last changed.
    version: int


class Members(Struct, eq=False):
    """Members by name, and the version in which each was removed."""

    version: int = 0
    upstreams: dict[UpstreamId, Seen] = field(default_factory=dict)
    entries: dict[InstanceId, Seen] = field(default_factory=dict)
    removed_upstreams: dict[UpstreamId, int] = field(default_factory=dict)
    removed_entries: dict[InstanceId, int] = field(default_factory=dict)
    replaced: dict[Incarnation, None] = field(default_factory=dict)


def on_announce(state: Members, message: Announce, now_s: float) -> None:
    """Take a heartbeat unless it is late or of an incarnation that was replaced."""
    member = message.member
    if isinstance(member, UpstreamMember):
        held = state.upstreams.get(member.upstream)
    else:
        held = state.entries.get(member.instance)
    if member.incarnation in state.replaced:
        return
    if held is not None and not _is_newer(state, held, message):
        return
    version = state.version
    if held is None or held.member != member:
        state.version = version = state.version + 1
    elif held is not None:
        version = held.version
    _keep(state, Seen(member, message.sequence, now_s, version))


def _is_newer(state: Members, held: Seen, message: Announce) -> bool:
    if held.member.incarnation == message.member.incarnation:
        return message.sequence > held.sequence
    state.replaced[held.member.incarnation] = None
    if len(state.replaced) > KEPT_INCARNATIONS:
        del state.replaced[next(iter(state.replaced))]
    return True


def _keep(state: Members, seen: Seen) -> None:
    member = seen.member
    if isinstance(member, UpstreamMember):
        state.upstreams[member.upstream] = seen
        state.removed_upstreams.pop(member.upstream, None)
    else:
        state.entries[member.instance] = seen
        state.removed_entries.pop(member.instance, None)


def remove_silent(state: Members, now_s: float) -> None:
    """Remove the members whose last heartbeat is too old."""
    for upstream, seen in list(state.upstreams.items()):
        if now_s - seen.heard_s > SILENT_AFTER_S:
            del state.upstreams[upstream]
            state.version += 1
            state.removed_upstreams[upstream] = state.version
    for instance, seen in list(state.entries.items()):
        if now_s - seen.heard_s > SILENT_AFTER_S:
            del state.entries[instance]
            state.version += 1
            state.removed_entries[instance] = state.version


def members_since(state: Members, version: int) -> tuple[Member, ...]:
    """Return the members that changed after a version."""
    seen = [*state.upstreams.values(), *state.entries.values()]
    return tuple(each.member for each in seen if each.version > version)
