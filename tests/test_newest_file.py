"""Tests of the file with the highest number."""

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Revision
from lycheefall._core.messages.control import StoreFile
from lycheefall._rules.replicated.newest_file import NewestFile, apply

commands = st.lists(st.builds(StoreFile, st.integers(1, 6).map(Revision), st.binary(max_size=2)))


class TestApply:
    @given(commands)
    def test_against_an_oracle(self, sent: list[StoreFile]) -> None:
        """Guards against a lower number, or other content under a number, in force."""
        held = NewestFile()
        first: dict[int, bytes] = {}
        for command in sent:
            before = held.number
            held, result = apply(held, command)
            assert result.code is ResultCode.OK
            assert result.revision == held.number == max(before, command.revision)
            if command.revision > before:
                first[command.revision] = command.packed
            assert held.packed == first[held.number]
