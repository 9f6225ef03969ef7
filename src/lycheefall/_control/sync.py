"""Sync filter: makes a batch durable before any part of it is acknowledged."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeGuard

from lycheefall._control.storage import Storage, save
from lycheefall._core.events import Event
from lycheefall._core.exceptions import DiskFull
from lycheefall._core.log import log
from lycheefall._rules.consensus.state import (
    Durable,
    Output,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
)

Sync = Callable[[list[Output]], Awaitable[list[Output]]]


def sync_filter(
    storage: Storage, worker: ThreadPoolExecutor, retry_full_s: float | None = None
) -> Sync:
    """Return a filter that writes the durable outputs, syncs once and returns the other outputs.

    The filter raises DiskFull, LogDamaged or DataFolderUnusable on failure, so that nothing is
    acknowledged. With `retry_full_s` it retries a write to a full disk at this interval in seconds
    instead of raising DiskFull; the replica sends nothing meanwhile.
    """
    loop = asyncio.get_running_loop()

    async def sync(outputs: list[Output]) -> list[Output]:
        durable = tuple(each for each in outputs if _is_durable(each))
        if durable:
            await _save(durable)
        return [each for each in outputs if not _is_durable(each)]

    async def _save(durable: tuple[Durable, ...]) -> None:
        is_full = False
        while True:
            try:
                await loop.run_in_executor(worker, save, storage, durable)
            except DiskFull as error:
                if retry_full_s is None:
                    raise
                if not is_full:
                    log(Event.DISK_FULL, code=int(error.code), detail=error.detail)
                is_full = True
                await asyncio.sleep(retry_full_s)
            else:
                if is_full:
                    log(Event.DISK_HAS_ROOM)
                return

    return sync


def _is_durable(output: Output) -> TypeGuard[Durable]:
    return isinstance(output, SaveVote | SaveEntries | SaveSnapshot)
