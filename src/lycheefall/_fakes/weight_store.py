"""A fake of the rate-limited weight store of the platform."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

Fetch = Callable[[int], Awaitable[None]]


class StoreState(Struct):
    """When the store is free again, and what it has delivered."""

    free_at_s: float = 0.0
    delivered_bytes: int = 0


def weight_store(bytes_per_s: float, state: StoreState) -> Fetch:
    """Return a fetch that ends when the store has delivered, one request after another."""

    async def fetch(size_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = max(loop.time(), state.free_at_s)
        state.free_at_s = start_s + size_bytes / bytes_per_s
        await asyncio.sleep(state.free_at_s - loop.time())
        state.delivered_bytes += size_bytes

    return fetch
