"""Asks which entries a team is to use, and keeps each answer for the time that it states."""

import asyncio
from collections.abc import Sequence

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct

from lycheefall._core.ids import Address, TeamId
from lycheefall._core.pipeline import Inbox

_QUERY_TIMEOUT = ClientTimeout(total=1.0)
# A caller that found no entry asks again after this time.
_RETRY_S = 0.25


class Entries(Struct, frozen=True):
    """Answer of GET /v1/entries."""

    addresses: tuple[Address, ...]
    ttl_s: float


class AddressQuery(Struct, frozen=True):
    """Ask for the addresses; the reply takes an empty tuple when no entry answers."""

    reply: Inbox[tuple[Address, ...]]


async def run_directory(
    inbox: Inbox[AddressQuery], client: ClientSession, team: TeamId, seeds: Sequence[Address]
) -> None:
    """Own the answer for one team, and renew it when it is asked for after its time."""
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
    """Return the addresses that a team is to use now."""
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
