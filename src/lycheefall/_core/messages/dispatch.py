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
    """Evidence that the claim for an attempt of a non-idempotent operation is committed."""

    team: TeamId
    key: IdempotencyKey
    attempt: AttemptNumber


class Dispatch(Struct, frozen=True, array_like=True, tag=1):
    """Ask an agent to run an attempt; sent at most once per attempt."""

    request: RequestId
    attempt: AttemptNumber
    # Incarnation of the intended agent; any other must refuse.
    incarnation: Incarnation
    remaining_s: float
    kind: RouteKind
    method: str
    path: str
    content_type: str
    body: bytes
    priority: PriorityId
    # Position of the priority in the configuration file, starting at 0.
    rank: int
    fingerprint: Fingerprint
    claim: ClaimToken | None = None
    # Tokens already delivered to the caller by an earlier attempt.
    resume_tokens: tuple[str, ...] = ()
    # Number of frames that the agent may send before it receives more credit.
    credit: int = 256
    # True for a request suspected of an earlier crash, which must run alone on its upstream.
    isolated: bool = False


class Cancel(Struct, frozen=True, array_like=True, tag=2):
    """Cancel an attempt whose caller has disconnected."""

    request: RequestId
    attempt: AttemptNumber


class Credit(Struct, frozen=True, array_like=True, tag=3):
    """Grant flow-control credit for more frames of an attempt."""

    request: RequestId
    attempt: AttemptNumber
    frames: int


class Resolve(Struct, frozen=True, array_like=True, tag=4):
    """Ask whether an attempt started; one that has not is released permanently."""

    request: RequestId
    attempt: AttemptNumber
    claim: ClaimToken | None = None
    # Incarnation of the intended agent; any other answers UNSEEN and releases nothing.
    incarnation: Incarnation = Incarnation("")


class Ping(Struct, frozen=True, array_like=True, tag=5):
    """Check the connection and request the agent's state."""

    sequence: int


ToAgent = Dispatch | Cancel | Credit | Resolve | Ping


class Started(Struct, frozen=True, array_like=True, tag=11):
    """Report that the request is being sent to the upstream."""

    request: RequestId
    attempt: AttemptNumber


class Occupancy(Struct, frozen=True, array_like=True):
    """Number of attempts in flight at an agent when it sends a message."""

    attempts: int
    # Attempts among them that arrived over the connection of the message.
    own: int


class Refused(Struct, frozen=True, array_like=True, tag=12):
    """Report that the attempt has not started and will not start."""

    request: RequestId
    attempt: AttemptNumber
    code: ResultCode
    occupancy: Occupancy | None = None


class Frame(Struct, frozen=True, array_like=True, tag=13):
    """Carry tokens of a stream; `sequence` is the index of the first one in the answer."""

    request: RequestId
    attempt: AttemptNumber
    sequence: int
    tokens: tuple[str, ...]


class Crash(Struct, frozen=True, array_like=True):
    """Crash of an upstream while it ran an attempt, with the fingerprint of the request."""

    upstream_incarnation: Incarnation
    fingerprint: Fingerprint


class Finished(Struct, frozen=True, array_like=True, tag=14):
    """Report the end of an attempt that started."""

    request: RequestId
    attempt: AttemptNumber
    code: ResultCode
    status: int = 200
    content_type: str = ""
    body: bytes = b""
    finish_reason: str = ""
    # Number of tokens in the complete answer; detects lost frames.
    token_count: int = 0
    # Set if the upstream crashed while it ran this attempt.
    crash: Crash | None = None
    occupancy: Occupancy | None = None


class Resolved(Struct, frozen=True, array_like=True, tag=15):
    """Answer Resolve with the state of the attempt."""

    request: RequestId
    attempt: AttemptNumber
    state: AttemptState


class Pong(Struct, frozen=True, array_like=True, tag=16):
    """Answer a ping with the agent's state and the upstream's load."""

    sequence: int
    incarnation: Incarnation
    state: MemberState
    load: Load
    # The agent's id of the connection; messages sent over an earlier one may be lost.
    connection: bytes = b""
    occupancy: Occupancy | None = None


ToEntry = Started | Refused | Frame | Finished | Resolved | Pong
