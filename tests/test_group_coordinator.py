"""Tests of the coordinator and agent tasks of a group, connected by fakes."""

import asyncio
from collections.abc import Callable

import pytest
from structlog.testing import capture_logs

from lycheefall._agent.group import StepReply, enter_step, run_group_filter
from lycheefall._control import group_coordinator
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.events import Event
from lycheefall._core.ids import FencingNumber, GroupId, Incarnation, RankId, StepNumber
from lycheefall._core.messages.control import (
    AcquireLease,
    Command,
    CommitEpoch,
    LeaseResult,
    RenewLease,
    Result,
)
from lycheefall._core.messages.groups import (
    CommittedEpochs,
    LoadWeights,
    QueryEpochs,
    StepDone,
    StepEntered,
    ToCoordinator,
    ToRank,
    WeightsLoaded,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._fakes.ranks import RankGroup, make_daily_popularity, run_group
from lycheefall._fakes.weight_store import StoreState, weight_store
from lycheefall._rules import group_state, rank_steps
from lycheefall._rules.placement import PlacementLimits
from lycheefall._rules.rank_steps import RankInput
from lycheefall._rules.replicated import epochs

GROUP = GroupId("stock/0")
LIMITS = PlacementLimits(4, 16, 6, 1_000_000, 1e8)


class Cluster:
    """A replicated log, a coordinator and four agents, connected by their inboxes."""

    def __init__(self) -> None:
        self.log = epochs.initial()
        self.inbox: Inbox[group_coordinator.Input] = Inbox(1000)
        self.agents: list[Inbox[RankInput]] = [Inbox(1000) for _ in range(4)]
        self.answers: list[Inbox[StepReply]] = [Inbox(4) for _ in range(4)]
        self.store = StoreState()
        self.fetch = weight_store(LIMITS.store_bytes_per_s, self.store)
        self.group = RankGroup(make_daily_popularity(16, 7, 600.0), 4, 1000.0, 2e-4)

    async def propose(self, command: Command, timeout_s: float) -> Result:
        await asyncio.sleep(0.002)
        if isinstance(command, CommitEpoch):
            return epochs.apply(self.log, command, 0)[1]
        assert isinstance(command, AcquireLease | RenewLease)
        return LeaseResult(ResultCode.OK, command.holder, FencingNumber(1), 2.0)

    async def load(self, order: LoadWeights) -> WeightsLoaded:
        await self.fetch(len(order.experts) * LIMITS.expert_bytes)
        return WeightsLoaded(order.experts)

    def query_sender(self, inbox: Inbox[RankInput]) -> Callable[[QueryEpochs], None]:
        return lambda query: self.deliver(inbox, epochs.committed_epochs(self.log, query))

    def deliver(self, inbox: Inbox[RankInput], message: CommittedEpochs) -> None:
        inbox.offer(message)

    def to_coordinator(self, message: ToCoordinator) -> None:
        self.inbox.offer(message)

    def to_rank(self, rank: RankId, message: ToRank) -> None:
        self.agents[rank].offer(message)

    async def enter(self, rank: RankId, number: StepNumber) -> StepEntered:
        return await enter_step(self.agents[rank], self.answers[rank], number)

    def done(self, rank: RankId, message: StepDone) -> None:
        self.agents[rank].offer(message)

    async def run(self) -> None:
        protocol = group_state.initial(GROUP, Incarnation("c"), 4, FenceMode.REFUSES)
        async with asyncio.TaskGroup() as tasks:
            coordination = group_coordinator.run_coordinator(
                self.inbox,
                group_coordinator.initial(protocol, LIMITS),
                send=self.to_rank,
                propose=self.propose,
                ask=lambda query: self.inbox.offer(epochs.committed_epochs(self.log, query))
                or None,
            )
            tasks.create_task(coordination)
            for rank in map(RankId, range(4)):
                tasks.create_task(self.run_agent(rank))
            tasks.create_task(run_group(self.group, self.enter, self.done))

    async def run_agent(self, rank: RankId) -> None:
        incarnation = Incarnation(f"r{rank}")
        await run_group_filter(
            self.agents[rank],
            rank_steps.initial(GROUP, rank, incarnation, frozenset()),
            send=self.to_coordinator,
            ask=self.query_sender(self.agents[rank]),
            load=self.load,
            drop=lambda order: None,
            reply=lambda result: self.answers[rank].offer(result) or None,
        )


@pytest.mark.looptime
class TestCoordinator:
    async def test_placement_follows_a_slow_rank(self) -> None:
        """Guards against a group that never starts, or that leaves load on a slow rank."""
        cluster = Cluster()
        with capture_logs() as lines:
            group_task = asyncio.create_task(cluster.run())
            await asyncio.sleep(30.0)
            steps_before = cluster.group.next_step
            cluster.group.slowdown[RankId(2)] = 3.0
            await asyncio.sleep(60.0)
            group_task.cancel()
            await asyncio.gather(group_task, return_exceptions=True)
        assert steps_before > 100
        assert cluster.group.next_step > steps_before + 100
        assert cluster.log.groups[GROUP].commits[-1].epoch > 1
        placed = [line for line in lines if line.get("number") == Event.EXPERTS_PLACED]
        assert placed[-1]["skew_ratio"] < 1.2
