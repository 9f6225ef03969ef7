"""Group filter of the agent, which owns the expert map state of its rank.

It applies the protocol in `rank_steps` and passes the resulting messages to the other filters.
"""

import asyncio
from collections.abc import Awaitable, Callable

from lycheefall._core.ids import StepNumber
from lycheefall._core.messages.groups import (
    DropWeights,
    EnterStep,
    LoadFailed,
    LoadWeights,
    QueryEpochs,
    StepEntered,
    StepRefused,
    ToCoordinator,
    WeightsLoaded,
)
from lycheefall._core.pipeline import Inbox, run_actor, tick
from lycheefall._rules.rank_steps import RankInput, RankOutput, RankState, ReportDue, step

REPORT_PERIOD_S = 0.5
# Delay before a rank that may not enter a step yet asks again.
RETRY_STEP_S = 0.01

StepReply = StepEntered | StepRefused
WeightLoader = Callable[[LoadWeights], Awaitable[WeightsLoaded | LoadFailed]]


async def run_group_filter(
    inbox: Inbox[RankInput],
    state: RankState,
    *,
    send: Callable[[ToCoordinator], None],
    ask: Callable[[QueryEpochs], None],
    load: WeightLoader,
    drop: Callable[[DropWeights], None],
    reply: Callable[[StepReply], None],
) -> None:
    """Own the map state of a rank until cancelled.

    `send` delivers to every control instance that may coordinate the group, `ask` to the leader
    of control, `load` and `drop` to the engine, and `reply` to the rank that enters a step.
    `load` must return LoadFailed instead of raising an exception.
    """
    async with asyncio.TaskGroup() as tasks:

        def emit(message: RankOutput) -> None:
            match message:
                case StepEntered() | StepRefused():
                    reply(message)
                case LoadWeights():
                    tasks.create_task(_load(inbox, load, message))
                case DropWeights():
                    drop(message)
                case QueryEpochs():
                    ask(message)
                case _:
                    send(message)

        tasks.create_task(tick(inbox, ReportDue(), REPORT_PERIOD_S))
        tasks.create_task(run_actor(inbox, state, step, emit))


async def _load(inbox: Inbox[RankInput], load: WeightLoader, order: LoadWeights) -> None:
    await inbox.put(await load(order))


async def enter_step(
    inbox: Inbox[RankInput], replies: Inbox[StepReply], number: StepNumber
) -> StepEntered:
    """Wait until the rank may enter a step; the rank must be the only reader of `replies`."""
    while True:
        await inbox.put(EnterStep(number))
        result = await replies.get()
        if isinstance(result, StepEntered):
            return result
        await asyncio.sleep(RETRY_STEP_S)
