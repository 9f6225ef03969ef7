"""The Raft step function: changes the state of a replica for one input, without I/O."""

from random import Random

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import (
    AppendEntries,
    AppendReply,
    Hello,
    InstallSnapshot,
    LogEntry,
    PreVoteReply,
    Replica,
    ReplicaId,
    RequestPreVote,
    RequestVote,
    Snapshot,
    VoteReply,
)
from lycheefall._rules.consensus import election, membership_changes, replication
from lycheefall._rules.consensus.log import load_log
from lycheefall._rules.consensus.state import (
    Compact,
    Consensus,
    Input,
    Output,
    Proposals,
    Read,
    Tick,
    Timing,
    follower_or_learner,
    reset_election_timer,
)


def initial(
    replica: Replica,
    initial_voters: tuple[InstanceId, ...],
    seed: int,
    now_s: float,
    timing: Timing = Timing(),  # noqa: B008 - frozen
    term: Term = Term(0),  # noqa: B008 - an int
    vote: ReplicaId | None = None,
    snapshot: Snapshot | None = None,
    entries: tuple[LogEntry, ...] = (),
) -> Consensus:
    """Return the state of a replica that starts with the given durable state."""
    state = Consensus(
        replica=replica,
        initial_voters=tuple(sorted(initial_voters)),
        timing=timing,
        random=Random(seed),
        term=term,
        vote=vote,
        log=load_log(snapshot, list(entries)),
    )
    state.commit_index = LogIndex(0) if snapshot is None else snapshot.index
    state.role = follower_or_learner(state)
    # The replica may have answered a leader before the restart, whose lease a vote would break.
    waits_out_lease = bool(term) and timing.uses_lease
    state.leader_contact_s = now_s if waits_out_lease else float("-inf")
    reset_election_timer(state, now_s)
    if timing.first_election_s:
        # A short timeout is safe: the pre-vote fails while a leader is alive.
        wait_s = state.random.uniform(0.3, 1.0) * timing.first_election_s
        state.election_due_s = now_s + wait_s
    return state


def step(state: Consensus, message: Input, now_s: float) -> tuple[Consensus, list[Output]]:
    """Process one input and return its outputs.

    The caller persists the durable outputs first, then handles the others in order.
    """
    _dispatch(state, message, now_s)
    outputs = state.outputs
    state.outputs = []
    return state, outputs


def _dispatch(state: Consensus, message: Input, now_s: float) -> None:
    match message:
        case Tick():
            _on_tick(state, now_s)
        case Proposals():
            replication.on_proposals(state, message, now_s)
        case Compact():
            replication.on_compact(state, message, now_s)
        case Read():
            replication.on_read(state, message, now_s)
        case Hello():
            election.on_hello(state, message, now_s)
        case _ if message.to != state.replica.id:
            # Addressed to an earlier incarnation, whose votes and replies are unknown here.
            return
        case RequestPreVote():
            election.on_request_pre_vote(state, message, now_s)
        case PreVoteReply():
            election.on_pre_vote_reply(state, message, now_s)
        case RequestVote():
            election.on_request_vote(state, message, now_s)
        case VoteReply():
            election.on_vote_reply(state, message, now_s)
        case AppendEntries():
            replication.on_append_entries(state, message, now_s)
        case AppendReply():
            replication.on_append_reply(state, message, now_s)
        case InstallSnapshot():
            replication.on_install_snapshot(state, message, now_s)


def _on_tick(state: Consensus, now_s: float) -> None:
    if state.role is ReplicaRole.LEADER:
        replication.on_leader_tick(state, now_s)
        membership_changes.change_membership(state, now_s)
    else:
        election.on_election_tick(state, now_s)
