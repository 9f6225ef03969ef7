"""Messages between the filters of an agent."""

from msgspec import Struct

from lycheefall._core.configuration import Configuration
from lycheefall._core.ids import AttemptNumber, RequestId
from lycheefall._core.messages.dispatch import Cancel, Credit, Dispatch, ToAgent, ToEntry
from lycheefall._core.messages.membership import Load, UpstreamMember


class FromEntry(Struct, frozen=True):
    """A message of an entry and the connection that it came over."""

    peer: bytes
    message: ToAgent


class AttemptEnded(Struct, frozen=True):
    """Tell the check filter that an attempt no longer runs."""

    peer: bytes
    result: ToEntry


class LoadRead(Struct, frozen=True):
    """Load that the upstream reported."""

    load: Load


class UpstreamSilent(Struct, frozen=True):
    """Tell that the upstream does not answer its load query."""


class ConfigurationSeen(Struct, frozen=True):
    """Put a configuration in force at the agent."""

    configuration: Configuration


class DrainOrdered(Struct, frozen=True):
    """Drain for good, as the process is being stopped."""


class Tick(Struct, frozen=True):
    """Let the filter act on time that has passed."""


ToCheck = (
    FromEntry | AttemptEnded | LoadRead | UpstreamSilent | ConfigurationSeen | DrainOrdered | Tick
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
    """Pass a cancel or a credit on to a running attempt."""

    message: Cancel | Credit


class AnnounceMember(Struct, frozen=True):
    """Announce this state from now on."""

    member: UpstreamMember


class Drained(Struct, frozen=True):
    """Tell that a draining agent has nothing left to run."""


FromCheck = ToPeer | Forward | SignalAttempt | AnnounceMember | Drained


class AttemptId(Struct, frozen=True):
    """Name one attempt of one request."""

    request: RequestId
    attempt: AttemptNumber
