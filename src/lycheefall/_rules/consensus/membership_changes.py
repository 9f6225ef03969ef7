"""Single-server membership changes, decided by the leader.

A replica that is not a member sends Hello and joins as a learner. A standby is a caught-up learner
whose instance has no voter, so that it can be promoted to a voter.
"""

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.messages.consensus import Membership, Replica
from lycheefall._rules.consensus.replication import append_leader_entry, send_appends
from lycheefall._rules.consensus.state import Consensus


def change_membership(state: Consensus, now_s: float) -> None:
    """Append the next membership change that is due, once the previous one is committed."""
    membership = state.log.membership
    if state.role is not ReplicaRole.LEADER or membership is None or not state.is_commit_current:
        return
    if state.log.membership_index > state.commit_index:
        return
    changed = _next_membership(state, membership, now_s)
    if changed is not None:
        append_leader_entry(state, changed)
        send_appends(state, now_s)


def _next_membership(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Return the change that is due and has the highest priority."""
    for decide in (
        _remove_replaced,
        _demote_surplus,
        _promote,
        _demote_to_odd,
        _admit_learner,
        _remove_stale_learner,
    ):
        changed = decide(state, current, now_s)
        if changed is not None:
            return changed
    return None


def _remove_replaced(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Remove a voter whose instance returned with an empty disk, once a learner is caught up.

    Its disk is known to be lost, so the removal precedes the promotion: if both were voters, the
    loss of the new one would leave two failed voters out of four.
    """
    has_successor = any(_is_caught_up(state, each, now_s) for each in current.learners)
    if len(current.voters) < current.size or not has_successor:
        return None
    for each in current.voters:
        if any(_same_instance(each, learner) for learner in current.learners):
            return Membership(current.size, _without(current.voters, each), current.learners)
    return None


def _demote_surplus(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Demote one voter after a standby was promoted, preferably an unresponsive one."""
    if len(current.voters) <= current.size:
        return None
    return _demote(state, current, current.size, now_s)


def _demote_to_odd(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Demote one of an even number of voters to a standby.

    An even number has larger majorities but tolerates no more failures than one voter fewer. If
    an instance never returns, the next lost disk costs the majority. Two voters are not changed.
    """
    count = len(current.voters)
    may_demote = bool(state.timing.grow_to_voters) and count % 2 == 0 and count > 2
    if not may_demote or count != current.size:
        return None
    return _demote(state, current, current.size - 1, now_s)


def _demote(state: Consensus, current: Membership, size: int, now_s: float) -> Membership:
    """Demote a voter to a learner, which keeps its disk; prefer an unresponsive voter."""
    candidates = [each for each in current.voters if each.id != state.replica.id]
    unresponsive = [each for each in candidates if _is_unresponsive(state, each, now_s)]
    chosen = unresponsive[0] if unresponsive else candidates[-1]
    return Membership(size, _without(current.voters, chosen), (*current.learners, chosen))


def _promote(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Promote a caught-up learner if there are too few voters or one of them is unresponsive.

    An unresponsive voter stays until the standby is promoted: its disk may be intact. With one
    voter fewer, its return could not make up for the loss of another disk.
    """
    standbys = _standbys(state, current, now_s)
    unresponsive = any(_is_unresponsive(state, each, now_s) for each in current.voters)
    is_needed = len(current.voters) < current.size or (
        unresponsive and len(current.voters) == current.size
    )
    grows = not unresponsive and _may_grow(state, current, len(standbys))
    if not (is_needed or grows) or not standbys:
        return None
    chosen = standbys[0]
    size = current.size + 1 if grows else current.size
    return Membership(size, (*current.voters, chosen), _without(current.learners, chosen))


def _may_grow(state: Consensus, current: Membership, standbys: int) -> bool:
    """Return whether there are enough standbys to reach the next odd number of voters."""
    if not current.size == len(current.voters) < state.timing.grow_to_voters:
        return False
    return standbys > (1 if current.size % 2 else 0)


def _standbys(state: Consensus, current: Membership, now_s: float) -> tuple[Replica, ...]:
    """Return the caught-up learners of instances without a voter."""
    return tuple(
        each
        for each in current.learners
        if _is_caught_up(state, each, now_s)
        and not any(_same_instance(each, voter) for voter in current.voters)
    )


def _admit_learner(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Add a replica that sent a Hello; it replaces a learner of the same instance."""
    members = {each.id for each in current.voters + current.learners}
    for presence in state.presences.values():
        found = presence.replica
        if found.id in members or now_s - presence.seen_s > state.timing.presence_s:
            continue
        remaining = tuple(each for each in current.learners if not _same_instance(each, found))
        return Membership(current.size, current.voters, (*remaining, found))
    return None


def _remove_stale_learner(state: Consensus, current: Membership, now_s: float) -> Membership | None:
    """Remove an unresponsive learner whose instance has a voter; a late Hello can add one."""
    for each in current.learners:
        has_voter = any(_same_instance(each, voter) for voter in current.voters)
        if has_voter and _is_unresponsive(state, each, now_s):
            return Membership(current.size, current.voters, _without(current.learners, each))
    return None


def _is_unresponsive(state: Consensus, replica: Replica, now_s: float) -> bool:
    if replica.id == state.replica.id:
        return False
    progress = state.progress.get(replica.id)
    if progress is None:
        return False
    return (
        now_s - max(progress.acked_s, progress.tracked_since_s) > state.timing.replace_voter_after_s
    )


def _is_caught_up(state: Consensus, replica: Replica, now_s: float) -> bool:
    progress = state.progress.get(replica.id)
    if progress is None or progress.match_index < state.commit_index:
        return False
    # A learner without a recent reply may have failed; promoting it would put a majority at risk.
    return now_s - progress.acked_s < state.timing.lease_s


def _same_instance(one: Replica, other: Replica) -> bool:
    return one.id.instance == other.id.instance


def _without(members: tuple[Replica, ...], removed: Replica) -> tuple[Replica, ...]:
    return tuple(each for each in members if each.id != removed.id)
