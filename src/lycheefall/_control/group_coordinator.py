"""Coordinator of a group of ranks that execute steps in lock-step.

It holds the lease of the group, plans the placement of experts and drives the step protocol.
"""

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from lycheefall._core.events import Event
from lycheefall._core.exceptions import ControlUnavailable
from lycheefall._core.ids import RankId
from lycheefall._core.log import log
from lycheefall._core.messages.control import Command, Result
from lycheefall._core.messages.groups import Placement, QueryEpochs, RankReport, ToRank
from lycheefall._core.pipeline import Inbox, run_actor, tick
from lycheefall._rules.group_state import (
    CommandResult,
    CoordinatorInput,
    CoordinatorOutput,
    CoordinatorState,
    LogLine,
    Phase,
    ProposeCommand,
    ProposePlacement,
    SendToRank,
    Tick,
    current_epoch,
    may_place,
)
from lycheefall._rules.group_steps import step
from lycheefall._rules.placement import PlacementLimits, Plan, plan
from lycheefall._rules.placing import group_load
from lycheefall._rules.placing.group_load import GroupLoad

TICK_PERIOD_S = 0.1
PLAN_PERIOD_S = 10.0
PROPOSE_TIMEOUT_S = 1.0

Propose = Callable[[Command, float], Awaitable[Result]]


class PlanRequest(Struct, frozen=True):
    """Request a plan; a worker thread computes it, since that takes tens of milliseconds."""

    # Share of the tokens by expert, and relative time per token by rank.
    load: list[float]
    slowness: list[float]
    in_force: Placement | None


class PlanReady(Struct, frozen=True):
    """Deliver a computed plan."""

    plan: Plan


class CoordinatorTaskState(Struct):
    """State of the coordinator task."""

    protocol: CoordinatorState
    limits: PlacementLimits
    load: GroupLoad
    plan_period_s: float
    next_plan_s: float = 0.0


Input = CoordinatorInput | PlanReady
Output = CoordinatorOutput | PlanRequest


def initial(
    protocol: CoordinatorState, limits: PlacementLimits, plan_period_s: float = PLAN_PERIOD_S
) -> CoordinatorTaskState:
    """Return the initial state of a coordinator task; `plan_period_s` is in seconds."""
    load = group_load.initial(limits.experts, limits.ranks)
    return CoordinatorTaskState(protocol, limits, load, plan_period_s)


def coordinate(
    state: CoordinatorTaskState, message: Input, now_s: float
) -> tuple[CoordinatorTaskState, list[Output]]:
    """Apply one message: update the load, request plans and step the protocol."""
    results: list[Output] = []
    if isinstance(message, PlanReady):
        if not _changes_placement(state, message.plan):
            return state, results
        message = ProposePlacement(message.plan.placement)
    if isinstance(message, RankReport):
        group_load.observe(state.load, message)
    had_lease = state.protocol.phase is not Phase.LEASE
    state.protocol, protocol_outputs = step(state.protocol, message, now_s)
    results += protocol_outputs
    has_lease = state.protocol.phase is not Phase.LEASE
    if has_lease != had_lease:
        event = Event.GROUP_LEASE_ACQUIRED if has_lease else Event.GROUP_LEASE_LOST
        epoch = current_epoch(state.protocol)
        results.append(LogLine(event, epoch, state.protocol.reached))
    if isinstance(message, Tick):
        results += _request_plan(state, now_s)
    return state, results


def _changes_placement(state: CoordinatorTaskState, new_plan: Plan) -> bool:
    return not state.protocol.maps or new_plan.placement != state.protocol.maps[-1].placement


def _request_plan(state: CoordinatorTaskState, now_s: float) -> list[Output]:
    if now_s < state.next_plan_s or not may_place(state.protocol):
        return []
    state.next_plan_s = now_s + state.plan_period_s
    group_load.close_window(state.load)
    maps = state.protocol.maps
    in_force = maps[-1].placement if maps else None
    popularity = state.load.popularity
    if popularity is None:
        if in_force is not None:
            return []
        popularity = [1.0 / state.limits.experts] * state.limits.experts
    return [PlanRequest(list(popularity), list(state.load.slowness), in_force)]


async def run_coordinator(
    inbox: Inbox[Input],
    state: CoordinatorTaskState,
    *,
    send: Callable[[RankId, ToRank], None],
    propose: Propose,
    ask: Callable[[QueryEpochs], None],
) -> None:
    """Own the coordination of a group until cancelled.

    `propose` commits a command to the replicated log. `ask` sends a query to the leader of control,
    whose answer arrives in the inbox.
    """
    in_flight: set[Command] = set()
    async with asyncio.TaskGroup() as tasks:

        def emit(message: Output) -> None:
            match message:
                case SendToRank():
                    send(message.rank, message.message)
                case ProposeCommand():
                    if message.command not in in_flight:
                        in_flight.add(message.command)
                        proposal = _propose(inbox, propose, message.command, in_flight)
                        tasks.create_task(proposal)
                case QueryEpochs():
                    ask(message)
                case LogLine():
                    _log_line(state, message)
                case PlanRequest():
                    tasks.create_task(_plan(inbox, state, message))

        tasks.create_task(tick(inbox, Tick(), TICK_PERIOD_S))
        tasks.create_task(run_actor(inbox, state, coordinate, emit))


async def _propose(
    inbox: Inbox[Input], propose: Propose, command: Command, in_flight: set[Command]
) -> None:
    sent_s = asyncio.get_running_loop().time()
    try:
        result = await propose(command, PROPOSE_TIMEOUT_S)
    except (ControlUnavailable, TimeoutError):
        # The protocol retries the command at its next tick.
        return
    finally:
        in_flight.discard(command)
    await inbox.put(CommandResult(command, result, sent_s))


async def _plan(inbox: Inbox[Input], state: CoordinatorTaskState, request: PlanRequest) -> None:
    new_plan = await asyncio.to_thread(
        plan, state.limits, request.load, request.slowness, request.in_force
    )
    log(
        Event.EXPERTS_PLACED,
        group=state.protocol.group,
        epoch=current_epoch(state.protocol),
        moves=new_plan.moves,
        moved_bytes=new_plan.moved_bytes,
        gain_s=round(new_plan.gain_s, 3),
        cost_s=round(new_plan.cost_s, 3),
        skew_before=round(new_plan.skew_before, 3),
        skew_ratio=round(new_plan.skew_ratio, 3),
    )
    await inbox.put(PlanReady(new_plan))


def _log_line(state: CoordinatorTaskState, line: LogLine) -> None:
    log(
        line.event,
        group=state.protocol.group,
        epoch=line.epoch,
        step=line.step,
        code=int(line.code),
    )
