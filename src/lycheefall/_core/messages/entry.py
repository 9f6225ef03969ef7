"""Messages between the filters of an entry."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Configuration, Route
from lycheefall._core.evacuations import Evacuations
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
    """Idempotency key of a request and the timestamp encoded in it."""

    key: IdempotencyKey
    time_ms: int


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A request that was validated against the active configuration."""

    request: RequestId
    team: TeamId
    priority: PriorityId
    # Position of the priority in the configuration file, starting at 0.
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
    # Expected prompt and answer tokens; 1 for a request to a service.
    cost_tokens: int
    # Prompt part of `cost_tokens`.
    prompt_tokens: int
    fingerprint: Fingerprint
    # Hash of the start of the prompt, for prefix-cache affinity; 0 for none.
    prefix: int = 0
    operation: OperationKey | None = None


class Submit(Struct, frozen=True):
    """Enqueue a request."""

    caller_request: CallerRequest


class Run(Struct, frozen=True):
    """Run a request that the queue has admitted."""

    caller_request: CallerRequest


class Abandon(Struct, frozen=True):
    """Cancel a request whose caller has disconnected."""

    request: RequestId


class FromAgent(Struct, frozen=True):
    """A message received over the link to an agent."""

    upstream: UpstreamId
    message: ToEntry


class LinkUp(Struct, frozen=True):
    """Report that an agent answered over its link."""

    upstream: UpstreamId
    incarnation: Incarnation


class LinkDown(Struct, frozen=True):
    """Report that a link is silent, or that another process answers at its address."""

    upstream: UpstreamId
    incarnation: Incarnation


class UpstreamHeartbeat(Struct, frozen=True):
    """Heartbeat of an upstream's agent."""

    member: UpstreamMember
    sequence: int


class UpstreamLeft(Struct, frozen=True):
    """Report that the heartbeats of an upstream have timed out."""

    upstream: UpstreamId


class ConfigurationChanged(Struct, frozen=True):
    """Activate a configuration."""

    configuration: Configuration


class FramesRead(Struct, frozen=True):
    """Report frames consumed by the caller, which returns their credit to the agent."""

    request: RequestId
    frames: int


class FingerprintsChanged(Struct, frozen=True):
    """Replace the sets of suspect fingerprints, which run alone, and of refused ones."""

    suspects: frozenset[Fingerprint]
    refused: frozenset[Fingerprint]


class EvacuationsChanged(Struct, frozen=True):
    """Replace the data centres whose upstreams receive no new requests."""

    evacuations: Evacuations


class DispatchClaimed(Struct, frozen=True):
    """Dispatch the attempt of a booking whose claim is committed."""

    request: RequestId
    upstream: UpstreamId
    incarnation: Incarnation
    attempt: AttemptNumber
    token: ClaimToken


class Repick(Struct, frozen=True):
    """Select another upstream for a booking."""

    request: RequestId
    tried: tuple[UpstreamId, ...]


class StartBooking(Struct, frozen=True):
    """Start processing a booking on its selected upstream."""

    caller_request: CallerRequest
    upstream: UpstreamId
    incarnation: Incarnation


class BookingPicked(Struct, frozen=True):
    """Answer Repick; if `upstream` is None, `code` is the reason."""

    request: RequestId
    upstream: UpstreamId | None
    incarnation: Incarnation
    code: ResultCode


class BookingReply(Struct, frozen=True):
    """Forward an agent's message about a booking to the booking filter."""

    message: Started | Refused | Finished | Resolved


class BookingLinkLost(Struct, frozen=True):
    """Report a lost agent link to the booking filter."""

    upstream: UpstreamId


class CrashReported(Struct, frozen=True):
    """Report a crash that ended an attempt, which control records before the end is handled."""

    upstream: UpstreamId
    finished: Finished


class CrashRecorded(Struct, frozen=True):
    """Answer CrashReported with the refused fingerprints; None if control was unavailable."""

    report: CrashReported
    refused: frozenset[Fingerprint] | None


