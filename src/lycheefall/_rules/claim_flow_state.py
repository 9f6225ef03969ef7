"""State of the claim flow of one booking at one entry."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import AttemptNumber, UpstreamId
from lycheefall._core.messages.control import ClaimResult, RecordedAnswer
from lycheefall._rules.booking_messages import Answer, Booking, Target
from lycheefall._rules.replicated.claims import NO_ATTEMPT


class Stage(Enum):
    """Stage of a claim flow, named after the event that it waits for."""

    CLAIMING = "claiming"
    RUNNING = "running"
    JOINED = "joined"
    PICKING = "picking"
    REASSIGNING = "reassigning"
    GIVING_UP = "giving-up"
    RECORDING = "recording"
    ENDED = "ended"


class Flow(Struct):
    """State of the claim flow of one booking at one entry."""

    booking: Booking
    first_target: Target
    stage: Stage = Stage.CLAIMING
    claim: ClaimResult | None = None
    sequence: int = 0
    awaits_reply: bool = False
    dispatched: AttemptNumber = NO_ATTEMPT
    tried: tuple[UpstreamId, ...] = ()
    link_lost: bool = False
    # When the flow gives up its search for an upstream; None until a search finds none.
    pick_until_s: float | None = None
    awaits_pick: bool = False
    poll_at_s: float = 0.0
    resolve_at_s: float = 0.0
    outcome: RecordedAnswer | None = None
    final_answer: Answer = Answer(ResultCode.OUTCOME_UNKNOWN)
    answered: bool = False
