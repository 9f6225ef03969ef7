"""Raft state of a replica, and the inputs and outputs of its step function."""

from random import Random

from msgspec import Struct, field

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import CommandId, InstanceId, LogIndex, ReadId, Term
from lycheefall._core.messages.consensus import (
    LogEntry,
    Membership,
    PeerMessage,
    Replica,
    ReplicaId,
    Snapshot,
    Submitted,
)
from lycheefall._rules.consensus.log import Log, empty_log


class Timing(Struct, frozen=True, kw_only=True):
    """Periods and timeouts of the consensus timers, in seconds."""

    heartbeat_s: float = 0.075
    election_min_s: float = 0.3
    election_max_s: float = 0.6
    # Shorter than election_min_s, for which voters reject candidates, to allow for clock drift.
    lease_s: float = 0.27
    # Whether requests are answered under a lease; a restarted voter then rejects candidates for
    # election_min_s.
    uses_lease: bool = True
    # Longest election timeout after a start; 0 uses the ordinary election timeout.
    first_election_s: float = 0.0
    # Interval of the Hello messages of a replica that is not a member.
    hello_interval_s: float = 0.25
    # A replica counts as present for this long after its last Hello.
    presence_s: float = 1.0
    # A voter that sends no reply for this long is replaced by a caught-up standby.
    replace_voter_after_s: float = 10.0
    # Minimum time between two snapshots sent to the same replica.
    snapshot_resend_s: float = 1.0
    # Standbys are promoted until there are this many voters; 0 keeps the number of initial voters.
    grow_to_voters: int = 0


class Tick(Struct, frozen=True):
    """Check the timers against the current time."""


class Proposals(Struct, frozen=True):
    """Commands to append, with the wall-clock time of this replica in milliseconds."""

    commands: tuple[Submitted, ...]
    timestamp_ms: int


class Compact(Struct, frozen=True):
    """Drop the log entries that a snapshot of the local state machine covers."""

    snapshot: Snapshot


class Read(Struct, frozen=True):
    """Request a linearizable read: confirm that this replica knows every earlier commit."""

    read: ReadId


Input = Tick | Proposals | Compact | Read | PeerMessage


class Send(Struct, frozen=True):
    """Send a message to a replica after the durable outputs of the same step are synced."""

    to: Replica
    message: PeerMessage


class Broadcast(Struct, frozen=True):
    """Send a message to all replicas that the settings list."""

    message: PeerMessage


class SaveVote(Struct, frozen=True):
    """Persist the term and the vote."""

    term: Term
    vote: ReplicaId | None


class SaveEntries(Struct, frozen=True):
    """Persist entries, which replace all stored ones from the index of the first on."""

    entries: tuple[LogEntry, ...]


class SaveSnapshot(Struct, frozen=True):
    """Persist a snapshot and the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Restore(Struct, frozen=True):
    """Replace the state machine with a snapshot."""

    snapshot: Snapshot


class Committed(Struct, frozen=True):
    """Apply these committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


class ProposalsRefused(Struct, frozen=True):
    """Report commands that were not appended because this replica is not the leader."""

    command_ids: tuple[CommandId, ...]


class ReadConfirmed(Struct, frozen=True):
    """Report that a read may be answered once all earlier outputs are applied."""

    read: ReadId


class ReadRefused(Struct, frozen=True):
    """Report a read that this replica can't confirm."""

    read: ReadId


Durable = SaveVote | SaveEntries | SaveSnapshot
Output = (
    Send
    | Broadcast
    | Durable
    | Restore
    | Committed
    | ProposalsRefused
    | ReadConfirmed
    | ReadRefused
)


class Progress(Struct):
    """The leader's replication state for one other replica."""

    next_index: LogIndex
    match_index: LogIndex = LogIndex(0)
    # Send time of the latest message that the replica answered.
    acked_s: float = float("-inf")
    # When the leader started to track the replica; earlier silence is not counted.
    tracked_since_s: float = 0.0
    snapshot_sent_s: float = float("-inf")


