"""Durable state of a replica: identity, log and snapshot in one data folder."""

import contextlib
import errno
import fcntl
import os
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar
from uuid import uuid4

from msgspec import Struct

from lycheefall._control.frames import Frames, frame, read_frames
from lycheefall._core.exceptions import DataFolderUnusable, DiskFull, LogDamaged
from lycheefall._core.ids import Incarnation, InstanceId, Term
from lycheefall._core.messages.consensus import LogEntry, ReplicaId, Snapshot, WriteBatch
from lycheefall._rules.consensus.state import Durable, SaveEntries, SaveSnapshot, SaveVote
from lycheefall._wire.codec import DecodeError, encode
from lycheefall._wire.consensus_codec import decode_batch, decode_identity, decode_snapshot

IDENTITY_FILE = "identity"
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"

# A write beyond the file size limit (EFBIG) is handled like one to a full disk.
_NO_SPACE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})

T = TypeVar("T")

Write = Callable[[int, bytes], int]


class Storage(Struct, eq=False):
    """The open files of a data folder; not safe for concurrent use."""

    folder: Path
    write: Write
    lock_fd: int
    log_fd: int
    # Expected size of the log file; another size means that another process wrote to it.
    log_bytes: int
    term: Term
    vote: ReplicaId | None
    # Whether the log may end with a part of a frame whose write failed.
    has_torn_tail: bool = False


class LoadedState(Struct, frozen=True):
    """Durable state read from a data folder."""

    identity: ReplicaId
    term: Term
    vote: ReplicaId | None
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]
    # Bytes of an interrupted write that were truncated from the log.
    cut_bytes: int


def open_storage(
    folder: Path, instance: InstanceId, write: Write = os.write
) -> tuple[Storage, LoadedState]:
    """Open a data folder; an empty one starts a new incarnation of the instance.

    Raises DataFolderUnusable, LogDamaged or DiskFull.
    """
    lock_fd = _lock(folder)
    try:
        return _open_locked(folder, instance, write, lock_fd)
    except OSError as error:
        os.close(lock_fd)
        raise _storage_error(error, folder) from error
    except BaseException:
        os.close(lock_fd)
        raise


def close_storage(storage: Storage) -> None:
    """Close the files and release the folder."""
    os.close(storage.log_fd)
    os.close(storage.lock_fd)


def save(storage: Storage, items: tuple[Durable, ...]) -> None:
    """Make a batch durable with one sync, or several if it holds a snapshot.

    Raises DiskFull, LogDamaged or DataFolderUnusable; nothing may be acknowledged then.
    """
    try:
        for batch in _split_at_snapshots(items):
            if isinstance(batch, SaveSnapshot):
                _save_snapshot(storage, batch)
            else:
                _save_batch(storage, batch)
    except OSError as error:
        raise _storage_error(error, storage.folder) from error


