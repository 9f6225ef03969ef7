"""Messages between control replicas and their clients."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import ClaimState
from lycheefall._core.evacuations import UNKNOWN_VERSION, Evacuations
from lycheefall._core.ids import (
    Address,
    AttemptNumber,
    CommandId,
    DataCentreId,
    Digest,
    FencingNumber,
    Fingerprint,
    GroupId,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    LeaseName,
    MapEpoch,
    RankId,
    Revision,
    StepNumber,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.membership import Announce, Member


class ApplyFile(Struct, frozen=True, array_like=True, tag=31):
    """Replace the configuration with a complete file."""

    replaces: Revision
    digest: Digest
    text: str


class RecordedAnswer(Struct, frozen=True, array_like=True):
    """Recorded answer of an operation, replayed to later requests with the same key."""

    code: ResultCode
    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True, array_like=True, tag=32):
    """Claim a non-idempotent operation; committed before its first dispatch."""

    key: IdempotencyKey
    team: TeamId
    request_digest: Digest
    key_time_ms: int
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation


class Reassign(Struct, frozen=True, array_like=True, tag=33):
    """Move a claim to another upstream or holder after its attempt was released."""

    key: IdempotencyKey
    team: TeamId
    attempt: AttemptNumber
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation


class RecordOutcome(Struct, frozen=True, array_like=True, tag=34):
    """Record the answer of a claimed operation; None means that the outcome is unknown."""

    key: IdempotencyKey
    team: TeamId
    attempt: AttemptNumber
    answer: RecordedAnswer | None


class AcquireLease(Struct, frozen=True, array_like=True, tag=35):
    """Acquire a free or expired lease; each grant has a higher fencing number."""

    name: LeaseName
    holder: Incarnation
    duration_s: float


class RenewLease(Struct, frozen=True, array_like=True, tag=36):
    """Extend a lease that the holder still has under this fencing number."""

    name: LeaseName
    holder: Incarnation
    fencing: FencingNumber
    duration_s: float


class CommitEpoch(Struct, frozen=True, array_like=True, tag=37):
    """Commit an expert map for a group, effective from its first step."""

    group: GroupId
    epoch: MapEpoch
    fencing: FencingNumber
    first_step: StepNumber
    # Ranks that hold a replica of each expert, indexed by expert.
    placement: tuple[tuple[RankId, ...], ...]


class RecordCrash(Struct, frozen=True, array_like=True, tag=38):
    """Record the fingerprints that were in flight when an upstream crashed."""

    upstream: UpstreamId
    upstream_incarnation: Incarnation
    fingerprints: tuple[Fingerprint, ...]


class ClearSuspects(Struct, frozen=True, array_like=True, tag=39):
    """Clear suspect fingerprints whose requests succeeded while running alone."""

    fingerprints: tuple[Fingerprint, ...]


class StoreFile(Struct, frozen=True, array_like=True, tag=40):
    """Store a complete file; it replaces the stored file if its revision is higher."""

    revision: Revision
    # Compressed file; opaque to the state machine.
    packed: bytes


class SetEvacuation(Struct, frozen=True, array_like=True, tag=48):
    """Evacuate a data centre, or withdraw its evacuation."""

    data_centre: DataCentreId
    is_evacuated: bool


Command = (
    ApplyFile
    | StoreFile
    | SetEvacuation
    | Claim
    | Reassign
    | RecordOutcome
    | AcquireLease
    | RenewLease
    | CommitEpoch
    | RecordCrash
    | ClearSuspects
)


class FileResult(Struct, frozen=True, array_like=True, tag=41):
    """Result of ApplyFile; on a conflict, revision and digest are those of the stored file."""

    code: ResultCode
    revision: Revision
    digest: Digest
    detail: str = ""


class ClaimResult(Struct, frozen=True, array_like=True, tag=42):
    """State of a claim after a command."""

    code: ResultCode
    state: ClaimState
    attempt: AttemptNumber
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation
    answer: RecordedAnswer | None = None


class LeaseResult(Struct, frozen=True, array_like=True, tag=43):
    """State of a lease after a command."""

    code: ResultCode
    holder: Incarnation
    fencing: FencingNumber
    remaining_s: float


class EpochResult(Struct, frozen=True, array_like=True, tag=44):
    """Committed epoch after CommitEpoch."""

    code: ResultCode
    epoch: MapEpoch
    first_step: StepNumber


class CrashResult(Struct, frozen=True, array_like=True, tag=45):
    """Refused fingerprints after RecordCrash."""

    code: ResultCode
    refused: tuple[Fingerprint, ...]


class Failed(Struct, frozen=True, array_like=True, tag=46):
    """Report that a command had no effect; `leader` is the replica to retry at, if known."""

    code: ResultCode
    detail: str = ""
    leader: Address | None = None


class StoreResult(Struct, frozen=True, array_like=True, tag=47):
    """Revision of the stored file after StoreFile."""

    code: ResultCode
    revision: Revision


class EvacuationResult(Struct, frozen=True, array_like=True, tag=49):
    """Version of the evacuations after SetEvacuation."""

    code: ResultCode
    version: int


Result = (
    StoreResult
    | EvacuationResult
    | FileResult
    | ClaimResult
    | LeaseResult
    | EpochResult
    | CrashResult
    | Failed
)


class Propose(Struct, frozen=True, array_like=True, tag=51):
    """Propose a command; resending the same id has no further effect."""

    command_id: CommandId
    command: Command


class ProposeReply(Struct, frozen=True, array_like=True, tag=52):
    """Answer a proposal whose command was applied or refused."""

    command_id: CommandId
    result: Result


class Watch(Struct, frozen=True, array_like=True, tag=53):
    """Request the changes since a revision and a membership version of this replica."""

    sequence: int
    revision: Revision
    # Replica that issued the membership version; versions of other replicas are not comparable.
    replica: Incarnation
    membership_version: int
    suspects_version: int = 0
    # Digest of the client's encoded configuration; without it the complete one is sent.
    digest: Digest = Digest("")
    evacuations_version: int = UNKNOWN_VERSION


class CommittedEpoch(Struct, frozen=True, array_like=True):
    """A committed expert map of a group."""

    group: GroupId
    epoch: MapEpoch
    first_step: StepNumber
    placement: tuple[tuple[RankId, ...], ...]


class Copy(Struct, frozen=True, array_like=True, tag=57):
    """Copy a range of lines from the base configuration."""

    start: int
    count: int


class Insert(Struct, frozen=True, array_like=True, tag=58):
    """Insert new lines."""

    lines: tuple[bytes, ...]


Edit = Copy | Insert


class ConfigurationDelta(Struct, frozen=True, array_like=True):
    """Difference between two revisions, as edits in the order of the new lines."""

    base: Revision
    revision: Revision
    # Digest of all lines of the new configuration.
    digest: Digest
    edits: tuple[Edit, ...]


class Changes(Struct, frozen=True, array_like=True, tag=54):
    """Answer a watch; unchanged parts are absent."""

    sequence: int
    replica: Incarnation
    leader: Address | None
    # Latest committed revision known to this replica; 0 if none.
    revision: Revision
    configuration: Configuration | None
    membership_version: int
    # True if `members` is the complete list rather than a delta.
    full: bool
    members: tuple[Member, ...]
    removed_upstreams: tuple[UpstreamId, ...]
    removed_entries: tuple[InstanceId, ...]
    suspects_version: int = 0
    refused: tuple[Fingerprint, ...] | None = None
    suspects: tuple[Fingerprint, ...] | None = None
    # Sent in place of `configuration`; the control client rebuilds the complete one from it.
    delta: ConfigurationDelta | None = None
    # None if the watcher knows this version, or if the replica may be outdated.
    evacuations: Evacuations | None = None


class StatusQuery(Struct, frozen=True, array_like=True, tag=55):
    """Request a replica's view of the system."""

    sequence: int


class GroupStatus(Struct, frozen=True, array_like=True):
    """Last committed epoch of a group and its first step."""

    group: GroupId
    epoch: MapEpoch
    first_step: StepNumber


class StatusReport(Struct, frozen=True, array_like=True, tag=56):
    """A replica's view of the system."""

    sequence: int
    instance: InstanceId
    role: str
    term: int
    commit_index: int
    leader: Address | None
    voters: tuple[InstanceId, ...]
    revision: Revision
    digest: Digest
    members: tuple[Member, ...]
    claims: int
    text: str = ""
    groups: tuple[GroupStatus, ...] = ()
    evacuations: Evacuations = Evacuations()


ToControl = Announce | Propose | Watch | StatusQuery
FromControl = ProposeReply | Changes | StatusReport
