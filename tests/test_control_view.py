"""Tests of what an entry takes over from control."""

from typing import Any

from lycheefall._core.configuration import Configuration, Directory
from lycheefall._core.ids import Address, Incarnation, Revision, TeamId
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.entry import ConfigurationChanged
from lycheefall._core.pipeline import Latest
from lycheefall._entry.control_view import KnownEntries, changes_receiver, directory_lookup
from test_directory import entry


def changes(**parts: Any) -> Changes:
    """Make an answer to a watch that holds these parts."""
    filled: dict[str, Any] = {
        "sequence": 1,
        "replica": Incarnation("1"),
        "leader": None,
        "revision": Revision(1),
        "configuration": None,
        "membership_version": 1,
        "full": False,
        "members": (),
        "removed_upstreams": (),
        "removed_entries": (),
    }
    return Changes(**filled | parts)


class TestChangesReceiver:
    def test_no_room(self) -> None:
        """Guards against a configuration that callers see although the filters missed it."""
        in_force: list[Configuration] = []
        configuration = Configuration(directory=Directory(ttl_s=3.0))
        known = Latest(KnownEntries())
        receive = changes_receiver(
            known, lambda message: not isinstance(message, ConfigurationChanged), in_force.append
        )
        assert not receive(changes(configuration=configuration))
        assert (in_force, known.value) == ([], KnownEntries())


class TestDirectoryAnswers:
    def test_latest_entries(self) -> None:
        """Guards against callers that are told entries which control no longer lists."""
        known = Latest(KnownEntries())
        receive = changes_receiver(known, lambda message: True, lambda configuration: None)
        answer = directory_lookup(known)
        assert answer(TeamId("a")).addresses == ()
        receive(changes(full=True, members=(entry(1), entry(2))))
        receive(changes(removed_entries=(entry(1).instance,)))
        assert answer(TeamId("a")).addresses == (Address("127.0.0.1:2"),)
