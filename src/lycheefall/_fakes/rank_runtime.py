"""Process with a fake of the runtime of one rank.

Before each step it requests the expert map from its agent, appends it to a file, and waits at a
barrier for all ranks of the group. It serves requests to load and drop expert weights.
"""

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import defopt
import msgspec
import uvloop
import xxhash
from aiohttp import web
from msgspec import Struct, field

from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import Address, RankId
from lycheefall._core.messages.groups import Placement
from lycheefall._fakes.ranks import DailyPopularity, make_daily_popularity, popularity, tokens_on
from lycheefall._fakes.serving import (
    Handler,
    LoadAnswer,
    OnReady,
    json_response,
    print_ready,
    serve_until_done,
)

RETRY_S = 0.005
REQUEST_TIMEOUT_S = 2.0
TOKENS_PER_STEP = 1_000.0
_OK = 200
_CONFLICT = 409


class RuntimeSettings(Struct, frozen=True, kw_only=True):
    """Settings of one rank; the runtime of rank 0 hosts the barrier of the group."""

    listen: Address
    rank: int
    ranks: int
    experts: int
    # Address at which the agent serves this rank.
    agent: Address
    # Address of the runtime of rank 0, which hosts the barrier.
    meeting: Address
    # One line per step: step, rank, epoch, digest of the map, number of missing experts.
    steps_file: str
    fence: FenceMode = FenceMode.REFUSES
    seed: int = 1
    # Duration of a step if the tokens are spread evenly over the ranks.
    step_s: float = 0.01
    # Period of the daily drift of the popularity.
    day_s: float = 20.0
    # Upper bound of the random loading time of weights.
    load_s: float = 0.05


class StepMap(Struct, frozen=True):
    """Answer of the agent that permits a rank to enter a step."""

    step: int
    epoch: int
    placement: Placement


class StepWork(Struct, frozen=True):
    """Measurement that the rank reports to the agent after a step."""

    expert_tokens: tuple[float, ...]
    busy_s: float


class WeightsRequest(Struct, frozen=True):
    """Body of a request to load or drop expert weights."""

    experts: tuple[int, ...]
    fencing: int | None = None


class Barrier(Struct):
    """Barrier of the current step: the ranks that arrived, and the event set by the last one."""

    step: int = 0
    arrived: set[int] = field(default_factory=set)
    complete: asyncio.Event = field(default_factory=asyncio.Event)


class Weights(Struct):
    """Loaded experts, and the highest fencing number of a load request so far."""

    loaded: set[int] = field(default_factory=set)
    fencing: int = 0


def placement_digest(placement: Placement) -> str:
    """Return a digest to compare expert maps by."""
    return str(xxhash.xxh3_64_hexdigest(msgspec.json.encode(placement)))


def arrive_at_barrier(barrier: Barrier, step: int, rank: int, ranks: int) -> asyncio.Event | None:
    """Add a rank to the barrier; return the event to wait for, or None for a past step."""
    if step < barrier.step:
        return None
    if step > barrier.step:
        barrier.step, barrier.arrived, barrier.complete = step, set(), asyncio.Event()
    barrier.arrived.add(rank)
    if len(barrier.arrived) == ranks:
        barrier.complete.set()
    return barrier.complete


async def run_runtime(settings: RuntimeSettings, on_ready: OnReady) -> None:
    """Serve weight requests and run steps until cancelled."""
    weights = Weights()
    app = web.Application()
    app.router.add_post("/experts/load", _load_handler(settings, weights))
    app.router.add_post("/experts/drop", _drop_handler(weights))
    app.router.add_get("/load", _report_load)
    app.router.add_post("/meet/{step}/{rank}", _barrier_handler(settings, Barrier()))
    steps_task = asyncio.ensure_future(_run_steps(settings, weights))
    await serve_until_done(app, settings.listen, on_ready, steps_task)


async def _report_load(request: web.Request) -> web.Response:
    return json_response(LoadAnswer(0, 0, 0, 0.0, 0.0))


