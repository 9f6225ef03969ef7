"""Tests of replicas whose disks are full one after the other, never two at once."""

import asyncio
import resource
from pathlib import Path

import pytest

from processes.platform_harness import PlatformCluster, start_platform

pytestmark = pytest.mark.processes

FULL_S = 1.6
CHANGE_PERIOD_S = 0.25
# The users' bound for the acknowledgement of a change while no disk is full.
ACKNOWLEDGED_S = 4.0
CHANGES_AFTER = 8


def fill_disk(cluster: PlatformCluster, name: str) -> None:
    """Refuse every write of a replica to a file."""
    _limit_file_size(cluster, name, 1)


def free_disk(cluster: PlatformCluster, name: str) -> None:
    """Accept writes again."""
    _limit_file_size(cluster, name, resource.RLIM_INFINITY)


def _limit_file_size(cluster: PlatformCluster, name: str, size_bytes: int) -> None:
    process = cluster.machines[name].process
    assert process is not None and process.returncode is None, f"{name} has ended"
    limits = (size_bytes, resource.RLIM_INFINITY)
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limits)


async def change_until(cluster: PlatformCluster, stopped: asyncio.Event) -> int:
    """Send changes without a pause for the answers, and return the number of the last one."""
    version = cluster.version
    tasks: set[asyncio.Task[int]] = set()
    while not stopped.is_set():
        version += 1
        changed = cluster.file | {"Version": version}
        tasks.add(asyncio.create_task(cluster.put_file(changed, 30.0)))
        await asyncio.sleep(CHANGE_PERIOD_S)
    results = await asyncio.gather(*tasks)
    assert set(results) == {200}
    return version


async def leaders(cluster: PlatformCluster) -> list[str]:
    """Return the replicas that a log line names as leader last, the latest first."""
    changes = [
        (each["timestamp"], machine.name)
        for machine in cluster.with_role("control")
        for each in cluster.events(machine.name)
        if each.get("event") == "role_changed" and each["role"] == "leader"
    ]
    return [name for _, name in sorted(changes, reverse=True)]


async def check_after(cluster: PlatformCluster) -> None:
    """Check that each change is acknowledged in time, and read back from each replica."""
    loop = asyncio.get_running_loop()
    for _ in range(CHANGES_AFTER):
        started_s = loop.time()
        await cluster.change_file()
        assert loop.time() - started_s < ACKNOWLEDGED_S
    for machine in cluster.with_role("control"):
        held = await cluster.read_file(machine)
        assert held is not None and held["Version"] == cluster.version


class TestFullDisksInTurn:
    async def test_changes_go_on(self, tmp_path: Path) -> None:
        """Guards against changes that stay unanswered after the last disk has room again."""
        async with start_platform(tmp_path, 5, 0) as cluster:
            stopped = asyncio.Event()
            changing = asyncio.create_task(change_until(cluster, stopped))
            names = [each.name for each in cluster.with_role("control")]
            for name in [*names, *(await leaders(cluster))[:1], *names[:1]]:
                fill_disk(cluster, name)
                await asyncio.sleep(FULL_S)
                free_disk(cluster, name)
            stopped.set()
            cluster.version = await changing
            await check_after(cluster)

    async def test_restart_while_full(self, tmp_path: Path) -> None:
        """Guards against a replica that takes no part any more after a start with a full disk."""
        async with start_platform(tmp_path, 5, 0) as cluster:
            stopped = asyncio.Event()
            changing = asyncio.create_task(change_until(cluster, stopped))
            for name in [*(await leaders(cluster))[:1], "control0", "control4"]:
                fill_disk(cluster, name)
                await asyncio.sleep(FULL_S / 2)
                await cluster.kill(name)
                await cluster.start(name)
                fill_disk(cluster, name)
                await asyncio.sleep(FULL_S / 2)
                process = cluster.machines[name].process
                assert process is not None
                if process.returncode is None:
                    free_disk(cluster, name)
                else:
                    # The platform starts a process that has ended again.
                    await cluster.start(name)
            stopped.set()
            cluster.version = await changing
            await check_after(cluster)
