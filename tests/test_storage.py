"""Tests of the storage of a control replica."""

import errno
import os
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheefall._control.frames import frame, read_frames
from lycheefall._control.storage import (
    IDENTITY_FILE,
    LOG_FILE,
    SNAPSHOT_FILE,
    LoadedState,
    Storage,
    close_storage,
    open_storage,
    save,
)
from lycheefall._core.exceptions import DataFolderUnusable, DiskFull, LogDamaged
from lycheefall._core.ids import InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import LogEntry, Membership, NoOp, Snapshot
from lycheefall._rules.consensus.state import SaveEntries, SaveSnapshot, SaveVote

NAME = InstanceId("a")


def entry(index: int, term: int = 1) -> LogEntry:
    """Return a no-op entry."""
    return LogEntry(LogIndex(index), Term(term), 0, NoOp())


def entries(first: int, last: int, term: int = 1) -> SaveEntries:
    """Return the entries from `first` to `last`, to be saved."""
    return SaveEntries(tuple(entry(index, term) for index in range(first, last + 1)))


def snapshot(index: int, term: int = 1) -> Snapshot:
    """Return a snapshot of an empty state."""
    return Snapshot(LogIndex(index), Term(term), 0, Membership(0, ()), b"")


def reopen(folder: Path) -> LoadedState:
    """Open a folder, close it and return the loaded state."""
    storage, loaded = open_storage(folder, NAME)
    close_storage(storage)
    return loaded


def write_batches(folder: Path, *batches: SaveEntries | SaveVote | SaveSnapshot) -> None:
    """Save batches, each with its own sync."""
    storage, _ = open_storage(folder, NAME)
    for batch in batches:
        save(storage, (batch,))
    close_storage(storage)


def terms(loaded: LoadedState) -> list[tuple[int, int]]:
    """Return the index and term of each entry."""
    return [(each.index, each.term) for each in loaded.entries]


class TestLog:
    def test_round_trip(self, tmp_path: Path) -> None:
        """Guards against a vote or an entry that is lost in a restart."""
        identity = reopen(tmp_path).identity
        vote = SaveVote(Term(3), identity)
        write_batches(tmp_path, entries(1, 3), vote, entries(2, 2, term=3))
        loaded = reopen(tmp_path)
        assert (loaded.identity, loaded.term, loaded.vote) == (identity, 3, identity)
        assert terms(loaded) == [(1, 1), (2, 3)]

    def test_replacement_in_one_batch(self, tmp_path: Path) -> None:
        """Guards against replaced entries that reappear if a batch holds entries of two leaders."""
        storage, _ = open_storage(tmp_path, NAME)
        save(storage, (entries(1, 3), SaveVote(Term(2), None), entries(2, 2, term=2)))
        close_storage(storage)
        assert terms(reopen(tmp_path)) == [(1, 1), (2, 2)]

    def test_truncated_tail_is_cut(self, tmp_path: Path) -> None:
        """Guards against a replica that fails to start after an interrupted write."""
        write_batches(tmp_path, entries(1, 1), entries(2, 2))
        path = tmp_path / LOG_FILE
        path.write_bytes(path.read_bytes()[:-3])
        loaded = reopen(tmp_path)
        assert terms(loaded) == [(1, 1)]
        assert loaded.cut_bytes > 0
        write_batches(tmp_path, entries(2, 2, term=4))
        assert terms(reopen(tmp_path)) == [(1, 1), (2, 4)]

    def test_damaged_tail_is_cut(self, tmp_path: Path) -> None:
        """Guards against an interrupted write that left corrupt bytes."""
        write_batches(tmp_path, entries(1, 1), entries(2, 2))
        path = tmp_path / LOG_FILE
        data = bytearray(path.read_bytes())
        data[-1] ^= 0xFF
        path.write_bytes(data)
        assert terms(reopen(tmp_path)) == [(1, 1)]

    @pytest.mark.parametrize("fill", [b"\x00" * 8, b"\xff"], ids=["zeroed", "flipped"])
    def test_torn_write_at_any_position(self, tmp_path: Path, fill: bytes) -> None:
        """Guards against two frames under one sync: a torn first frame would stop the replica."""
        write_batches(tmp_path, entries(1, 1))
        synced_bytes = (tmp_path / LOG_FILE).stat().st_size
        storage, _ = open_storage(tmp_path, NAME)
        save(storage, (entries(2, 3), SaveVote(Term(2), None), entries(2, 2, term=2)))
        close_storage(storage)
        content = (tmp_path / LOG_FILE).read_bytes()
        for position in range(synced_bytes, len(content)):
            torn = content[:position] + fill + content[position + len(fill) :]
            (tmp_path / LOG_FILE).write_bytes(torn[: len(content)])
            if torn[: len(content)] != content:
                assert terms(reopen(tmp_path)) == [(1, 1)]

    @pytest.mark.parametrize("distance", [0, 4, 8, 20])
    def test_damage_in_the_middle_stops(self, tmp_path: Path, distance: int) -> None:
        """Guards against truncating acknowledged entries that follow a damaged one."""
        write_batches(tmp_path, entries(1, 1))
        second_frame_offset = (tmp_path / LOG_FILE).stat().st_size
        write_batches(tmp_path, entries(2, 2), entries(3, 3))
        data = bytearray((tmp_path / LOG_FILE).read_bytes())
        data[second_frame_offset + distance] ^= 0xFF
        (tmp_path / LOG_FILE).write_bytes(data)
        with pytest.raises(LogDamaged):
            reopen(tmp_path)

    def test_file_changed_by_another_writer(self, tmp_path: Path) -> None:
        """Guards against appending after bytes that another process wrote."""
        storage, _ = open_storage(tmp_path, NAME)
        with (tmp_path / LOG_FILE).open("ab") as other:
            other.write(b"x")
        with pytest.raises(LogDamaged):
            save(storage, (entries(1, 1),))
        close_storage(storage)


