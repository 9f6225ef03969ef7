"""Ranks of one simulated group that serve streams and the orders of map coordinators over HTTP."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import Any

from lycheefall._core.expert_maps import (
    Arm,
    Disarm,
    Go,
    Hold,
    MapVersion,
    PassNumber,
    Prepare,
    RankOrder,
)
from lycheefall._rules.map_rollout import Reply
from processes.platform_harness import PlatformCluster, announced_upstream
from rank_simulation import RankSimulation
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

RANKS = 4
EXPERTS = 16
EVENTS = 30
POOL = "engines"
# Selections of a popular expert, and of another one, in each pass.
POPULAR_COUNT = 40
OTHER_COUNT = 1
WATCH_PERIOD_S = 0.01
ENGINE = {
    "Slots": 6,
    "KvCapacityTokens": 186_000,
    "step_ms": 5.85,
    "per_seq_ms": 0.71,
    "context_per_k": 0.072,
    "read_per_s": 61_200.0,
    "pairs_per_m": 0.325,
    "chunk": 512,
    "Stride": 5,
    "usual": {"prompt": 100, "answer": 100},
    "Sets": 1,
    "Experts": EXPERTS,
    "Placements": 6,
    "Spare": 2,
    "ExpertMb": 1.0,
    "ExpertShare": 0.85,
    "LinkMbps": 400.0,
}

# Called with an order and the rank before it is carried out, or after; returns whether the order
# is carried out or its answer sent.
OrderHook = Callable[[int, RankOrder], bool]


@dataclass
class RankServers:
    """The ranks of a group, the demand for experts, and what happened to their passes."""

    simulation: RankSimulation = field(default_factory=lambda: RankSimulation(count=RANKS))
    before_order: OrderHook = lambda rank, order: True
    after_order: OrderHook = lambda rank, order: True
    popular: frozenset[int] = frozenset(range(0, EXPERTS, RANKS))
    # Entries to which callers send no further streams.
    without_callers: set[str] = field(default_factory=set)
    counts: list[int] = field(default_factory=lambda: [0] * EXPERTS)
    # When each pass was first seen.
    pass_times_s: list[float] = field(default_factory=list)

    async def watch(self) -> None:
        """Record the passes, and count the selections of experts in each, until cancelled."""
        seen = -1
        while True:
            for _ in range(max(0, self.simulation.step - seen)):
                self.pass_times_s.append(asyncio.get_running_loop().time())
                for expert in range(EXPERTS):
                    is_popular = expert in self.popular
                    self.counts[expert] += POPULAR_COUNT if is_popular else OTHER_COUNT
            seen = self.simulation.step
            await asyncio.sleep(WATCH_PERIOD_S)

    def longest_pause_s(self, since_s: float) -> float:
        """Return the longest time between two passes, or since the last one, from a moment on."""
        now_s = asyncio.get_running_loop().time()
        times = [since_s, *(each for each in self.pass_times_s if each >= since_s), now_s]
        return max(after - before for before, after in pairwise(times))

    async def wait_for_switch(self) -> None:
        """Wait until the first rank uses another map than map 0."""
        while not self.simulation.ranks[0].experts:
            await asyncio.sleep(WATCH_PERIOD_S)

    def shift_demand(self) -> None:
        """Make experts of the first rank popular, whatever the map."""
        self.popular = frozenset(self.simulation.ranks[0].experts[0][0][:4])

    def check(self) -> None:
        """Fail if a pass began with different maps."""
        failed = [each.exception() for each in self.simulation.tasks if each.done()]
        assert [each for each in failed if each is not None] == []

    async def answer(self, rank: int, exchange: Exchange) -> None:
        """Answer a request to a rank."""
        path = exchange.received.request_line.split(" ")[1]
        if path == "/-/order":
            await self._answer_order(rank, exchange)
        elif path.startswith("/-/"):
            body = json.dumps(await self._read(rank, path)).encode()
            await exchange.send(complete_response(exchange.received, body))
        else:
            await self._stream(exchange)

    async def _answer_order(self, rank: int, exchange: Exchange) -> None:
        order = decode_order(json.loads(exchange.received.body))
        if not self.before_order(rank, order):
            return
        reply = await self.simulation.order(rank, order)
        if not self.after_order(rank, order) or reply is Reply.UNANSWERED:
            return
        status = "202 Accepted" if reply is Reply.TAKEN else "409 Conflict"
        await exchange.send(complete_response(exchange.received, b"{}", status))

    async def _read(self, rank: int, path: str) -> dict[str, Any]:
        simulation = self.simulation
        status = await simulation.status(rank)
        if path == "/-/picked":
            return {"step": simulation.step, "epoch": simulation.epoch, "Counts": self.counts}
        if path.startswith("/-/picked"):
            state = simulation.ranks[rank]
            experts = [each[rank] for each in state.experts]
            loaded = {"Version": state.version, "Experts": experts}
            return {"step": simulation.step, "epoch": simulation.epoch, "Map": loaded}
        assert status is not None and status.membership is not None
        return {
            "Sequence": status.sequence,
            "Running": status.running,
            "step": status.step,
            "size": status.ranks,
            "group": group_field(rank, status.membership.epoch),
            "Map": {"Version": status.map_version},
            "Prepared": {"Version": status.prepared} if status.prepared else None,
            "Armed": {"Version": status.armed} if status.armed else None,
            "held": status.paused_before,
        }

    async def _stream(self, exchange: Exchange) -> None:
        """Send an event with each pass."""
        await exchange.send(stream_head(exchange.received))
        for number in range(EVENTS):
            step = self.simulation.step
            while self.simulation.step == step:
                await asyncio.sleep(WATCH_PERIOD_S)
            await exchange.send(chunk(event(number)))
        await exchange.send(LAST_CHUNK)


def decode_order(body: dict[str, Any]) -> RankOrder:
    """Return the order in a body."""
    epoch, expected = body["epoch"], body.get("Expected", 0)
    version, step = MapVersion(body.get("Version", 0)), PassNumber(body.get("step", 0))
    match body["Op"]:
        case "prepare":
            experts = tuple(tuple(tuple(rank) for rank in each) for each in body["Map"])
            return Prepare(version=version, experts=experts, epoch=epoch, expected=expected)
        case "arm":
            return Arm(version=version, step=step, epoch=epoch, expected=expected)
        case "disarm":
            return Disarm(version=version, epoch=epoch, expected=expected)
        case "Hold":
            return Hold(step=step, epoch=epoch, expected=expected)
        case "go":
            return Go(step=step, epoch=epoch)
    raise AssertionError(body)


def group_field(rank: int, epoch: int) -> dict[str, Any]:
    """Return the group of a rank, as reports and announcements have it."""
    return {"Name": "g", "epoch": epoch, "rank": rank, "State": "open"}


@asynccontextmanager
async def running_ranks(cluster: PlatformCluster) -> AsyncIterator[RankServers]:
    """Run the ranks, which announce themselves, and their passes."""
    servers = RankServers()
    async with AsyncExitStack() as stack:
        for rank in range(RANKS):
            await stack.enter_async_context(
                announced_upstream(
                    cluster,
                    f"rank{rank}",
                    POOL,
                    partial(servers.answer, rank),
                    {"group": group_field(rank, servers.simulation.epoch)},
                )
            )
        servers.simulation.start()
        watcher = asyncio.create_task(servers.watch())
        try:
            yield servers
            servers.check()
        finally:
            watcher.cancel()
            await asyncio.gather(watcher, return_exceptions=True)
            await servers.simulation.stop()
