"""Tests of splitting an event stream into whole events."""

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._rules.event_stream import EventBuffer, discard_partial, feed


def event(number: int) -> bytes:
    """Return one event."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


class TestFeed:
    @given(st.lists(st.integers(1, 40), max_size=8))
    def test_any_split_of_the_bytes(self, cuts: list[int]) -> None:
        """Guards against a partial or lost event at the boundary of two reads."""
        whole = b"".join(event(number) for number in range(5))
        state = EventBuffer()
        passed = b""
        rest = whole
        for cut in cuts:
            passed += feed(state, rest[:cut])
            assert passed == b"" or passed.endswith(b"\n\n")
            rest = rest[cut:]
        passed += feed(state, rest)
        assert passed == whole
        assert state.last_id == 4

    def test_resumed_run(self) -> None:
        """Guards against a duplicate event, and against joining partial events of two runs."""
        state = EventBuffer()
        assert feed(state, event(0) + event(1) + b"id: 2\nda") == event(0) + event(1)
        discard_partial(state)
        assert feed(state, event(1) + event(2)) == event(2)

    def test_event_without_id(self) -> None:
        """Guards against an event that is dropped because it has no id."""
        state = EventBuffer()
        assert feed(state, b": comment\n\n") == b": comment\n\n"
        assert state.last_id is None
