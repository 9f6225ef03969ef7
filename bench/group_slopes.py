"""Measure the cost of placement planning and the messages of the step protocol of one group.

Run: PYTHONPATH=src:tests:. python -m bench.group_slopes
The step protocol makes all ranks of a group use the same expert map in each step. The rules, which
are step functions without I/O, of one coordinator and its ranks exchange messages without sockets:
20 steps a second, a report of each rank every 0.5 s, a coordinator tick every 0.1 s and one new map
in 10 s.
"""

import random
import statistics
import time
from collections import Counter, deque

from msgspec import Struct, field

from bench.slopes import ROUNDS, Point, print_fit
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import FencingNumber, GroupId, Incarnation, RankId, StepNumber
from lycheefall._core.messages.control import AcquireLease, Command, CommitEpoch, LeaseResult
from lycheefall._core.messages.groups import (
    EnterStep,
    LoadWeights,
    Placement,
    QueryEpochs,
    StepDone,
    WeightsLoaded,
)
from lycheefall._rules import group_state, group_steps, rank_steps
from lycheefall._rules.placement import PlacementLimits, place_from_scratch, plan
from lycheefall._rules.replicated import epochs
from lycheefall._wire.codec import encode

GROUP = GroupId("assistant-models/0")
EXPERTS = 128
RANKS = (8, 16, 32)
DURATION_S = 10
STEPS_PER_S = 20
PLANS_PER_ROUND = 5
# One and a half slots for each expert, experts of 1 GB and a weight store of 2 GB/s.
LIMITS = [PlacementLimits(ranks, EXPERTS, EXPERTS * 3 // 2 // ranks, 10**9, 2e9) for ranks in RANKS]


class Group(Struct):
    """Hold a coordinator, its ranks, the replicated epochs, and message counts and bytes."""

    ranks: list[rank_steps.RankState]
    coordinator: group_state.CoordinatorState
    epochs_state: epochs.EpochsState
    now_s: float = 0.0
    # CPU time of the step function of the coordinator.
    coordinator_s: float = 0.0
    # Messages in transit, each with the number of the node that receives it.
    queue: deque[tuple[int, object]] = field(default_factory=deque)
    messages: Counter[str] = field(default_factory=Counter)
    sizes: Counter[str] = field(default_factory=Counter)


# Number of the coordinator as a node; the number of a rank is its RankId.
COORDINATOR = -1


def main() -> None:
    """Print points and slopes."""
    measure_planning()
    measure_protocol()


def measure_planning() -> None:
    """Measure the planning time after a change of expert popularity."""
    points = []
    for limits in LIMITS:
        points.append(Point(limits.ranks, tuple(_plan_ms(limits, seed) for seed in range(ROUNDS))))
    print_fit(f"plan for {EXPERTS} experts", "ranks", "ms", points)


def _plan_ms(limits: PlacementLimits, seed: int) -> float:
    generator = random.Random(seed)
    slowness = [1.0] * limits.ranks
    load = [generator.paretovariate(1.2) * 1000 for _ in range(EXPERTS)]
    placement = place_from_scratch(limits, load, slowness)
    times_ms = []
    for _ in range(PLANS_PER_ROUND):
        changed_load = [each * generator.uniform(0.5, 2.0) for each in load]
        start_s = time.process_time()
        plan(limits, changed_load, slowness, placement)
        times_ms.append((time.process_time() - start_s) * 1000)
    return statistics.median(times_ms)


def measure_protocol() -> None:
    """Measure messages, bytes and CPU time of one group."""
    rates, bytes_per_s, cores, coordinator_cores = [], [], [], []
    for limits in LIMITS:
        runs = [_run(limits) for _ in range(ROUNDS)]
        group = runs[0][0]
        rates.append(Point(limits.ranks, (group.messages.total() / DURATION_S,)))
        bytes_per_s.append(Point(limits.ranks, (group.sizes.total() / DURATION_S,)))
        cores.append(Point(limits.ranks, tuple(each[1] / DURATION_S for each in runs)))
        coordinator_rounds = tuple(each.coordinator_s / DURATION_S for each, _ in runs)
        coordinator_cores.append(Point(limits.ranks, coordinator_rounds))
    print_fit("messages in a group", "ranks", "messages/s", rates)
    print_fit("payload in a group", "ranks", "bytes/s", bytes_per_s)
    print_fit("rules of the coordinator and its ranks", "ranks", "core", cores)
    print_fit("rule of the coordinator", "ranks", "core", coordinator_cores)
    print(f"at {RANKS[-1]} ranks: message, count in {DURATION_S} s, mean bytes")
    for name, count in group.messages.most_common():
        print(f"  {name}: {count}, {group.sizes[name] / count:.0f}")


def _run(limits: PlacementLimits) -> tuple[Group, float]:
    """Run a group for `DURATION_S` of simulated time and return it with the CPU time in seconds."""
    group = _new_group(limits)
    load = [1000.0 * (1 + expert % 7) for expert in range(EXPERTS)]
    slowness = [1.0] * limits.ranks
    first = place_from_scratch(limits, load, slowness)
    second = place_from_scratch(limits, load[::-1], slowness)
    _start(group, first)
    group.messages.clear()
    group.sizes.clear()
    group.coordinator_s = 0.0
    start_s = time.process_time()
    for step_index in range(DURATION_S * STEPS_PER_S):
        if step_index == DURATION_S * STEPS_PER_S // 2:
            _deliver(group, COORDINATOR, group_state.ProposePlacement(second))
        _advance(group, step_index)
    cpu_s = time.process_time() - start_s
    assert group_state.current_epoch(group.coordinator) == 2
    assert all(rank.entered > (DURATION_S - 1) * STEPS_PER_S for rank in group.ranks)
    return group, cpu_s


def _new_group(limits: PlacementLimits) -> Group:
    ranks = [
        rank_steps.initial(GROUP, RankId(rank), Incarnation(f"run-{rank}"), frozenset())
        for rank in range(limits.ranks)
    ]
    holder = Incarnation("coordinator")
    coordinator = group_state.initial(GROUP, holder, limits.ranks, FenceMode.REFUSES)
    return Group(ranks, coordinator, epochs.initial())


def _start(group: Group, placement: Placement) -> None:
    """Acquire the lease and commit the first map."""
    for step_index in range(2 * STEPS_PER_S):
        if group_state.may_place(group.coordinator) and not group.coordinator.maps:
            _deliver(group, COORDINATOR, group_state.ProposePlacement(placement))
        _advance(group, step_index)
    assert group_state.current_epoch(group.coordinator) == 1


def _advance(group: Group, step_index: int) -> None:
    """Run one step of the group and deliver all messages that it causes."""
    group.now_s += 1 / STEPS_PER_S
    if step_index % 2 == 0:
        _deliver(group, COORDINATOR, group_state.Tick())
    for number, rank in enumerate(group.ranks):
        if step_index % 10 == number % 10:
            _deliver(group, number, rank_steps.ReportDue())
        step = StepNumber(rank.entered + 1)
        _deliver(group, number, EnterStep(step))
        if rank.entered == step:
            _deliver(group, number, StepDone(step, (1000.0,) * EXPERTS, 0.04))
    while group.queue:
        node, message = group.queue.popleft()
        _deliver(group, node, message)


def _deliver(group: Group, node: int, message: object) -> None:
    if node == COORDINATOR:
        start_s = time.process_time()
        outputs = group_steps.step(group.coordinator, message, group.now_s)[1]
        group.coordinator_s += time.process_time() - start_s
    else:
        outputs = rank_steps.step(group.ranks[node], message, group.now_s)[1]
    for output in outputs:
        _route_output(group, node, output)


def _route_output(group: Group, node: int, output: object) -> None:
    match output:
        case group_state.SendToRank(rank, message):
            _send(group, int(rank), message)
        case group_state.ProposeCommand(command):
            result = _apply_command(group, command)
            _count(group, command)
            command_result = group_state.CommandResult(command, result, group.now_s)
            group.queue.append((COORDINATOR, command_result))
        case QueryEpochs():
            _count(group, output)
            _send(group, node, epochs.committed_epochs(group.epochs_state, output))
        case LoadWeights():
            group.queue.append((node, WeightsLoaded(output.experts)))
        case _ if type(output).__name__ in ("RankReport", "Prepared", "PrepareRefused"):
            _send(group, COORDINATOR, output)


def _apply_command(group: Group, command: Command) -> object:
    if isinstance(command, CommitEpoch):
        return epochs.apply(group.epochs_state, command, 0)[1]
    assert isinstance(command, AcquireLease) or hasattr(command, "holder")
    return LeaseResult(ResultCode.OK, command.holder, FencingNumber(1), group_state.LEASE_S)


def _send(group: Group, node: int, message: object) -> None:
    _count(group, message)
    group.queue.append((node, message))


def _count(group: Group, message: object) -> None:
    name = type(message).__name__
    group.messages[name] += 1
    group.sizes[name] += len(encode(message))


if __name__ == "__main__":
    main()
