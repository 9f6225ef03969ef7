"""Tests of switching all ranks to an expert map at the same pass, or none of them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random

import pytest

from lycheefall._core.expert_maps import (
    Arm,
    ExpertMap,
    Hold,
    MapVersion,
    PassNumber,
    Prepare,
    RankOrder,
    RankStatus,
)
from lycheefall._rules import map_rollout
from lycheefall._rules.map_rollout import RankClient, Reply, RolloutResult
from rank_simulation import COPY_S, PASS_S, RankSimulation

FIRST: ExpertMap = (((0, 1), (2, 3), (0, 2), (1, 3)),)
SECOND: ExpertMap = (((0, 2), (1, 3), (0, 1), (2, 3)),)


@asynccontextmanager
async def running(simulation: RankSimulation) -> AsyncIterator[RankSimulation]:
    """Run a group, and fail if a pass ran with unequal maps."""
    simulation.start()
    await asyncio.sleep(1.0)
    try:
        yield simulation
        failed = [each.exception() for each in simulation.tasks if each.done()]
        assert [each for each in failed if each is not None] == []
    finally:
        await simulation.stop()


async def switch_map(
    simulation: RankSimulation,
    experts: ExpertMap,
    version: int,
    may_continue: Callable[[], bool] = lambda: True,
) -> RolloutResult:
    """Roll a map out as a coordinator does."""
    ranks = simulation.client()
    first = await ranks.status(0)
    assert first is not None
    return await map_rollout.roll_out(
        ranks, first, experts, MapVersion(version), COPY_S, PASS_S, may_continue
    )


@pytest.mark.looptime
class TestRollOut:
    async def test_in_force_without_a_pause(self) -> None:
        """Guards against a switch that stalls the group although all orders are answered."""
        async with running(RankSimulation()) as simulation:
            assert await switch_map(simulation, FIRST, 5) is RolloutResult.IN_FORCE
            await asyncio.sleep(1.0)
            assert {each.version for each in simulation.ranks} == {5}
            assert simulation.held_s == 0.0
            assert await switch_map(simulation, SECOND, 9) is RolloutResult.IN_FORCE
            await asyncio.sleep(1.0)
            assert {each.version for each in simulation.ranks} == {9}

    @pytest.mark.parametrize("seed", range(20))
    async def test_orders_late_and_answers_lost(self, seed: int) -> None:
        """Guards against a rank that switches alone because of a late order."""
        simulation = RankSimulation(late_ratio=0.35, lost_answer_ratio=0.1, seed=seed)
        async with running(simulation):
            outcomes = []
            for number in range(4):
                experts = FIRST if number % 2 else SECOND
                outcomes.append(await switch_map(simulation, experts, 10 * (number + 1)))
                await asyncio.sleep(2.0)
                await release_if_held(simulation)
            assert RolloutResult.IN_FORCE in outcomes
            await asyncio.sleep(14.0)
            await release_if_held(simulation)
            before = simulation.step
            await asyncio.sleep(1.0)
            assert simulation.step > before, "the group is held for good"

    @pytest.mark.parametrize("late_ratio", [0.1, 0.35])
    async def test_lost_orders_seldom_hold_the_group_up(self, late_ratio: float) -> None:
        """Guards against stalling all streams of a group at each switch while orders get lost."""
        held_s = []
        for seed in range(20):
            simulation = RankSimulation(count=16, late_ratio=late_ratio, seed=seed)
            async with running(simulation):
                assert await switch_map(simulation, FIRST, 5) is RolloutResult.IN_FORCE
                held_s.append(simulation.held_s)
        assert sum(1 for each in held_s if each > PASS_S) <= 5

    async def test_idle_group(self) -> None:
        """Guards against a switch that waits for passes that an idle group never runs."""
        async with running(RankSimulation(busy=False)) as simulation:
            assert await switch_map(simulation, FIRST, 5) is RolloutResult.IN_FORCE
            assert simulation.paused_before_step is None

    async def test_group_that_breaks(self) -> None:
        """Guards against orders of an earlier epoch that reach the next one."""
        async with running(RankSimulation()) as simulation:
            rollout = asyncio.create_task(switch_map(simulation, FIRST, 5))
            await asyncio.sleep(0.05)
            simulation.break_group()
            assert await rollout is not RolloutResult.IN_FORCE
            await asyncio.sleep(1.0)
            assert {each.version for each in simulation.ranks} == {0}

    async def test_refused_preparation(self) -> None:
        """Guards against a hold while a rank does not have the new map."""
        async with running(RankSimulation()) as simulation:
            simulation.ranks[2].highest = 100
            assert await switch_map(simulation, FIRST, 5) is RolloutResult.NOT_PREPARED
            assert simulation.paused_before_step is None

    async def test_suspended_while_the_group_is_held(self) -> None:
        """Guards against a second hold by a coordinator that was suspended in its first one.

        The group stood still for 0.7 s, until its successor, which had prepared a later map,
        released it.
        """
        async with running(RankSimulation()) as simulation:
            ranks = simulation.client()
            holds = 0
            is_suspended = False

            async def order(rank: int, message: RankOrder) -> Reply:
                nonlocal holds, is_suspended
                if not isinstance(message, Hold):
                    return await ranks.order(rank, message)
                holds += 1
                is_suspended = True
                return Reply.UNANSWERED

            first = await ranks.status(0)
            assert first is not None
            client = RankClient(
                ranks.count, order, ranks.status, ranks.current_pass, ranks.timeout_s
            )
            result = await map_rollout.roll_out(
                client, first, FIRST, MapVersion(1), COPY_S, PASS_S, lambda: not is_suspended
            )
            assert result is RolloutResult.NOT_HELD
            assert holds == 1

    async def test_another_switch_under_way(self) -> None:
        """Guards against two coordinators that change the map at the same time."""
        async with running(RankSimulation()) as simulation:
            simulation.paused_before_step = simulation.step + 1000
            await asyncio.sleep(0.5)
            assert await switch_map(simulation, FIRST, 5) is RolloutResult.UNFIT


async def release_if_held(
    simulation: RankSimulation, held_for_s: float = 2.0
) -> RolloutResult | None:
    """Complete a held switch, as a coordinator does that finds the group held."""
    for _ in range(3):
        known = await map_rollout.statuses(simulation.client())
        if known is None or known[0].paused_before is None:
            return None
        highest = max(each.highest for each in simulation.ranks)
        version = map_rollout.next_version(MapVersion(highest), simulation.random)
        in_force = simulation.ranks[0].experts
        result = await map_rollout.complete_abandoned_switch(
            simulation.client(), known, in_force, version, held_for_s
        )
        if result is not None:
            return result
        await asyncio.sleep(0.5)
    return None


@pytest.mark.looptime
class TestTakeover:
    @pytest.mark.parametrize("seed", range(10))
    @pytest.mark.parametrize("killed_after_s", [0.05, 0.12, 0.16, 0.17, 0.2, 0.4])
    async def test_coordinator_that_ends_anywhere(self, seed: int, killed_after_s: float) -> None:
        """Guards against a group that stays held, or switches partially, without a coordinator."""
        simulation = RankSimulation(late_ratio=0.25, seed=seed)
        async with running(simulation):
            first = asyncio.create_task(switch_map(simulation, FIRST, 5))
            await asyncio.sleep(killed_after_s)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            for _ in range(20):
                await release_if_held(simulation)
                await asyncio.sleep(1.0)
            before = simulation.step
            await asyncio.sleep(1.0)
            assert simulation.step > before, "the group is held for good"
            assert await switch_map(simulation, SECOND, 500) in (
                RolloutResult.IN_FORCE,
                RolloutResult.NOT_PREPARED,
            )

    async def test_two_coordinators(self) -> None:
        """Guards against unequal maps when an old coordinator continues beside a new one."""
        for seed in range(30):
            async with running(RankSimulation(seed=seed)) as simulation:
                random = Random(seed)

                async def one(
                    experts: ExpertMap,
                    version: int,
                    random: Random = random,
                    simulation: RankSimulation = simulation,
                ) -> RolloutResult:
                    await asyncio.sleep(random.uniform(0.0, 0.3))
                    return await switch_map(simulation, experts, version)

                await asyncio.gather(one(FIRST, 5), one(SECOND, 6))
                await asyncio.sleep(1.0)
                await release_if_held(simulation)

    async def test_prepared_in_part(self) -> None:
        """Guards against a group that stays held because its ranks have different maps prepared."""
        async with running(RankSimulation()) as simulation:
            ranks = simulation.client()
            order = Prepare(version=MapVersion(5), experts=FIRST, epoch=1, expected=0)
            for rank in range(3):
                assert await ranks.order(rank, order) is Reply.TAKEN
            step = PassNumber(simulation.step + 3)
            await ranks.order(0, Hold(step=step, epoch=1, expected=0))
            await asyncio.sleep(1.0)
            assert await release_if_held(simulation, held_for_s=0.1) is None
            assert simulation.paused_before_step == step
            assert await release_if_held(simulation) is RolloutResult.IN_FORCE
            # An arm order of the lost coordinator for that pass must be refused now.
            late = Arm(version=MapVersion(5), step=step, epoch=1, expected=0)
            assert await ranks.order(1, late) is Reply.REFUSED
            await asyncio.sleep(1.0)

    async def test_armed_in_part(self) -> None:
        """Guards against ranks that stay armed for a map that other ranks have replaced."""
        async with running(RankSimulation()) as simulation:
            ranks = simulation.client()
            order = Prepare(version=MapVersion(5), experts=FIRST, epoch=1, expected=0)
            for rank in range(4):
                await ranks.order(rank, order)
            await asyncio.sleep(COPY_S)
            step = PassNumber(simulation.step + 5)
            await ranks.order(0, Hold(step=step, epoch=1, expected=0))
            arm = Arm(version=MapVersion(5), step=step, epoch=1, expected=0)
            await ranks.order(0, arm)
            later = Prepare(version=MapVersion(9), experts=SECOND, epoch=1, expected=0)
            assert await ranks.order(1, later) is Reply.TAKEN
            await asyncio.sleep(1.0)
            assert await release_if_held(simulation) is RolloutResult.IN_FORCE
            await asyncio.sleep(1.0)
            assert simulation.paused_before_step is None

    @pytest.mark.parametrize("seed", range(20))
    async def test_suspended_coordinator(self, seed: int) -> None:
        """Guards against a resumed coordinator that holds a group taken over by another one."""
        simulation = RankSimulation(seed=seed)
        async with running(simulation):
            random = Random(seed)
            gate = asyncio.Event()
            gate.set()
            client = simulation.client()

            async def paused(rank: int, order: RankOrder) -> Reply:
                await gate.wait()
                return await client.order(rank, order)

            async def status_after_pause(rank: int) -> RankStatus | None:
                await gate.wait()
                return await client.status(rank)

            first = await client.status(0)
            assert first is not None
            suspended = asyncio.create_task(
                map_rollout.roll_out(
                    RankClient(
                        simulation.count,
                        paused,
                        status_after_pause,
                        client.current_pass,
                        client.timeout_s,
                    ),
                    first,
                    FIRST,
                    MapVersion(5),
                    COPY_S,
                    PASS_S,
                    lambda: gate.is_set() and simulation.step < 60,
                )
            )
            await asyncio.sleep(random.uniform(0.0, 0.4))
            gate.clear()
            await asyncio.sleep(1.0)
            await release_if_held(simulation)
            await switch_map(simulation, SECOND, 500)
            await asyncio.sleep(1.0)
            gate.set()
            await asyncio.sleep(2.0)
            await release_if_held(simulation)
            before = simulation.step
            await asyncio.sleep(1.0)
            assert simulation.step > before, "the group is held for good"
            suspended.cancel()
            await asyncio.gather(suspended, return_exceptions=True)


class TestStatuses:
    async def test_silent_rank(self) -> None:
        """Guards against changing a group of which one rank does not answer."""

        async def silent(rank: int) -> None:
            return None

        async def refuse(rank: int, order: object) -> Reply:
            return Reply.REFUSED

        assert await map_rollout.statuses(RankClient(2, refuse, silent, silent, 0.06)) is None

    def test_versions_of_two_coordinators(self) -> None:
        """Guards against two maps under one version."""
        versions = {map_rollout.next_version(MapVersion(7), Random(seed)) for seed in range(50)}
        assert len(versions) == 50
        assert min(versions) > 7
