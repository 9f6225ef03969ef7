"""Messages between any process and a control replica."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import ClaimState
from lycheefall._core.ids import (
    Address,
    AttemptNumber,
    CommandId,
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
    """Replace the configuration by a whole file."""

    replaces: Revision
    digest: Digest
    text: str


class RecordedAnswer(Struct, frozen=True, array_like=True):
    """The answer of an operation, kept to be replayed."""

    code: ResultCode
    status: int
    content_type: str
    body: bytes


class Claim(Struct, frozen=True, array_like=True, tag=32):
    """Claim a non-idempotent operation before its first dispatch."""

    key: IdempotencyKey
    team: TeamId
    request_digest: Digest
    key_time_ms: int
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation


class Reassign(Struct, frozen=True, array_like=True, tag=33):
    """Move a claim to another upstream or holder after the given attempt was released."""

    key: IdempotencyKey
    team: TeamId
    attempt: AttemptNumber
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation


class RecordOutcome(Struct, frozen=True, array_like=True, tag=34):
    """Record how a claimed operation ended; None stands for an outcome that is unknown."""

    key: IdempotencyKey
    team: TeamId
    attempt: AttemptNumber
    answer: RecordedAnswer | None


class AcquireLease(Struct, frozen=True, array_like=True, tag=35):
    """Take a lease that is free or expired; each grant has a higher fencing number."""

    name: LeaseName
    holder: Incarnation
    duration_s: float


class RenewLease(Struct, frozen=True, array_like=True, tag=36):
    """Extend a lease that is still held under this fencing number."""

    name: LeaseName
    holder: Incarnation
    fencing: FencingNumber
    duration_s: float


class CommitEpoch(Struct, frozen=True, array_like=True, tag=37):
    """Put an expert map in force for a group from its first step on."""

    group: GroupId
    epoch: MapEpoch
    fencing: FencingNumber
    first_step: StepNumber
    # For each expert, the ranks that hold a replica of it.
    placement: tuple[tuple[RankId, ...], ...]


class RecordCrash(Struct, frozen=True, array_like=True, tag=38):
    """Record the fingerprints that were in flight when an upstream crashed."""

    upstream: UpstreamId
    upstream_incarnation: Incarnation
    fingerprints: tuple[Fingerprint, ...]


class ClearSuspects(Struct, frozen=True, array_like=True, tag=39):
    """Clear fingerprints that finished well while they ran alone."""

    fingerprints: tuple[Fingerprint, ...]


class StoreFile(Struct, frozen=True, array_like=True, tag=40):
    """Keep a whole file under its number; a higher number replaces the file that is held."""

    revision: Revision
    # Compressed; what the bytes mean is not known to the state machine.
    packed: bytes


Command = (
    ApplyFile
    | StoreFile
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
    """Result of ApplyFile; on a conflict, revision and digest are the winner's."""

    code: ResultCode
    revision: Revision
    digest: Digest
    detail: str = ""


class ClaimResult(Struct, frozen=True, array_like=True, tag=42):
    """State of a claim after a command on it."""

    code: ResultCode
    state: ClaimState
    attempt: AttemptNumber
    holder: Incarnation
    upstream: UpstreamId
    upstream_incarnation: Incarnation
    answer: RecordedAnswer | None = None


class LeaseResult(Struct, frozen=True, array_like=True, tag=43):
    """State of a lease after a command on it."""

    code: ResultCode
    holder: Incarnation
    fencing: FencingNumber
    remaining_s: float


class EpochResult(Struct, frozen=True, array_like=True, tag=44):
    """Epoch in force after CommitEpoch."""

    code: ResultCode
    epoch: MapEpoch
    first_step: StepNumber


class CrashResult(Struct, frozen=True, array_like=True, tag=45):
    """Fingerprints that are refused after RecordCrash."""

    code: ResultCode
    refused: tuple[Fingerprint, ...]


class Failed(Struct, frozen=True, array_like=True, tag=46):
    """Tell that a command had no effect, with the replica to ask instead if known."""

    code: ResultCode
    detail: str = ""
    leader: Address | None = None


class StoreResult(Struct, frozen=True, array_like=True, tag=47):
    """The number that is held after StoreFile."""

    code: ResultCode
    revision: Revision


Result = StoreResult | FileResult | ClaimResult | LeaseResult | EpochResult | CrashResult | Failed


class Propose(Struct, frozen=True, array_like=True, tag=51):
    """Ask control to carry out a command; the same id sent again has no second effect."""

    command_id: CommandId
    command: Command


class Proposed(Struct, frozen=True, array_like=True, tag=52):
    """Answer a proposal after its command is committed and applied, or refused."""

    command_id: CommandId
    result: Result


class Watch(Struct, frozen=True, array_like=True, tag=53):
    """Ask for what changed since a revision and a membership version of this replica."""

    sequence: int
    revision: Revision
    # The replica that counted the membership version; versions of another don't compare.
    replica: Incarnation
    membership_version: int
    suspects_version: int = 0
    # Of the encoded configuration that is held; without it the whole one is sent.
    digest: Digest = Digest("")


class CommittedEpoch(Struct, frozen=True, array_like=True):
    """The expert map of a group."""

    group: GroupId
    epoch: MapEpoch
    first_step: StepNumber
    placement: tuple[tuple[RankId, ...], ...]


class Copy(Struct, frozen=True, array_like=True, tag=57):
    """Take a run of lines of the configuration that is held."""

    start: int
    count: int


class Insert(Struct, frozen=True, array_like=True, tag=58):
    """Take new lines."""

    lines: tuple[bytes, ...]


Edit = Copy | Insert


class ConfigurationDelta(Struct, frozen=True, array_like=True):
    """The difference between two revisions, in the order of the new lines."""

    base: Revision
    revision: Revision
    # Of all lines of the new configuration.
    digest: Digest
    edits: tuple[Edit, ...]


class Changes(Struct, frozen=True, array_like=True, tag=54):
    """Answer a watch; parts that have not changed are absent."""

    sequence: int
    replica: Incarnation
    leader: Address | None
    # The committed revision that this replica knows; 0 before it knows any.
    revision: Revision
    configuration: Configuration | None
    membership_version: int
    # True when the members are all there are, and not a delta.
    full: bool
    members: tuple[Member, ...]
    removed_upstreams: tuple[UpstreamId, ...]
    removed_entries: tuple[InstanceId, ...]
    suspects_version: int = 0
    refused: tuple[Fingerprint, ...] | None = None
    suspects: tuple[Fingerprint, ...] | None = None
    # Stands for the configuration; the control client puts the whole one in its place.
    delta: ConfigurationDelta | None = None


class StatusQuery(Struct, frozen=True, array_like=True, tag=55):
    """Ask a replica how it sees the system."""

    sequence: int


class GroupStatus(Struct, frozen=True, array_like=True):
    """The last committed epoch of a group, and the step that it begins with."""

    group: GroupId
    epoch: MapEpoch
    first_step: StepNumber


class StatusReport(Struct, frozen=True, array_like=True, tag=56):
    """What one replica knows."""

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


ToControl = Announce | Propose | Watch | StatusQuery
FromControl = Proposed | Changes | StatusReport
