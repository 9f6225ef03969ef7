"""Settings of a control replica."""

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from lycheefall._control.group_coordinator import PLAN_PERIOD_S
from lycheefall._core.ids import Address, DataCentreId, InstanceId
from lycheefall._rules.consensus.state import Timing

DEFAULT_SNAPSHOT_ENTRIES = 1_000


class Voter(Struct, frozen=True):
    """An initial voter, and the addresses at which this replica reaches it."""

    instance: InstanceId
    peer_address: Address
    client_address: Address


def _ignore() -> None:
    return None


class ControlSettings(Struct, frozen=True, kw_only=True):
    """Settings of a replica; the initial voters are the same for all replicas."""

    instance: InstanceId
    data_centre: DataCentreId
    client_listen: Address
    peer_listen: Address
    voters: tuple[Voter, ...]
    data_folder: Path
    # Called once the sockets are bound and the data folder is loaded.
    on_ready: Callable[[], None] = _ignore
    timing: Timing = Timing()
    # Applied entries between snapshots.
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES
    # Interval between placement plans of a group.
    plan_period_s: float = PLAN_PERIOD_S
    statsd: Address | None = None
