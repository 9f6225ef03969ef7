"""Messages between the filters of a control replica."""

from msgspec import Struct

from lycheefall._core.configuration import Configuration, Group
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.evacuations import Evacuations
from lycheefall._core.ids import Address, CommandId, Fingerprint, InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import PeerMessage, Submitted
from lycheefall._core.messages.control import GroupStatus, StatusQuery, Watch
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs, ToCoordinator
from lycheefall._core.messages.membership import Announce
from lycheefall._rules.consensus.state import Committed, Compact, Restore, Tick
from lycheefall._rules.replicated.newest_file import NewestFile


class Proposal(Struct, frozen=True):
    """A command and the client connection to send its result to."""

    peer: bytes
    submitted: Submitted


class QueryNewestFile(Struct, frozen=True):
    """Request the newest file; the answer reflects every write acknowledged before the request."""


class ReadRequest(Struct, frozen=True):
    """A linearizable read of committed state, and the connection to send the answer to."""

    peer: bytes
    query: QueryEpochs | QueryNewestFile


class ReadRejected(Struct, frozen=True):
    """Reject a read because this replica cannot confirm its commit index."""

    request: ReadRequest
    leader: Address | None


ToStep = Tick | PeerMessage | Compact | Proposal | ReadRequest


class AwaitResult(Struct, frozen=True):
    """Register a connection that receives the result of a command once it is applied."""

    peer: bytes
    command_id: CommandId


class ProposalsRejected(Struct, frozen=True):
    """Reject proposals because this replica is not the leader."""

    command_ids: tuple[CommandId, ...]
    leader: Address | None


ToApply = AwaitResult | ProposalsRejected | Committed | Restore | ReadRequest | ReadRejected


class ReplicaView(Struct, frozen=True):
    """Consensus state as the step filter publishes it."""

    role: ReplicaRole
    term: Term
    commit_index: LogIndex
    leader: Address | None
    voters: tuple[InstanceId, ...]
    # Until this time the commit index is known to be close to that of the leader.
    fresh_until_s: float
    # Until this time no other leader can exist, so no later commit is missed.
    lease_until_s: float


class AppliedView(Struct, frozen=True):
    """Content of the state machine after the entry at `index`."""

    index: LogIndex
    configuration: Configuration
    claims: int
    groups: tuple[GroupStatus, ...] = ()
    suspects_version: int = 0
    suspects: tuple[Fingerprint, ...] = ()
    refused: tuple[Fingerprint, ...] = ()
    newest_file: NewestFile = NewestFile()
    evacuations: Evacuations = Evacuations()


class ClientMessage(Struct, frozen=True):
    """A client message for the publish filter, and its connection."""

    peer: bytes
    message: Announce | Watch | StatusQuery


ToPublish = ClientMessage | ReplicaView | AppliedView


class FromRank(Struct, frozen=True):
    """A message of a rank's agent, and its connection."""

    peer: bytes
    message: ToCoordinator


class GroupsChanged(Struct, frozen=True):
    """Report the groups of a new configuration."""

    groups: tuple[Group, ...]


ToCoordination = FromRank | GroupsChanged | CommittedEpochs
