"""State of the claim flow of one booking at one entry."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import AttemptNumber, UpstreamId
from lycheefall._core.messages.control import ClaimResult, RecordedAnswer
from lycheefall._rules.booking_messages import Answer, Booking, Target
from lycheefall._rules.replicated.claims import NO_ATTEMPT


class Stage(Enum):
    """Stage of a claim flow: the event that the flow waits for."""

    # The first reply of control to the claim.
    CLAIMING = "claiming"
    # The result of an attempt that this flow dispatched.
    RUNNING = "running"
    # The outcome of a claim that another flow holds, or whose state is not known.
    JOINED = "joined"
    # An upstream for the claim, after a proof that its attempt did not start.
    PICKING = "picking"
    # The commit that moves the claim to another upstream.
    REASSIGNING = "reassigning"
    # The commit that releases the claim without another upstream.
    GIVING_UP = "giving-up"
    # The commit of the outcome.
    RECORDING = "recording"
    ENDED = "ended"


class Flow(Struct):
    """State of the claim flow of one booking at one entry."""

    booking: Booking
    # Upstream that each claim of this flow names; the upstream may be NO_UPSTREAM.
    first_target: Target
    # When the entry ends all requests; None until it stops.
    ends_s: float | None = None
    stage: Stage = Stage.CLAIMING
    # The claim as control last returned it.
    claim: ClaimResult | None = None
    # Sequence of the latest command, and whether its reply is outstanding.
    sequence: int = 0
    awaits_reply: bool = False
    # The latest attempt that this flow dispatched.
    dispatched: AttemptNumber = NO_ATTEMPT
    tried: tuple[UpstreamId, ...] = ()
    # The connection over which the attempt was dispatched was lost.
    link_lost: bool = False
    # When the flow gives up its search for an upstream; None until a search finds none.
    pick_until_s: float | None = None
    awaits_pick: bool = False
    # Times of the next poll of the claim and of the next Resolve to the agent.
    poll_at_s: float = 0.0
    resolve_at_s: float = 0.0
    # The outcome to record; None if it is unknown.
    outcome: RecordedAnswer | None = None
    # Answer to the caller once the claim is given up or the outcome is recorded.
    final_answer: Answer = Answer(ResultCode.OUTCOME_UNKNOWN)
    # The caller was answered or has disconnected, so no further answer is sent.
    answered: bool = False
