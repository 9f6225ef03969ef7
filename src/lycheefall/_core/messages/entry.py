"""Messages between the filters of an entry."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration, Route
from lycheefall._core.ids import (
    AttemptNumber,
    FencingNumber,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    PoolId,
    PriorityId,
    RequestId,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import (
    Claim,
    ClaimResult,
    Failed,
    Reassign,
    RecordOutcome,
)
from lycheefall._core.messages.dispatch import (
    ClaimToken,
    Finished,
    Refused,
    Resolved,
    Started,
    ToAgent,
    ToEntry,
)
from lycheefall._core.messages.membership import UpstreamMember


class OperationKey(Struct, frozen=True):
    """Idempotency key of a request and the time that it carries."""

    key: IdempotencyKey
    time_ms: int


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A request that passed the checks against the configuration in force."""

    request: RequestId
    team: TeamId
    priority: PriorityId
    # Order of the priority in the file, 0 being the first.
    rank: int
    route: Route
    method: str
    path: str
    content_type: str
    body: bytes
    stream: bool
    model: str
    arrived_s: float
    deadline_s: float
    # Expected prompt and answer tokens; 1 for a call to a service.
    cost_tokens: int
    # The part of the cost that is the prompt.
    prompt_tokens: int
    fingerprint: Fingerprint
    # Hash of the start of the prompt, by which requests share a prefix cache; 0 for none.
    prefix: int = 0
    operation: OperationKey | None = None


class Submit(Struct, frozen=True):
    """Queue a request."""

    call: CallerRequest


class Run(Struct, frozen=True):
    """Run a request that the queue has released."""

    call: CallerRequest


class Abandon(Struct, frozen=True):
    """Stop a request whose caller has left."""

    request: RequestId


class FromAgent(Struct, frozen=True):
    """A message that came over the link to an agent."""

    upstream: UpstreamId
    message: ToEntry


class LinkUp(Struct, frozen=True):
    """Tell that an agent answered over its link."""

    upstream: UpstreamId
    incarnation: Incarnation


class LinkDown(Struct, frozen=True):
    """Tell that a link went silent, or that another process answers at its address."""

    upstream: UpstreamId
    incarnation: Incarnation


class UpstreamHeartbeat(Struct, frozen=True):
    """A heartbeat of an upstream's agent."""

    member: UpstreamMember
    sequence: int


class UpstreamLeft(Struct, frozen=True):
    """Tell that an upstream has been silent for long."""

    upstream: UpstreamId


class ConfigurationChanged(Struct, frozen=True):
    """Put a configuration in force."""

    configuration: Configuration


class FramesRead(Struct, frozen=True):
    """Tell that the caller has taken frames, so that the agent may send more."""

    request: RequestId
    frames: int


class FingerprintsChanged(Struct, frozen=True):
    """Replace the fingerprints that run alone and those that are refused."""

    suspects: frozenset[Fingerprint]
    refused: frozenset[Fingerprint]


class DispatchClaimed(Struct, frozen=True):
    """Dispatch the attempt of a booking whose claim is committed."""

    request: RequestId
    upstream: UpstreamId
    incarnation: Incarnation
    attempt: AttemptNumber
    token: ClaimToken


class Repick(Struct, frozen=True):
    """Choose another upstream for a booking."""

    request: RequestId
    tried: tuple[UpstreamId, ...]


class BookingStarted(Struct, frozen=True):
    """Begin the flow of a booking with the upstream that was chosen for it."""

    call: CallerRequest
    upstream: UpstreamId
    incarnation: Incarnation


class BookingPicked(Struct, frozen=True):
    """Answer Repick; without an upstream, the code says why."""

    request: RequestId
    upstream: UpstreamId | None
    incarnation: Incarnation
    code: ResultCode


class BookingReply(Struct, frozen=True):
    """Pass what an agent said about a booking on to its flow."""

    message: Started | Refused | Finished | Resolved


class BookingLinkLost(Struct, frozen=True):
    """Tell the flow of a booking that the link to an agent was lost."""

    upstream: UpstreamId


class CrashSeen(Struct, frozen=True):
    """Record the crash that ended an attempt before anything else is done about it."""

    upstream: UpstreamId
    finished: Finished


