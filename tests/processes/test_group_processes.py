"""Tests of a group of ranks with every process separate."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import NO_REVISION
from lycheefall._core.messages.control import ApplyFile, FileResult
from lycheefall._operate.configuration_file import digest_of
from processes.rank_group import (
    RANKS,
    RankGroup,
    configuration_text,
    coordinator_of,
    faults_of,
    next_prepared,
)
from processes.scaffold import Cluster, client_of, cluster

pytestmark = pytest.mark.processes

START_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_S = 15.0
STEPS_AFTER = 100


async def steps_reached(group: RankGroup, number: int, timeout_s: float) -> None:
    """Wait until every rank has entered this many steps."""
    async with asyncio.timeout(timeout_s):
        while group.reached() < number:
            await asyncio.sleep(0.05)


async def epoch_reached(group: RankGroup, epoch: int, timeout_s: float) -> None:
    """Wait until the ranks use this epoch or a later one."""
    async with asyncio.timeout(timeout_s):
        while group.epoch() < epoch:
            await asyncio.sleep(0.05)


async def apply_groups(control: Cluster, fence: FenceMode) -> None:
    """Put the group in force."""
    text = configuration_text(fence)
    async with client_of(control.clients()) as client:
        result = await client.propose(ApplyFile(NO_REVISION, digest_of(text), text), 10.0)
    assert isinstance(result, FileResult) and result.code is ResultCode.OK, result


Fault = Callable[[Cluster, RankGroup, random.Random], Awaitable[None]]


async def kill_coordinator(control: Cluster, group: RankGroup, chosen: random.Random) -> None:
    """Kill the coordinator at a moment of no meaning, or around a commit."""
    name = coordinator_of(control)
    if chosen.random() < 0.5:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            name = await next_prepared(control)
        await asyncio.sleep(chosen.uniform(0.0, 0.01))
    control.kill(name)
    await control.start(name)


async def freeze_coordinator(control: Cluster, group: RankGroup, chosen: random.Random) -> None:
    name = coordinator_of(control)
    control.pause(name)
    # Up to well beyond the coordinator's lease of 2 s.
    await asyncio.sleep(chosen.choice([0.3, 1.0, 2.5]))
    control.resume(name)


async def restart_agent(control: Cluster, group: RankGroup, chosen: random.Random) -> None:
    name = f"agent-{chosen.randrange(RANKS)}"
    group.kill(name)
    group.start(name)


async def stall_rank(control: Cluster, group: RankGroup, chosen: random.Random) -> None:
    name = f"{chosen.choice(['runtime', 'agent'])}-{chosen.randrange(RANKS)}"
    group.pause(name)
    await asyncio.sleep(chosen.uniform(0.2, 1.0))
    group.resume(name)


async def silence_rank_at_commit(control: Cluster, group: RankGroup, chosen: random.Random) -> None:
    """Hold what control sends to one rank while the others learn of a commit."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        await next_prepared(control)
    for link in group.links:
        link.block(to_target=False)
    # The permission of the rank covers about 1 s.
    await asyncio.sleep(chosen.uniform(2.0, 2.5))
    for link in group.links:
        link.heal()


EACH_FAULT: tuple[Fault, ...] = (
    kill_coordinator,
    freeze_coordinator,
    restart_agent,
    stall_rank,
    silence_rank_at_commit,
)


async def run_faults(control: Cluster, group: RankGroup, seed: int) -> None:
    """Run every fault in an order and at moments of the seed."""
    chosen = random.Random(seed)
    order = chosen.sample(EACH_FAULT, len(EACH_FAULT))
    for fault in order:
        await steps_reached(group, group.reached() + chosen.randrange(60), RECOVERY_TIMEOUT_S)
        await fault(control, group, chosen)


class TestGroup:
    @pytest.mark.parametrize(("seed", "fence"), [(1, FenceMode.REFUSES), (2, FenceMode.IGNORES)])
    async def test_one_map_in_every_step(self, tmp_path: Path, seed: int, fence: FenceMode) -> None:
        """Guards against ranks with unequal maps in a step, and a group that stops for good."""
        options = {"settings": {"toml": True, "plan_period_s": 0.2}, "log_files": True}
        async with cluster(tmp_path, **options) as control:
            group = RankGroup(tmp_path, control.clients(), fence, seed)
            try:
                await group.open_links()
                group.start_all()
                await apply_groups(control, fence)
                await steps_reached(group, 20, START_TIMEOUT_S)
                await run_faults(control, group, seed)
                reached, epoch = group.reached(), group.epoch()
                await steps_reached(group, reached + STEPS_AFTER, RECOVERY_TIMEOUT_S)
                await epoch_reached(group, epoch + 1, RECOVERY_TIMEOUT_S)
            finally:
                group.close()
                await group.close_links()
        histories = [group.steps_of(rank) for rank in range(RANKS)]
        assert not faults_of(histories)
        print(f"seed {seed}: {group.reached()} steps, {group.epoch()} epochs")
