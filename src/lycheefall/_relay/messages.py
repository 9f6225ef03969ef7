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


class Seek(Struct, frozen=True):
    """A request that looks for a place, and who waits for the answer."""

    ask: DispatchRequest
    answer: Future[Place | Refuse]


class TeamDone(Struct, frozen=True):
    """A placed request is over, with all its attempts."""

    number: int


class InForce(Struct, frozen=True):
    """A configuration that is used from now on."""

    configuration: RelayConfiguration


class CrashSeen(Struct, frozen=True):
    """An upstream ended while a request was running there."""

    crash: Crash


class Beat(Struct, frozen=True):
    """Let time pass."""


class Look(Struct, frozen=True):
    """Look at the groups."""


class PassSeen(Struct, frozen=True):
    """The pause before an event of a stream, which is the length of a pass of its group."""

    pool: PoolId
    group: GroupId
    pause_s: float
    # The longest pause that is in time; 0 where the route declares none.
    target_s: float


ToDispatch = (
    Seek
    | Withdraw
    | AttemptEnded
    | FirstByte
    | PauseObserved
    | TeamDone
    | InForce
    | ReplicaUpdate
    | CrashSeen
    | Beat
)
ToCoordinator = Look | PassSeen
