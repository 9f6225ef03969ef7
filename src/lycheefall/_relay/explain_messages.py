"""Question of an operator where a request would go, and its answer."""

from asyncio import Future

import msgspec
from msgspec import Struct

from lycheefall._core.exceptions import QuestionInvalid
from lycheefall._core.ids import DataCentreId, InstanceId, PoolId, Revision, RouteId, TeamId
from lycheefall._rules.explanation import Decision
from lycheefall._rules.identification import Index

MAX_DEADLINE_MS = 3_600_000


class Question(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A request that is explained but not sent."""

    target: str
    host: str = ""
    key: str | None = None
    # Timeout that the caller states; None for that of the route.
    deadline_ms: int | None = None


class Answer(Struct, frozen=True, kw_only=True):
    """What would happen to a request; docs/explain.md describes each field."""

    entry: InstanceId
    data_centre: DataCentreId
    revision: Revision
    evacuated_data_centres: tuple[DataCentreId, ...]
    decision: Decision
    # Status of the refusal; None if the request is not refused.
    status: int | None = None
    route: RouteId | None = None
    pool: PoolId | None = None
    team: TeamId | None = None
    rank: int | None = None


def decode_question(body: bytes) -> Question:
    """Return the question; raise QuestionInvalid if it is not one."""
    try:
        question = msgspec.json.decode(body, type=Question)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise QuestionInvalid(str(error)) from error
    if not question.target.startswith("/"):
        raise QuestionInvalid("target must start with a slash")
    if question.deadline_ms is not None and not 0 < question.deadline_ms <= MAX_DEADLINE_MS:
        raise QuestionInvalid(f"deadline_ms must be from 1 to {MAX_DEADLINE_MS}")
    return question


class ExplainPlacement(Struct, frozen=True):
    """Explain a placement without making it; the future receives the answer."""

    question: Question
    index: Index | None
    longest_timeout_s: dict[RouteId, float]
    answer: Future[Answer]
