"""Cache of the entry addresses of a team, refreshed when their TTL expires."""

import asyncio
from collections.abc import Sequence

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct

from lycheefall._core.ids import Address, TeamId
from lycheefall._core.pipeline import Inbox

_QUERY_TIMEOUT = ClientTimeout(total=1.0)
# Interval between lookups while no entry answers.
_RETRY_S = 0.25


class Entries(Struct, frozen=True):
    """Answer of GET /v1/entries."""

    addresses: tuple[Address, ...]
    ttl_s: float


class AddressQuery(Struct, frozen=True):
    """Request the cached addresses; the reply is an empty tuple if no entry has ever answered."""

    reply: Inbox[tuple[Address, ...]]


async def run_directory(
    inbox: Inbox[AddressQuery], client: ClientSession, team: TeamId, seeds: Sequence[Address]
) -> None:
    """Answer queries for the addresses of one team; refresh them on a query after they expire."""
    loop = asyncio.get_running_loop()
    addresses: tuple[Address, ...] = ()
    expires_at = loop.time()
    while True:
        query = await inbox.get()
        if loop.time() >= expires_at:
            entries = await _fetch(client, team, (*addresses, *seeds))
            addresses = entries.addresses or addresses
            expires_at = loop.time() + entries.ttl_s
        query.reply.offer(addresses)


async def query_directory(inbox: Inbox[AddressQuery]) -> tuple[Address, ...]:
    """Return the current entry addresses of a team, or an empty tuple if none is known."""
    reply: Inbox[tuple[Address, ...]] = Inbox(1)
    await inbox.put(AddressQuery(reply))
    return await reply.get()


async def _fetch(client: ClientSession, team: TeamId, addresses: Sequence[Address]) -> Entries:
    headers = {"X-Lycheefall-Team": team}
    for address in addresses:
        url = f"http://{address}/v1/entries"
        try:
            async with client.get(url, headers=headers, timeout=_QUERY_TIMEOUT) as response:
                response.raise_for_status()
                return msgspec.json.decode(await response.read(), type=Entries)
        except (ClientError, TimeoutError, msgspec.DecodeError):
            continue
    return Entries((), _RETRY_S)
