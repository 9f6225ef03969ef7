"""Tests of the stored file with the highest number."""

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
        """Guards against storing a lower number, or replacing the content of a number."""
        stored = NewestFile()
        first: dict[int, bytes] = {}
        for command in sent:
            before = stored.number
            stored, result = apply(stored, command)
            assert result.code is ResultCode.OK
            assert result.revision == stored.number == max(before, command.revision)
            if command.revision > before:
                first[command.revision] = command.packed
            assert stored.packed == first[stored.number]
