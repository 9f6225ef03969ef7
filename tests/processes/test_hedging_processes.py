"""Hedged lookups with a service that is paused, with separate processes."""

import asyncio
import json
from collections import Counter
from pathlib import Path

from lycheefall._wire.problem import UPSTREAM_HEADER
from processes.fleet import Fleet, configuration_text, running
from processes.test_whole_path import TEAM_HEADERS

# A random choice among three services selects each of them within this many lookups.
MAX_LOOKUPS = 200


class TestHedging:
    async def test_frozen_service(self, tmp_path: Path) -> None:
        """Guards against a lookup that fails because its service stops answering."""
        fleet = Fleet(tmp_path, engines=1, services=3, entries=1, replicas=1)
        fleet.assign_addresses()
        async with running(fleet) as session:

            async def look_up(name: str) -> tuple[str, str]:
                url = fleet.url(0, f"/v1/services/counter/balances/{name}")
                async with session.get(url, headers=TEAM_HEADERS) as response:
                    await response.read()
                    answer = response.headers
                    return answer["X-Lycheefall-Code"], answer.get(UPSTREAM_HEADER, "")

            # Above the delays of a busy machine, so that the hedge budget is full at the pause.
            text = configuration_text(1, limits="hedge_floor_s = 0.3")
            assert (await asyncio.to_thread(fleet.apply, text)).returncode == 0
            for batch in range(20):
                answers = await asyncio.gather(
                    *(look_up(f"{batch}-{number}") for number in range(10))
                )
            # The service that received most lookups, so that further lookups are routed to it.
            ((paused, _),) = Counter(upstream for _, upstream in answers).most_common(1)
            routed = routes_to(tmp_path, paused)
            fleet.pause(paused)
            answers = []
            # The entry selects by load and latency, so a batch may not reach the paused service.
            while routes_to(tmp_path, paused) == routed and len(answers) < MAX_LOOKUPS:
                names = [f"frozen-{len(answers) + number}" for number in range(9)]
                answers += await asyncio.gather(*(look_up(name) for name in names))
            hedges = entry_log(tmp_path).count('"request_hedged"')
        assert {code for code, _ in answers} == {"1000"}, hedges
        # The hedge budget of a team starts at 3, and each lookup adds 0.05.
        assert 0 < hedges <= 3 + 0.05 * (211 + len(answers))


def entry_log(folder: Path) -> str:
    """Return the log of the entry."""
    return (folder / "entry-0.log").read_text()


def routes_to(folder: Path, name: str) -> int:
    """Return how many requests the entry has routed to an upstream."""
    lines = [json.loads(line) for line in entry_log(folder).splitlines() if line.startswith("{")]
    return sum(line["event"] == "request_routed" and line.get("upstream") == name for line in lines)
