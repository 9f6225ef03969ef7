"""A lookup at a service that freezes, with separate processes."""

import asyncio
from collections import Counter
from pathlib import Path

from lycheefall._wire.problem import UPSTREAM_HEADER
from processes.fleet import Fleet, configuration_text, running
from processes.test_whole_path import TEAM


class TestHedging:
    async def test_frozen_service(self, tmp_path: Path) -> None:
        """Guards against a lookup that is lost with a service that stops answering."""
        fleet = Fleet(tmp_path, engines=1, services=3, entries=1, replicas=1)
        fleet.plan()
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
            fleet.pause(frozen)
            found = await asyncio.gather(*(look(f"frozen-{number}") for number in range(9)))
            hedges = (tmp_path / "entry-0.log").read_text().count('"request_hedged"')
        assert {code for code, _ in found} == {"1000"}, hedges
        assert 0 < hedges <= 3 + 0.05 * 220
