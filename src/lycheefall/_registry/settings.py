"""Settings of a registry."""

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import Address, InstanceId
from lycheefall._rules.consensus.state import Timing

# For replicas on a third of a core, where the start of a process takes 1.5 s. An election ends
# within two of the longest timeouts, so a lost leader is replaced in about 2 s.
REGISTRY_TIMING = Timing(
    heartbeat_s=0.15,
    election_min_s=0.7,
    election_max_s=1.3,
    lease_s=0.6,
    # Reads are confirmed by a majority.
    uses_lease=False,
    # After all replicas were killed, nothing is served until one of them leads.
    first_election_s=0.5,
    hello_s=0.2,
    presence_s=1.0,
    # A standby takes the place of a silent voter well before the platform may take another disk
    # (4 s after the successor of a lost machine has started).
    replace_s=1.0,
    grow_to_voters=9,
)
# A snapshot is taken after this many entries: a few minutes of frequent changes.
SNAPSHOT_ENTRIES = 200
# Pause before the next write to a full disk.
RETRY_FULL_DISK_S = 0.5


class RegistrySettings(Struct, frozen=True, kw_only=True):
    """Settings of one replica; its name is the address for operators and upstreams."""

    instance: InstanceId
    control_listen: Address
    directory_listen: Address | None
    peer_listen: Address
    entry_listen: Address
    metrics_listen: Address | None
    data_folder: Path
    # Replicas of the first formation; empty for one that joins a group that exists.
    initial_voters: tuple[InstanceId, ...]
    # Read again when the settings change.
    seeds: Callable[[], tuple[InstanceId, ...]]
    # Where a replica listens for the others, from its id.
    peer_address: Callable[[InstanceId], Address]
    dialect: Dialect
    timing: Timing = REGISTRY_TIMING
