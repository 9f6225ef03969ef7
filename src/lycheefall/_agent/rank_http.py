"""HTTP interface of the agent for the runtime of its rank.

POST /steps/{n}/enter returns the expert map of the step, or 409 while the rank may not enter it.
POST /steps/{n}/done accepts the work that the rank did in the step.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import msgspec
from aiohttp import web
from msgspec import Struct

from lycheefall._agent.group import StepReply
from lycheefall._core.exceptions import PortInUse
from lycheefall._core.ids import Address, MapEpoch, StepNumber
from lycheefall._core.messages.groups import EnterStep, Placement, StepDone, StepEntered
from lycheefall._core.pipeline import Inbox
from lycheefall._rules.rank_steps import RankInput

REPLY_INBOX_MESSAGES = 16
ENTER_TIMEOUT_S = 1.0
MAX_STEP_DIGITS = 18

Handler = Callable[[web.Request], Awaitable[web.Response]]


class StepMap(Struct, frozen=True):
    """JSON response to a rank that may enter a step."""

    step: StepNumber
    epoch: MapEpoch
    # Ranks with a replica of the expert, for each expert.
    placement: Placement


class StepWork(Struct, frozen=True):
    """JSON body with the work that a rank did in a step."""

    # Number of tokens that the rank computed, for each expert.
    expert_tokens: tuple[float, ...]
    busy_s: float


@asynccontextmanager
async def serve_step_api(
    listen: Address, inbox: Inbox[RankInput], replies: Inbox[StepReply]
) -> AsyncIterator[None]:
    """Serve the runtime of the rank; raise PortInUse if the address is in use."""
    app = web.Application()
    app.router.add_post("/steps/{step}/enter", _enter_handler(inbox, replies))
    app.router.add_post("/steps/{step}/done", _done_handler(inbox))
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        host, _, port = listen.rpartition(":")
        try:
            await web.TCPSite(runner, host, int(port)).start()
        except OSError as error:
            raise PortInUse(f"can't listen on {listen}: {error}") from error
        yield
    finally:
        await runner.cleanup()


def _enter_handler(inbox: Inbox[RankInput], replies: Inbox[StepReply]) -> Handler:
    # A rank enters one step at a time. Without the lock, a request that its runtime abandoned could
    # consume the reply to the next one.
    lock = asyncio.Lock()

    async def handle(request: web.Request) -> web.Response:
        number = _step_number(request)
        if number is None:
            return _json_response({"error": "the step is not a number"}, 400)
        async with lock:
            result = await _wait_for_reply(inbox, replies, number)
        if isinstance(result, StepEntered):
            return _json_response(StepMap(result.step, result.epoch, result.placement), 200)
        return _json_response({"step": number}, 409)

    return handle


async def _wait_for_reply(
    inbox: Inbox[RankInput], replies: Inbox[StepReply], number: StepNumber
) -> StepReply | None:
    try:
        async with asyncio.timeout(ENTER_TIMEOUT_S):
            await inbox.put(EnterStep(number))
            while True:
                result = await replies.get()
                if result.step == number:
                    return result
    except TimeoutError:
        return None


def _done_handler(inbox: Inbox[RankInput]) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        number = _step_number(request)
        if number is None:
            return _json_response({"error": "the step is not a number"}, 400)
        try:
            work = msgspec.json.decode(await request.read(), type=StepWork)
        except msgspec.DecodeError as error:
            return _json_response({"error": str(error)}, 400)
        await inbox.put(StepDone(number, work.expert_tokens, work.busy_s))
        return _json_response({"step": number}, 200)

    return handle


def _step_number(request: web.Request) -> StepNumber | None:
    text = request.match_info["step"]
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_STEP_DIGITS
    return StepNumber(int(text)) if is_number else None


def _json_response(content: object, status: int) -> web.Response:
    body = msgspec.json.encode(content)
    return web.Response(body=body, status=status, content_type="application/json")
