"""Messages between control replicas, and the records of the replicated log."""

from msgspec import Struct

from lycheefall._core.ids import Address, CommandId, Incarnation, InstanceId, LogIndex, Term
from lycheefall._core.messages.control import Command
from lycheefall._core.messages.relay import PeerUpdate


class ReplicaId(Struct, frozen=True, array_like=True):
    """Identity of a replica; a replica that lost its disk gets a new incarnation."""

    instance: InstanceId
    incarnation: Incarnation


class Replica(Struct, frozen=True, array_like=True):
    """A replica and its listen addresses."""

    id: ReplicaId
    peer_address: Address
    client_address: Address


class Membership(Struct, frozen=True, array_like=True, tag=61):
    """Voting replicas, and learners that only receive the log."""

    # Target number of voters, to which replacements restore the group.
    size: int
    voters: tuple[Replica, ...]
    learners: tuple[Replica, ...] = ()


class NoOp(Struct, frozen=True, array_like=True, tag=62):
    """No-op entry that starts a term; committing it commits the entries of earlier terms."""


class Submitted(Struct, frozen=True, array_like=True, tag=63):
    """A command and the id that its result is matched by."""

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
    """Encoded state machine after the entry at `index`."""

    index: LogIndex
    term: Term
    timestamp_ms: int
    membership: Membership
    state: bytes


class WriteBatch(Struct, frozen=True, array_like=True):
    """Records written by one sync; term and vote are the values after the batch."""

    term: Term
    vote: ReplicaId | None
    # The entries replace the log from the index of the first one onwards.
    entries: tuple[LogEntry, ...]


class Hello(Struct, frozen=True, array_like=True, tag=71):
    """Introduce a replica that is not yet a member to the other replicas."""

    sender: Replica


class RequestPreVote(Struct, frozen=True, array_like=True, tag=72):
    """Ask whether a vote in this term would be granted, without changing the receiver's state."""

    sender: Replica
    to: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term


class PreVoteReply(Struct, frozen=True, array_like=True, tag=73):
    """Answer RequestPreVote; `term` is the requested one, or the higher one of the receiver."""

    sender: Replica
    to: ReplicaId
    term: Term
    granted: bool


class RequestVote(Struct, frozen=True, array_like=True, tag=74):
    """Request a vote in an election."""

    sender: Replica
    to: ReplicaId
    term: Term
    last_index: LogIndex
    last_term: Term


class VoteReply(Struct, frozen=True, array_like=True, tag=75):
    """Answer RequestVote."""

    sender: Replica
    to: ReplicaId
    term: Term
    granted: bool


class AppendEntries(Struct, frozen=True, array_like=True, tag=76):
    """Replicate log entries; an empty message is a heartbeat."""

    sender: Replica
    to: ReplicaId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    entries: tuple[LogEntry, ...]
    commit: LogIndex
    # True once the leader has committed an entry of its own term, which makes `commit` current.
    is_commit_current: bool
    # The leader's clock; the reply returns it so that the lease runs from the time of sending.
    sent_s: float


class AppendReply(Struct, frozen=True, array_like=True, tag=77):
    """Answer AppendEntries or InstallSnapshot."""

    sender: Replica
    to: ReplicaId
    term: Term
    success: bool
    # Last index that matches the leader's log; on failure, the index to try next.
    match: LogIndex
    sent_s: float


class InstallSnapshot(Struct, frozen=True, array_like=True, tag=78):
    """Replace the log of a replica that lags behind the leader's first log entry."""

    sender: Replica
    to: ReplicaId
    term: Term
    snapshot: Snapshot
    sent_s: float


class LinkPing(Struct, frozen=True, array_like=True, tag=79):
    """Check a connection between replicas."""


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
