"""Which entries a team is told to use.

Shuffle shards (C. MacCarthaigh, "Workload isolation using shuffle-sharding", 2019) chosen by
rendezvous hashing: teams share few entries, and a change of entries moves few teams.
"""

from collections.abc import Iterable

from msgspec import Struct

from lycheefall._core.configuration import Directory
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import Address, InstanceId, TeamId
from lycheefall._core.messages.membership import EntryMember
from lycheefall._rules import rendezvous


class EntriesAnswer(Struct, frozen=True):
    """Addresses in the order of use, and how long the answer may be kept."""

    addresses: tuple[Address, ...]
    ttl_s: float


class EntryDirectory:
    """Live entries and the shards chosen among them."""

    __slots__ = ("live", "rotations", "settings", "shards")

    def __init__(self, settings: Directory) -> None:
        self.settings = settings
        self.live: dict[InstanceId, Address] = {}
        # Shards asked for since the entries changed.
        self.shards: dict[TeamId, list[InstanceId]] = {}
        # Answers given to each team, by which the order is rotated.
        self.rotations: dict[TeamId, int] = {}


def apply_settings(directory: EntryDirectory, settings: Directory) -> EntryDirectory:
    """Use other settings from now on."""
    directory.settings = settings
    directory.shards.clear()
    return directory


def replace_entries(directory: EntryDirectory, entries: Iterable[EntryMember]) -> EntryDirectory:
    """Replace the known entries; those that aren't ready are left out."""
    live = {each.instance: each.address for each in entries if each.state is MemberState.READY}
    if live.keys() != directory.live.keys():
        directory.shards.clear()
    directory.live = live
    return directory


def answer(directory: EntryDirectory, team: TeamId) -> EntriesAnswer:
    """Tell a known team which entries to use.

    The order is rotated from one answer to the next, so that the callers of a large team spread
    over its shard; the first answer starts at the entry with the highest score.
    """
    shard = directory.shards.get(team)
    if shard is None:
        shard = directory.shards[team] = _choose_shard(directory, team)
    rotation = directory.rotations.get(team, 0)
    directory.rotations[team] = rotation + 1
    start = rotation % len(shard) if shard else 0
    live = directory.live
    addresses = tuple(live[instance] for instance in (*shard[start:], *shard[:start]))
    return EntriesAnswer(addresses, directory.settings.ttl_s)


def _choose_shard(directory: EntryDirectory, team: TeamId) -> list[InstanceId]:
    size = directory.settings.shard_size or len(directory.live)
    return rendezvous.highest(team, directory.live, size)