class TestSnapshot:
    def test_snapshot_replaces_entries(self, tmp_path: Path) -> None:
        """Guards against a restart that reads the complete history despite a snapshot."""
        remaining = (entry(3),)
        write_batches(tmp_path, entries(1, 3), SaveSnapshot(snapshot(2), remaining), entries(4, 4))
        loaded = reopen(tmp_path)
        assert loaded.snapshot == snapshot(2)
        assert terms(loaded) == [(3, 1), (4, 1)]

    def test_crash_between_snapshot_and_log(self, tmp_path: Path) -> None:
        """Guards against loading old log entries that do not continue the installed snapshot."""
        write_batches(tmp_path, entries(1, 5))
        old = (tmp_path / LOG_FILE).read_bytes()
        write_batches(tmp_path, SaveSnapshot(snapshot(3, term=2), ()))
        (tmp_path / LOG_FILE).write_bytes(old)
        assert terms(reopen(tmp_path)) == []

    def test_lost_snapshot_stops(self, tmp_path: Path) -> None:
        """Guards against a start without the entries that a lost snapshot covered."""
        write_batches(tmp_path, entries(1, 3), SaveSnapshot(snapshot(2), (entry(3),)))
        (tmp_path / SNAPSHOT_FILE).unlink()
        with pytest.raises(LogDamaged):
            reopen(tmp_path)

    def test_damaged_snapshot_stops(self, tmp_path: Path) -> None:
        """Guards against a state machine that is restored from a damaged snapshot."""
        write_batches(tmp_path, entries(1, 3), SaveSnapshot(snapshot(3), ()))
        path = tmp_path / SNAPSHOT_FILE
        path.write_bytes(path.read_bytes()[:-1])
        with pytest.raises(LogDamaged):
            reopen(tmp_path)


class TestIdentity:
    def test_empty_folder_is_a_new_incarnation(self, tmp_path: Path) -> None:
        """Guards against a replica that lost its disk and continues under its old identity."""
        first = reopen(tmp_path / "one").identity
        second = reopen(tmp_path / "two").identity
        assert first.instance == second.instance
        assert first.incarnation != second.incarnation

    @pytest.mark.parametrize("lost", [LOG_FILE, IDENTITY_FILE])
    def test_missing_file(self, tmp_path: Path, lost: str) -> None:
        """Guards against a replica that starts although its log or its identity is lost."""
        write_batches(tmp_path, entries(1, 2))
        (tmp_path / lost).unlink()
        with pytest.raises(LogDamaged):
            reopen(tmp_path)

    def test_folder_of_another_instance(self, tmp_path: Path) -> None:
        """Guards against an instance that opens the folder of another instance."""
        reopen(tmp_path)
        with pytest.raises(DataFolderUnusable):
            open_storage(tmp_path, InstanceId("b"))

    def test_folder_in_use(self, tmp_path: Path) -> None:
        """Guards against two processes that write to the same log."""
        storage, _ = open_storage(tmp_path, NAME)
        with pytest.raises(DataFolderUnusable):
            open_storage(tmp_path, NAME)
        close_storage(storage)

    def test_folder_is_a_file(self, tmp_path: Path) -> None:
        """Guards against an error without a code if the data folder is a file."""
        (tmp_path / "file").write_bytes(b"")
        with pytest.raises(DataFolderUnusable):
            reopen(tmp_path / "file")


