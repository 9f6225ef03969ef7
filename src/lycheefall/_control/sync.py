"""Filter that makes a batch durable before anything of it is acknowledged."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeGuard

from lycheefall._control.storage import Storage, save
from lycheefall._rules.consensus.state import (
    Durable,
    Output,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
)

Sync = Callable[[list[Output]], Awaitable[list[Output]]]


def syncing(storage: Storage, worker: ThreadPoolExecutor) -> Sync:
    """Return a filter that writes the durable outputs, syncs once and returns the others.

    It raises DiskFull or LogDamaged instead of returning, so nothing is acknowledged then.
    """
    loop = asyncio.get_running_loop()

    async def sync(outputs: list[Output]) -> list[Output]:
        durable = tuple(each for each in outputs if _is_durable(each))
        if durable:
            await loop.run_in_executor(worker, save, storage, durable)
        return [each for each in outputs if not _is_durable(each)]

    return sync


def _is_durable(output: Output) -> TypeGuard[Durable]:
    return isinstance(output, SaveVote | SaveEntries | SaveSnapshot)
