"""What the requests of an entry share, and what is known of one request."""

from collections.abc import Callable, Iterator
from enum import Enum
from random import Random

from msgspec import Struct, field

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import RouteId
from lycheefall._core.pipeline import Inbox, Latest
from lycheefall._core.relay import RequestKind, UpstreamRecord
from lycheefall._relay.connections import Connections
from lycheefall._relay.dispatch import Known
from lycheefall._relay.messages import ToDispatch
from lycheefall._rules.dispatch_messages import Outcome
from lycheefall._rules.event_stream import EventBuffer
from lycheefall._rules.identification import Identified, Index
from lycheefall._wire.http_server import CallerConnection, IncomingRequest
from lycheefall._wire.http_upstream import ResponseHead


class Relay(Struct, eq=False, kw_only=True):
    """What the requests of an entry share."""

    dialect: Dialect
    # None before the first configuration.
    index: Latest[Index | None]
    known: Callable[[], Known]
    dispatch: Inbox[ToDispatch]
    connections: Connections
    # Takes the pauses of streams, which tell the coordinator of expert maps how long passes are.
    note_pass: Callable[[UpstreamRecord, float, float], None]
    now: Callable[[], float]
    numbers: Iterator[int]
    random: Random
    # The longest time that callers of a route gave.
    longest_s: dict[RouteId, float] = field(default_factory=dict)


class Next(Enum):
    """What follows an attempt."""

    DONE = "done"
    TRY_ELSEWHERE = "try-elsewhere"
    GIVE_UP = "give-up"


class Failure(Struct, frozen=True):
    """An upstream's own failure, kept in case nothing better comes."""

    head: ResponseHead
    body: bytes


class Exchange(Struct, eq=False, kw_only=True):
    """A request and what was done for it so far."""

    number: int
    request: IncomingRequest
    caller: CallerConnection
    found: Identified
    attempt_id: bytes
    # The caller's own limit and the earlier one of caller and route.
    caller_deadline_s: float
    limit_s: float
    # The caller has used up a good part of its time before, so its target has passed.
    came_back: bool
    tried: list[UpstreamRecord] = field(default_factory=list)
    # The latest one whose answer began.
    answered_by: UpstreamRecord | None = None
    # Upstreams that it reached, or may have reached.
    arrivals: int = 0
    # Those of them that may have run it.
    sent: int = 0
    failure: Failure | None = None
    events: EventBuffer = field(default_factory=EventBuffer)
    has_begun: bool = False
    status: int = 0
    # Times after the head of the request: of the first byte of the answer and of the last event.
    first_byte_s: float | None = None
    last_event_s: float = 0.0
    longest_pause_s: float = 0.0
    # The same since the dispatcher was told.
    recent_pause_s: float = 0.0
    pause_told_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Tell whether more than one run does no harm."""
        route = self.found.route
        if route.kind is RequestKind.STREAMING:
            return route.resumable
        return route.kind is RequestKind.IDEMPOTENT

    @property
    def may_repeat(self) -> bool:
        """Tell whether one more upstream may run it."""
        return self.is_repeatable and self.sent < self.found.route.max_attempts


# Reports the end of an attempt, with what the log needs to tell.
End = Callable[[Outcome, str], None]
