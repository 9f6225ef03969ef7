"""A lookup at a service that freezes, with separate processes."""

import asyncio
import json
from collections import Counter
from pathlib import Path

from lycheefall._wire.problem import UPSTREAM_HEADER
from processes.fleet import Fleet, configuration_text, running
from processes.test_whole_path import TEAM

# Of a random choice among three services, this many leave out none.
MOST_LOOKUPS = 200


class TestHedging:
    async def test_frozen_service(self, tmp_path: Path) -> None:
        """Guards against a lookup that is lost with a service that stops answering."""
        fleet = Fleet(tmp_path, engines=1, services=3, entries=1, replicas=1)
        fleet.assign_addresses()
        async with running(fleet) as session:

            async def look(name: str) -> tuple[str, str]:
                url = fleet.url(0, f"/v1/services/counter/balances/{name}")
                async with session.get(url, headers=TEAM) as response:
                    await response.read()
                    answer = response.headers
                    return answer["X-Lycheefall-Code"], answer.get(UPSTREAM_HEADER, "")

            # Above what a busy machine delays, so that the budget is whole at the freeze.
            text = configuration_text(1, limits="hedge_floor_s = 0.3")
            assert (await asyncio.to_thread(fleet.apply, text)).returncode == 0
            for turn in range(20):
                found = await asyncio.gather(*(look(f"{turn}-{number}") for number in range(10)))
            # The one that the entry prefers, so that lookups are sent to it.
            ((frozen, _),) = Counter(upstream for _, upstream in found).most_common(1)
            routed = routes_to(tmp_path, frozen)
            fleet.pause(frozen)
            found = []
            # The entry chooses by load and delay, so a round may leave out the frozen service.
            while routes_to(tmp_path, frozen) == routed and len(found) < MOST_LOOKUPS:
                names = [f"frozen-{len(found) + number}" for number in range(9)]
                found += await asyncio.gather(*(look(name) for name in names))
            hedges = entry_log(tmp_path).count('"request_hedged"')
        assert {code for code, _ in found} == {"1000"}, hedges
        assert 0 < hedges <= 3 + 0.05 * (211 + len(found))


def entry_log(folder: Path) -> str:
    """Return what the entry wrote."""
    return (folder / "entry-0.log").read_text()


def routes_to(folder: Path, name: str) -> int:
    """Return how many requests the entry has sent to an upstream."""
    lines = [json.loads(line) for line in entry_log(folder).splitlines() if line.startswith("{")]
    return sum(line["event"] == "request_routed" and line.get("upstream") == name for line in lines)
