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
    """Return an entry."""
    return EntryMember(
        instance=InstanceId(f"entry{number}"),
        data_centre=DataCentreId("here"),
        address=Address(f"127.0.0.1:{number}"),
        announce_address=Address("127.0.0.1:1"),
        incarnation=Incarnation("1"),
        state=state,
    )


def directory_of(count: int, shard_size: int) -> EntryDirectory:
    """Return a directory of ready entries."""
    directory_state = EntryDirectory(Directory(shard_size=shard_size, ttl_s=7.0))
    return directory.replace_entries(directory_state, [entry(number) for number in range(count)])


def shard(state: EntryDirectory, team: str) -> set[Address]:
    """Return the addresses of the entries in a team's shard."""
    return set(directory.answer(state, TeamId(team)).addresses)


class TestDirectory:
    @given(st.lists(STATES, max_size=12), st.integers(0, 6), st.integers(1, 5))
    def test_ready_entries_only(
        self, states: list[MemberState], shard_size: int, answers: int
    ) -> None:
        """Guards against directing callers to draining or unavailable entries."""
        directory_state = directory_of(12, shard_size)
        directory.answer(directory_state, TeamId("team"))
        members = [entry(number, state) for number, state in enumerate(states)]
        directory.replace_entries(directory_state, members)
        ready = {each.address for each in members if each.state is MemberState.READY}
        for _ in range(answers):
            addresses = directory.answer(directory_state, TeamId("team")).addresses
            assert set(addresses) <= ready
            assert (
                len(addresses) == len(set(addresses)) == min(len(ready), shard_size or len(ready))
            )

    def test_shards_are_stable(self) -> None:
        """Guards against teams losing their fairness state when an unrelated entry leaves."""
        directory_state = directory_of(12, 4)
        before = {str(number): shard(directory_state, str(number)) for number in range(570)}
        directory.replace_entries(directory_state, [entry(number) for number in range(1, 12)])
        departed = Address("127.0.0.1:0")
        for team, old in before.items():
            assert old - {departed} <= shard(directory_state, team)

    def test_teams_are_spread_over_entries(self) -> None:
        """Guards against an entry with many more teams than others, or one that is always first."""
        directory_state = directory_of(10, 4)
        teams_by_entry = Counter(
            each for team in range(570) for each in shard(directory_state, str(team))
        )
        assert max(teams_by_entry.values()) <= 1.25 * min(teams_by_entry.values())
        first = Counter(
            directory.answer(directory_state, TeamId("large")).addresses[0] for _ in range(100)
        )
        assert list(first.values()) == [25] * 4

    def test_teams_are_isolated(self) -> None:
        """Guards against a flood affecting the entire shard of many other teams."""
        directory_state = directory_of(12, 4)
        flooded = shard(directory_state, "flood")
        identical = sum(shard(directory_state, str(team)) == flooded for team in range(570))
        assert identical <= 10

    def test_new_settings_discard_cached_shards(self) -> None:
        """Guards against cached shards surviving a change of settings."""
        directory_state = directory_of(12, 4)
        assert len(shard(directory_state, "team")) == 4
        directory.apply_settings(directory_state, Directory(shard_size=2, ttl_s=3.0))
        assert directory.answer(directory_state, TeamId("team")).ttl_s == 3.0
        assert len(shard(directory_state, "team")) == 2
