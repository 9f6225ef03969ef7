"""Messages between the filters of a control replica."""

from msgspec import Struct

from lycheefall._core.configuration import Configuration, Group
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Address, CommandId, Fingerprint, InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import PeerMessage, Submitted
from lycheefall._core.messages.control import GroupStatus, StatusQuery, Watch
from lycheefall._core.messages.groups import CommittedEpochs, QueryEpochs, ToCoordinator
from lycheefall._core.messages.membership import Announce
from lycheefall._rules.consensus.state import Committed, Compact, Restore, Tick
from lycheefall._rules.replicated.newest_file import NewestFile


class Proposal(Struct, frozen=True):
    """A command and the connection that waits for its result."""

    peer: bytes
    submitted: Submitted


class QueryNewestFile(Struct, frozen=True):
    """Ask for the newest file; the answer holds each one acknowledged before the question."""


class ReadRequest(Struct, frozen=True):
    """A question for committed state, and the connection that waits for the answer."""

    peer: bytes
    question: QueryEpochs | QueryNewestFile


class Unanswered(Struct, frozen=True):
    """Tell that this replica can't be sure of the committed state."""

    question: ReadRequest
    leader: Address | None


ToStep = Tick | PeerMessage | Compact | Proposal | ReadRequest


class Expect(Struct, frozen=True):
    """Answer this connection when the command is applied."""

    peer: bytes
    command_id: CommandId


class Reject(Struct, frozen=True):
    """Answer that this replica does not lead."""

    command_ids: tuple[CommandId, ...]
    leader: Address | None


ToApply = Expect | Reject | Committed | Restore | ReadRequest | Unanswered


class ReplicaView(Struct, frozen=True):
    """How the step task sees the agreement."""

    role: ReplicaRole
    term: Term
    commit: LogIndex
    leader: Address | None
    voters: tuple[InstanceId, ...]
    # Until when the commit index is known to be near that of the leader.
    settled_until_s: float
    # Until when no other leader can exist, so that no later commit is missed.
    lease_until_s: float


class AppliedView(Struct, frozen=True):
    """What the state machine holds after an entry."""

    index: LogIndex
    configuration: Configuration
    claims: int
    groups: tuple[GroupStatus, ...] = ()
    suspects_version: int = 0
    suspects: tuple[Fingerprint, ...] = ()
    refused: tuple[Fingerprint, ...] = ()
    newest_file: NewestFile = NewestFile()


class ClientMessage(Struct, frozen=True):
    """A message of a connection for the publish task."""

    peer: bytes
    message: Announce | Watch | StatusQuery


ToPublish = ClientMessage | ReplicaView | AppliedView


class FromRank(Struct, frozen=True):
    """A message of a rank's agent, and the connection that it came over."""

    peer: bytes
    message: ToCoordinator


class GroupsSeen(Struct, frozen=True):
    """The groups of the configuration in force."""

    groups: tuple[Group, ...]


ToCoordination = FromRank | GroupsSeen | CommittedEpochs
