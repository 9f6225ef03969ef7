"""Messages between the filters of a registry."""

from asyncio import Future

from msgspec import Struct

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.ids import Address, Revision, UpstreamId
from lycheefall._core.messages.relay import EntryStatus, FetchFile, PeerUpdate
from lycheefall._core.relay import UpstreamRecord


class FromEntry(Struct, frozen=True):
    """A message of an entry, and the connection that it came over."""

    peer: bytes
    message: EntryStatus | FetchFile


class Announce(Struct, frozen=True):
    """An upstream's announcement; answered once the entries know what it changes."""

    record: UpstreamRecord
    acknowledged: Future[None]


class Depart(Struct, frozen=True):
    """The departure of an upstream; answered once the entries know it."""

    upstream: UpstreamId
    start_time_ms: int
    acknowledged: Future[None]


class DirectoryQuery(Struct, frozen=True):
    """Ask for the addresses that callers may use."""

    addresses: Future[tuple[Address, ...]]


class AwaitRevision(Struct, frozen=True):
    """Ask to be told once the entries use a file, or a later one."""

    revision: Revision
    done: Future[None]


class RegistrarTick(Struct, frozen=True):
    """Let time pass."""


ToRegistrar = (
    FromEntry
    | Announce
    | Depart
    | DirectoryQuery
    | AwaitRevision
    | PeerUpdate
    | ReplicaView
    | AppliedView
    | RegistrarTick
)
