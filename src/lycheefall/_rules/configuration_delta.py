"""Differences between configuration revisions, and whether a watcher receives one.

A configuration is a sequence of lines, each of which is one encoded item.
"""

from msgspec import Struct, field

from lycheefall._core.ids import NO_REVISION, Digest, Revision
from lycheefall._core.messages.control import ConfigurationDelta, Copy, Edit, Insert

# Number of revisions that a difference can start from; 17 minutes of changes at the design size.
MAX_REVISIONS = 32
# Upper bound of the total size of the lines of these revisions.
MAX_BYTES = 4 * 1_048_576
# Upper bounds of the bytes that the encoding adds to an edit and to an inserted line.
EDIT_OVERHEAD_BYTES = 16
LINE_OVERHEAD_BYTES = 5

Lines = tuple[bytes, ...]


class RecentRevision(Struct, frozen=True):
    """An accepted revision as lines, with the digest of the configuration."""

    revision: Revision
    digest: Digest
    lines: Lines


class RecentRevisions(Struct, eq=False):
    """Recent revisions in ascending order, and the differences from each to the last one."""

    revisions: dict[Revision, RecentRevision] = field(default_factory=dict)
    last: Revision = NO_REVISION
    total_bytes: int = 0
    # None if the difference is not smaller than the full configuration.
    deltas: dict[Revision, ConfigurationDelta | None] = field(default_factory=dict)


def add_revision(state: RecentRevisions, accepted: RecentRevision) -> RecentRevisions:
    """Add an accepted revision, and evict the oldest ones above the limits of count and bytes."""
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
    """Return the difference from a watcher's revision; None if it needs the full configuration.

    The difference of each pair of revisions is computed once.
    """
    base_revision, current_revision = state.revisions.get(base), state.revisions.get(current)
    if (
        base_revision is None
        or current_revision is None
        or current != state.last
        or base_revision.digest != digest
    ):
        return None
    if base not in state.deltas:
        edits = difference(base_revision.lines, current_revision.lines)
        is_smaller = max_encoded_bytes(edits) < size_of(current_revision.lines)
        delta = ConfigurationDelta(base, current, current_revision.digest, edits)
        state.deltas[base] = delta if is_smaller else None
    return state.deltas[base]


def difference(old: Lines, new: Lines) -> tuple[Edit, ...]:
    """Return the edits, copies of runs of old lines and inserts, that produce the new lines.

    Each run starts at the first equal old line and is as long as possible. A moved block is a
    copy, and the cost is linear in the number of lines.
    """
    positions = {line: position for position, line in reversed(list(enumerate(old)))}
    edits: list[Edit] = []
    inserted: list[bytes] = []
    position = 0
    while position < len(new):
        start = positions.get(new[position])
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
    """Apply edits to the old lines; invalid edits produce wrong lines instead of an error."""
    lines: list[bytes] = []
    for edit in edits:
        match edit:
            case Copy():
                lines += old[edit.start : edit.start + edit.count]
            case Insert():
                lines += edit.lines
    return tuple(lines)


def size_of(lines: Lines) -> int:
    """Return the total size of the lines in bytes."""
    return sum(map(len, lines))


def max_encoded_bytes(edits: tuple[Edit, ...]) -> int:
    """Return an upper bound of the encoded size of edits in bytes."""
    inserted = [line for edit in edits if isinstance(edit, Insert) for line in edit.lines]
    return (
        EDIT_OVERHEAD_BYTES * len(edits)
        + LINE_OVERHEAD_BYTES * len(inserted)
        + size_of(tuple(inserted))
    )


def _run_length(old: Lines, start: int, new: Lines, position: int) -> int:
    end = min(len(old) - start, len(new) - position)
    return next((n for n in range(end) if old[start + n] != new[position + n]), end)
