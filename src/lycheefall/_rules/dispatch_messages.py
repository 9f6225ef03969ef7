"""What the dispatcher is asked and told, and what it answers."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.ids import PoolId, TeamId, UpstreamId
from lycheefall._core.relay import RequestKind, UpstreamRecord, Urgency


class RefusalReason(Enum):
    """Why a request got no place."""

    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    EXPIRED = "expired"
    NO_RETRY_LEFT = "no-retry-left"
    ALL_TRIED = "all-tried"


class DispatchRequest(Struct, frozen=True, kw_only=True):
    """A request that looks for a place."""

    number: int
    pool: PoolId
    kind: RequestKind
    urgency: Urgency
    team: TeamId | None
    arrived_s: float
    # Its answer earns the full worth until then.
    target_s: float
    # The caller, or the route's time limit, gives up then.
    deadline_s: float
    tried: tuple[UpstreamId, ...] = ()
    is_retry: bool = False


class Place(Struct, frozen=True):
    """Send the request to this upstream."""

    number: int
    record: UpstreamRecord
    # What decided, for the log.
    load: int
    waited_s: float


class Refuse(Struct, frozen=True):
    """Send the request nowhere."""

    number: int
    reason: RefusalReason
    retry_after_s: float
    waiting: int


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream refused it and did not run it.
    NOT_RUN = "not-run"
    NOT_CONNECTED = "not-connected"
    LOST = "lost"
    # The upstream answered with a failure of its own.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


class AttemptEnded(Struct, frozen=True):
    """An attempt ended."""

    pool: PoolId
    upstream: UpstreamId
    outcome: Outcome
    # Whether `FirstByte` was told before.
    had_answered: bool = False
    # Whether its group stood still.
    group_stalled: bool = False


class FirstByte(Struct, frozen=True):
    """The answer of an attempt began."""

    pool: PoolId
    upstream: UpstreamId
    delay_s: float


class PauseObserved(Struct, frozen=True):
    """The longest pause between events of a stream lately, against the one that is in time."""

    pool: PoolId
    upstream: UpstreamId
    pause_s: float
    target_s: float


class Withdraw(Struct, frozen=True):
    """The caller of a waiting request left."""

    number: int


Output = Place | Refuse
