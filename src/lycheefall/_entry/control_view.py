"""Apply the changes that control reports.

The task of the control client owns the known entries. The HTTP handlers own the directory and read
the entries that are published here.
"""

from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.configuration import Configuration, Directory
from lycheefall._core.events import Event
from lycheefall._core.ids import InstanceId, TeamId
from lycheefall._core.log import log
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.entry import (
    ConfigurationChanged,
    EntriesChanged,
    EvacuationsChanged,
    FingerprintsChanged,
)
from lycheefall._core.messages.membership import EntryMember
from lycheefall._core.pipeline import Latest
from lycheefall._operate.metrics import SetGauge
from lycheefall._rules.directory import (
    EntriesAnswer,
    EntryDirectory,
    answer,
    apply_settings,
    replace_entries,
)

# Messages to the filters of an entry that result from the changes.
ControlUpdate = ConfigurationChanged | FingerprintsChanged | EvacuationsChanged | EntriesChanged


class KnownEntries(Struct, frozen=True):
    """Entries registered with control, and the settings that assign teams to them."""

    settings: Directory = Directory()
    entries: tuple[EntryMember, ...] = ()


def changes_receiver(
    known: Latest[KnownEntries],
    offer: Callable[[ControlUpdate], bool],
    on_configuration: Callable[[Configuration], None],
    set_gauge: SetGauge = lambda name, value: None,
) -> Callable[[Changes], bool]:
    """Return a receiver of changes, which returns False if an inbox is full.

    The control client then requests the same changes again.
    """
    members: dict[InstanceId, EntryMember] = {}

    def receive(changes: Changes) -> bool:
        settings = known.value.settings
        # Before the first configuration, after which the entry accepts requests.
        if changes.evacuations is not None:
            if not offer(EvacuationsChanged(changes.evacuations)):
                return False
            log(
                Event.EVACUATIONS_IN_FORCE,
                version=changes.evacuations.version,
                data_centres=changes.evacuations.data_centres,
            )
            set_gauge("evacuated_data_centres", len(changes.evacuations.data_centres))
        if changes.configuration is not None:
            if not offer(ConfigurationChanged(changes.configuration)):
                return False
            on_configuration(changes.configuration)
            settings = changes.configuration.directory
        if changes.suspects is not None:
            suspects, refused = frozenset(changes.suspects), frozenset(changes.refused or ())
            if not offer(FingerprintsChanged(suspects, refused)):
                return False
        _update_entries(members, changes)
        offer(EntriesChanged(frozenset(each.incarnation for each in members.values())))
        known.publish(KnownEntries(settings, tuple(members.values())))
        return True

    return receive


def directory_lookup(known: Latest[KnownEntries]) -> Callable[[TeamId], EntriesAnswer]:
    """Return a function that looks up the entries of a team in the last published state."""
    directory = EntryDirectory(known.value.settings)
    applied = known.value

    def look_up(team: TeamId) -> EntriesAnswer:
        nonlocal applied
        if known.value is not applied:
            if known.value.settings != applied.settings:
                apply_settings(directory, known.value.settings)
            replace_entries(directory, known.value.entries)
            applied = known.value
        return answer(directory, team)

    return look_up


def _update_entries(members: dict[InstanceId, EntryMember], changes: Changes) -> None:
    if changes.full:
        members.clear()
    for member in changes.members:
        if isinstance(member, EntryMember):
            members[member.instance] = member
    for removed in changes.removed_entries:
        members.pop(removed, None)
