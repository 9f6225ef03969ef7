"""Connections that stay silent while new connections work."""

import asyncio
import re
from pathlib import Path

from lycheefall._fakes.forwarder import Forwarder
from processes.callers import read_stream, send_booking, send_short_chat, statistics
from processes.fleet import Fleet, configuration_text, forwarded, running
from processes.test_whole_path import TEAM_HEADERS

# Bound in the targets table of docs/design.md: the time until a silent connection is replaced.
DETECTION_S = 2.0
ENTRY = 3
LONG_TOKENS = 300
# Longer than the bound, so that the booking runs while its connection is silent.
SLOW_SERVICE_S = 3.0


def silence(links: list[Forwarder]) -> None:
    """Silence all connections that are open now."""
    for link in links:
        link.blackhole_open_connections()


class TestSilentLinks:
    async def test_agent(self, tmp_path: Path) -> None:
        """Guards against requests that block on a silent agent, and bookings that run twice."""
        fleet = Fleet(tmp_path, engines=1, services=1)
        fleet.fake_flags["service-0"] = ["--service-s", str(SLOW_SERVICE_S)]
        fleet.assign_addresses()
        names = ("engine-agent-0", "service-agent-0")
        async with forwarded(fleet, *names) as links, running(fleet) as session:
            stream = asyncio.create_task(read_stream(fleet, session, ENTRY, "long", LONG_TOKENS))
            booked = asyncio.create_task(send_booking(fleet, session, ENTRY, "silent"))
            await asyncio.sleep(0.5)
            silence(links)
            async with asyncio.timeout(DETECTION_S):
                answer = await send_short_chat(fleet, session, ENTRY, "asked in silence")
            assert answer == (200, "1000")
            assert (await stream).is_complete
            assert await booked == (200, "1000")
            assert len(fleet.executions()) == 1

    async def test_control_of_entry(self, tmp_path: Path) -> None:
        """Guards against bookings that block on a silent connection to control."""
        fleet = Fleet(tmp_path, engines=1, services=1)
        fleet.assign_addresses()
        names = [f"entry-{ENTRY}:client-{n}" for n in range(fleet.replicas)]
        async with forwarded(fleet, *names) as links, running(fleet) as session:
            silence(links)
            async with asyncio.timeout(DETECTION_S):
                answer = await send_booking(fleet, session, ENTRY, "silent")
            assert answer == (200, "1000")
            assert len(fleet.executions()) == 1
            await asyncio.sleep(DETECTION_S)
            async with session.get(fleet.url(0, "/v1/entries"), headers=TEAM_HEADERS) as response:
                named = (await response.json())["addresses"]
            assert fleet.addresses[f"entry-{ENTRY}"] in named

    async def test_control_of_agent(self, tmp_path: Path) -> None:
        """Guards against an agent that misses a drain, or that control removes as silent."""
        fleet = Fleet(tmp_path, engines=2, services=1)
        fleet.assign_addresses()
        names = [f"engine-0-agent:client-{n}" for n in range(fleet.replicas)]
        async with forwarded(fleet, *names) as links, running(fleet) as session:
            silence(links)
            text = configuration_text(1, engine_drain=("engine-0",))
            applied = await asyncio.to_thread(fleet.apply, text)
            assert applied.returncode == 0, applied.stderr
            await asyncio.sleep(DETECTION_S)
            before = (await statistics(fleet, session, "engine-0"))["submitted"]
            answers = [
                await send_short_chat(fleet, session, n % 4, f"drained {n}") for n in range(40)
            ]
            assert set(answers) == {(200, "1000")}
            assert (await statistics(fleet, session, "engine-0"))["submitted"] == before
            status = await asyncio.to_thread(fleet.command, "status", "--control", fleet.control)
            assert re.search("engine-0.*draining", status.stdout), status.stdout
