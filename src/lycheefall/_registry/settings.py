"""Settings of a registry."""

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import Address, InstanceId
from lycheefall._rules.connection_account import CallerBounds
from lycheefall._rules.consensus.state import Timing

# For replicas with a third of a core, where a process takes 1.5 s to start. An election ends within
# two of the longest timeouts, so a lost leader is replaced in about 2 s.
REGISTRY_TIMING = Timing(
    heartbeat_s=0.15,
    election_min_s=0.7,
    election_max_s=1.3,
    lease_s=0.6,
    # Reads are confirmed by a majority instead.
    uses_lease=False,
    # Short, because nothing is served after a kill of all replicas until one of them leads.
    first_election_s=0.5,
    hello_interval_s=0.2,
    presence_s=1.0,
    # A standby replaces a silent voter well before the platform may take another disk, 4 s after
    # the successor of a lost machine has started.
    replace_voter_after_s=1.0,
    grow_to_voters=9,
)
# Log entries between snapshots: a few minutes of frequent changes.
SNAPSHOT_ENTRIES = 200
# Retry period for writes to a full disk.
RETRY_FULL_DISK_S = 0.5


class RegistrySettings(Struct, frozen=True, kw_only=True):
    """Settings of one replica; its id is its address for operators and upstreams."""

    instance: InstanceId
    control_listen: Address
    directory_listen: Address | None
    peer_listen: Address
    entry_listen: Address
    metrics_listen: Address | None
    data_folder: Path
    # Voters of a new cluster; empty for a replica that joins an existing one.
    initial_voters: tuple[InstanceId, ...]
    # Returns the seeds of the current settings: replicas to contact besides the known voters.
    seeds: Callable[[], tuple[InstanceId, ...]]
    # Maps the id of a replica to the address where it listens for its peers.
    peer_address: Callable[[InstanceId], Address]
    # Memory of the process, beyond which it is killed.
    memory_bytes: float
    callers: CallerBounds
    # Time from SIGTERM until the process is killed.
    grace_s: float
    dialect: Dialect
    timing: Timing = REGISTRY_TIMING
