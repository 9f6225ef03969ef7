"""States and kinds."""

from enum import Enum


class RunState(Enum):
    """Tell whether the request behind an answer was carried out."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class MemberState(Enum):
    """State that a process announces about itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"


class AttemptState(Enum):
    """What an agent knows about an attempt."""

    UNSEEN = "unseen"
    STARTED = "started"
    FINISHED = "finished"
    # The agent has not started the attempt and refuses it from now on.
    RELEASED = "released"


class ClaimState(Enum):
    """State of a claim on a non-idempotent operation."""

    HELD = "held"
    ANSWERED = "answered"
    UNKNOWN_OUTCOME = "unknown-outcome"


class ReplicaRole(Enum):
    """Role of a control replica in consensus."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class UpstreamKind(Enum):
    """Protocol that an upstream speaks."""

    ENGINE = "engine"
    SERVICE = "service"


class RouteKind(Enum):
    """Kind of work that a route carries."""

    CHAT = "chat"
    LOOKUP = "lookup"
    BOOKING = "booking"


class FenceMode(Enum):
    """What a platform does with an order that carries an old fencing number."""

    REFUSES = "refuses"
    IGNORES = "ignores"
