"""The step function of a replica."""

from random import Random

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import (
    Append,
    Appended,
    Hello,
    InstallSnapshot,
    LogEntry,
    PreVote,
    PreVoted,
    Replica,
    ReplicaId,
    Snapshot,
    Vote,
    Voted,
)
from lycheefall._rules.consensus import election, replication, voters
from lycheefall._rules.consensus.log import log_of
from lycheefall._rules.consensus.state import (
    Compact,
    Consensus,
    Input,
    Output,
    Proposals,
    Read,
    Tick,
    Timing,
    postpone_election,
    resting_role,
)


def initial(
    me: Replica,
    initial_voters: tuple[InstanceId, ...],
    seed: int,
    now_s: float,
    timing: Timing = Timing(),  # noqa: B008 - frozen
    term: Term = Term(0),  # noqa: B008 - an int
    vote: ReplicaId | None = None,
    snapshot: Snapshot | None = None,
    entries: tuple[LogEntry, ...] = (),
) -> Consensus:
    """Return the state of a replica that starts with what its disk holds."""
    state = Consensus(
        me=me,
        initial=tuple(sorted(initial_voters)),
        timing=timing,
        random=Random(seed),
        term=term,
        vote=vote,
        log=log_of(snapshot, list(entries)),
    )
    state.commit_index = LogIndex(0) if snapshot is None else snapshot.index
    state.role = resting_role(state)
    # A vote right after a restart could break the promise given to a leader before it.
    keeps_promise = bool(term) and timing.uses_lease
    state.leader_contact_s = now_s if keeps_promise else float("-inf")
    postpone_election(state, now_s)
    if timing.first_election_s:
        # A leader that lives keeps the pre-vote from succeeding, so haste does no harm.
        wait_s = state.random.uniform(0.3, 1.0) * timing.first_election_s
        state.election_due_s = now_s + wait_s
    return state


def step(state: Consensus, message: Input, now_s: float) -> tuple[Consensus, list[Output]]:
    """Take one input; the outputs take effect in their order, the durable ones first."""
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
        case _ if message.to != state.me.id:
            # Meant for an earlier incarnation, whose promises this one doesn't know.
            return
        case PreVote():
            election.on_pre_vote(state, message, now_s)
        case PreVoted():
            election.on_pre_voted(state, message, now_s)
        case Vote():
            election.on_vote(state, message, now_s)
        case Voted():
            election.on_voted(state, message, now_s)
        case Append():
            replication.on_append(state, message, now_s)
        case Appended():
            replication.on_appended(state, message, now_s)
        case InstallSnapshot():
            replication.on_install_snapshot(state, message, now_s)


def _on_tick(state: Consensus, now_s: float) -> None:
    if state.role is ReplicaRole.LEADER:
        replication.on_leader_tick(state, now_s)
        voters.change_membership(state, now_s)
    else:
        election.on_election_tick(state, now_s)
