"""One-at-a-time changes of the membership, decided by the leader."""

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.messages.consensus import Membership, Replica
from lycheefall._rules.consensus.replication import append_own, send_appends
from lycheefall._rules.consensus.state import Consensus


def change_membership(state: Consensus, now_s: float) -> None:
    """Make the next change that is due, once the one before it is committed."""
    membership = state.log.membership
    if state.role is not ReplicaRole.LEADER or membership is None or not state.is_commit_current:
        return
    if state.log.membership_index > state.commit_index:
        return
    changed = _next_membership(state, membership, now_s)
    if changed is not None:
        append_own(state, changed)
        send_appends(state, now_s)


def _next_membership(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    for decide in (
        _remove_replaced,
        _demote_silent,
        _promote,
        _trim_even,
        _admit_learner,
        _drop_learner,
    ):
        changed = decide(state, now, now_s)
        if changed is not None:
            return changed
    return None


def _remove_replaced(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Remove a voter whose instance returned with an empty disk, once a learner is caught up.

    Its disk is lost for certain, so the removal comes before the promotion: with both in, the
    loss of the new voter would leave two dead ones of four.
    """
    has_successor = any(_is_caught_up(state, each, now_s) for each in now.learners)
    if len(now.voters) < now.size or not has_successor:
        return None
    for each in now.voters:
        if any(_same_instance(each, learner) for learner in now.learners):
            return Membership(now.size, _without(now.voters, each), now.learners)
    return None


def _demote_silent(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Make a voter a learner after a standby joined; a silent one if there is one."""
    if len(now.voters) <= now.size:
        return None
    return _demote(state, now, now.size, now_s)


def _trim_even(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Make one of an even number of voters a standby.

    It makes majorities larger without bearing one loss more, and where its instance is gone for
    good, the next lost disk would take the majority. Two voters are left as they are.
    """
    count = len(now.voters)
    may_trim = bool(state.timing.grow_to_voters) and count % 2 == 0 and count > 2
    if not may_trim or count != now.size:
        return None
    return _demote(state, now, now.size - 1, now_s)


def _demote(state: Consensus, now: Membership, size: int, now_s: float) -> Membership:
    """Make a voter a learner, which keeps its disk; a silent one if there is one."""
    candidates = [each for each in now.voters if each.id != state.me.id]
    silent = [each for each in candidates if _is_silent(state, each, now_s)]
    chosen = silent[0] if silent else candidates[-1]
    return Membership(size, _without(now.voters, chosen), (*now.learners, chosen))


def _promote(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Make a caught-up learner a voter while there are too few, or one is silent.

    A silent voter stays until the standby has joined: its disk may be intact, and with fewer
    voters the loss of another disk could not be survived by its return.
    """
    standbys = _standbys(state, now, now_s)
    silent = any(_is_silent(state, each, now_s) for each in now.voters)
    is_needed = len(now.voters) < now.size or (silent and len(now.voters) == now.size)
    grows = not silent and _may_grow(state, now, len(standbys))
    if not (is_needed or grows) or not standbys:
        return None
    chosen = standbys[0]
    size = now.size + 1 if grows else now.size
    return Membership(size, (*now.voters, chosen), _without(now.learners, chosen))


def _may_grow(state: Consensus, now: Membership, standbys: int) -> bool:
    """Tell whether the standbys suffice for the next odd number of voters."""
    if not now.size == len(now.voters) < state.timing.grow_to_voters:
        return False
    return standbys > (1 if now.size % 2 else 0)


def _standbys(state: Consensus, now: Membership, now_s: float) -> tuple[Replica, ...]:
    """Return the caught-up learners of instances without a voter."""
    return tuple(
        each
        for each in now.learners
        if _is_caught_up(state, each, now_s)
        and not any(_same_instance(each, voter) for voter in now.voters)
    )


def _admit_learner(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Add a replica that said hello; it takes the place of a learner of the same instance."""
    members = {each.id for each in now.voters + now.learners}
    for presence in state.present.values():
        found = presence.replica
        if found.id in members or now_s - presence.seen_s > state.timing.presence_s:
            continue
        kept = tuple(each for each in now.learners if not _same_instance(each, found))
        return Membership(now.size, now.voters, (*kept, found))
    return None


def _drop_learner(state: Consensus, now: Membership, now_s: float) -> Membership | None:
    """Remove a silent learner whose instance has a voter; a late hello can have added it."""
    for each in now.learners:
        has_voter = any(_same_instance(each, voter) for voter in now.voters)
        if has_voter and _is_silent(state, each, now_s):
            return Membership(now.size, now.voters, _without(now.learners, each))
    return None


def _is_silent(state: Consensus, replica: Replica, now_s: float) -> bool:
    if replica.id == state.me.id:
        return False
    progress = state.progress.get(replica.id)
    if progress is None:
        return False
    return now_s - max(progress.acked_s, progress.since_s) > state.timing.replace_s


def _is_caught_up(state: Consensus, replica: Replica, now_s: float) -> bool:
    progress = state.progress.get(replica.id)
    if progress is None or progress.match < state.commit_index:
        return False
    # A learner that answered longer ago may be lost; as a voter it would make a majority harder.
    return now_s - progress.acked_s < state.timing.lease_s


def _same_instance(one: Replica, other: Replica) -> bool:
    return one.id.instance == other.id.instance


def _without(members: tuple[Replica, ...], removed: Replica) -> tuple[Replica, ...]:
    return tuple(each for each in members if each.id != removed.id)
