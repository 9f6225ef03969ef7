"""Shared state of the requests of an entry, and the state of one request."""

from asyncio import Future, Timeout
from collections.abc import Callable, Iterator
from enum import Enum
from random import Random

from msgspec import Struct, field

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import PromptPart, RouteId
from lycheefall._core.pipeline import Inbox, Latest
from lycheefall._core.relay import RequestKind, UpstreamRecord
from lycheefall._relay.connection_pool import ConnectionPool
from lycheefall._relay.dispatch import DispatchSnapshot
from lycheefall._relay.messages import ToDispatch
from lycheefall._rules.byte_budget import ByteBudget, Holding
from lycheefall._rules.dispatch_messages import Outcome
from lycheefall._rules.event_stream import EventBuffer
from lycheefall._rules.identification import Identified, Index
from lycheefall._wire.http_server import CallerConnection, IncomingRequest
from lycheefall._wire.http_upstream import ResponseHead
from lycheefall._wire.slow_peers import Watched


class PlannedStop(Struct, frozen=True):
    """When the stop signal came, and when the requests in progress end."""

    began_s: float
    ends_s: float


class Relay(Struct, eq=False, kw_only=True):
    """Dependencies and state that the requests of an entry share."""

    dialect: Dialect
    # None before the first configuration.
    index: Latest[Index | None]
    dispatch_snapshot: Callable[[], DispatchSnapshot]
    dispatch: Inbox[ToDispatch]
    connections: ConnectionPool
    # Receives an upstream, a stream pause and its target; the map coordinator derives the duration
    # of passes from the pauses.
    observe_pass: Callable[[UpstreamRecord, float, float], None]
    # Bodies of responses that are read or not sent to their callers yet.
    response_bytes: ByteBudget
    # Responses that are passed on now as they arrive.
    passed_on: int = 0
    # Connections with much output on its way.
    watched: Watched = field(default_factory=set)
    now: Callable[[], float]
    request_numbers: Iterator[int]
    random: Random
    # Returns whether requests may still be sent to an upstream that was assigned before.
    may_use: Callable[[UpstreamRecord], bool] = lambda record: True
    # None until the entry stops.
    stop: PlannedStop | None = None
    # Of the requests in progress.
    timeouts: set[Timeout] = field(default_factory=set)
    # Longest timeout that callers of a route have requested.
    longest_timeout_s: dict[RouteId, float] = field(default_factory=dict)


class NextStep(Enum):
    """What to do after an attempt."""

    DONE = "done"
    TRY_ELSEWHERE = "try-elsewhere"
    GIVE_UP = "give-up"


class Failure(Struct, frozen=True):
    """Error response of an upstream, sent to the caller if all retries fail."""

    head: ResponseHead
    body: bytes
    holding: Holding


class Exchange(Struct, eq=False, kw_only=True):
    """A request and the progress of its attempts."""

    number: int
    request: IncomingRequest
    caller: CallerConnection
    identified: Identified
    attempt_id: bytes
    # Parts of the prompt that other requests share.
    prompt_parts: tuple[PromptPart, ...] = ()
    # The caller's deadline, and the earlier one of it and the route's timeout.
    caller_deadline_s: float
    deadline_s: float
    # Whether the caller's timeout is so short that this must be a retry, so its target has passed.
    is_caller_retry: bool
    tried: list[UpstreamRecord] = field(default_factory=list)
    # The latest upstream whose response has begun.
    answered_by: UpstreamRecord | None = None
    # Attempts that reached, or may have reached, an upstream.
    attempts_sent: int = 0
    # Attempts that may have run the request; without those refused before they ran.
    possible_runs: int = 0
    failure: Failure | None = None
    # Partial event of a stream, and the id of the last event sent to the caller.
    events: EventBuffer = field(default_factory=EventBuffer)
    # Resolved if the prompt may crash upstreams, so that a revocable attempt must end.
    revoked: Future[None] | None = None
    # Whether the current attempt ends if it is revoked. Once the upstream has generated, ending the
    # attempt doesn't protect the upstream any more, and the caller would lose a sound response.
    is_revocable: bool = False
    # Bytes of the current attempt's response.
    holding: Holding | None = None
    # Deliveries of events by the current attempt.
    attempt_deliveries: int = 0
    # Media type of the latest stream, in lower case.
    stream_media_type: bytes = b""
    # Whether events of a stream have been sent to the caller.
    has_stream_begun: bool = False
    # Whether a part of a response other than a stream may have been sent, so that none replaces it.
    is_passed_on: bool = False
    # Bytes of the body that were sent to the caller.
    sent_bytes: int = 0
    # Bytes that may still be read from the upstream although the caller does not read.
    read_ahead_bytes: int = 0
    # Status of the response to the caller; 0 before it, or if a stream was given up.
    status: int = 0
    # Times since the headers of the request, to the first byte of the response and the last event.
    first_byte_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    # Longest pause since the last report to the dispatcher.
    recent_pause_s: float = 0.0
    pause_reported_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        route = self.identified.route
        if route.kind is RequestKind.STREAMING:
            return route.resumable
        return route.kind is RequestKind.IDEMPOTENT

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may run the request."""
        if self.is_passed_on:
            return False
        if self.possible_runs == 0:
            return True
        return self.is_repeatable and self.possible_runs < self.identified.route.max_attempts


# Reports the outcome of an attempt, with details for the log.
ReportEnd = Callable[[Outcome, str], None]
