"""Outcome of one request as its caller observed it."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.ids import PriorityId, RouteId, TeamId

NO_CODE = 0


class Ending(Enum):
    """Result of a request as its caller observed it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    WRONG_CONTENT = "wrong-content"
    CUT_OFF = "cut-off"
    TIMED_OUT = "timed-out"
    CONNECTION_FAILED = "connection-failed"
    # The limit of the generator on requests in flight was reached.
    NOT_SENT = "not-sent"


class Answer(Struct, frozen=True, kw_only=True):
    """Result of one attempt; times are read from the clock of the event loop."""

    ending: Ending
    # Result code and run state from the entry; NO_CODE and empty from a server that sends neither.
    code: int = NO_CODE
    run: str = ""
    status: int = 0
    first_token_at: float | None = None
    gaps_s: tuple[float, ...] = ()


class Outcome(Struct, frozen=True, kw_only=True):
    """Result of a request; times are measured from its due time and include retries."""

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
    """Return whether the answer was correct and met the latency target of its flow."""
    if outcome.answer.ending is not Ending.ANSWERED:
        return False
    measured = outcome.total_s if outcome.first_token_s is None else outcome.first_token_s
    return measured <= outcome.target_s
