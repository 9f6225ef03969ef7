"""Filter that sends orders on weights to the engine, one at a time and in order."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from msgspec import Struct

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import Address
from lycheefall._core.messages.groups import DropWeights, LoadFailed, LoadWeights, WeightsLoaded
from lycheefall._core.pipeline import Inbox

LOAD_PATH = "/experts/load"
DROP_PATH = "/experts/drop"
ORDER_TIMEOUT_S = 60.0
_OK = 200
# The engine refuses an order with an old fencing number.
_CONFLICT = 409

LoadResult = WeightsLoaded | LoadFailed


class LoadOrder(Struct, frozen=True):
    """An order to load, and where its result goes."""

    order: LoadWeights
    reply: asyncio.Future[LoadResult]


Order = LoadOrder | DropWeights


def loader(inbox: Inbox[Order]) -> Callable[[LoadWeights], Awaitable[LoadResult]]:
    """Return a function that has weights loaded and returns the result."""

    async def load(order: LoadWeights) -> LoadResult:
        reply: asyncio.Future[LoadResult] = asyncio.get_running_loop().create_future()
        await inbox.put(LoadOrder(order, reply))
        return await reply

    return load


async def run_orders(inbox: Inbox[Order], engine: Address) -> None:
    """Send orders until cancelled; a drop never overtakes a load, nor a load a drop."""
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
    async with aiohttp.ClientSession(f"http://{engine}", timeout=timeout) as session:
        while True:
            order = await inbox.get()
            if isinstance(order, DropWeights):
                await _post(session, DROP_PATH, order)
            else:
                order.reply.set_result(await _load(session, order.order))


async def _load(session: aiohttp.ClientSession, order: LoadWeights) -> LoadResult:
    status = await _post(session, LOAD_PATH, order)
    if status == _OK:
        return WeightsLoaded(order.experts)
    is_stale = status == _CONFLICT
    code = ResultCode.STALE_FENCING_NUMBER if is_stale else ResultCode.UPSTREAM_ERROR
    return LoadFailed(order.experts, code)


async def _post(
    session: aiohttp.ClientSession, path: str, order: LoadWeights | DropWeights
) -> int | None:
    """Return the status of the answer, or None without one."""
    body = msgspec.json.encode(order_body(order))
    try:
        async with session.post(path, data=body) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None


class OrderBody(Struct, frozen=True):
    """JSON body of an order; a drop needs no fencing number, since it only frees slots."""

    experts: tuple[int, ...]
    fencing: int | None = None


def order_body(order: LoadWeights | DropWeights) -> OrderBody:
    """Return what the engine is sent for an order."""
    if isinstance(order, DropWeights):
        return OrderBody(order.experts)
    return OrderBody(order.experts, order.fencing)
