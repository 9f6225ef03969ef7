"""Messages between the filters of an agent."""

from msgspec import Struct

from lycheefall._core.configuration import Configuration
from lycheefall._core.ids import AttemptNumber, RequestId
from lycheefall._core.messages.dispatch import Cancel, Credit, Dispatch, ToAgent, ToEntry
from lycheefall._core.messages.membership import Load, UpstreamMember


class FromEntry(Struct, frozen=True):
    """Message from an entry, with the ZeroMQ identity of its connection."""

    peer: bytes
    message: ToAgent


class AttemptEnded(Struct, frozen=True):
    """Report to the check filter that an attempt no longer runs."""

    peer: bytes
    result: ToEntry


class LoadRead(Struct, frozen=True):
    """Load that the upstream reported to a load query."""

    load: Load


class LoadQueryFailed(Struct, frozen=True):
    """Report that the upstream did not answer a load query."""


class ConfigurationReceived(Struct, frozen=True):
    """Apply a committed configuration at the agent."""

    configuration: Configuration


class DrainRequested(Struct, frozen=True):
    """Drain the agent permanently because the process is shutting down at a time."""

    ends_s: float


class DrainEnded(Struct, frozen=True):
    """End the attempts that are left at the end of the drain."""


class Tick(Struct, frozen=True):
    """Timer event for deadlines and the end of a drain."""


ToCheck = (
    FromEntry
    | AttemptEnded
    | LoadRead
    | LoadQueryFailed
    | ConfigurationReceived
    | DrainRequested
    | DrainEnded
    | Tick
)


class ToPeer(Struct, frozen=True):
    """Send a message to an entry."""

    peer: bytes
    message: ToEntry


class Forward(Struct, frozen=True):
    """Call the upstream for an attempt."""

    peer: bytes
    dispatch: Dispatch


class SignalAttempt(Struct, frozen=True):
    """Pass a cancel or a flow-control credit to a running attempt."""

    message: Cancel | Credit


class AnnounceMember(Struct, frozen=True):
    """Announce this member state in the heartbeats from now on."""

    member: UpstreamMember


class Drained(Struct, frozen=True):
    """Report that a draining agent has no attempts left."""


FromCheck = ToPeer | Forward | SignalAttempt | AnnounceMember | Drained


class AttemptId(Struct, frozen=True):
    """Identify one attempt of one request."""

    request: RequestId
    attempt: AttemptNumber
