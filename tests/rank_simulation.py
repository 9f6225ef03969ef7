"""Simulation of ranks in lock-step with delayed orders, which checks the protocol invariants."""

import asyncio
from dataclasses import dataclass, field
from random import Random

from lycheefall._core.expert_maps import (
    Arm,
    Disarm,
    ExpertMap,
    Go,
    Hold,
    MapVersion,
    PassNumber,
    Prepare,
    RankOrder,
    RankStatus,
)
from lycheefall._core.ids import GroupId
from lycheefall._core.relay import GroupHealth, GroupMembership
from lycheefall._rules.map_rollout import RankClient, Reply

PASS_S = 0.05
COPY_S = 0.1
ORDER_TIMEOUT_S = 0.06
# Age of the state that a rank reports.
REPORT_LAG_S = 0.2


@dataclass
class SimulatedRank:
    """One rank: its current map, its prepared map and its armed switch."""

    version: int = 0
    experts: ExpertMap = ()
    # Highest version that was prepared.
    highest: int = 0
    # Version, map and the time at which its experts are copied.
    prepared: tuple[int, ExpertMap, float] | None = None
    # Version and the pass at which it takes effect.
    armed: tuple[int, int] | None = None
    # Times and contents of the latest status reports.
    reports: list[tuple[float, RankStatus]] = field(default_factory=list)


@dataclass
class RankSimulation:
    """A group of ranks that runs passes in a background task."""

    count: int = 4
    # Ratio of orders that get no answer and are executed 2 to 12 s late.
    late_ratio: float = 0.0
    # Ratio of orders that get no answer but are executed immediately.
    lost_answer_ratio: float = 0.0
    # Whether the group has requests; an idle one runs no passes.
    busy: bool = True
    seed: int = 1
    epoch: int = 1
    step: int = 0
    paused_before_step: int | None = None
    switches: int = 0
    # Total time for which the group was held.
    held_s: float = 0.0
    ranks: list[SimulatedRank] = field(default_factory=list)
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Start with map 0 on all ranks."""
        self.random = Random(self.seed)
        self.ranks = [SimulatedRank() for _ in range(self.count)]

    def start(self) -> None:
        """Start the background task that runs the passes."""
        task = asyncio.create_task(self._run())
        self.tasks.add(task)

    async def stop(self) -> None:
        """Cancel the passes and all delayed orders."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def client(self) -> RankClient:
        """Return the client through which a coordinator calls the ranks."""
        return RankClient(self.count, self.order, self.status, self.current_pass, ORDER_TIMEOUT_S)

    async def current_pass(self, rank: int) -> PassNumber | None:
        """Return the number of the current pass."""
        return PassNumber(self.step)

    async def order(self, rank: int, order: RankOrder) -> Reply:
        """Execute an order immediately or late, and return the reply."""
        draw = self.random.random()
        if draw < self.late_ratio:
            self._carry_out_late(rank, order, self.random.uniform(2.0, 12.0))
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Reply.UNANSWERED
        await asyncio.sleep(0.001)
        reply = self._carry_out(rank, order)
        if draw < self.late_ratio + self.lost_answer_ratio:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Reply.UNANSWERED
        return reply

    async def status(self, rank: int) -> RankStatus | None:
        """Return the status of a rank, delayed by REPORT_LAG_S."""
        await asyncio.sleep(0.001)
        until_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        known = [each for at_s, each in self.ranks[rank].reports if at_s <= until_s]
        return known[-1] if known else self._report(rank)

    def break_group(self) -> None:
        """Simulate the loss of a rank: the group restarts with map 0 and no pending orders."""
        self.epoch += 1
        self.paused_before_step = None
        self.ranks = [SimulatedRank() for _ in range(self.count)]

    def _carry_out_late(self, rank: int, order: RankOrder, delay_s: float) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            self._carry_out(rank, order)

        self.tasks.add(asyncio.create_task(carry_out()))

    def _carry_out(self, rank: int, order: RankOrder) -> Reply:
        if order.epoch != self.epoch:
            return Reply.REFUSED
        rank_state = self.ranks[rank]
        now_s = asyncio.get_running_loop().time()
        match order:
            case Prepare():
                if order.version <= rank_state.highest or rank_state.armed:
                    return Reply.REFUSED
                rank_state.highest = order.version
                rank_state.prepared = (order.version, order.experts, now_s + COPY_S)
            case Arm():
                is_ready = rank_state.prepared is not None and rank_state.prepared[2] <= now_s
                if rank_state.armed == (order.version, order.step):
                    return Reply.TAKEN
                if (
                    not is_ready
                    or rank_state.prepared is None
                    or rank_state.prepared[0] != order.version
                ):
                    return Reply.REFUSED
                if self.step >= order.step:
                    return Reply.REFUSED
                rank_state.armed = (order.version, order.step)
            case Disarm():
                rank_state.armed = None
            case Hold():
                if self.step >= order.step or (self.paused_before_step is not None and rank == 0):
                    return Reply.REFUSED
                self.paused_before_step = order.step
            case Go():
                if self.paused_before_step == order.step:
                    self.paused_before_step = None
        return Reply.TAKEN

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            for rank, each in enumerate(self.ranks):
                at_s = asyncio.get_running_loop().time()
                each.reports = [*each.reports[-20:], (at_s, self._report(rank))]
            if self.paused_before_step == self.step + 1:
                self.held_s += PASS_S
            elif self.busy:
                self._pass()

    def _pass(self) -> None:
        self.step += 1
        for each in self.ranks:
            if each.armed is not None and each.armed[1] == self.step:
                assert each.prepared is not None
                each.version, each.experts = each.armed[0], each.prepared[1]
                each.prepared = each.armed = None
                self.switches += 1
        maps = {(each.version, each.experts) for each in self.ranks}
        assert len(maps) == 1, f"pass {self.step} begins with {len(maps)} different maps"

    def _report(self, rank: int) -> RankStatus:
        rank_state = self.ranks[rank]
        now_s = asyncio.get_running_loop().time()
        is_ready = rank_state.prepared is not None and rank_state.prepared[2] <= now_s
        prepared = rank_state.prepared[0] if rank_state.prepared is not None and is_ready else 0
        return RankStatus(
            membership=GroupMembership(GroupId("g"), rank, self.epoch, GroupHealth.OPEN),
            ranks=self.count,
            sequence=0,
            step=PassNumber(self.step),
            map_version=MapVersion(rank_state.version),
            prepared=MapVersion(prepared),
            armed=MapVersion(rank_state.armed[0] if rank_state.armed else 0),
            paused_before=(
                None
                if self.paused_before_step is None or rank
                else PassNumber(self.paused_before_step)
            ),
            running=1,
            waiting=0,
            pace=1.0,
        )
