"""Messages between relaying entries and control replicas, and between the replicas."""

from msgspec import Struct

from lycheefall._core.enums import MemberState
from lycheefall._core.evacuations import UNKNOWN_VERSION, Evacuations
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Fingerprint,
    Incarnation,
    InstanceId,
    PromptPart,
    Revision,
    UpstreamId,
)
from lycheefall._core.relay import UpstreamRecord


class Crash(Struct, frozen=True, array_like=True):
    """Crash of an upstream while it ran a request."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    start_time_ms: int
    # Shared parts of the prompt, if the upstream may have been about to generate on it.
    prompt_parts: tuple[PromptPart, ...] = ()
    # Whether nothing listened at the address afterwards. Otherwise the upstream may be cut off.
    refuses_connections: bool = False


class LostUpstream(Struct, frozen=True, array_like=True):
    """A start of an upstream that has crashed, and how long ago."""

    upstream: UpstreamId
    start_time_ms: int
    age_s: float


class SharedRateLimit(Struct, frozen=True, array_like=True):
    """Requests per second that a start of an upstream accepts, and how long ago it said so."""

    upstream: UpstreamId
    start_time_ms: int
    # None if it has no limit any more.
    rate_per_s: float | None
    age_s: float


class SoundPart(Struct, frozen=True, array_like=True):
    """A suspected part of prompts on which an upstream has generated, and how long ago."""

    part: PromptPart
    age_s: float


class PartTrial(Struct, frozen=True, array_like=True):
    """A request with a suspected part of prompts that an entry has let pass, and how long ago."""

    part: PromptPart
    age_s: float


class PartVerdict(Struct, frozen=True, array_like=True):
    """Crashes blamed on a part of prompts, 0 if it is not suspected, and the last one's age."""

    part: PromptPart
    crashes: int
    age_s: float
    # Age of the latest trial; None if there was none.
    trial_age_s: float | None = None


class SlowRank(Struct, frozen=True, array_like=True):
    """A rank of a group that is slower than usual by a factor, its pace."""

    upstream: UpstreamId
    start_time_ms: int
    pace: float


class EntryStatus(Struct, frozen=True, array_like=True, tag=81):
    """Report the status of an entry to a replica, at short intervals."""

    entry: InstanceId
    incarnation: Incarnation
    address: Address
    data_centre: DataCentreId
    state: MemberState
    # Revision of the active file.
    revision: Revision
    # Sequence of the latest `ReplicaUpdate` of this replica that the entry has applied.
    acknowledged_sequence: int
    # Attempts in flight by upstream; None for replicas that do not distribute them.
    in_flight: dict[UpstreamId, int] | None
    # Crashes detected in the last few seconds.
    crashes: tuple[Crash, ...] = ()
    # Reported by the map coordinator.
    slow_ranks: tuple[SlowRank, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    part_trials: tuple[PartTrial, ...] = ()
    # Changes of the last seconds.
    rate_limits: tuple[SharedRateLimit, ...] = ()
    # Version of the evacuations in force.
    evacuations_version: int = UNKNOWN_VERSION


class FetchFile(Struct, frozen=True, array_like=True, tag=82):
    """Request the newest file of a replica."""

    revision: Revision


class FileBody(Struct, frozen=True, array_like=True, tag=83):
    """Compressed contents of a file."""

    revision: Revision
    packed: bytes


class EntryRecord(Struct, frozen=True, array_like=True):
    """A replica's record of an entry."""

    entry: InstanceId
    data_centre: DataCentreId
    state: MemberState


class ReplicaUpdate(Struct, frozen=True, array_like=True, tag=84):
    """State changes known to a replica; also serves as the heartbeat of the connection."""

    # Sequence number of the updates to one entry.
    sequence: int
    replica: InstanceId
    revision: Revision
    records: tuple[UpstreamRecord, ...]
    # Control addresses of all replicas; empty if unchanged.
    replicas: tuple[InstanceId, ...]
    # The other entries; None if unchanged.
    entries: tuple[EntryRecord, ...] | None
    # Total attempts in flight at all other entries; None if this replica does not receive them.
    in_flight: dict[UpstreamId, int] | None
    # Fingerprints of requests that crashed too many upstreams.
    refused: tuple[Fingerprint, ...]
    # Entry that coordinates expert placement; set only by the leader.
    coordinator: InstanceId | None = None
    # As reported by the map coordinator to this replica.
    slow_ranks: tuple[SlowRank, ...] = ()
    # Of the parts of prompts that were in recent crashes.
    part_verdicts: tuple[PartVerdict, ...] = ()
    # Crashes of the last seconds.
    lost: tuple[LostUpstream, ...] = ()
    # Changes since the previous update; all limits in the first one.
    rate_limits: tuple[SharedRateLimit, ...] = ()
    # None if the entry reported this version or a later one, or if the replica may be outdated.
    evacuations: Evacuations | None = None


class PeerUpdate(Struct, frozen=True, array_like=True, tag=85):
    """Upstream records that a replica received, sent to the other replicas."""

    records: tuple[UpstreamRecord, ...]


ToRegistry = EntryStatus | FetchFile
ToRelay = ReplicaUpdate | FileBody
