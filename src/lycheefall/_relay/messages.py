"""Messages between the filters of a relaying entry."""

from asyncio import Future

from msgspec import Struct

from lycheefall._core.ids import GroupId, PoolId
from lycheefall._core.messages.relay import Crash, ReplicaUpdate
from lycheefall._core.relay import RelayConfiguration
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    FirstByte,
    PauseObserved,
    Place,
    Refuse,
    Withdraw,
)


class RequestPlacement(Struct, frozen=True):
    """A request that looks for a place, and who waits for the answer."""

    request: DispatchRequest
    placement: Future[Place | Refuse]


class RequestEnded(Struct, frozen=True):
    """A placed request is over, with all its attempts."""

    number: int


class ApplyConfiguration(Struct, frozen=True):
    """A configuration that is used from now on."""

    configuration: RelayConfiguration


class SuspectedCrash(Struct, frozen=True):
    """An upstream ended while a request was running there."""

    crash: Crash


class DispatchTick(Struct, frozen=True):
    """Let time pass."""


class CheckGroups(Struct, frozen=True):
    """Look at the groups."""


class PassObserved(Struct, frozen=True):
    """The pause before an event of a stream, which is the length of a pass of its group."""

    pool: PoolId
    group: GroupId
    pause_s: float
    # The longest pause that is in time; 0 where the route declares none.
    target_s: float


ToDispatch = (
    RequestPlacement
    | Withdraw
    | AttemptEnded
    | FirstByte
    | PauseObserved
    | RequestEnded
    | ApplyConfiguration
    | ReplicaUpdate
    | SuspectedCrash
    | DispatchTick
)
ToCoordinator = CheckGroups | PassObserved
