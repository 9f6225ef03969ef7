"""Expert maps of groups whose ranks run in lock-step, and the orders that change them."""

from typing import NewType

from msgspec import Struct

from lycheefall._core.relay import GroupMembership

MapVersion = NewType("MapVersion", int)
PassNumber = NewType("PassNumber", int)

# For each set and rank, the experts that the rank holds.
ExpertMap = tuple[tuple[tuple[int, ...], ...], ...]


class RankStatus(Struct, frozen=True, kw_only=True):
    """What a rank reports; the values are some hundred milliseconds old."""

    membership: GroupMembership | None
    ranks: int
    # Orders that began something since the rank started.
    sequence: int
    # The last pass that was begun.
    step: PassNumber
    map_version: MapVersion
    # Copied completely; 0 for none.
    prepared: MapVersion
    armed: MapVersion
    held: PassNumber | None
    running: int
    waiting: int
    pace: float


class ExpertCounts(Struct, frozen=True):
    """How often the requests of a rank chose each expert since the rank started, by set."""

    step: PassNumber
    epoch: int
    counts: tuple[tuple[int, ...], ...]


class LoadedExperts(Struct, frozen=True):
    """The experts of the map in force that a rank holds, by set."""

    epoch: int
    version: MapVersion
    experts: tuple[tuple[int, ...], ...]


class Prepare(Struct, frozen=True, kw_only=True):
    """Copy the experts of a map."""

    version: MapVersion
    experts: ExpertMap
    epoch: int
    expected: int


class Arm(Struct, frozen=True, kw_only=True):
    """Use a prepared map from a pass on."""

    version: MapVersion
    step: PassNumber
    epoch: int
    expected: int


class Disarm(Struct, frozen=True, kw_only=True):
    """Take `Arm` back."""

    version: MapVersion
    epoch: int
    expected: int


class Hold(Struct, frozen=True, kw_only=True):
    """Let no rank of the group begin a pass until `Go`."""

    step: PassNumber
    epoch: int
    expected: int


class Go(Struct, frozen=True, kw_only=True):
    """Let the group begin the pass."""

    step: PassNumber
    epoch: int


RankOrder = Prepare | Arm | Disarm | Hold | Go
