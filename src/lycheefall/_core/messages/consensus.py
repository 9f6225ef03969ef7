"""Messages between control replicas, and what the replicated log holds."""

from msgspec import Struct

from lycheefall._core.ids import Address, CommandId, Incarnation, InstanceId, LogIndex, Term
from lycheefall._core.messages.control import Command
from lycheefall._core.messages.relay import PeerUpdate


class ReplicaId(Struct, frozen=True, array_like=True):
    """One disk of one instance; a replica that lost its disk has another incarnation."""

    instance: InstanceId
    incarnation: Incarnation


class Replica(Struct, frozen=True, array_like=True):
    """A replica and where it listens."""

    id: ReplicaId
    peer_address: Address
    client_address: Address


class Membership(Struct, frozen=True, array_like=True, tag=61):
    """Replicas that vote and replicas that only receive the log."""

    # Number of voters that replacements restore.
    size: int
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()


class NoOp(Struct, frozen=True, array_like=True, tag=62):
    """First entry of a term; entries of earlier terms are committed through it."""


class Submitted(Struct, frozen=True, array_like=True, tag=63):
    """A command and the id under which it is answered."""

    command_id: CommandId
    command: Command


Payload = Membership | NoOp | Submitted


class LogEntry(Struct, frozen=True, array_like=True):
    """One record of the replicated log."""

    index: LogIndex
    term: Term
    # Wall-clock time of the leader that appended the entry; never decreases along the log.
    timestamp_ms: int
    payload: Payload


class Snapshot(Struct, frozen=True, array_like=True):
    """The state machine after the entry at `index`, encoded."""

    index: LogIndex
    term: Term
    timestamp_ms: int
    membership: Membership
    state: bytes


class WriteBatch(Struct, frozen=True, array_like=True):
    """What one sync makes durable; term and vote are those after the batch."""

    term: Term
    vote: ReplicaId | None
    # Entries replace everything in the log from the index of the first one on.
    entries: tuple[LogEntry, ...]


class Hello(Struct, frozen=True, array_like=True, tag=71):
    """Tell the other replicas that this one exists and is not yet a member."""

    sender: Replica


class RequestPreVote(Struct, frozen=True, array_like=True, tag=72):
    """Ask whether a vote in this term would be granted; changes nothing at the receiver."""

    sender: Replica
    to: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term


class PreVoteReply(Struct, frozen=True, array_like=True, tag=73):
    """Answer PreVote; `term` is the one asked for, or the higher one of the receiver."""

    sender: Replica
    to: ReplicaId
    term: Term
    granted: bool


class RequestVote(Struct, frozen=True, array_like=True, tag=74):
    """Ask for the vote of a term."""

    sender: Replica
    to: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term


class VoteReply(Struct, frozen=True, array_like=True, tag=75):
    """Answer Vote."""

    sender: Replica
    to: ReplicaId
    term: Term
    granted: bool


class AppendEntries(Struct, frozen=True, array_like=True, tag=76):
    """Replicate entries, or none as a heartbeat."""

    sender: Replica
    to: ReplicaId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[LogEntry, ...]
    commit: LogIndex
    # True once the leader has committed an entry of its own term, so `commit` is up to date.
    is_commit_current: bool
    # The leader's clock; returned in the answer so that its lease counts from the sending.
    sent_s: float


class AppendReply(Struct, frozen=True, array_like=True, tag=77):
    """Answer Append or InstallSnapshot."""

    sender: Replica
    to: ReplicaId
    term: Term
    success: bool
    # The last index that matches the leader's log, or where the leader should try next.
    match: LogIndex
    sent_s: float


class InstallSnapshot(Struct, frozen=True, array_like=True, tag=78):
    """Replace the log of a replica that is behind the leader's first entry."""

    sender: Replica
    to: ReplicaId
    term: Term
    snapshot: Snapshot
    sent_s: float


class LinkPing(Struct, frozen=True, array_like=True, tag=79):
    """Test a connection between replicas."""


class LinkPong(Struct, frozen=True, array_like=True, tag=80):
    """Answer LinkPing over the same connection."""


Addressed = (
    RequestPreVote
    | PreVoteReply
    | RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
)
PeerMessage = Hello | Addressed
ToPeer = PeerMessage | PeerUpdate | LinkPing | LinkPong
