"""What one caller saw of one request."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.ids import PriorityId, RouteId, TeamId

NO_CODE = 0


class Ending(Enum):
    """End of a request as its caller saw it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    WRONG_CONTENT = "wrong-content"
    CUT_OFF = "cut-off"
    TIMED_OUT = "timed-out"
    CONNECTION_FAILED = "connection-failed"
    # The generator had as many requests in flight as it may.
    NOT_SENT = "not-sent"


class Answer(Struct, frozen=True, kw_only=True):
    """End of one try; times are of the loop's clock."""

    ending: Ending
    # The code and run state that the entry gave; NO_CODE and empty from a plain server.
    code: int = NO_CODE
    run: str = ""
    status: int = 0
    first_token_at: float | None = None
    gaps_s: tuple[float, ...] = ()


class Outcome(Struct, frozen=True, kw_only=True):
    """End of a request; times count from when it was due, retries included."""

    due_s: float
    team: TeamId
    route: RouteId
    priority: PriorityId
    is_flooded: bool
    target_s: float
    answer: Answer
    attempts: int
    first_token_s: float | None
    total_s: float


def is_good(outcome: Outcome) -> bool:
    """Return whether the answer was right and within the target of its flow."""
    if outcome.answer.ending is not Ending.ANSWERED:
        return False
    measured = outcome.total_s if outcome.first_token_s is None else outcome.first_token_s
    return measured <= outcome.target_s