class LeaseRequested(Struct, frozen=True):
    """Request the lease that a suspect request needs to be in flight."""

    request: RequestId
    fingerprint: Fingerprint
    duration_s: float


class LeaseAnswered(Struct, frozen=True):
    """Answer LeaseRequested with the fencing number; None if the lease was not granted."""

    request: RequestId
    fingerprint: Fingerprint
    fencing: FencingNumber | None


class SuspectEnded(Struct, frozen=True):
    """Release the lease of a suspect that has ended, and clear the suspect if `is_clear`."""

    request: RequestId
    fingerprint: Fingerprint
    fencing: FencingNumber
    is_clear: bool


class ScheduleHedge(Struct, frozen=True):
    """Schedule HedgeDue for a lookup."""

    request: RequestId
    after_s: float


class HedgeDue(Struct, frozen=True):
    """Report that a lookup has been in flight for its hedge delay."""

    request: RequestId


class EntriesChanged(Struct, frozen=True):
    """Replace the incarnations of the entries that are registered with control."""

    incarnations: frozenset[Incarnation]


class BookingCommandResult(Struct, frozen=True):
    """Result of a booking's command; None if control did not confirm it before the timeout."""

    request: RequestId
    sequence: int
    result: ClaimResult | Failed | None


class Tick(Struct, frozen=True):
    """Trigger the time-based processing of a filter."""


class StopBegan(Struct, frozen=True):
    """The entry stops: it ends all requests at this time."""

    ends_s: float


class ProposeBookingCommand(Struct, frozen=True):
    """Propose a command for a booking to control."""

    request: RequestId
    sequence: int
    command: Claim | Reassign | RecordOutcome


class ToLink(Struct, frozen=True):
    """Send a message to an agent."""

    upstream: UpstreamId
    message: ToAgent


class SendHedge(Struct, frozen=True):
    """Send the hedged attempt of a lookup, `after_s` after its first attempt."""

    link: ToLink
    first: UpstreamId
    after_s: float


class ReplyTokens(Struct, frozen=True):
    """Forward tokens to the caller."""

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
    """End the call of a booking; its outcome may still have to be recorded."""

    end: ReplyEnd


class CallEnded(Struct, frozen=True):
    """Report to the queue that an admitted request has ended, which frees its slot."""

    request: RequestId
    pools: tuple[PoolId, ...]
    cost_tokens: int


class Capacity(Struct, frozen=True):
    """Set the number of requests that the upstreams of a pool may run for this entry."""

    pool: PoolId
    slots: int
    # All upstreams are in evacuated data centres.
    is_evacuated: bool = False


ReplyPart = ReplyTokens | ReplyEnd
ToQueue = Submit | Abandon | CallEnded | Capacity | ConfigurationChanged | StopBegan | Tick
ToDispatch = (
    Run
    | Abandon
    | FromAgent
    | LinkUp
    | LinkDown
    | UpstreamHeartbeat
    | UpstreamLeft
    | EntriesChanged
    | ConfigurationChanged
    | FingerprintsChanged
    | EvacuationsChanged
    | CrashRecorded
    | LeaseAnswered
    | FramesRead
    | HedgeDue
    | DispatchClaimed
    | Repick
    | ToLink
    | BookingAnswered
    | StopBegan
    | Tick
)
FromQueue = Run | Abandon | ReplyEnd
ToBooking = (
    Abandon
    | StartBooking
    | BookingPicked
    | BookingReply
    | BookingLinkLost
    | EntriesChanged
    | BookingCommandResult
    | StopBegan
    | Tick
)
FromBooking = DispatchClaimed | Repick | ToLink | BookingAnswered | ProposeBookingCommand
FromDispatch = (
    ToLink
    | ReplyTokens
    | ReplyEnd
    | CallEnded
    | Capacity
    | Abandon
    | StartBooking
    | BookingPicked
    | BookingReply
    | BookingLinkLost
    | CrashReported
    | LeaseRequested
    | SuspectEnded
    | ScheduleHedge
    | SendHedge
)
