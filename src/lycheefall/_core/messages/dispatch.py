"""Messages between an entry and an agent."""

from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import AttemptState, MemberState, RouteKind
from lycheefall._core.ids import (
    AttemptNumber,
    Fingerprint,
    IdempotencyKey,
    Incarnation,
    PriorityId,
    RequestId,
    TeamId,
)
from lycheefall._core.messages.membership import Load


class ClaimToken(Struct, frozen=True, array_like=True):
    """Proof that an attempt of a non-idempotent operation is committed in the log."""

    team: TeamId
    key: IdempotencyKey
    attempt: AttemptNumber


class Dispatch(Struct, frozen=True, array_like=True, tag=1):
    """Ask an agent to run one attempt; sent at most once for an attempt."""

    request: RequestId
    attempt: AttemptNumber
    # The agent that the entry means; another one must refuse.
    incarnation: Incarnation
    remaining_s: float
    kind: RouteKind
    method: str
    path: str
    content_type: str
    body: bytes
    priority: PriorityId
    # Order of the priority in the file, 0 being the first.
    rank: int
    fingerprint: Fingerprint
    claim: ClaimToken | None = None
    # Tokens that the caller already has from an earlier attempt.
    resume_tokens: tuple[str, ...] = ()
    credit: int = 256
    # A suspect of an earlier crash runs alone on its upstream.
    alone: bool = False


class Cancel(Struct, frozen=True, array_like=True, tag=2):
    """Stop an attempt whose caller has left."""

    request: RequestId
    attempt: AttemptNumber


class Credit(Struct, frozen=True, array_like=True, tag=3):
    """Allow an attempt to send more frames."""

    request: RequestId
    attempt: AttemptNumber
    frames: int


class Resolve(Struct, frozen=True, array_like=True, tag=4):
    """Ask whether an attempt started; one that has not is released for good."""

    request: RequestId
    attempt: AttemptNumber
    claim: ClaimToken | None = None
    # The agent that the attempt was meant for; another one answers UNSEEN and releases nothing.
    incarnation: Incarnation = Incarnation("")


class Ping(Struct, frozen=True, array_like=True, tag=5):
    """Test the connection and ask for the agent's state."""

    sequence: int


ToAgent = Dispatch | Cancel | Credit | Resolve | Ping


class Started(Struct, frozen=True, array_like=True, tag=11):
    """Tell that the upstream is being called."""

    request: RequestId
    attempt: AttemptNumber


class Occupancy(Struct, frozen=True, array_like=True):
    """Attempts that an agent holds when it sends a message, by its own count."""

    attempts: int
    # Those among them that came over the connection that is told.
    own: int


class Refused(Struct, frozen=True, array_like=True, tag=12):
    """Tell that the attempt did not start and will not."""

    request: RequestId
    attempt: AttemptNumber
    code: ResultCode
    occupancy: Occupancy | None = None


class Frame(Struct, frozen=True, array_like=True, tag=13):
    """Carry tokens of a stream; the sequence is the index of the first one in the answer."""

    request: RequestId
    attempt: AttemptNumber
    sequence: int
    tokens: tuple[str, ...]


class Crash(Struct, frozen=True, array_like=True):
    """A run of the upstream that ended under an attempt, and what the attempt asked for."""

    upstream_incarnation: Incarnation
    fingerprint: Fingerprint


class Finished(Struct, frozen=True, array_like=True, tag=14):
    """End an attempt that started."""

    request: RequestId
    attempt: AttemptNumber
    code: ResultCode
    status: int = 200
    content_type: str = ""
    body: bytes = b""
    finish_reason: str = ""
    # Number of tokens in the whole answer, so that a lost frame is detected.
    token_count: int = 0
    # Given when the upstream went down while it ran this attempt.
    crash: Crash | None = None
    occupancy: Occupancy | None = None


class Resolved(Struct, frozen=True, array_like=True, tag=15):
    """Answer whether an attempt started."""

    request: RequestId
    attempt: AttemptNumber
    state: AttemptState


class Pong(Struct, frozen=True, array_like=True, tag=16):
    """Answer a ping with the agent's state and the upstream's load."""

    sequence: int
    incarnation: Incarnation
    state: MemberState
    load: Load
    # The agent's name for the connection; what it sent over an earlier one may be lost.
    connection: bytes = b""
    occupancy: Occupancy | None = None


ToEntry = Started | Refused | Frame | Finished | Resolved | Pong
