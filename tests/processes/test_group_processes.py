"""Tests of a group of ranks, with each agent, runtime and control replica in its own process."""

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
from processes.control_harness import Cluster, client_of, cluster
from processes.rank_group import (
    RANKS,
    RankGroup,
    configuration_text,
    find_coordinator,
    find_violations,
    wait_for_prepared_map,
)

pytestmark = pytest.mark.processes

START_TIMEOUT_S = 15.0
RECOVERY_TIMEOUT_S = 15.0
STEPS_AFTER_FAULTS = 100
# Pauses of coordinators, each about as long as a lease.
PAUSES = 8


async def wait_for_steps(group: RankGroup, number: int, timeout_s: float) -> None:
    """Wait until every rank has entered this many steps."""
    try:
        async with asyncio.timeout(timeout_s):
            while group.entered_steps() < number:
                await asyncio.sleep(0.05)
    except TimeoutError as error:
        raise TimeoutError(group.describe()) from error


async def wait_for_epoch(group: RankGroup, epoch: int, timeout_s: float) -> None:
    """Wait until the ranks use this epoch or a later one."""
    try:
        async with asyncio.timeout(timeout_s):
            while group.epoch() < epoch:
                await asyncio.sleep(0.05)
    except TimeoutError as error:
        raise TimeoutError(group.describe()) from error


async def apply_groups(control: Cluster, fence: FenceMode) -> None:
    """Apply a configuration with the group."""
    text = configuration_text(fence)
    async with client_of(control.clients()) as client:
        result = await client.propose(ApplyFile(NO_REVISION, digest_of(text), text), 10.0)
    assert isinstance(result, FileResult) and result.code is ResultCode.OK, result


Fault = Callable[[Cluster, RankGroup, random.Random], Awaitable[None]]


async def kill_coordinator(control: Cluster, group: RankGroup, rng: random.Random) -> None:
    """Kill the coordinator, at an arbitrary time or around a commit, and restart it."""
    name = find_coordinator(control)
    if rng.random() < 0.5:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            name = await wait_for_prepared_map(control)
        await asyncio.sleep(rng.uniform(0.0, 0.01))
    control.kill(name)
    await control.start(name)


async def pause_coordinator(control: Cluster, group: RankGroup, rng: random.Random) -> None:
    name = find_coordinator(control)
    control.pause(name)
    # Shorter and longer than the lease of the coordinator, which is 2 s.
    await asyncio.sleep(rng.choice([0.3, 1.0, 2.5]))
    control.resume(name)


async def restart_agent(control: Cluster, group: RankGroup, rng: random.Random) -> None:
    name = f"agent-{rng.randrange(RANKS)}"
    group.kill(name)
    group.start(name)


async def stall_rank(control: Cluster, group: RankGroup, rng: random.Random) -> None:
    name = f"{rng.choice(['runtime', 'agent'])}-{rng.randrange(RANKS)}"
    group.pause(name)
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    group.resume(name)


async def isolate_rank_at_commit(control: Cluster, group: RankGroup, rng: random.Random) -> None:
    """Block the messages from control to one rank while the others receive a commit."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        await wait_for_prepared_map(control)
    for link in group.links:
        link.block(to_target=False)
    # Longer than the steps that the rank may enter without a new permit, which take about 1 s.
    await asyncio.sleep(rng.uniform(2.0, 2.5))
    for link in group.links:
        link.heal()


FAULTS: tuple[Fault, ...] = (
    kill_coordinator,
    pause_coordinator,
    restart_agent,
    stall_rank,
    isolate_rank_at_commit,
)


async def inject_faults(control: Cluster, group: RankGroup, seed: int) -> None:
    """Inject each fault once; the seed determines their order and times."""
    rng = random.Random(seed)
    order = rng.sample(FAULTS, len(FAULTS))
    for fault in order:
        await wait_for_steps(group, group.entered_steps() + rng.randrange(60), RECOVERY_TIMEOUT_S)
        await fault(control, group, rng)


class TestGroup:
    @pytest.mark.parametrize(("seed", "fence"), [(1, FenceMode.REFUSES), (2, FenceMode.IGNORES)])
    async def test_one_map_in_every_step(self, tmp_path: Path, seed: int, fence: FenceMode) -> None:
        """Guards against ranks with different maps in a step, and a group that stops forever."""
        options = {"settings": {"toml": True, "plan_period_s": 0.2}, "log_files": True}
        async with cluster(tmp_path, **options) as control:
            group = RankGroup(tmp_path, control.clients(), fence, seed)
            try:
                await group.open_links()
                group.start_all()
                await apply_groups(control, fence)
                await wait_for_steps(group, 20, START_TIMEOUT_S)
                await inject_faults(control, group, seed)
                reached, epoch = group.entered_steps(), group.epoch()
                await wait_for_steps(group, reached + STEPS_AFTER_FAULTS, RECOVERY_TIMEOUT_S)
                await wait_for_epoch(group, epoch + 1, RECOVERY_TIMEOUT_S)
            finally:
                group.close()
                await group.close_links()
        histories = [group.read_steps(rank) for rank in range(RANKS)]
        assert not find_violations(histories)
        print(f"seed {seed}: {group.entered_steps()} steps, {group.epoch()} epochs")


class TestLease:
    async def test_pauses_about_the_length_of_a_lease(self, tmp_path: Path) -> None:
        """Guards against a coordinator that keeps a lease that it can't use, so the group stops."""
        options = {"settings": {"toml": True, "plan_period_s": 0.2}, "log_files": True}
        rng = random.Random(3)
        async with cluster(tmp_path, **options) as control:
            group = RankGroup(tmp_path, control.clients(), FenceMode.REFUSES, 3)
            try:
                await group.open_links()
                group.start_all()
                await apply_groups(control, FenceMode.REFUSES)
                await wait_for_steps(group, 20, START_TIMEOUT_S)
                for _ in range(PAUSES):
                    name = find_coordinator(control)
                    control.pause(name)
                    await asyncio.sleep(rng.uniform(1.5, 2.1))
                    control.resume(name)
                    reached = group.entered_steps()
                    await wait_for_steps(group, reached + STEPS_AFTER_FAULTS, RECOVERY_TIMEOUT_S)
            finally:
                group.close()
                await group.close_links()
        assert not find_violations([group.read_steps(rank) for rank in range(RANKS)])