def _load_handler(settings: RuntimeSettings, weights: Weights) -> Handler:
    rng = random.Random(settings.seed + settings.rank)

    async def handle(request: web.Request) -> web.Response:
        weights_request = msgspec.json.decode(await request.read(), type=WeightsRequest)
        fencing = weights_request.fencing or 0
        if settings.fence is FenceMode.REFUSES and fencing < weights.fencing:
            return json_response({"error": "old fencing number"}, _CONFLICT)
        weights.fencing = max(weights.fencing, fencing)
        await asyncio.sleep(rng.uniform(0.0, settings.load_s))
        weights.loaded.update(weights_request.experts)
        return json_response({"held": len(weights.loaded)})

    return handle


def _drop_handler(weights: Weights) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        weights_request = msgspec.json.decode(await request.read(), type=WeightsRequest)
        weights.loaded.difference_update(weights_request.experts)
        return json_response({"held": len(weights.loaded)})

    return handle


def _barrier_handler(settings: RuntimeSettings, barrier: Barrier) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        step, rank = int(request.match_info["step"]), int(request.match_info["rank"])
        complete = arrive_at_barrier(barrier, step, rank, settings.ranks)
        if complete is not None:
            await complete.wait()
        return json_response({"step": step})

    return handle


async def _run_steps(settings: RuntimeSettings, weights: Weights) -> None:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    daily_popularity = make_daily_popularity(settings.experts, settings.seed, settings.day_s)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with aiohttp.ClientSession(timeout=timeout) as session:
        step = 0
        while True:
            entered = await _enter_step(session, settings, step)
            _append_line(settings, _format_step(settings, entered, weights))
            await _wait_at_barrier(session, settings, step)
            work = _measure_work(
                settings, daily_popularity, entered.placement, loop.time() - start_s
            )
            await asyncio.sleep(work.busy_s)
            await _report_step(session, settings, step, work)
            step += 1


def _append_line(settings: RuntimeSettings, line: str) -> None:
    with Path(settings.steps_file).open("a") as steps_file:
        steps_file.write(line)


def _format_step(settings: RuntimeSettings, entered: StepMap, weights: Weights) -> str:
    own_experts = {
        expert for expert, ranks in enumerate(entered.placement) if settings.rank in ranks
    }
    missing = len(own_experts - weights.loaded)
    digest = placement_digest(entered.placement)
    return f"{entered.step} {settings.rank} {entered.epoch} {digest} {missing}\n"


def _measure_work(
    settings: RuntimeSettings, daily_popularity: DailyPopularity, placement: Placement, at_s: float
) -> StepWork:
    tokens: Sequence[float] = [
        TOKENS_PER_STEP * share for share in popularity(daily_popularity, at_s)
    ]
    rank_tokens = tokens_on(RankId(settings.rank), placement, tokens)
    busy_s = settings.step_s * sum(rank_tokens) * settings.ranks / TOKENS_PER_STEP
    return StepWork(rank_tokens, busy_s)


async def _enter_step(
    session: aiohttp.ClientSession, settings: RuntimeSettings, step: int
) -> StepMap:
    while True:
        body = await _post(session, f"http://{settings.agent}/steps/{step}/enter")
        if body is not None:
            return msgspec.json.decode(body, type=StepMap)
        await asyncio.sleep(RETRY_S)


async def _wait_at_barrier(
    session: aiohttp.ClientSession, settings: RuntimeSettings, step: int
) -> None:
    url = f"http://{settings.meeting}/meet/{step}/{settings.rank}"
    while True:
        if await _post(session, url) is not None:
            return
        await asyncio.sleep(RETRY_S)


async def _report_step(
    session: aiohttp.ClientSession, settings: RuntimeSettings, step: int, work: StepWork
) -> None:
    # Not retried: a measurement lost in a restart of the agent only delays the placement.
    url = f"http://{settings.agent}/steps/{step}/done"
    await _post(session, url, msgspec.json.encode(work))


async def _post(session: aiohttp.ClientSession, url: str, body: bytes = b"") -> bytes | None:
    """Return the body of a response with status 200, or None on any failure."""
    try:
        async with session.post(url, data=body) as response:
            answer = await response.read()
            return answer if response.status == _OK else None
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None


def main() -> None:
    """Run a rank with settings from the command line."""
    settings = defopt.run(RuntimeSettings, parsers={Address: Address})
    uvloop.run(run_runtime(settings, print_ready))


if __name__ == "__main__":
    main()
