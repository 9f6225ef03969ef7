"""Tests of what the coordinator of expert maps knows of pools and groups."""

import asyncio
from random import Random

from msgspec import structs

from lycheefall._core.expert_maps import MapVersion
from lycheefall._core.ids import GroupId
from lycheefall._core.pipeline import Inbox
from lycheefall._relay.connection_pool import ConnectionPool
from lycheefall._relay.map_coordinator import Coordinator, run_coordinator
from lycheefall._relay.map_groups import Pool, find_groups
from lycheefall._relay.messages import CheckGroups
from relay_values import LAYOUT, POOL, record
from run_role import platform_dialect

ADDRESS = "127.0.0.1:1"


def ranks(count: int, group: str = "g") -> list:
    """Return the records of a group's ranks."""
    return [
        record(f"{group}{rank}", rank=rank, group=group, address=ADDRESS) for rank in range(count)
    ]


class TestFindGroups:
    def find(self, pool: Pool, *known: object) -> None:
        find_groups(pool, known, platform_dialect(), ConnectionPool())  # type: ignore[arg-type]

    def test_in_the_order_of_ranks(self) -> None:
        """Guards against orders that reach the wrong rank."""
        pool = Pool(POOL, LAYOUT)
        self.find(pool, *reversed(ranks(4)))
        members = pool.groups[GroupId("g")].members
        assert [each.record.upstream for each in members] == ["g0", "g1", "g2", "g3"]

    def test_missing_rank(self) -> None:
        """Guards against a change that leaves out a rank."""
        pool = Pool(POOL, LAYOUT)
        self.find(pool, *ranks(4)[:1], *ranks(4)[2:])
        assert pool.groups[GroupId("g")].members == []

    def test_group_that_is_gone(self) -> None:
        """Guards against looks that wait for all the ranks of a group that was taken away."""
        pool = Pool(POOL, LAYOUT)
        self.find(pool, *ranks(4), *ranks(4, "h"))
        self.find(pool, *ranks(4, "h"))
        assert pool.groups[GroupId("g")].members == []
        assert len(pool.groups[GroupId("h")].members) == 4

    def test_latest_start_of_a_rank(self) -> None:
        """Guards against orders to an upstream whose rank was taken over."""
        pool = Pool(POOL, LAYOUT)
        self.find(pool, *ranks(2), record("new", rank=1, start_time_ms=2000))
        assert pool.groups[GroupId("g")].members[1].record.upstream == "new"


async def test_changed_layout() -> None:
    """Guards against maps that are planned for the layout of an earlier configuration."""
    layouts = [LAYOUT]
    inbox: Inbox = Inbox(10)
    state = Coordinator(
        dialect=platform_dialect(),
        inbox=inbox,
        records=lambda: tuple(ranks(2)),
        layout_of=lambda pool: layouts[-1],
        utilization_of=lambda pool: 0.0,
        may_coordinate=lambda: True,
        connections=ConnectionPool(),
        random=Random(1),
    )
    running = asyncio.create_task(run_coordinator(state))
    try:
        await inbox.put(CheckGroups())
        await asyncio.sleep(0.05)
        state.pools[POOL].groups[GroupId("g")].version = MapVersion(7)
        layouts.append(structs.replace(LAYOUT, experts=32))
        await inbox.put(CheckGroups())
        await asyncio.sleep(0.05)
        assert state.pools[POOL].layout.experts == 32
        assert state.pools[POOL].groups[GroupId("g")].version == 0
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
