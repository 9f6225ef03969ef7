"""State of a replica, the inputs of its step and what the step asks for."""

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
    """Periods of the consensus timers."""

    heartbeat_s: float = 0.075
    election_min_s: float = 0.3
    election_max_s: float = 0.6
    # Shorter than the time for which voters refuse others, for clocks that run unequally.
    lease_s: float = 0.27
    # Whether anything is answered under a lease; a voter that starts then keeps quiet for a while.
    uses_lease: bool = True
    # Longest wait of a voter that starts before it campaigns; 0 for that of any other election.
    first_election_s: float = 0.0
    hello_s: float = 0.25
    # A replica that said hello longer ago is not considered present.
    presence_s: float = 1.0
    # A voter that is silent for this long is replaced by a caught-up standby.
    replace_s: float = 10.0
    # A snapshot is not sent again to the same replica within this time.
    snapshot_resend_s: float = 1.0
    # Standbys become voters until there are this many; 0 keeps the number of the formation.
    grow_to_voters: int = 0


class Tick(Struct, frozen=True):
    """Let time pass."""


class Proposals(Struct, frozen=True):
    """Commands to append, with the wall-clock time of this replica."""

    commands: tuple[Submitted, ...]
    stamp_ms: int


class Compact(Struct, frozen=True):
    """Replace the log up to a snapshot of the local state machine."""

    snapshot: Snapshot


class Read(Struct, frozen=True):
    """Confirm that no commit before this moment is unknown here."""

    read: ReadId


Input = Tick | Proposals | Compact | Read | PeerMessage


class Send(Struct, frozen=True):
    """Send a message to a replica, after everything durable of the same step is synced."""

    to: Replica
    message: PeerMessage


class Broadcast(Struct, frozen=True):
    """Send a message to all replicas that the settings name."""

    message: PeerMessage


class SaveVote(Struct, frozen=True):
    """Make term and vote durable."""

    term: Term
    vote: ReplicaId | None


class SaveEntries(Struct, frozen=True):
    """Make entries durable; they replace everything from the index of the first one on."""

    entries: tuple[LogEntry, ...]


class SaveSnapshot(Struct, frozen=True):
    """Make a snapshot durable, with the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Restore(Struct, frozen=True):
    """Replace the state machine by a snapshot."""

    snapshot: Snapshot


class Committed(Struct, frozen=True):
    """Apply these entries."""

    entries: tuple[LogEntry, ...]


class ProposalsRefused(Struct, frozen=True):
    """Tell that commands were not appended because this replica is not the leader."""

    command_ids: tuple[CommandId, ...]


class ReadConfirmed(Struct, frozen=True):
    """Answer a read behind everything that is committed."""

    read: ReadId


class ReadRefused(Struct, frozen=True):
    """Tell that this replica can't confirm a read."""

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
    """What the leader knows of one other replica."""

    next: LogIndex
    match: LogIndex = LogIndex(0)
    # Sending time of the latest message that the replica answered.
    acked_s: float = float("-inf")
    # When the leader began to count; silence is not counted from before.
    since_s: float = 0.0
    snapshot_sent_s: float = float("-inf")


class PendingRead(Struct, frozen=True):
    """A read that waits until a majority has answered a message sent after it."""

    read: ReadId
    since_s: float


class Presence(Struct, frozen=True):
    """A replica that said hello."""

    replica: Replica
    seen_s: float


class Consensus(Struct, eq=False, kw_only=True):
    """One replica's view of the agreement."""

    me: Replica
    # Instances of the first formation, sorted.
    initial: tuple[InstanceId, ...]
    timing: Timing = Timing()
    random: Random

    term: Term = Term(0)
    vote: ReplicaId | None = None
    log: Log = field(default_factory=empty_log)

    role: ReplicaRole = ReplicaRole.FOLLOWER
    leader: Replica | None = None
    commit_index: LogIndex = LogIndex(0)
    # When a message of the leader arrived last, and whether its commit index was settled.
    leader_contact_s: float = float("-inf")
    is_commit_current: bool = False
    election_due_s: float = float("-inf")
    heartbeat_due_s: float = 0.0
    led_since_s: float = 0.0
    hello_due_s: float = 0.0
    pre_voting: bool = False
    # During the first formation every initial voter has to grant its vote.
    forming: Membership | None = None
    votes: set[ReplicaId] = field(default_factory=set)
    progress: dict[ReplicaId, Progress] = field(default_factory=dict)
    # Stamp of the latest message; increases with each, also while the clock stands still.
    sent_s: float = float("-inf")
    reads: list[PendingRead] = field(default_factory=list)
    present: dict[InstanceId, Presence] = field(default_factory=dict)
    outputs: list[Output] = field(default_factory=list)


def voters(state: Consensus) -> tuple[Replica, ...]:
    """Return the voters of the latest membership, committed or not."""
    if state.forming is not None:
        return state.forming.voters
    membership = state.log.membership
    return () if membership is None else membership.voters


def others(state: Consensus) -> tuple[Replica, ...]:
    """Return all members but this one."""
    membership = state.log.membership
    if membership is None:
        return ()
    members = membership.voters + membership.learners
    return tuple(each for each in members if each.id != state.me.id)


def is_voter(state: Consensus) -> bool:
    """Tell whether this replica votes in its latest membership."""
    membership = state.log.membership
    return membership is not None and any(each.id == state.me.id for each in membership.voters)


def is_member(state: Consensus) -> bool:
    """Tell whether this replica is a voter or a learner."""
    membership = state.log.membership
    if membership is None:
        return False
    return any(each.id == state.me.id for each in membership.voters + membership.learners)


def quorum(count: int) -> int:
    """Return the number of voters that form a majority."""
    return count // 2 + 1


def postpone_election(state: Consensus, now_s: float) -> None:
    """Draw the next election timeout."""
    timing = state.timing
    wait_s = state.random.uniform(timing.election_min_s, timing.election_max_s)
    state.election_due_s = now_s + wait_s


def resting_role(state: Consensus) -> ReplicaRole:
    """Return the role outside elections."""
    return ReplicaRole.FOLLOWER if is_voter(state) else ReplicaRole.LEARNER


def step_down(state: Consensus, term: Term, now_s: float) -> None:
    """Follow in a term; a higher term makes the vote free again."""
    if term > state.term:
        state.term = term
        state.vote = None
        state.outputs.append(SaveVote(term, None))
        state.leader = None
        state.is_commit_current = False
    if state.role is ReplicaRole.LEADER:
        state.leader = None
        state.is_commit_current = False
        postpone_election(state, now_s)
        state.outputs.extend(ReadRefused(each.read) for each in state.reads)
        state.reads.clear()
    state.role = resting_role(state)
    state.pre_voting = False
    state.forming = None
    state.votes.clear()
