"""Messages between the filters of a relaying entry."""

from asyncio import Future

from msgspec import Struct

from lycheefall._core.ids import GroupId, PoolId, PromptPart
from lycheefall._core.messages.relay import Crash, ReplicaUpdate
from lycheefall._core.relay import RelayConfiguration
from lycheefall._relay.explain_messages import ExplainPlacement
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    FirstByte,
    PauseObserved,
    Place,
    RateLimitStated,
    Refuse,
    StopBegan,
    UpstreamClosed,
    UpstreamLeaving,
    Withdraw,
)


class RequestPlacement(Struct, frozen=True):
    """Request the assignment of an upstream; the future receives the decision.

    The second future is resolved if the attempt must end because its prompt is blocked.
    """

    request: DispatchRequest
    placement: Future[Place | Refuse]
    revoked: Future[None]


class RequestEnded(Struct, frozen=True):
    """A request and all its attempts have ended."""

    number: int


class ApplyConfiguration(Struct, frozen=True):
    """Apply the pool settings of a new configuration."""

    configuration: RelayConfiguration


class SuspectedCrash(Struct, frozen=True):
    """A connection broke while a request was running, so the upstream may have crashed."""

    crash: Crash


class PromptGenerated(Struct, frozen=True):
    """An upstream has generated on a prompt with these shared parts."""

    number: int
    parts: tuple[PromptPart, ...]


class ReportEvidence(Struct, frozen=True):
    """Report new crashes to control at once."""


class DispatchTick(Struct, frozen=True):
    """Periodic timer event of the dispatcher."""


class CheckGroups(Struct, frozen=True):
    """Check the groups; sent periodically."""


class PassObserved(Struct, frozen=True):
    """Pause before an event of a stream; equals the duration of a pass of the upstream's group."""

    pool: PoolId
    group: GroupId
    pause_s: float
    # Pause target of the route; 0 if it sets none.
    target_s: float


ToDispatch = (
    RequestPlacement
    | Withdraw
    | AttemptEnded
    | FirstByte
    | PauseObserved
    | UpstreamLeaving
    | UpstreamClosed
    | RateLimitStated
    | StopBegan
    | RequestEnded
    | ApplyConfiguration
    | ReplicaUpdate
    | SuspectedCrash
    | PromptGenerated
    | DispatchTick
    | ExplainPlacement
)
ToCoordinator = CheckGroups | PassObserved
