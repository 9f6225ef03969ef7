"""Cost of a plan, and messages of the step protocol of one group.

Run: PYTHONPATH=src:tests:. python -m bench.group_slopes
The rules of one coordinator and its ranks exchange messages without sockets: 20 steps a second,
a report of each rank every 0.5 s, a tick of the coordinator every 0.1 s, one new map in 10 s.
"""

import random
import statistics
import time
from collections import Counter, deque

from msgspec import Struct, field

from bench.slopes import ROUNDS, Point, show
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
from lycheefall._rules.placement import Limits, place_from_scratch, plan
from lycheefall._rules.replicated import epochs
from lycheefall._wire.codec import encode

GROUP = GroupId("assistant-models/0")
EXPERTS = 128
RANKS = (8, 16, 32)
SECONDS = 10
TURNS_PER_S = 20
PLANS = 5
LIMITS = [Limits(ranks, EXPERTS, EXPERTS * 3 // 2 // ranks, 10**9, 2e9) for ranks in RANKS]


class Group(Struct):
    """One coordinator, its ranks, the log, and counts of what they send."""

    ranks: list[rank_steps.RankState]
    coordinator: group_state.CoordinatorState
    log: epochs.EpochsState
    now_s: float = 0.0
    # Processor time of the coordinator's rule.
    coordinator_s: float = 0.0
    queue: deque[tuple[int, object]] = field(default_factory=deque)
    messages: Counter[str] = field(default_factory=Counter)
    sizes: Counter[str] = field(default_factory=Counter)


# The coordinator's place in the queue; the others are ranks.
COORDINATOR = -1


def main() -> None:
    """Print points and slopes."""
    plans()
    protocol()


def plans() -> None:
    """Measure a plan after the popularity has changed."""
    points = []
    for limits in LIMITS:
        points.append(Point(limits.ranks, tuple(_plan_ms(limits, seed) for seed in range(ROUNDS))))
    show(f"plan for {EXPERTS} experts", "ranks", "ms", points)


def _plan_ms(limits: Limits, seed: int) -> float:
    generator = random.Random(seed)
    slowness = [1.0] * limits.ranks
    load = [generator.paretovariate(1.2) * 1000 for _ in range(EXPERTS)]
    placement = place_from_scratch(limits, load, slowness)
    times_ms = []
    for _ in range(PLANS):
        changed = [each * generator.uniform(0.5, 2.0) for each in load]
        start_s = time.process_time()
        plan(limits, changed, slowness, placement)
        times_ms.append((time.process_time() - start_s) * 1000)
    return statistics.median(times_ms)


def protocol() -> None:
    """Measure messages, bytes and processor time of one group."""
    rates, bytes_per_s, cores, isolated = [], [], [], []
    for limits in LIMITS:
        runs = [_run(limits) for _ in range(ROUNDS)]
        group = runs[0][0]
        rates.append(Point(limits.ranks, (group.messages.total() / SECONDS,)))
        bytes_per_s.append(Point(limits.ranks, (group.sizes.total() / SECONDS,)))
        cores.append(Point(limits.ranks, tuple(each[1] / SECONDS for each in runs)))
        own = tuple(each.coordinator_s / SECONDS for each, _ in runs)
        isolated.append(Point(limits.ranks, own))
    show("messages of a group", "ranks", "messages/s", rates)
    show("payload of a group", "ranks", "bytes/s", bytes_per_s)
    show("rules of coordinator and ranks", "ranks", "core", cores)
    show("rule of the coordinator", "ranks", "core", isolated)
    print(f"at {RANKS[-1]} ranks: message, count in {SECONDS} s, bytes each")
    for name, count in group.messages.most_common():
        print(f"  {name}: {count}, {group.sizes[name] / count:.0f}")


def _run(limits: Limits) -> tuple[Group, float]:
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
    for turn in range(SECONDS * TURNS_PER_S):
        if turn == SECONDS * TURNS_PER_S // 2:
            _tell(group, COORDINATOR, group_state.ProposePlacement(second))
        _turn(group, turn)
    spent_s = time.process_time() - start_s
    assert group_state.current_epoch(group.coordinator) == 2
    assert all(rank.entered > (SECONDS - 1) * TURNS_PER_S for rank in group.ranks)
    return group, spent_s


def _new_group(limits: Limits) -> Group:
    ranks = [
        rank_steps.initial(GROUP, RankId(rank), Incarnation(f"run-{rank}"), frozenset())
        for rank in range(limits.ranks)
    ]
    holder = Incarnation("coordinator")
    coordinator = group_state.initial(GROUP, holder, limits.ranks, FenceMode.REFUSES)
    return Group(ranks, coordinator, epochs.initial())


def _start(group: Group, placement: Placement) -> None:
    """Take the lease and put the first map in force."""
    for turn in range(2 * TURNS_PER_S):
        if group_state.may_place(group.coordinator) and not group.coordinator.maps:
            _tell(group, COORDINATOR, group_state.ProposePlacement(placement))
        _turn(group, turn)
    assert group_state.current_epoch(group.coordinator) == 1


def _turn(group: Group, turn: int) -> None:
    group.now_s += 1 / TURNS_PER_S
    if turn % 2 == 0:
        _tell(group, COORDINATOR, group_state.Tick())
    for number, rank in enumerate(group.ranks):
        if turn % 10 == number % 10:
            _tell(group, number, rank_steps.ReportDue())
        step = StepNumber(rank.entered + 1)
        _tell(group, number, EnterStep(step))
        if rank.entered == step:
            _tell(group, number, StepDone(step, (1000.0,) * EXPERTS, 0.04))
    while group.queue:
        place, message = group.queue.popleft()
        _tell(group, place, message)


def _tell(group: Group, place: int, message: object) -> None:
    if place == COORDINATOR:
        start_s = time.process_time()
        outputs = group_steps.step(group.coordinator, message, group.now_s)[1]
        group.coordinator_s += time.process_time() - start_s
    else:
        outputs = rank_steps.step(group.ranks[place], message, group.now_s)[1]
    for output in outputs:
        _carry(group, place, output)


def _carry(group: Group, place: int, output: object) -> None:
    match output:
        case group_state.SendToRank(rank, message):
            _send(group, int(rank), message)
        case group_state.ProposeCommand(command):
            result = _answer(group, command)
            _count(group, command)
            answered = group_state.CommandResult(command, result, group.now_s)
            group.queue.append((COORDINATOR, answered))
        case QueryEpochs():
            _count(group, output)
            _send(group, place, epochs.in_force(group.log, output))
        case LoadWeights():
            group.queue.append((place, WeightsLoaded(output.experts)))
        case _ if type(output).__name__ in ("RankReport", "Prepared", "PrepareRefused"):
            _send(group, COORDINATOR, output)


def _answer(group: Group, command: Command) -> object:
    if isinstance(command, CommitEpoch):
        return epochs.apply(group.log, command, 0)[1]
    assert isinstance(command, AcquireLease) or hasattr(command, "holder")
    return LeaseResult(ResultCode.OK, command.holder, FencingNumber(1), group_state.LEASE_S)


def _send(group: Group, place: int, message: object) -> None:
    _count(group, message)
    group.queue.append((place, message))


def _count(group: Group, message: object) -> None:
    name = type(message).__name__
    group.messages[name] += 1
    group.sizes[name] += len(encode(message))


if __name__ == "__main__":
    main()
