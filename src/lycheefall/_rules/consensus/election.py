"""Leader election with pre-vote, and the bootstrap of a new cluster.

See D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
"""

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import LogIndex, Term
from lycheefall._core.messages.consensus import (
    Hello,
    Membership,
    NoOp,
    PreVoteReply,
    Replica,
    RequestPreVote,
    RequestVote,
    VoteReply,
)
from lycheefall._rules.consensus.log import last_index, last_term
from lycheefall._rules.consensus.replication import append_leader_entry, has_lease, send_appends
from lycheefall._rules.consensus.state import (
    Broadcast,
    Consensus,
    Presence,
    Progress,
    SaveVote,
    Send,
    is_member,
    is_voter,
    other_members,
    quorum,
    reset_election_timer,
    step_down,
    voters,
)


def on_election_tick(state: Consensus, now_s: float) -> None:
    """Broadcast Hello while not a member; campaign after the election timeout."""
    if not is_member(state) and now_s >= state.hello_due_s:
        state.hello_due_s = now_s + state.timing.hello_interval_s
        state.outputs.append(Broadcast(Hello(state.replica)))
    if now_s < state.election_due_s:
        return
    reset_election_timer(state, now_s)
    if is_voter(state):
        _start_pre_vote(state, now_s)
    elif state.log.membership is None:
        _start_bootstrap(state, now_s)


def on_hello(state: Consensus, message: Hello, now_s: float) -> None:
    """Record that a replica is present."""
    state.presences[message.sender.id.instance] = Presence(message.sender, now_s)


def on_request_pre_vote(state: Consensus, message: RequestPreVote, now_s: float) -> None:
    """Grant a pre-vote unless a leader is alive or the candidate's log is out of date."""
    granted = (
        message.term > state.term
        and _is_up_to_date(state, message.last_term, message.last_index)
        and not _leader_is_alive(state, now_s)
    )
    term = message.term if granted else state.term
    state.outputs.append(
        Send(message.sender, PreVoteReply(state.replica, message.sender.id, term, granted))
    )


def on_pre_vote_reply(state: Consensus, message: PreVoteReply, now_s: float) -> None:
    """Start the election once a majority has granted the pre-vote."""
    if message.term > state.term and not message.granted:
        step_down(state, message.term, now_s)
        return
    if not state.pre_voting or not message.granted or message.term != state.term + 1:
        return
    state.votes.add(message.sender.id)
    if _has_enough_votes(state):
        _start_election(state, now_s)


def on_request_vote(state: Consensus, message: RequestVote, now_s: float) -> None:
    """Grant at most one vote per term, to a candidate whose log is up to date."""
    if _leader_is_alive(state, now_s):
        return
    if message.term > state.term:
        step_down(state, message.term, now_s)
    granted = (
        message.term == state.term
        and state.vote in (None, message.sender.id)
        and _is_up_to_date(state, message.last_term, message.last_index)
    )
    if granted:
        state.vote = message.sender.id
        state.outputs.append(SaveVote(state.term, state.vote))
        reset_election_timer(state, now_s)
    state.outputs.append(
        Send(message.sender, VoteReply(state.replica, message.sender.id, state.term, granted))
    )


def on_vote_reply(state: Consensus, message: VoteReply, now_s: float) -> None:
    """Become the leader once enough voters have granted their vote."""
    if message.term > state.term:
        step_down(state, message.term, now_s)
        return
    if state.role is not ReplicaRole.CANDIDATE or state.pre_voting:
        return
    if message.term == state.term and message.granted:
        state.votes.add(message.sender.id)
        if _has_enough_votes(state):
            _become_leader(state, now_s)


def _start_pre_vote(state: Consensus, now_s: float) -> None:
    state.role = ReplicaRole.CANDIDATE
    state.leader = None
    state.is_commit_current = False
    state.pre_voting = True
    state.bootstrap_membership = None
    state.votes = {state.replica.id}
    if _has_enough_votes(state):
        _start_election(state, now_s)
        return
    _send_vote_requests(state, RequestPreVote, Term(state.term + 1))


def _start_bootstrap(state: Consensus, now_s: float) -> None:
    """Bootstrap the cluster: one designated replica needs the votes of all initial voters.

    A voter with log entries rejects a candidate with an empty log. Votes from all of them
    therefore prove that all disks are empty, so a lost disk can't pass for a first start.
    """
    if not state.initial_voters or state.replica.id.instance != state.initial_voters[0]:
        return
    present = [_present_replica(state, instance, now_s) for instance in state.initial_voters]
    members = tuple(each for each in present if each is not None)
    if len(members) == len(state.initial_voters):
        state.bootstrap_membership = Membership(len(members), members)
        _start_election(state, now_s)


def _present_replica(state: Consensus, instance: str, now_s: float) -> Replica | None:
    if instance == state.replica.id.instance:
        return state.replica
    for each in state.presences.values():
        is_fresh = now_s - each.seen_s <= state.timing.presence_s
        if each.replica.id.instance == instance and is_fresh:
            return each.replica
    return None


def _start_election(state: Consensus, now_s: float) -> None:
    state.role = ReplicaRole.CANDIDATE
    state.pre_voting = False
    state.term = Term(state.term + 1)
    state.vote = state.replica.id
    state.votes = {state.replica.id}
    state.outputs.append(SaveVote(state.term, state.vote))
    if _has_enough_votes(state):
        _become_leader(state, now_s)
        return
    _send_vote_requests(state, RequestVote, state.term)


def _send_vote_requests(
    state: Consensus, kind: type[RequestPreVote] | type[RequestVote], term: Term
) -> None:
    for each in voters(state):
        if each.id != state.replica.id:
            message = kind(
                state.replica, each.id, term, last_index(state.log), last_term(state.log)
            )
            state.outputs.append(Send(each, message))


def _has_enough_votes(state: Consensus) -> bool:
    """Return whether a majority granted its vote, or in the bootstrap every initial voter."""
    electorate = voters(state)
    granted = sum(1 for each in electorate if each.id in state.votes)
    if state.bootstrap_membership is not None:
        return granted == len(electorate)
    return granted >= quorum(len(electorate))


def _become_leader(state: Consensus, now_s: float) -> None:
    bootstrap = state.bootstrap_membership
    state.role = ReplicaRole.LEADER
    state.leader = state.replica
    state.is_commit_current = False
    state.bootstrap_membership = None
    state.progress = {}
    state.leader_since_s = now_s
    next_index = LogIndex(last_index(state.log) + 1)
    append_leader_entry(state, NoOp() if bootstrap is None else bootstrap)
    for each in other_members(state):
        state.progress[each.id] = Progress(next_index, tracked_since_s=now_s)
    send_appends(state, now_s)


def _is_up_to_date(state: Consensus, term: Term, index: LogIndex) -> bool:
    return (term, index) >= (last_term(state.log), last_index(state.log))


def _leader_is_alive(state: Consensus, now_s: float) -> bool:
    if state.role is ReplicaRole.LEADER:
        return has_lease(state, now_s)
    return now_s - state.leader_contact_s < state.timing.election_min_s
