"""Upstreams that drain under load, with control reachable, partitioned or killed."""

import asyncio
import subprocess
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import pytest

from processes.callers import StreamedAnswer, read_stream, short_load, statistics
from processes.control_harness import eventually
from processes.fleet import Fleet, configuration_text, forwarded, running

# Bound in the targets table of docs/design.md: how long a draining upstream may get new work.
DRAIN_BOUND_S = 2.0
# Duration of the load after the bound.
OBSERVATION_S = 1.5
LONG_TOKENS = 250
LONG_STREAMS = 8
# An entry that runs no control replica.
ENTRY_WITHOUT_REPLICA = 3
END_TIMEOUT_S = 20.0
LEAVING = ("engine-0", "service-0")
STAYING = ("engine-1", "service-1")

# Starts a drain and returns the processes that must then exit by themselves.
StartDrain = Callable[[Fleet], Awaitable[list[subprocess.Popen[bytes]]]]


async def drain_by_file(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Apply a configuration file that drains the leaving upstreams."""
    text = configuration_text(1, engine_drain=("engine-0",), service_drain=("service-0",))
    applied = await asyncio.to_thread(fleet.apply, text)
    assert applied.returncode == 0, applied.stdout + applied.stderr
    return []


async def drain_by_signal(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Send SIGTERM to the agents of the leaving upstreams."""
    return [fleet.terminate(f"{name}-agent") for name in LEAVING]


async def drain_and_kill_control(fleet: Fleet) -> list[subprocess.Popen[bytes]]:
    """Send SIGTERM to the agents, then kill all control replicas with their entries."""
    agents = await drain_by_signal(fleet)
    for number in range(fleet.replicas):
        fleet.kill(f"entry-{number}")
    return agents


async def count_requests(fleet: Fleet, session: aiohttp.ClientSession, name: str) -> int:
    """Return the number of requests that an upstream has accepted."""
    if name.startswith("service"):
        return len(fleet.executions_of(name))
    return (await statistics(fleet, session, name))["submitted"]


async def check_drain(
    fleet: Fleet, session: aiohttp.ClientSession, start_drain: StartDrain, entries: range
) -> None:
    """Start a drain under load, then compare the accepted requests after the bound."""
    long_entries = [entries[number % len(entries)] for number in range(LONG_STREAMS)]
    streams = [
        asyncio.create_task(read_stream(fleet, session, entry, f"long {number}", LONG_TOKENS))
        for number, entry in enumerate(long_entries)
    ]
    async with short_load(fleet, session, entries) as answers:
        await asyncio.sleep(1.0)
        agents = await start_drain(fleet)
        await asyncio.sleep(DRAIN_BOUND_S)
        before = {name: await count_requests(fleet, session, name) for name in LEAVING + STAYING}
        await asyncio.sleep(OBSERVATION_S)
        after = {name: await count_requests(fleet, session, name) for name in LEAVING + STAYING}
        results: list[StreamedAnswer] = await asyncio.gather(*streams)
    print(
        f"work after {DRAIN_BOUND_S} s {before}, {OBSERVATION_S} s later {after}, {answers.codes}"
    )
    assert [after[name] for name in LEAVING] == [before[name] for name in LEAVING]
    assert all(answers.run_count("chat", entry) for entry in entries)
    assert after["engine-1"] > before["engine-1"]
    assert all(each.is_complete for each in results)
    for name in ("engine-0", "engine-1"):
        assert (await statistics(fleet, session, name))["withdrawn"] == 0
    for process in agents:
        await eventually(lambda each=process: each.poll() is not None, END_TIMEOUT_S)
        assert process.returncode == 0


def make_fleet(folder: Path) -> Fleet:
    """Return a fleet with two upstreams of each kind."""
    fleet = Fleet(folder, engines=2, services=2)
    fleet.assign_addresses()
    return fleet


class TestLeaving:
    @pytest.mark.parametrize("start_drain", [drain_by_file, drain_by_signal])
    async def test_no_new_work(self, tmp_path: Path, start_drain: StartDrain) -> None:
        """Guards against new work at a draining upstream and against aborting its running requests.

        Three entries reach control; the fourth is partitioned from it before the drain starts.
        """
        fleet = make_fleet(tmp_path)
        names = [f"entry-{ENTRY_WITHOUT_REPLICA}:client-{n}" for n in range(fleet.replicas)]
        async with forwarded(fleet, *names) as links, running(fleet) as session:
            for link in links:
                link.block()
            await check_drain(fleet, session, start_drain, range(4))

    async def test_control_lost(self, tmp_path: Path) -> None:
        """Guards against a drain that stops when all control replicas are killed."""
        fleet = make_fleet(tmp_path)
        async with running(fleet) as session:
            await check_drain(
                fleet, session, drain_and_kill_control, range(ENTRY_WITHOUT_REPLICA, 4)
            )
