"""Messages to the claim flow of a booking at an entry, and the effects that it returns."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import (
    AttemptNumber,
    Digest,
    IdempotencyKey,
    Incarnation,
    RequestId,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import (
    Claim,
    ClaimResult,
    Failed,
    Reassign,
    RecordedAnswer,
    RecordOutcome,
)
from lycheefall._core.messages.dispatch import (
    ClaimToken,
    Finished,
    Refused,
    Resolve,
    Resolved,
    Started,
)


class Booking(Struct, frozen=True):
    """A caller's request for a non-idempotent operation."""

    request: RequestId
    team: TeamId
    key: IdempotencyKey
    key_time_ms: int
    request_digest: Digest
    # Incarnation of this entry.
    holder: Incarnation
    deadline_s: float


class Target(Struct, frozen=True):
    """An upstream and the incarnation of its agent."""

    upstream: UpstreamId
    incarnation: Incarnation


class SendCommand(Struct, frozen=True):
    """Propose a command; expects exactly one CommandReplied with the same sequence."""

    sequence: int
    command: Claim | Reassign | RecordOutcome


class SendDispatch(Struct, frozen=True):
    """Dispatch once; expects Refused(NOT_CONNECTED) if there is no connection."""

    target: Target
    attempt: AttemptNumber
    token: ClaimToken


class SendResolve(Struct, frozen=True):
    """Send a Resolve to the current agent of the upstream, whatever its incarnation."""

    upstream: UpstreamId
    resolve: Resolve


class PickUpstream(Struct, frozen=True):
    """Choose an upstream that was not tried yet; expects Picked."""

    tried: tuple[UpstreamId, ...]


class Answer(Struct, frozen=True):
    """Answer the caller; the flow may continue in order to record the outcome."""

    code: ResultCode
    # Answer of the upstream, if the operation has run.
    recorded: RecordedAnswer | None = None


class Ended(Struct, frozen=True):
    """Delete the flow, which has ended."""


class CommandReplied(Struct, frozen=True):
    """Result of a command; None if control did not confirm it in time."""

    sequence: int
    result: ClaimResult | Failed | None


class Picked(Struct, frozen=True):
    """The chosen upstream, or the code that explains why none was chosen."""

    target: Target | None
    code: ResultCode = ResultCode.NO_UPSTREAM


class LinkLost(Struct, frozen=True):
    """The connection to the agent of an upstream was lost."""

    upstream: UpstreamId


class Wake(Struct, frozen=True):
    """A periodic timer has fired; `entries` are the incarnations of the registered entries."""

    entries: frozenset[Incarnation]


class Stopping(Struct, frozen=True):
    """The entry stops and ends all requests at this time."""

    ends_s: float


class Abandoned(Struct, frozen=True):
    """The caller disconnected and may retry at another entry, so no new attempt may start here."""


Effect = SendCommand | SendDispatch | SendResolve | PickUpstream | Answer | Ended
Message = (
    CommandReplied
    | Picked
    | LinkLost
    | Abandoned
    | Stopping
    | Wake
    | Started
    | Refused
    | Finished
    | Resolved
)
