"""Settings of a control replica."""

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from lycheefall._control.group_coordinator import PLAN_PERIOD_S
from lycheefall._core.ids import Address, DataCentreId, InstanceId
from lycheefall._rules.consensus.state import Timing

DEFAULT_SNAPSHOT_ENTRIES = 1_000


class Voter(Struct, frozen=True):
    """An initial voter, and where this replica reaches it."""

    instance: InstanceId
    peer_address: Address
    client_address: Address


def _ignore() -> None:
    return None


class ControlSettings(Struct, frozen=True, kw_only=True):
    """Settings of one replica; all replicas name the same initial voters."""

    instance: InstanceId
    data_centre: DataCentreId
    client_listen: Address
    peer_listen: Address
    voters: tuple[Voter, ...]
    data_folder: Path
    # Called once the sockets listen and the data folder is read.
    on_ready: Callable[[], None] = _ignore
    timing: Timing = Timing()
    # A snapshot is taken after this many entries.
    snapshot_entries: int = DEFAULT_SNAPSHOT_ENTRIES
    # Time between two plans of the placement of a group.
    plan_period_s: float = PLAN_PERIOD_S
    statsd: Address | None = None
