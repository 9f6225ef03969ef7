"""Directory of the entries that each team should use.

Shuffle sharding (C. MacCarthaigh, "Workload isolation using shuffle-sharding", 2019) with
rendezvous hashing: two teams share few entries, and a change of entries moves few teams.
"""

from collections.abc import Iterable

from msgspec import Struct

from lycheefall._core.configuration import Directory
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import Address, InstanceId, TeamId
from lycheefall._core.messages.membership import EntryMember
from lycheefall._rules import rendezvous


class EntriesAnswer(Struct, frozen=True):
    """Addresses in order of preference, and the time in seconds for which they may be cached."""

    addresses: tuple[Address, ...]
    ttl_s: float


class EntryDirectory:
    """Entries that are ready, and the cached shards of teams."""

    __slots__ = ("live", "rotations", "settings", "shards")

    def __init__(self, settings: Directory) -> None:
        self.settings = settings
        # Addresses of the entries that are ready.
        self.live: dict[InstanceId, Address] = {}
        # Shards computed since the entries last changed.
        self.shards: dict[TeamId, list[InstanceId]] = {}
        # Number of answers per team, which determines the rotation of the next answer.
        self.rotations: dict[TeamId, int] = {}


def apply_settings(directory: EntryDirectory, settings: Directory) -> EntryDirectory:
    """Replace the settings and discard the cached shards."""
    directory.settings = settings
    directory.shards.clear()
    return directory


def replace_entries(directory: EntryDirectory, entries: Iterable[EntryMember]) -> EntryDirectory:
    """Replace the known entries by those that are ready."""
    live = {each.instance: each.address for each in entries if each.state is MemberState.READY}
    if live.keys() != directory.live.keys():
        directory.shards.clear()
    directory.live = live
    return directory


def answer(directory: EntryDirectory, team: TeamId) -> EntriesAnswer:
    """Return the entries that a known team should use.

    Successive answers rotate the order, so that the callers of a large team are spread over its
    shard. The first answer starts with the entry of the highest hash score.
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
