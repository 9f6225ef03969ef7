"""Messages of a booking's flow at an entry."""

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
    """Propose a command; answer with exactly one CommandReplied of the same sequence."""

    sequence: int
    command: Claim | Reassign | RecordOutcome


class SendDispatch(Struct, frozen=True):
    """Dispatch once; without a connection, answer with Refused(NOT_CONNECTED)."""

    target: Target
    attempt: AttemptNumber
    token: ClaimToken


class SendResolve(Struct, frozen=True):
    """Send to the agent of the upstream, whichever incarnation it has by now."""

    upstream: UpstreamId
    resolve: Resolve


class PickUpstream(Struct, frozen=True):
    """Choose another upstream within the retry budget; answer with Picked."""

    tried: tuple[UpstreamId, ...]


class Answer(Struct, frozen=True):
    """Answer the caller; the flow may go on to record the outcome."""

    code: ResultCode
    answer: RecordedAnswer | None = None


class Ended(Struct, frozen=True):
    """Drop the flow."""


class CommandReplied(Struct, frozen=True):
    """Result of a command; None when control didn't confirm it in time."""

    sequence: int
    result: ClaimResult | Failed | None


class Picked(Struct, frozen=True):
    """The chosen upstream, or the code that says why there is none."""

    target: Target | None
    code: ResultCode = ResultCode.NO_UPSTREAM


class LinkLost(Struct, frozen=True):
    """The connection to the agent of an upstream was lost."""

    upstream: UpstreamId


class Wake(Struct, frozen=True):
    """Timer, with the incarnations of the entries in membership."""

    entries: frozenset[Incarnation]


class Abandoned(Struct, frozen=True):
    """The caller has left and may try again elsewhere; nothing new may start for it here."""


Effect = SendCommand | SendDispatch | SendResolve | PickUpstream | Answer | Ended
Message = (
    CommandReplied | Picked | LinkLost | Abandoned | Wake | Started | Refused | Finished | Resolved
)
