"""Which form of a configuration a watcher is sent, and the difference between two revisions.

A configuration is a list of lines here, each of which is one encoded item.
"""

from msgspec import Struct, field

from lycheefall._core.ids import NO_REVISION, Digest, Revision
from lycheefall._core.messages.control import ConfigurationDelta, Copy, Edit, Insert

# Revisions that differences are made against; 17 minutes of changes at the size to design for.
MAX_REVISIONS = 32
MAX_BYTES = 4 * 1_048_576
# Upper bounds of what an edit and a line take in a message beside their content.
EDIT_BYTES = 16
LINE_BYTES = 5

Lines = tuple[bytes, ...]


class RecentRevision(Struct, frozen=True):
    """An accepted configuration as lines, with their digest."""

    revision: Revision
    digest: Digest
    lines: Lines


class RecentRevisions(Struct, eq=False):
    """Recent revisions in rising order, and the differences of the last one against them."""

    revisions: dict[Revision, RecentRevision] = field(default_factory=dict)
    last: Revision = NO_REVISION
    total_bytes: int = 0
    # None where the difference is not smaller than the whole.
    deltas: dict[Revision, ConfigurationDelta | None] = field(default_factory=dict)


def add_revision(state: RecentRevisions, accepted: RecentRevision) -> RecentRevisions:
    """Keep an accepted revision, and drop the oldest ones that are too many or too large."""
    if accepted.revision <= state.last:
        return state
    state.revisions[accepted.revision] = accepted
    state.last = accepted.revision
    state.total_bytes += size_of(accepted.lines)
    state.deltas.clear()
    while len(state.revisions) > MAX_REVISIONS or state.total_bytes > MAX_BYTES:
        dropped = state.revisions.pop(next(iter(state.revisions)))
        state.total_bytes -= size_of(dropped.lines)
    return state


def delta_for(
    state: RecentRevisions, base: Revision, digest: Digest, current: Revision
) -> ConfigurationDelta | None:
    """Return the difference to send to a holder of a revision; None asks for the whole.

    It is computed once for each pair of revisions.
    """
    held, wanted = state.revisions.get(base), state.revisions.get(current)
    if held is None or wanted is None or current != state.last or held.digest != digest:
        return None
    if base not in state.deltas:
        edits = difference(held.lines, wanted.lines)
        is_smaller = sent_bytes(edits) < size_of(wanted.lines)
        delta = ConfigurationDelta(base, current, wanted.digest, edits)
        state.deltas[base] = delta if is_smaller else None
    return state.deltas[base]


def difference(old: Lines, new: Lines) -> tuple[Edit, ...]:
    """Return copies of runs of old lines, and lines to insert, that give the new lines.

    Each run begins at the first equal old line and is as long as possible. A block that moved is
    a copy, and the cost grows with the number of lines only.
    """
    places = {line: position for position, line in reversed(list(enumerate(old)))}
    edits: list[Edit] = []
    inserted: list[bytes] = []
    position = 0
    while position < len(new):
        start = places.get(new[position])
        if start is None:
            inserted.append(new[position])
            position += 1
            continue
        if inserted:
            edits.append(Insert(tuple(inserted)))
            inserted = []
        count = _run_length(old, start, new, position)
        edits.append(Copy(start, count))
        position += count
    if inserted:
        edits.append(Insert(tuple(inserted)))
    return tuple(edits)


def apply_edits(old: Lines, edits: tuple[Edit, ...]) -> Lines:
    """Return what the edits make of the old lines; wrong edits give other lines, and no error."""
    lines: list[bytes] = []
    for edit in edits:
        match edit:
            case Copy():
                lines += old[edit.start : edit.start + edit.count]
            case Insert():
                lines += edit.lines
    return tuple(lines)


def size_of(lines: Lines) -> int:
    """Return the bytes of the lines."""
    return sum(map(len, lines))


def sent_bytes(edits: tuple[Edit, ...]) -> int:
    """Return a bound of the bytes that edits take in a message."""
    inserted = [line for edit in edits if isinstance(edit, Insert) for line in edit.lines]
    return EDIT_BYTES * len(edits) + LINE_BYTES * len(inserted) + size_of(tuple(inserted))


def _run_length(old: Lines, start: int, new: Lines, position: int) -> int:
    end = min(len(old) - start, len(new) - position)
    return next((n for n in range(end) if old[start + n] != new[position + n]), end)
