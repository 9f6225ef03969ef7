"""Filter that sends weight commands to the engine, one at a time and in order."""

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
COMMAND_TIMEOUT_S = 60.0
_OK = 200
# Status of the response to a command with an outdated fencing number.
_CONFLICT = 409

LoadResult = WeightsLoaded | LoadFailed


class LoadCommand(Struct, frozen=True):
    """Command to load weights, with the future for its result."""

    load: LoadWeights
    result: asyncio.Future[LoadResult]


WeightCommand = LoadCommand | DropWeights


def weight_loader(inbox: Inbox[WeightCommand]) -> Callable[[LoadWeights], Awaitable[LoadResult]]:
    """Return a function that queues a load command and returns its result."""

    async def load(command: LoadWeights) -> LoadResult:
        result: asyncio.Future[LoadResult] = asyncio.get_running_loop().create_future()
        await inbox.put(LoadCommand(command, result))
        return await result

    return load


async def run_commands(inbox: Inbox[WeightCommand], engine: Address) -> None:
    """Send commands until cancelled, in queue order: loads and drops never overtake each other."""
    timeout = aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_S)
    async with aiohttp.ClientSession(f"http://{engine}", timeout=timeout) as session:
        while True:
            command = await inbox.get()
            if isinstance(command, DropWeights):
                await _post(session, DROP_PATH, command)
            else:
                command.result.set_result(await _load(session, command.load))


async def _load(session: aiohttp.ClientSession, command: LoadWeights) -> LoadResult:
    status = await _post(session, LOAD_PATH, command)
    if status == _OK:
        return WeightsLoaded(command.experts)
    is_stale = status == _CONFLICT
    code = ResultCode.STALE_FENCING_NUMBER if is_stale else ResultCode.UPSTREAM_ERROR
    return LoadFailed(command.experts, code)


async def _post(
    session: aiohttp.ClientSession, path: str, command: LoadWeights | DropWeights
) -> int | None:
    """Return the HTTP status of the response, or None if there was none."""
    body = msgspec.json.encode(command_body(command))
    try:
        async with session.post(path, data=body) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None


class CommandBody(Struct, frozen=True):
    """JSON body of a command; a drop has no fencing number because it only frees slots."""

    experts: tuple[int, ...]
    fencing: int | None = None


def command_body(command: LoadWeights | DropWeights) -> CommandBody:
    """Return the JSON body for a command."""
    if isinstance(command, DropWeights):
        return CommandBody(command.experts)
    return CommandBody(command.experts, command.fencing)
