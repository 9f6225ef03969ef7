"""Enumerations of states and kinds."""

from enum import Enum


class RunState(Enum):
    """Whether the request was executed."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class MemberState(Enum):
    """State that a process announces for itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    FAILED = "failed"


class AttemptState(Enum):
    """State of an attempt at its agent."""

    UNSEEN = "unseen"
    STARTED = "started"
    FINISHED = "finished"
    # The agent has not started the attempt and will refuse to start it.
    RELEASED = "released"


class ClaimState(Enum):
    """State of the claim on a non-idempotent operation."""

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
    """Kind of request that a route serves."""

    CHAT = "chat"
    LOOKUP = "lookup"
    BOOKING = "booking"


class FenceMode(Enum):
    """How a platform handles an order with a stale fencing number."""

    REFUSES = "refuses"
    IGNORES = "ignores"
