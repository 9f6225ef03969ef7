"""Messages between the filters of a registry."""

from asyncio import Future

from msgspec import Struct

from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._core.ids import Address, Revision, UpstreamId
from lycheefall._core.messages.relay import EntryStatus, FetchFile, PeerUpdate
from lycheefall._core.relay import UpstreamRecord


class FromEntry(Struct, frozen=True):
    """A message of an entry, and the ZeroMQ routing id of the connection it arrived on."""

    routing_id: bytes
    message: EntryStatus | FetchFile


class Announce(Struct, frozen=True):
    """Announcement of an upstream; resolved once the entries have applied the change.

    It fails with RequestRefused if there is no room for the record.
    """

    record: UpstreamRecord
    acknowledged: Future[None]


class Depart(Struct, frozen=True):
    """Departure of an upstream; resolved once the entries have applied it, or failed as above."""

    upstream: UpstreamId
    start_time_ms: int
    acknowledged: Future[None]


class DirectoryQuery(Struct, frozen=True):
    """Query the addresses of the ready entries."""

    addresses: Future[tuple[Address, ...]]


class AwaitRevision(Struct, frozen=True):
    """Wait until the entries use a revision or a later one."""

    revision: Revision
    done: Future[None]


class AwaitEvacuations(Struct, frozen=True):
    """Wait until the entries use a version of the evacuations or a later one."""

    version: int
    done: Future[None]


class RegistrarTick(Struct, frozen=True):
    """Periodic timer event of the registrar."""


ToRegistrar = (
    FromEntry
    | Announce
    | Depart
    | DirectoryQuery
    | AwaitRevision
    | AwaitEvacuations
    | PeerUpdate
    | ReplicaView
    | AppliedView
    | RegistrarTick
)
