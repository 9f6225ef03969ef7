"""Group filter of the agent: owns the map state of its rank."""

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
# A held rank tries again after this time.
RETRY_STEP_S = 0.01

StepReply = StepEntered | StepRefused
Load = Callable[[LoadWeights], Awaitable[WeightsLoaded | LoadFailed]]


async def run_group_filter(
    inbox: Inbox[RankInput],
    state: RankState,
    *,
    send: Callable[[ToCoordinator], None],
    ask: Callable[[QueryEpochs], None],
    load: Load,
    drop: Callable[[DropWeights], None],
    reply: Callable[[StepReply], None],
) -> None:
    """Own the map state of a rank until cancelled.

    `send` reaches every control instance that may coordinate the group, `ask` the leader
    of control, `load` and `drop` the engine; `load` must answer LoadFailed rather than raise.
    `answer` reaches the rank that enters a step.
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


async def _load(inbox: Inbox[RankInput], load: Load, order: LoadWeights) -> None:
    await inbox.put(await load(order))


async def enter_step(
    inbox: Inbox[RankInput], answers: Inbox[StepReply], number: StepNumber
) -> StepEntered:
    """Wait until the agent lets the rank enter a step; the rank is the only reader of answers."""
    while True:
        await inbox.put(EnterStep(number))
        result = await answers.get()
        if isinstance(result, StepEntered):
            return result
        await asyncio.sleep(RETRY_STEP_S)
