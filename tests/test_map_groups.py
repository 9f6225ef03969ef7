"""Tests of the state that the map coordinator keeps of pools and groups."""

import asyncio
from random import Random

import msgspec
import pytest
from msgspec import structs

from lycheefall._core.expert_maps import MapVersion
from lycheefall._core.ids import GroupId
from lycheefall._core.pipeline import Inbox
from lycheefall._core.relay import UpstreamRecord
from lycheefall._relay.connection_pool import ConnectionPool
from lycheefall._relay.map_coordinator import Coordinator, run_coordinator
from lycheefall._relay.map_groups import (
    Group,
    Pool,
    check_group,
    slow_ranks,
    update_groups,
    update_paces,
)
from lycheefall._relay.messages import CheckGroups
from lycheefall._relay.rank_calls import Rank
from lycheefall._relay.settings import DEFAULT_LINK_BYTES_PER_S
from relay_values import ENGINE, LAYOUT, POOL, record
from run_role import platform_dialect
from upstream_double import Exchange, complete_response, upstream

ADDRESS = "127.0.0.1:1"
GROUP_REPORT = {"Name": "g", "epoch": 1, "rank": 0, "State": "open"}


def ranks(count: int, group: str = "g") -> list:
    """Return the records of the ranks of a group."""
    return [
        record(f"{group}{rank}", rank=rank, group=group, address=ADDRESS) for rank in range(count)
    ]


def new_rank(upstream: UpstreamRecord) -> Rank:
    """Return the client of a rank."""
    return Rank(
        upstream,
        platform_dialect(),
        ConnectionPool(),
        DEFAULT_LINK_BYTES_PER_S,
        lambda record, head: None,
    )


class TestUpdateGroups:
    def update(self, pool: Pool, *records: object) -> None:
        update_groups(pool, records, new_rank)  # type: ignore[arg-type]

    def test_members_are_ordered_by_rank(self) -> None:
        """Guards against orders that are sent to the wrong rank."""
        pool = Pool(POOL, ENGINE, LAYOUT)
        self.update(pool, *reversed(ranks(4)))
        members = pool.groups[GroupId("g")].members
        assert [each.record.upstream for each in members] == ["g0", "g1", "g2", "g3"]

    def test_missing_rank(self) -> None:
        """Guards against a map change that omits a rank."""
        pool = Pool(POOL, ENGINE, LAYOUT)
        self.update(pool, *ranks(4)[:1], *ranks(4)[2:])
        assert pool.groups[GroupId("g")].members == []

    def test_removed_group(self) -> None:
        """Guards against checks that wait for the ranks of a removed group."""
        pool = Pool(POOL, ENGINE, LAYOUT)
        self.update(pool, *ranks(4), *ranks(4, "h"))
        self.update(pool, *ranks(4, "h"))
        assert pool.groups[GroupId("g")].members == []
        assert len(pool.groups[GroupId("h")].members) == 4

    def test_latest_start_of_a_rank(self) -> None:
        """Guards against orders to an upstream that was replaced at its rank."""
        pool = Pool(POOL, ENGINE, LAYOUT)
        self.update(pool, *ranks(2), record("new", rank=1, start_time_ms=2000))
        assert pool.groups[GroupId("g")].members[1].record.upstream == "new"


async def test_changed_layout() -> None:
    """Guards against maps planned for the layout of a previous configuration."""
    engines = [ENGINE]
    inbox: Inbox = Inbox(10)
    state = Coordinator(
        inbox=inbox,
        new_rank=new_rank,
        records=lambda: tuple(ranks(2)),
        engine_of=lambda pool: engines[-1],
        utilization_of=lambda pool: 0.0,
        may_coordinate=lambda: True,
        random=Random(1),
    )
    task = asyncio.create_task(run_coordinator(state))
    try:
        await inbox.put(CheckGroups())
        await asyncio.sleep(0.05)
        state.pools[POOL].groups[GroupId("g")].version = MapVersion(7)
        engines.append(structs.replace(ENGINE, layout=structs.replace(LAYOUT, experts=32)))
        await inbox.put(CheckGroups())
        await asyncio.sleep(0.05)
        assert state.pools[POOL].layout.experts == 32
        assert state.pools[POOL].groups[GroupId("g")].version == 0
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(
    "odd_sets",
    [[[0, 2, 4]], [[0, 99], [1]], [[], []], [[0, 2, 4, 6, 8, 10, 12], [0, 2]], []],
    ids=["one set", "unknown expert", "no experts", "missing expert", "no sets"],
)
async def test_reported_map_of_another_layout(odd_sets: list[list[int]]) -> None:
    """Guards against a map report that ends the coordinator while it plans."""
    status = {"Sequence": 0, "size": 2, "Map": 5, "group": GROUP_REPORT}
    rank_map = {"epoch": 1, "Map": {"Version": 5, "Experts": odd_sets}}

    async def respond(exchange: Exchange) -> None:
        is_map = "Lists" in exchange.received.request_line
        body = msgspec.json.encode(rank_map if is_map else status)
        await exchange.send(complete_response(exchange.received, body))

    group = Group(GroupId("g"))
    async with upstream(respond) as double:
        group.members = [
            new_rank(record(f"g{rank}", rank=rank, address=double.address)) for rank in range(2)
        ]
        await check_group(group, LAYOUT)
    assert group.status is not None
    assert group.active_map is None


class TestPaces:
    async def test_read_while_passes_are_long(self) -> None:
        """Guards against a slow rank that is not noticed, or reads that go on without a cause."""
        paces = {"g0": 1.1, "g1": 3.0}
        reads = 0

        async def respond(exchange: Exchange) -> None:
            nonlocal reads
            reads += 1
            name = exchange.received.headers["expect-instance"]
            body = msgspec.json.encode({"Sequence": 0, "pace": paces[name]})
            await exchange.send(complete_response(exchange.received, body))

        async with upstream(respond) as double:
            pool = Pool(POOL, ENGINE, LAYOUT)
            records = [record(f"g{rank}", rank=rank, address=double.address) for rank in range(2)]
            update_groups(pool, records, new_rank)
            group = pool.groups[GroupId("g")]
            await update_paces(group, are_passes_long=False)
            assert reads == 0
            await update_paces(group, are_passes_long=True)
            assert group.paces == (1.0, 3.0)
            assert [each.upstream for each in slow_ranks([pool])] == ["g1"]
            # A slow rank is read again until it has recovered, but not at every check.
            await update_paces(group, are_passes_long=False)
            assert reads == 2
            group.next_paces_s = float("-inf")
            paces["g1"] = 1.0
            await update_paces(group, are_passes_long=False)
            assert slow_ranks([pool]) == ()
