"""Fake of the platform's rate-limited weight store."""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

# Waits for the transfer of a number of bytes.
Fetch = Callable[[int], Awaitable[None]]


class StoreState(Struct):
    """Time at which the store becomes idle, and the total of the bytes that it delivered."""

    free_at_s: float = 0.0
    delivered_bytes: int = 0


def weight_store(bytes_per_s: float, state: StoreState) -> Fetch:
    """Return a fetch function that waits for its transfer; transfers are serialised."""

    async def fetch(size_bytes: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = max(loop.time(), state.free_at_s)
        state.free_at_s = start_s + size_bytes / bytes_per_s
        await asyncio.sleep(state.free_at_s - loop.time())
        state.delivered_bytes += size_bytes

    return fetch
