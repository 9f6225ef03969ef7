"""Poll the load of the upstream over HTTP."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from msgspec import Struct

from lycheefall._agent.messages import LoadQueryFailed, LoadRead
from lycheefall._core.ids import Address
from lycheefall._core.messages.membership import Load

LOAD_PERIOD_S = 0.2
LOAD_TIMEOUT_S = 0.5


class LoadBody(Struct, frozen=True):
    """JSON response of an upstream to a load query."""

    running: int = 0
    waiting: int = 0
    queue_tokens: int = 0
    kv_used_ratio: float = 0.0
    age_s: float = 0.0


_decode = msgspec.json.Decoder(LoadBody).decode


async def poll_load(
    upstream: Address, deliver: Callable[[LoadRead | LoadQueryFailed], object]
) -> None:
    """Query the load every LOAD_PERIOD_S seconds until cancelled and deliver each result."""
    timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            deliver(await _query(session, upstream))
            await asyncio.sleep(LOAD_PERIOD_S)


async def _query(session: aiohttp.ClientSession, upstream: Address) -> LoadRead | LoadQueryFailed:
    try:
        async with session.get(f"http://{upstream}/load") as response:
            body = _decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return LoadQueryFailed()
    return LoadRead(
        Load(body.running, body.waiting, body.queue_tokens, body.kv_used_ratio, body.age_s)
    )
