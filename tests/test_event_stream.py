"""Tests of passing whole events on."""

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._rules.event_stream import Events, drop_rest, take


def event(number: int) -> bytes:
    """Return one event."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class TestTake:
    @given(st.lists(st.integers(1, 40), max_size=8))
    def test_any_split_of_the_bytes(self, cuts: list[int]) -> None:
        """Guards against half an event, or a lost one, at the border of two reads."""
        whole = b"".join(event(number) for number in range(5))
        state = Events()
        passed = b""
        rest = whole
        for cut in cuts:
            passed += take(state, rest[:cut])
            assert passed == b"" or passed.endswith(b"\n\n")
            rest = rest[cut:]
        passed += take(state, rest)
        assert passed == whole
        assert state.last_id == 4

    def test_resumed_run(self) -> None:
        """Guards against an event that comes twice, and against joining halves of two runs."""
        state = Events()
        assert take(state, event(0) + event(1) + b"id: 2\nda") == event(0) + event(1)
        drop_rest(state)
        assert take(state, event(1) + event(2)) == event(2)

    def test_event_without_id(self) -> None:
        """Guards against an event that is dropped because it has no id."""
        state = Events()
        assert take(state, b": comment\n\n") == b": comment\n\n"
        assert state.last_id is None
