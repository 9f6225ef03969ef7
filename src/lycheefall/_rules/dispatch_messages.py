"""Messages to and from the dispatching rules."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.ids import PoolId, PromptPart, TeamId, UpstreamId
from lycheefall._core.relay import RequestKind, UpstreamRecord, Urgency


class RefusalReason(Enum):
    """Why a request was refused."""

    NO_UPSTREAM = "no-upstream"
    # All upstreams are in evacuated data centres.
    EVACUATED = "evacuated"
    # The expected wait was too long when the request arrived.
    QUEUE_FULL = "queue-full"
    # The expected wait became too long while the request was queued.
    EXPIRED = "expired"
    NO_RETRY_LEFT = "no-retry-left"
    ALL_TRIED = "all-tried"
    # An attempt is running, and no other upstream is likely to respond sooner.
    NO_SOONER_UPSTREAM = "no-sooner-upstream"
    # All upstreams asked for a time without requests that is too long to wait for.
    UPSTREAMS_CLOSED = "upstreams-closed"
    # A part of the prompt may crash upstreams.
    PROMPT_SUSPECTED = "prompt-suspected"
    # The entry stops before the deadline of the request.
    STOPPING = "stopping"


class DispatchRequest(Struct, frozen=True, kw_only=True):
    """A request to be placed on an upstream of a pool."""

    # Identifies the request in later messages.
    number: int
    pool: PoolId
    kind: RequestKind
    urgency: Urgency
    team: TeamId | None
    arrived_s: float
    # Time until which the answer has its full value.
    target_s: float
    # Time at which the caller gives up or the route's time limit ends.
    deadline_s: float
    # Upstreams of earlier attempts, which are not selected again.
    tried: tuple[UpstreamId, ...] = ()
    is_retry: bool = False
    # Time without progress of a running attempt that this one would replace; 0 if none is running.
    stalled_s: float = 0.0
    # Whether the caller has received a part of the response, which no refusal can replace.
    has_response_begun: bool = False
    # Parts of the prompt that other requests share.
    prompt_parts: tuple[PromptPart, ...] = ()


class Place(Struct, frozen=True):
    """Send the request to this upstream."""

    number: int
    record: UpstreamRecord
    # Attempts in flight at the upstream and the time in the queue, for the log.
    load: int
    waited_s: float


class Refuse(Struct, frozen=True):
    """Answer the request with a refusal."""

    number: int
    reason: RefusalReason
    retry_after_s: float
    # Number of requests in the queue, for the log.
    waiting: int


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream refused the request without running it.
    NOT_RUN = "not-run"
    NOT_CONNECTED = "not-connected"
    # The connection broke, or the response was invalid.
    LOST = "lost"
    # The upstream answered with an error.
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"
    # The entry ended the attempt because its prompt may crash upstreams.
    REVOKED = "revoked"


class AttemptEnded(Struct, frozen=True):
    """The end of an attempt."""

    pool: PoolId
    upstream: UpstreamId
    outcome: Outcome
    # Whether a `FirstByte` was sent for the attempt.
    had_first_byte: bool = False
    # Whether the group of the upstream made no progress.
    group_stalled: bool = False


class FirstByte(Struct, frozen=True):
    """The first byte of an answer arrived."""

    pool: PoolId
    upstream: UpstreamId
    delay_s: float


class PauseObserved(Struct, frozen=True):
    """The longest recent pause between events of a stream, and the pause target."""

    pool: PoolId
    upstream: UpstreamId
    pause_s: float
    target_s: float


class UpstreamLeaving(Struct, frozen=True):
    """An upstream responded that it is leaving."""

    pool: PoolId
    upstream: UpstreamId
    start_time_ms: int


class UpstreamClosed(Struct, frozen=True):
    """An upstream responded that it accepts no requests for some time."""

    pool: PoolId
    upstream: UpstreamId
    start_time_ms: int
    duration_s: float


class RateLimitStated(Struct, frozen=True):
    """An upstream responded with a limit on its requests from all entries, or without one."""

    pool: PoolId
    upstream: UpstreamId
    start_time_ms: int
    # None lifts the limit.
    rate_per_s: float | None


class StopBegan(Struct, frozen=True):
    """The entry stops and ends all requests at this time."""

    ends_s: float


class Withdraw(Struct, frozen=True):
    """The caller of a queued request disconnected."""

    number: int


Output = Place | Refuse
