"""Tests of the sync filter."""

import errno
import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from lycheefall._control.storage import close_storage, open_storage
from lycheefall._control.sync import sync_filter
from lycheefall._core.exceptions import DiskFull
from lycheefall._core.ids import Address, InstanceId, LogIndex, Term
from lycheefall._core.messages.consensus import AppendReply, LogEntry, NoOp, Replica
from lycheefall._rules.consensus.state import Output, SaveEntries, Send


def batch(folder: Path) -> list[Output]:
    """Return an acknowledgement followed by the entry that it acknowledges."""
    storage, loaded = open_storage(folder, InstanceId("a"))
    close_storage(storage)
    replica = Replica(loaded.identity, Address(""), Address(""))
    acknowledgement = AppendReply(replica, replica.id, Term(1), True, LogIndex(1), 0.0)
    entry = LogEntry(LogIndex(1), Term(1), 0, NoOp())
    return [Send(replica, acknowledgement), SaveEntries((entry,))]


class TestSync:
    async def test_acknowledgement_after_the_sync(self, tmp_path: Path) -> None:
        """Guards against an acknowledgement that is sent before its entry is on disk."""
        outputs = batch(tmp_path)
        storage, _ = open_storage(tmp_path, InstanceId("a"))
        with ThreadPoolExecutor(1) as worker:
            assert await sync_filter(storage, worker)(outputs) == outputs[:1]
        close_storage(storage)
        storage, loaded = open_storage(tmp_path, InstanceId("a"))
        close_storage(storage)
        assert len(loaded.entries) == 1

    async def test_full_disk(self, tmp_path: Path) -> None:
        """Guards against an acknowledgement of an entry that did not fit on the disk."""

        def write(descriptor: int, data: bytes) -> int:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        outputs = batch(tmp_path)
        storage, _ = open_storage(tmp_path, InstanceId("a"), write)
        with ThreadPoolExecutor(1) as worker, pytest.raises(DiskFull):
            await sync_filter(storage, worker)(outputs)
        close_storage(storage)

    async def test_retries_on_full_disk(self, tmp_path: Path) -> None:
        """Guards against a replica that stops repeatedly while its disk is full."""
        is_full = True

        def write(descriptor: int, data: bytes) -> int:
            nonlocal is_full
            if is_full:
                is_full = False
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return os.write(descriptor, data)

        outputs = batch(tmp_path)
        storage, _ = open_storage(tmp_path, InstanceId("a"), write)
        with ThreadPoolExecutor(1) as worker:
            assert await sync_filter(storage, worker, retry_full_s=0.01)(outputs) == outputs[:1]
        close_storage(storage)
        storage, loaded = open_storage(tmp_path, InstanceId("a"))
        close_storage(storage)
        assert len(loaded.entries) == 1