class CrashRecorded(Struct, frozen=True):
    """Answer CrashSeen with the fingerprints that are refused; None if control was unavailable."""

    seen: CrashSeen
    refused: frozenset[Fingerprint] | None


class LeaseRequested(Struct, frozen=True):
    """Take the lease under which a suspect may be in flight."""

    request: RequestId
    fingerprint: Fingerprint
    duration_s: float


class LeaseAnswered(Struct, frozen=True):
    """Answer LeaseWanted with the number of the grant; None without one."""

    request: RequestId
    fingerprint: Fingerprint
    fencing: FencingNumber | None


class SuspectEnded(Struct, frozen=True):
    """Give a lease back, and clear a suspect that finished well."""

    request: RequestId
    fingerprint: Fingerprint
    fencing: FencingNumber
    is_clear: bool


class HedgePlanned(Struct, frozen=True):
    """Send HedgeDue for a lookup after a time."""

    request: RequestId
    after_s: float


class HedgeDue(Struct, frozen=True):
    """Tell that a lookup has been in flight for its hedge delay."""

    request: RequestId


class EntriesSeen(Struct, frozen=True):
    """Incarnations of the entries that control lists."""

    incarnations: frozenset[Incarnation]


class Proposed(Struct, frozen=True):
    """Result of a command of a booking; None when control did not confirm it in time."""

    request: RequestId
    sequence: int
    result: ClaimResult | Failed | None


class Tick(Struct, frozen=True):
    """Let a filter act on time that has passed."""


class ProposeFor(Struct, frozen=True):
    """Propose a command of a booking to control."""

    request: RequestId
    sequence: int
    command: Claim | Reassign | RecordOutcome


class ToLink(Struct, frozen=True):
    """Send a message to an agent."""

    upstream: UpstreamId
    message: ToAgent


class HedgeSent(Struct, frozen=True):
    """Send the second attempt of a lookup; its first one has been at an upstream for a time."""

    link: ToLink
    first: UpstreamId
    after_s: float


class ReplyTokens(Struct, frozen=True):
    """Pass tokens on to the caller."""

    request: RequestId
    tokens: tuple[str, ...]


class ReplyEnd(Struct, frozen=True, kw_only=True):
    """End the answer to a caller."""

    request: RequestId
    code: ResultCode
    status: int = 200
    content_type: str = ""
    body: bytes = b""
    finish_reason: str = ""
    upstream: UpstreamId = UpstreamId("")
    attempts: int = 0
    detail: str = ""
    retry_after_s: float = 0.0


class BookingAnswered(Struct, frozen=True):
    """End the call of a booking; its flow may go on to record the outcome."""

    end: ReplyEnd


class CallEnded(Struct, frozen=True):
    """Tell the queue that a request it released has ended."""

    request: RequestId
    pools: tuple[PoolId, ...]
    cost_tokens: int


class Capacity(Struct, frozen=True):
    """Tell the queue how many requests the upstreams of a pool may run for this entry."""

    pool: PoolId
    slots: int


ReplyPart = ReplyTokens | ReplyEnd
ToQueue = Submit | Abandon | CallEnded | Capacity | ConfigurationChanged | Tick
ToDispatch = (
    Run
    | Abandon
    | FromAgent
    | LinkUp
    | LinkDown
    | UpstreamHeartbeat
    | UpstreamLeft
    | EntriesSeen
    | ConfigurationChanged
    | FingerprintsChanged
    | CrashRecorded
    | LeaseAnswered
    | FramesRead
    | HedgeDue
    | DispatchClaimed
    | Repick
    | ToLink
    | BookingAnswered
    | Tick
)
FromQueue = Run | Abandon | ReplyEnd
ToBooking = (
    Abandon
    | BookingStarted
    | BookingPicked
    | BookingReply
    | BookingLinkLost
    | EntriesSeen
    | Proposed
    | Tick
)
FromBooking = DispatchClaimed | Repick | ToLink | BookingAnswered | ProposeFor
FromDispatch = (
    ToLink
    | ReplyTokens
    | ReplyEnd
    | CallEnded
    | Capacity
    | Abandon
    | BookingStarted
    | BookingPicked
    | BookingReply
    | BookingLinkLost
    | CrashSeen
    | LeaseRequested
    | SuspectEnded
    | HedgePlanned
    | HedgeSent
)