class PendingRead(Struct, frozen=True):
    """A read that waits until a majority has answered a message sent after it."""

    read: ReadId
    # Send time that the answered message must exceed.
    requested_s: float


class Presence(Struct, frozen=True):
    """The last Hello of a replica and when it arrived."""

    replica: Replica
    seen_s: float


class Consensus(Struct, eq=False, kw_only=True):
    """Consensus state of one replica."""

    replica: Replica
    # Instances that bootstrap the cluster, sorted.
    initial_voters: tuple[InstanceId, ...]
    timing: Timing = Timing()
    random: Random

    term: Term = Term(0)
    vote: ReplicaId | None = None
    log: Log = field(default_factory=empty_log)

    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader: Replica | None = None
    commit_index: LogIndex = LogIndex(0)
    # When the last message of the leader arrived.
    leader_contact_s: float = float("-inf")
    # Whether commit_index covers all entries committed before the term of the leader.
    is_commit_current: bool = False
    election_due_s: float = float("-inf")
    heartbeat_due_s: float = 0.0
    leader_since_s: float = 0.0
    hello_due_s: float = 0.0
    # Whether the candidate still collects pre-votes, before it increments the term.
    pre_voting: bool = False
    # Set during the bootstrap, in which every initial voter has to grant its vote.
    bootstrap_membership: Membership | None = None
    # Replicas that granted their vote, or their pre-vote while `pre_voting`.
    votes: set[ReplicaId] = field(default_factory=set)
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    # Send time of the latest message; strictly increasing, even if the clock does not advance.
    last_sent_s: float = float("-inf")
    # Unconfirmed reads of the leader.
    reads: list[PendingRead] = field(default_factory=list)
    # Replicas that sent a Hello, which can take part in the bootstrap or become learners.
    presences: dict[InstanceId, Presence] = field(default_factory=dict)
    # Outputs of the current step.
    outputs: list[Output] = field(default_factory=list)


def voters(state: Consensus) -> tuple[Replica, ...]:
    """Return the voters of the latest membership, committed or not."""
    if state.bootstrap_membership is not None:
        return state.bootstrap_membership.voters
    membership = state.log.membership
    return () if membership is None else membership.voters


def other_members(state: Consensus) -> tuple[Replica, ...]:
    """Return all voters and learners except this replica."""
    membership = state.log.membership
    if membership is None:
        return ()
    members = membership.voters + membership.learners
    return tuple(each for each in members if each.id != state.replica.id)


def is_voter(state: Consensus) -> bool:
    """Return whether this replica is a voter of its latest membership."""
    membership = state.log.membership
    return membership is not None and any(each.id == state.replica.id for each in membership.voters)


def is_member(state: Consensus) -> bool:
    """Return whether this replica is a voter or a learner."""
    membership = state.log.membership
    if membership is None:
        return False
    return any(each.id == state.replica.id for each in membership.voters + membership.learners)


def quorum(count: int) -> int:
    """Return the number of voters that form a majority."""
    return count // 2 + 1


def reset_election_timer(state: Consensus, now_s: float) -> None:
    """Restart the election timer with a random timeout."""
    timing = state.timing
    wait_s = state.random.uniform(timing.election_min_s, timing.election_max_s)
    state.election_due_s = now_s + wait_s


def follower_or_learner(state: Consensus) -> ReplicaRole:
    """Return the role of this replica while it neither leads nor campaigns."""
    return ReplicaRole.FOLLOWER if is_voter(state) else ReplicaRole.LEARNER


def step_down(state: Consensus, term: Term, now_s: float) -> None:
    """Become a follower or learner in a term; a higher term clears the vote."""
    if term > state.term:
        state.term = term
        state.vote = None
        state.outputs.append(SaveVote(term, None))
        state.leader = None
        state.is_commit_current = False
    if state.role is ReplicaRole.LEADER:
        state.leader = None
        state.is_commit_current = False
        reset_election_timer(state, now_s)
        state.outputs.extend(ReadRefused(each.read) for each in state.reads)
        state.reads.clear()
    state.role = follower_or_learner(state)
    state.pre_voting = False
    state.bootstrap_membership = None
    state.votes.clear()
