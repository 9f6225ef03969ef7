"""Expert maps of lock-step rank groups on a platform, and the orders that change them.

A map places the experts on the ranks, separately for each set of layers. A pass consists of the
engine steps between two admissions of requests; all ranks of a group run it together.

Each order names the epoch of the group. `expected` is the rank's last known `RankStatus.sequence`.
"""

from typing import NewType

from msgspec import Struct

from lycheefall._core.relay import GroupMembership

MapVersion = NewType("MapVersion", int)
PassNumber = NewType("PassNumber", int)

# Experts loaded on each rank, indexed by layer set and rank.
ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]


class RankStatus(Struct, frozen=True, kw_only=True):
    """Status reported by a rank; values may be several hundred milliseconds old."""

    membership: GroupMembership | None
    ranks: int
    # Number of orders that the rank has acted on since it started.
    sequence: int
    # The last pass that the rank started.
    step: PassNumber
    map_version: MapVersion
    # The map whose experts are completely copied; 0 for none.
    prepared: MapVersion
    # The map that `Arm` has scheduled; 0 for none.
    armed: MapVersion
    # The pass before which the rank is paused; None if it is not paused.
    paused_before: PassNumber | None
    running: int
    waiting: int
    # Factor by which the rank is slower than usual.
    pace: float


class ExpertCounts(Struct, frozen=True):
    """Selections of each expert by a rank's requests since its start, by layer set."""

    step: PassNumber
    epoch: int
    counts: tuple[tuple[int, ...], ...]


class LoadedExperts(Struct, frozen=True):
    """Experts of the active map that are loaded on a rank, by layer set."""

    epoch: int
    version: MapVersion
    experts: tuple[tuple[int, ...], ...]


class Prepare(Struct, frozen=True, kw_only=True):
    """Copy the experts of a map to the rank, without using the map."""

    version: MapVersion
    experts: ExpertMap
    epoch: int
    expected: int


class Arm(Struct, frozen=True, kw_only=True):
    """Schedule a prepared map to take effect at the given pass."""

    version: MapVersion
    step: PassNumber
    epoch: int
    expected: int


class Disarm(Struct, frozen=True, kw_only=True):
    """Cancel a scheduled `Arm`."""

    version: MapVersion
    epoch: int
    expected: int


class Hold(Struct, frozen=True, kw_only=True):
    """Pause the group before the given pass until `Go`."""

    step: PassNumber
    epoch: int
    expected: int


class Go(Struct, frozen=True, kw_only=True):
    """Resume a group that is paused before the given pass."""

    step: PassNumber
    epoch: int


RankOrder = Prepare | Arm | Disarm | Hold | Go
