"""Tests of the address directory."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.configuration import Directory
from lycheefall._core.enums import MemberState
from lycheefall._core.ids import Address, DataCentreId, Incarnation, InstanceId, TeamId
from lycheefall._core.messages.membership import EntryMember
from lycheefall._rules import directory
from lycheefall._rules.directory import EntryDirectory

STATES = st.sampled_from(list(MemberState))


def entry(number: int, state: MemberState = MemberState.READY) -> EntryMember:
    """Make an entry."""
    return EntryMember(
        instance=InstanceId(f"entry{number}"),
        data_centre=DataCentreId("here"),
        address=Address(f"127.0.0.1:{number}"),
        announce_address=Address("127.0.0.1:1"),
        incarnation=Incarnation("1"),
        state=state,
    )


def directory_of(count: int, shard_size: int) -> EntryDirectory:
    """Make a directory of ready entries."""
    made = EntryDirectory(Directory(shard_size=shard_size, ttl_s=7.0))
    return directory.replace_entries(made, [entry(number) for number in range(count)])


def shard(state: EntryDirectory, team: str) -> set[Address]:
    """Return the entries that a team is told."""
    return set(directory.answer(state, TeamId(team)).addresses)


class TestDirectory:
    @given(st.lists(STATES, max_size=12), st.integers(0, 6), st.integers(1, 5))
    def test_ready_entries_only(
        self, states: list[MemberState], shard_size: int, answers: int
    ) -> None:
        """Guards against callers sent to entries that are leaving or dead."""
        made = directory_of(12, shard_size)
        directory.answer(made, TeamId("team"))
        members = [entry(number, state) for number, state in enumerate(states)]
        directory.replace_entries(made, members)
        ready = {each.address for each in members if each.state is MemberState.READY}
        for _ in range(answers):
            told = directory.answer(made, TeamId("team")).addresses
            assert set(told) <= ready
            assert len(told) == len(set(told)) == min(len(ready), shard_size or len(ready))

    def test_stable(self) -> None:
        """Guards against teams that lose their fairness state whenever one entry goes."""
        made = directory_of(12, 4)
        before = {str(number): shard(made, str(number)) for number in range(570)}
        directory.replace_entries(made, [entry(number) for number in range(1, 12)])
        gone = Address("127.0.0.1:0")
        for team, old in before.items():
            assert old - {gone} <= shard(made, team)

    def test_load_spreads(self) -> None:
        """Guards against an entry that holds many more teams than others, or is always first."""
        made = directory_of(10, 4)
        held = Counter(each for team in range(570) for each in shard(made, str(team)))
        assert max(held.values()) <= 1.25 * min(held.values())
        first = Counter(directory.answer(made, TeamId("large")).addresses[0] for _ in range(100))
        assert list(first.values()) == [25] * 4

    def test_teams_are_isolated(self) -> None:
        """Guards against a flood that reaches the whole shard of most other teams."""
        made = directory_of(12, 4)
        flooded = shard(made, "flood")
        same = sum(shard(made, str(team)) == flooded for team in range(570))
        assert same <= 10

    def test_changed_settings(self) -> None:
        """Guards against shards of an old file."""
        made = directory_of(12, 4)
        assert len(shard(made, "team")) == 4
        directory.apply_settings(made, Directory(shard_size=2, ttl_s=3.0))
        assert directory.answer(made, TeamId("team")).ttl_s == 3.0
        assert len(shard(made, "team")) == 2