class TestFullDisk:
    def test_batch_is_not_acknowledged(self, tmp_path: Path) -> None:
        """Guards against an entry that is acknowledged after a partial write."""
        remaining_bytes = 20

        def write(descriptor: int, data: bytes) -> int:
            nonlocal remaining_bytes
            if remaining_bytes == 0:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            count = min(remaining_bytes, len(data))
            remaining_bytes -= count
            return os.write(descriptor, data[:count])

        write_batches(tmp_path, entries(1, 1))
        storage: Storage
        storage, _ = open_storage(tmp_path, NAME, write)
        for _ in range(2):
            with pytest.raises(DiskFull):
                save(storage, (entries(2, 2),))
        close_storage(storage)
        assert terms(reopen(tmp_path)) == [(1, 1)]

    def test_continues_after_space_is_freed(self, tmp_path: Path) -> None:
        """Guards against part of a failed write that remains before the next frame."""
        free_bytes = 20

        def write(descriptor: int, data: bytes) -> int:
            nonlocal free_bytes
            if free_bytes == 0:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            count = min(free_bytes, len(data))
            free_bytes -= count
            return os.write(descriptor, data[:count])

        write_batches(tmp_path, entries(1, 1))
        storage, _ = open_storage(tmp_path, NAME, write)
        with pytest.raises(DiskFull):
            save(storage, (entries(2, 2),))
        free_bytes = 10_000
        save(storage, (entries(2, 2), SaveVote(Term(4), None)))
        close_storage(storage)
        loaded = reopen(tmp_path)
        assert (terms(loaded), loaded.term, loaded.cut_bytes) == ([(1, 1), (2, 1)], 4, 0)

    def test_full_disk_refuses_to_cut_the_log(self, tmp_path: Path) -> None:
        """Guards against a replica that ends once there is room, as its log has an odd size."""
        is_full = True

        def write(descriptor: int, data: bytes) -> int:
            if is_full:
                os.write(descriptor, data[:7])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return os.write(descriptor, data)

        def refuse(descriptor: int, length: int) -> None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        write_batches(tmp_path, entries(1, 1))
        storage, _ = open_storage(tmp_path, NAME, write)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(os, "ftruncate", refuse)
            for _ in range(2):
                with pytest.raises(DiskFull):
                    save(storage, (entries(2, 2),))
        is_full = False
        save(storage, (entries(2, 2), SaveVote(Term(4), None)))
        close_storage(storage)
        loaded = reopen(tmp_path)
        assert (terms(loaded), loaded.term, loaded.cut_bytes) == ([(1, 1), (2, 1)], 4, 0)

    def test_failed_snapshot_leaves_no_file(self, tmp_path: Path) -> None:
        """Guards against a temporary file that keeps the disk full after a failed write."""

        def write(descriptor: int, data: bytes) -> int:
            if len(data) > 100:
                os.write(descriptor, data[:50])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return os.write(descriptor, data)

        storage, _ = open_storage(tmp_path, NAME, write)
        before = sorted(each.name for each in tmp_path.iterdir())
        large = Snapshot(LogIndex(1), Term(1), 0, Membership(0, ()), b"x" * 200)
        with pytest.raises(DiskFull):
            save(storage, (SaveSnapshot(large, ()),))
        close_storage(storage)
        assert sorted(each.name for each in tmp_path.iterdir()) == before


class TestFrames:
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.binary(max_size=40), min_size=1, max_size=5), st.data())
    def test_any_truncation(self, payloads: list[bytes], data: st.DataObject) -> None:
        """Guards against a truncation that removes more than the interrupted frame."""
        frames = [frame(each) for each in payloads]
        content = b"".join(frames)
        size = data.draw(st.integers(0, len(content)))
        frames_read = read_frames(content[:size], "log")
        complete = 0
        while sum(map(len, frames[: complete + 1])) <= size and complete < len(frames):
            complete += 1
        assert list(frames_read.payloads) == payloads[:complete]

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(st.binary(max_size=40), min_size=2, max_size=5), st.data())
    def test_any_damage_before_the_last_frame(
        self, payloads: list[bytes], data: st.DataObject
    ) -> None:
        """Guards against damage before the last frame that passes as a damaged tail."""
        frames = [frame(each) for each in payloads]
        content = bytearray(b"".join(frames))
        position = data.draw(st.integers(0, len(content) - len(frames[-1]) - 1))
        content[position] ^= data.draw(st.integers(1, 255))
        with pytest.raises(LogDamaged):
            read_frames(bytes(content), "log")
