"""Tests of how an entry applies the changes that control reports."""

from typing import Any

from lycheefall._core.configuration import Configuration, Directory
from lycheefall._core.ids import Address, Incarnation, Revision, TeamId
from lycheefall._core.messages.control import Changes
from lycheefall._core.messages.entry import ConfigurationChanged
from lycheefall._core.pipeline import Latest
from lycheefall._entry.control_view import KnownEntries, changes_receiver, directory_lookup
from test_directory import entry


def changes(**fields: Any) -> Changes:
    """Return the answer to a watch with these fields; the others have default values."""
    defaults: dict[str, Any] = {
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
    return Changes(**defaults | fields)


class TestChangesReceiver:
    def test_full_inbox(self) -> None:
        """Guards against validating with a configuration that the filters didn't receive."""
        applied: list[Configuration] = []
        configuration = Configuration(directory=Directory(ttl_s=3.0))
        known = Latest(KnownEntries())
        receive = changes_receiver(
            known, lambda message: not isinstance(message, ConfigurationChanged), applied.append
        )
        assert not receive(changes(configuration=configuration))
        assert (applied, known.value) == ([], KnownEntries())


class TestDirectoryAnswers:
    def test_latest_entries(self) -> None:
        """Guards against directory answers with entries that control no longer lists."""
        known = Latest(KnownEntries())
        receive = changes_receiver(known, lambda message: True, lambda configuration: None)
        answer = directory_lookup(known)
        assert answer(TeamId("a")).addresses == ()
        receive(changes(full=True, members=(entry(1), entry(2))))
        receive(changes(removed_entries=(entry(1).instance,)))
        assert answer(TeamId("a")).addresses == (Address("127.0.0.1:2"),)
