"""Messages between relaying entries and control replicas, and between the replicas."""

from msgspec import Struct

from lycheefall._core.enums import MemberState
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    Revision,
    UpstreamId,
)
from lycheefall._core.relay import UpstreamRecord


class Crash(Struct, frozen=True, array_like=True):
    """A request that was running at an upstream when it crashed."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    start_time_ms: int


class EntryStatus(Struct, frozen=True, array_like=True, tag=81):
    """Tell a replica, at short intervals, how an entry is."""

    entry: InstanceId
    incarnation: Incarnation
    address: Address
    data_centre: DataCentreId
    state: MemberState
    # The file in force here.
    revision: Revision
    # The latest `News` of this replica that took effect here.
    acknowledged_sequence: int
    # Attempts in flight by upstream; None for the replicas that do not spread them.
    in_flight: dict[UpstreamId, int] | None
    # Crashes seen in the last seconds.
    crashes: tuple[Crash, ...] = ()


class FetchFile(Struct, frozen=True, array_like=True, tag=82):
    """Ask a replica for its newest file."""

    revision: Revision


class FileBody(Struct, frozen=True, array_like=True, tag=83):
    """The compressed bytes of a file."""

    revision: Revision
    packed: bytes


class EntryRecord(Struct, frozen=True, array_like=True):
    """An entry, as a replica heard of it."""

    entry: InstanceId
    data_centre: DataCentreId
    state: MemberState


class ReplicaUpdate(Struct, frozen=True, array_like=True, tag=84):
    """What a replica learned; also the proof that the connection works."""

    # Counts the messages to one entry.
    sequence: int
    replica: InstanceId
    revision: Revision
    records: tuple[UpstreamRecord, ...]
    # Control addresses of all replicas; empty where they did not change.
    replicas: tuple[InstanceId, ...]
    # The other entries; None where they did not change.
    entries: tuple[EntryRecord, ...] | None
    # Attempts in flight of all other entries together; None where this replica is not told.
    in_flight: dict[UpstreamId, int] | None
    # Requests that crashed too many upstreams.
    refused: tuple[Fingerprint, ...]
    # The entry that places experts; only the leader names one.
    coordinator: InstanceId | None = None


class PeerUpdate(Struct, frozen=True, array_like=True, tag=85):
    """What a replica learned from upstreams, for the other replicas."""

    records: tuple[UpstreamRecord, ...]


ToRegistry = EntryStatus | FetchFile
ToRelay = ReplicaUpdate | FileBody
