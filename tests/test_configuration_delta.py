"""Tests of differences between configurations, and which watchers receive one."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from lycheefall._control.configuration_cache import NO_DIGEST, CachedConfiguration, apply_changes
from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._control.publish import PublishState, changes, update_applied
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Digest, Incarnation, InstanceId, LogIndex, Revision, Term
from lycheefall._core.messages.control import Changes, Insert, Watch
from lycheefall._operate.configuration_file import parse_configuration
from lycheefall._rules.configuration_delta import (
    MAX_BYTES,
    MAX_REVISIONS,
    RecentRevision,
    RecentRevisions,
    add_revision,
    apply_edits,
    delta_for,
    difference,
    size_of,
)
from lycheefall._wire.codec import decode_from_control, encode
from lycheefall._wire.configuration_codec import decode_lines, encode_lines
from processes.fleet import configuration_text

LINES = st.lists(st.binary(max_size=3), max_size=12).map(tuple)
PROPERTY_SETTINGS = settings(max_examples=200, deadline=None, derandomize=True)


def configuration(revision: int) -> Configuration:
    """Return a configuration with one more team than the previous revision."""
    text = configuration_text(revision - 1, 30 + revision)
    return parse_configuration(text, Revision(revision))


def replica(*revisions: int) -> PublishState:
    """Return the state of a leader that has published these revisions."""
    view = ReplicaView(ReplicaRole.LEADER, Term(1), LogIndex(1), None, (), 9.0, 9.0)
    views = [AppliedView(LogIndex(1), configuration(each), 0) for each in revisions]
    state = PublishState(
        instance=InstanceId("a"), process=Incarnation("p"), view=view, applied=views[0]
    )
    for each in views:
        update_applied(state, each)
    return state


def request_changes(state: PublishState, cached: CachedConfiguration) -> Changes:
    """Return the decoded answer to a watching process."""
    watch = Watch(1, cached.revision, Incarnation(""), 0, 0, cached.digest)
    answer = decode_from_control(encode(changes(state, watch, 0.0)))
    assert isinstance(answer, Changes)
    return answer


class TestRule:
    @given(LINES, LINES)
    @PROPERTY_SETTINGS
    def test_difference(self, old: tuple[bytes, ...], new: tuple[bytes, ...]) -> None:
        """Guards against a difference that doesn't produce the new lines."""
        edits = difference(old, new)
        assert apply_edits(old, edits) == new
        inserted = [each for edit in edits if isinstance(edit, Insert) for each in edit.lines]
        assert not set(inserted) & set(old)

    @given(st.lists(st.tuples(st.integers(1, 3), LINES), max_size=80), st.integers(0, 90))
    @PROPERTY_SETTINGS
    def test_delta_for(self, accepted: list[tuple[int, tuple[bytes, ...]]], base: int) -> None:
        """Guards against a difference from an evicted revision, and against a missing difference.

        The oracle is the list of all revisions.
        """
        state, known = RecentRevisions(), {}
        revision = 0
        for step, lines in accepted:
            revision += step
            # Long lines, so that a difference is smaller than the full configuration.
            known[revision] = tuple(line * 100 for line in lines)
            add_revision(state, RecentRevision(Revision(revision), Digest("d"), known[revision]))
        recent = list(known)[-MAX_REVISIONS:]
        delta = delta_for(state, Revision(base), Digest("d"), Revision(revision))
        assert delta_for(state, Revision(base), Digest("e"), Revision(revision)) is None
        if delta is not None:
            assert base in recent
            assert apply_edits(known[base], delta.edits) == known[revision]
            assert len(encode(delta.edits)) < size_of(known[revision])
        elif base in recent:
            edits = difference(known[base], known[revision])
            assert len(encode(edits)) + 20 * (len(known[revision]) + 1) > size_of(known[revision])

    def test_bounded_bytes(self) -> None:
        """Guards against unbounded memory use by recent revisions."""
        state = RecentRevisions()
        for number in range(1, 8):
            add_revision(
                state, RecentRevision(Revision(number), Digest("d"), (bytes(MAX_BYTES // 4),))
            )
        assert list(state.revisions) == [4, 5, 6, 7]
        add_revision(state, RecentRevision(Revision(8), Digest("d"), (bytes(MAX_BYTES + 1),)))
        assert (list(state.revisions), state.total_bytes) == ([], 0)


class TestDelivery:
    def test_codec(self) -> None:
        """Guards against a configuration field missing from the encoded lines."""
        assert decode_lines(encode_lines(configuration(3))) == configuration(3)
        assert decode_lines(encode_lines(Configuration())) == Configuration()

    def test_delta(self) -> None:
        """Guards against a full copy for every change, and against a full copy never being sent."""
        cached, first = apply_changes(
            CachedConfiguration(), request_changes(replica(1), CachedConfiguration())
        )
        assert first.configuration == configuration(1)
        answer = request_changes(replica(1, 2), cached)
        assert answer.delta is not None and answer.configuration is None
        assert len(encode(answer)) < len(encode(first)) / 5
        after, second = apply_changes(cached, answer)
        assert second.configuration == configuration(2)
        assert apply_changes(after, answer) == (after, structs.replace(second, configuration=None))
        # A replica without the base revision, then a watcher with a different digest of it.
        assert request_changes(replica(2), cached).configuration == configuration(2)
        assert (
            request_changes(replica(1, 2), structs.replace(cached, digest=Digest("x"))).delta
            is None
        )

    def test_wrong_digest(self) -> None:
        """Guards against a process using the result of a damaged difference."""
        cached, _ = apply_changes(
            CachedConfiguration(), request_changes(replica(1), CachedConfiguration())
        )
        answer = request_changes(replica(1, 2), cached)
        assert answer.delta is not None
        damaged = structs.replace(answer.delta, edits=answer.delta.edits[1:])
        refused, shown = apply_changes(cached, structs.replace(answer, delta=damaged))
        assert (shown.configuration, refused.revision, refused.digest) == (None, 1, NO_DIGEST)
        _, repaired = apply_changes(refused, request_changes(replica(1, 2), refused))
        assert repaired.configuration == configuration(2)
