"""Ranks that run in lock-step and take orders late, and the check of what must always hold."""

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
# What a rank reports is this old.
REPORT_LAG_S = 0.2


@dataclass
class ModelRank:
    """One rank: its map, what it copied and what it is to switch to."""

    version: int = 0
    experts: ExpertMap = ()
    highest: int = 0
    prepared: tuple[int, ExpertMap, float] | None = None
    armed: tuple[int, int] | None = None
    reports: list[tuple[float, RankStatus]] = field(default_factory=list)


@dataclass
class RankWorld:
    """A group whose passes go on by themselves."""

    count: int = 4
    # Part of the orders that get no answer and are carried out 2 to 12 s late.
    late_ratio: float = 0.0
    # The same, but carried out at once.
    lost_answer_ratio: float = 0.0
    busy: bool = True
    seed: int = 1
    epoch: int = 1
    step: int = 0
    held: int | None = None
    switches: int = 0
    held_s: float = 0.0
    ranks: list[ModelRank] = field(default_factory=list)
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Begin with map 0 on all ranks."""
        self.random = Random(self.seed)
        self.ranks = [ModelRank() for _ in range(self.count)]

    def begin(self) -> None:
        """Let passes begin from now on."""
        task = asyncio.create_task(self._run())
        self.tasks.add(task)

    async def end(self) -> None:
        """Stop the passes and all late orders."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reached(self) -> RankClient:
        """Return how a coordinator reaches the ranks."""
        return RankClient(self.count, self.order, self.status, self.under_way, ORDER_TIMEOUT_S)

    async def under_way(self, rank: int) -> PassNumber | None:
        """Return the pass under way."""
        return PassNumber(self.step)

    async def order(self, rank: int, order: RankOrder) -> Reply:
        """Take an order, now or late."""
        draw = self.random.random()
        if draw < self.late_ratio:
            self._later(rank, order, self.random.uniform(2.0, 12.0))
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Reply.UNANSWERED
        await asyncio.sleep(0.001)
        reply = self._carry_out(rank, order)
        if draw < self.late_ratio + self.lost_answer_ratio:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return Reply.UNANSWERED
        return reply

    async def status(self, rank: int) -> RankStatus | None:
        """Report how the rank was a moment ago."""
        await asyncio.sleep(0.001)
        until_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        known = [each for at_s, each in self.ranks[rank].reports if at_s <= until_s]
        return known[-1] if known else self._report(rank)

    def break_group(self) -> None:
        """Lose a rank: the group forms anew, with map 0 and nothing prepared, armed or held."""
        self.epoch += 1
        self.held = None
        self.ranks = [ModelRank() for _ in range(self.count)]

    def _later(self, rank: int, order: RankOrder, delay_s: float) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            self._carry_out(rank, order)

        self.tasks.add(asyncio.create_task(carry_out()))

    def _carry_out(self, rank: int, order: RankOrder) -> Reply:
        if order.epoch != self.epoch:
            return Reply.REFUSED
        held = self.ranks[rank]
        now_s = asyncio.get_running_loop().time()
        match order:
            case Prepare():
                if order.version <= held.highest or held.armed:
                    return Reply.REFUSED
                held.highest = order.version
                held.prepared = (order.version, order.experts, now_s + COPY_S)
            case Arm():
                is_ready = held.prepared is not None and held.prepared[2] <= now_s
                if held.armed == (order.version, order.step):
                    return Reply.TAKEN
                if not is_ready or held.prepared is None or held.prepared[0] != order.version:
                    return Reply.REFUSED
                if self.step >= order.step:
                    return Reply.REFUSED
                held.armed = (order.version, order.step)
            case Disarm():
                held.armed = None
            case Hold():
                if self.step >= order.step or (self.held is not None and rank == 0):
                    return Reply.REFUSED
                self.held = order.step
            case Go():
                if self.held == order.step:
                    self.held = None
        return Reply.TAKEN

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PASS_S)
            for rank, each in enumerate(self.ranks):
                at_s = asyncio.get_running_loop().time()
                each.reports = [*each.reports[-20:], (at_s, self._report(rank))]
            if self.held == self.step + 1:
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
        held = self.ranks[rank]
        now_s = asyncio.get_running_loop().time()
        is_ready = held.prepared is not None and held.prepared[2] <= now_s
        prepared = held.prepared[0] if held.prepared is not None and is_ready else 0
        return RankStatus(
            membership=GroupMembership(GroupId("g"), rank, self.epoch, GroupHealth.OPEN),
            ranks=self.count,
            sequence=0,
            step=PassNumber(self.step),
            map_version=MapVersion(held.version),
            prepared=MapVersion(prepared),
            armed=MapVersion(held.armed[0] if held.armed else 0),
            paused_before=None if self.held is None or rank else PassNumber(self.held),
            running=1,
            waiting=0,
            pace=1.0,
        )
