"""HTTP interface of the agent for the runtime of its rank.

POST /steps/{n}/enter is answered with the map of the step, or with 409 while it may not be
entered; POST /steps/{n}/done takes what the rank computed.
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

ANSWERS = 16
ENTER_TIMEOUT_S = 1.0
HIGHEST_STEP_DIGITS = 18

Handler = Callable[[web.Request], Awaitable[web.Response]]


class StepMap(Struct, frozen=True):
    """JSON answer to a rank that may enter a step."""

    step: StepNumber
    epoch: MapEpoch
    # For each expert, the ranks that hold a replica of it.
    placement: Placement


class StepWork(Struct, frozen=True):
    """JSON body by which a rank tells what it computed in a step."""

    # Tokens that the rank computed for each expert.
    expert_tokens: tuple[float, ...]
    busy_s: float


@asynccontextmanager
async def serve_steps(
    listen: Address, inbox: Inbox[RankInput], answers: Inbox[StepReply]
) -> AsyncIterator[None]:
    """Serve the runtime of the rank; raise PortInUse if the address is taken."""
    app = web.Application()
    app.router.add_post("/steps/{step}/enter", _enter_handler(inbox, answers))
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


def _enter_handler(inbox: Inbox[RankInput], answers: Inbox[StepReply]) -> Handler:
    # A rank enters one step at a time; a request that its runtime gave up must not take the
    # answer of the next one.
    turn = asyncio.Lock()

    async def handle(request: web.Request) -> web.Response:
        number = _step_of(request)
        if number is None:
            return _json({"error": "the step is not a number"}, 400)
        async with turn:
            result = await _answer_for(inbox, answers, number)
        if isinstance(result, StepEntered):
            return _json(StepMap(result.step, result.epoch, result.placement), 200)
        return _json({"step": number}, 409)

    return handle


async def _answer_for(
    inbox: Inbox[RankInput], answers: Inbox[StepReply], number: StepNumber
) -> StepReply | None:
    try:
        async with asyncio.timeout(ENTER_TIMEOUT_S):
            await inbox.put(EnterStep(number))
            while True:
                result = await answers.get()
                if result.step == number:
                    return result
    except TimeoutError:
        return None


def _done_handler(inbox: Inbox[RankInput]) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        number = _step_of(request)
        if number is None:
            return _json({"error": "the step is not a number"}, 400)
        try:
            work = msgspec.json.decode(await request.read(), type=StepWork)
        except msgspec.DecodeError as error:
            return _json({"error": str(error)}, 400)
        await inbox.put(StepDone(number, work.expert_tokens, work.busy_s))
        return _json({"step": number}, 200)

    return handle


def _step_of(request: web.Request) -> StepNumber | None:
    text = request.match_info["step"]
    is_number = text.isascii() and text.isdigit() and len(text) <= HIGHEST_STEP_DIGITS
    return StepNumber(int(text)) if is_number else None


def _json(answer: object, status: int) -> web.Response:
    body = msgspec.json.encode(answer)
    return web.Response(body=body, status=status, content_type="application/json")