def _lock(folder: Path) -> int:
    """Create the folder if it is missing, and lock it against other processes."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        lock_fd = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o644)
    except OSError as error:
        raise _storage_error(error, folder) from error
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(lock_fd)
        raise DataFolderUnusable(f"{folder} is in use by another process") from error
    return lock_fd


def _open_locked(
    folder: Path, instance: InstanceId, write: Write, lock_fd: int
) -> tuple[Storage, LoadedState]:
    identity = _read_identity(folder, instance)
    if identity is None:
        identity = _create(folder, instance, write)
    snapshot = _read_snapshot(folder)
    data = _read_log(folder)
    frames = read_frames(data, LOG_FILE)
    if not frames.payloads:
        raise LogDamaged(f"{LOG_FILE} holds no valid frame")
    cut_bytes = len(data) - frames.size_bytes
    log_fd = os.open(folder / LOG_FILE, os.O_RDWR | os.O_APPEND)
    if cut_bytes:
        os.ftruncate(log_fd, frames.size_bytes)
        os.fsync(log_fd)
    last = _decode_frame(frames.payloads[-1])
    entries = _replay(frames, snapshot)
    storage = Storage(folder, write, lock_fd, log_fd, frames.size_bytes, last.term, last.vote)
    return storage, LoadedState(identity, last.term, last.vote, snapshot, entries, cut_bytes)


def _create(folder: Path, instance: InstanceId, write: Write) -> ReplicaId:
    """Create the log before the identity, so that an identity without a log means data loss."""
    if (folder / SNAPSHOT_FILE).exists() or len(read_frames(_read_log(folder), "").payloads) > 1:
        raise LogDamaged(f"{folder} holds a log or a snapshot, but no {IDENTITY_FILE} file")
    identity = ReplicaId(instance, Incarnation(uuid4().hex))
    _replace_file(folder / LOG_FILE, frame(encode(WriteBatch(Term(0), None, ()))), write)
    _replace_file(folder / IDENTITY_FILE, frame(encode(identity)), write)
    return identity


def _read_identity(folder: Path, instance: InstanceId) -> ReplicaId | None:
    path = folder / IDENTITY_FILE
    if not path.exists():
        return None
    identity = _read_single(path, decode_identity)
    if identity.instance != instance:
        detail = f"{folder} belongs to instance {identity.instance}, not to {instance}"
        raise DataFolderUnusable(detail)
    return identity


def _read_snapshot(folder: Path) -> Snapshot | None:
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    return _read_single(path, decode_snapshot)


def _read_single(path: Path, decode: Callable[[bytes], T]) -> T:
    """Read a file that is replaced atomically, so that any damage is a disk fault."""
    data = path.read_bytes()
    frames = read_frames(data, path.name)
    if len(frames.payloads) != 1 or frames.size_bytes != len(data):
        raise LogDamaged(f"{path.name} is damaged")
    try:
        return decode(frames.payloads[0])
    except DecodeError as error:
        raise LogDamaged(f"{path.name} cannot be decoded: {error}") from error


def _read_log(folder: Path) -> bytes:
    path = folder / LOG_FILE
    return path.read_bytes() if path.exists() else b""


def _decode_frame(payload: bytes) -> WriteBatch:
    try:
        return decode_batch(payload)
    except DecodeError as error:
        raise LogDamaged(f"a frame of {LOG_FILE} cannot be decoded: {error}") from error


def _replay(frames: Frames, snapshot: Snapshot | None) -> tuple[LogEntry, ...]:
    """Return the entries after the snapshot, with all replacements applied."""
    entries: list[LogEntry] = []
    for payload in frames.payloads:
        batch = _decode_frame(payload)
        if batch.entries:
            _replace_from(entries, batch.entries)
    base = 0 if snapshot is None else snapshot.index
    if entries and entries[0].index > base + 1:
        raise LogDamaged(f"{LOG_FILE} starts at entry {entries[0].index}, after {base}")
    return _entries_after(entries, snapshot)


def _replace_from(entries: list[LogEntry], replacement: tuple[LogEntry, ...]) -> None:
    """Replace all entries from the index of the first replacement on."""
    first = replacement[0].index
    if not entries or first < entries[0].index:
        entries[:] = replacement
        return
    if first > entries[-1].index + 1:
        raise LogDamaged(f"{LOG_FILE} lacks the entries before {first}")
    del entries[first - entries[0].index :]
    entries.extend(replacement)


def _entries_after(entries: list[LogEntry], snapshot: Snapshot | None) -> tuple[LogEntry, ...]:
    """Return the entries that continue the snapshot."""
    if snapshot is None or not entries:
        return tuple(entries)
    offset = snapshot.index - entries[0].index
    if offset < 0:
        return tuple(entries)
    # A crash between the writes of snapshot and log leaves the old log. Its entries are obsolete if
    # they do not continue the snapshot.
    if offset >= len(entries) or entries[offset].term != snapshot.term:
        return ()
    return tuple(entries[offset + 1 :])


def _split_at_snapshots(items: tuple[Durable, ...]) -> list[SaveSnapshot | tuple[Durable, ...]]:
    """Return each snapshot on its own, and the items between snapshots as batches."""
    batches: list[SaveSnapshot | tuple[Durable, ...]] = []
    batch: list[Durable] = []
    for item in items:
        if isinstance(item, SaveSnapshot):
            if batch:
                batches.append(tuple(batch))
            batch = []
            batches.append(item)
        else:
            batch.append(item)
    if batch:
        batches.append(tuple(batch))
    return batches


def _save_batch(storage: Storage, items: tuple[Durable, ...]) -> None:
    data = frame(encode(_merge(storage, items)))
    _cut_torn_tail(storage)
    size = os.fstat(storage.log_fd).st_size
    if size != storage.log_bytes:
        raise LogDamaged(f"{LOG_FILE} has {size} bytes instead of {storage.log_bytes}")
    _append_all(storage, data)
    storage.log_bytes += len(data)


def _append_all(storage: Storage, data: bytes) -> None:
    """Append to the log and sync it; on failure truncate it to its previous size."""
    try:
        _write_all(storage.write, storage.log_fd, data)
        os.fsync(storage.log_fd)
    except OSError:
        storage.has_torn_tail = True
        # A full disk may refuse this, too; it is repeated before the next write.
        with contextlib.suppress(OSError):
            _cut_torn_tail(storage)
        raise


def _cut_torn_tail(storage: Storage) -> None:
    """Remove what a failed write has left behind the last whole frame."""
    if storage.has_torn_tail:
        os.ftruncate(storage.log_fd, storage.log_bytes)
        storage.has_torn_tail = False


def _merge(storage: Storage, items: tuple[Durable, ...]) -> WriteBatch:
    """Merge all items into one batch.

    A power loss may keep any part of unsynced data. Each sync therefore covers a single frame: of
    two frames, the first could be torn and the second valid.
    """
    entries: list[LogEntry] = []
    for item in items:
        if isinstance(item, SaveVote):
            storage.term, storage.vote = item.term, item.vote
        elif isinstance(item, SaveEntries) and item.entries:
            _replace_from(entries, item.entries)
    return WriteBatch(storage.term, storage.vote, tuple(entries))


def _save_snapshot(storage: Storage, item: SaveSnapshot) -> None:
    """Replace the snapshot, then replace the log with one that starts after it."""
    _replace_file(storage.folder / SNAPSHOT_FILE, frame(encode(item.snapshot)), storage.write)
    data = frame(encode(WriteBatch(storage.term, storage.vote, item.entries)))
    _replace_file(storage.folder / LOG_FILE, data, storage.write)
    os.close(storage.log_fd)
    storage.log_fd = os.open(storage.folder / LOG_FILE, os.O_RDWR | os.O_APPEND)
    storage.log_bytes = len(data)
    storage.has_torn_tail = False


def _replace_file(path: Path, data: bytes, write: Write) -> None:
    """Replace a file atomically, and sync it and its folder."""
    temporary = path.with_suffix(".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        _write_all(write, descriptor, data)
        os.fsync(descriptor)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(write: Write, descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[write(descriptor, bytes(remaining)) :]


def _storage_error(error: OSError, folder: Path) -> DiskFull | DataFolderUnusable:
    if error.errno in _NO_SPACE_ERRNOS:
        return DiskFull(f"{folder}: {error.strerror}")
    return DataFolderUnusable(f"{folder}: {error}")
