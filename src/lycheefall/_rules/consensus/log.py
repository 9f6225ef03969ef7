"""The part of the replicated log that follows the latest snapshot."""

from msgspec import Struct, field

from lycheefall._core.ids import LogIndex, Term
from lycheefall._core.messages.consensus import LogEntry, Membership, Snapshot
from lycheefall._core.messages.control import ApplyFile, StoreFile

# Limits of one AppendEntries message. Larger ones would delay the heartbeats queued behind them.
BATCH_ENTRIES = 256
BATCH_BYTES = 1_048_576
# Assumed size of an entry without a file.
_SMALL_ENTRY_BYTES = 512


class Log(Struct, eq=False):
    """Entries after a snapshot, and the latest membership among them."""

    # Position and timestamp of the last entry that the snapshot covers; 0 without a snapshot.
    base_index: LogIndex
    base_term: Term
    base_timestamp_ms: int
    snapshot: Snapshot | None
    entries: list[LogEntry] = field(default_factory=list)
    membership: Membership | None = None
    membership_index: LogIndex = LogIndex(0)


def empty_log() -> Log:
    """Return a log without a snapshot and entries."""
    return Log(LogIndex(0), Term(0), 0, None)


def log_from_snapshot(snapshot: Snapshot, entries: list[LogEntry]) -> Log:
    """Return the log that starts after a snapshot."""
    log = Log(snapshot.index, snapshot.term, snapshot.timestamp_ms, snapshot, entries)
    _find_membership(log)
    return log


def load_log(snapshot: Snapshot | None, entries: list[LogEntry]) -> Log:
    """Return the log for a snapshot and entries read from disk."""
    if snapshot is not None:
        return log_from_snapshot(snapshot, entries)
    log = empty_log()
    append(log, entries)
    return log


def last_index(log: Log) -> LogIndex:
    """Return the index of the last entry."""
    return log.entries[-1].index if log.entries else log.base_index


def last_term(log: Log) -> Term:
    """Return the term of the last entry."""
    return log.entries[-1].term if log.entries else log.base_term


def last_timestamp_ms(log: Log) -> int:
    """Return the timestamp of the last entry, in milliseconds."""
    return log.entries[-1].timestamp_ms if log.entries else log.base_timestamp_ms


def term_at(log: Log, index: LogIndex) -> Term | None:
    """Return the term of an entry, or None if the log doesn't contain it."""
    if index == log.base_index:
        return log.base_term
    if index < log.base_index or index > last_index(log):
        return None
    return log.entries[index - log.base_index - 1].term


def entries_between(log: Log, first: int, last: int) -> tuple[LogEntry, ...]:
    """Return the entries from index `first` to `last`, both inclusive."""
    offset = log.base_index + 1
    return tuple(log.entries[max(first - offset, 0) : max(last - offset + 1, 0)])


def batch_from(log: Log, first: int) -> tuple[LogEntry, ...]:
    """Return the entries from index `first` on that fit in one message."""
    candidates = entries_between(log, first, first + BATCH_ENTRIES - 1)
    size_bytes = 0
    for count, entry in enumerate(candidates):
        size_bytes += entry_bytes(entry)
        if count > 0 and size_bytes > BATCH_BYTES:
            return candidates[:count]
    return candidates


def append(log: Log, entries: list[LogEntry] | tuple[LogEntry, ...]) -> None:
    """Append entries and record the latest membership among them."""
    log.entries.extend(entries)
    for entry in entries:
        if isinstance(entry.payload, Membership):
            log.membership = entry.payload
            log.membership_index = entry.index


def truncate_from(log: Log, index: int) -> None:
    """Remove an entry and all that follow it."""
    del log.entries[index - log.base_index - 1 :]
    if log.membership_index >= index:
        _find_membership(log)


def _find_membership(log: Log) -> None:
    log.membership = None if log.snapshot is None else log.snapshot.membership
    log.membership_index = log.base_index
    for entry in log.entries:
        if isinstance(entry.payload, Membership):
            log.membership = entry.payload
            log.membership_index = entry.index


def entry_bytes(entry: LogEntry) -> int:
    """Estimate the size of an entry in bytes."""
    match getattr(entry.payload, "command", None):
        case ApplyFile(text=text):
            return len(text)
        case StoreFile(packed=packed):
            return len(packed) + _SMALL_ENTRY_BYTES
    return _SMALL_ENTRY_BYTES
