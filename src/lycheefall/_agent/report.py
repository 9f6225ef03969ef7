"""Read the load that the upstream reports."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec
from msgspec import Struct

from lycheefall._agent.messages import LoadRead, UpstreamSilent
from lycheefall._core.ids import Address
from lycheefall._core.messages.membership import Load

LOAD_PERIOD_S = 0.2
LOAD_TIMEOUT_S = 0.5


class LoadBody(Struct, frozen=True):
    """Answer of an upstream to the load query."""

    running: int = 0
    waiting: int = 0
    queue_tokens: int = 0
    kv_used_ratio: float = 0.0
    age_s: float = 0.0


_decode = msgspec.json.Decoder(LoadBody).decode


async def report_load(
    upstream: Address, deliver: Callable[[LoadRead | UpstreamSilent], object]
) -> None:
    """Query the load once a period and deliver it."""
    timeout = aiohttp.ClientTimeout(total=LOAD_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            deliver(await _query(session, upstream))
            await asyncio.sleep(LOAD_PERIOD_S)


async def _query(session: aiohttp.ClientSession, upstream: Address) -> LoadRead | UpstreamSilent:
    try:
        async with session.get(f"http://{upstream}/load") as response:
            body = _decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return UpstreamSilent()
    return LoadRead(
        Load(body.running, body.waiting, body.queue_tokens, body.kv_used_ratio, body.age_s)
    )
