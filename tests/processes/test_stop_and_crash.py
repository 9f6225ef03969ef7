"""Tests of a planned stop of an entry while upstreams fail."""

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import pytest

from entry_harness import Response, read_response, request
from processes.platform_harness import (
    INITIAL_FILE,
    ROUTES,
    AnnouncedUpstream,
    PlatformCluster,
    announced_upstream,
    start_platform,
)
from upstream_double import LAST_CHUNK, Exchange, chunk, complete_response, event, stream_head

pytestmark = pytest.mark.processes

UPSTREAMS = 4
# An entry that has just started may retry this many at once: its budget begins with one retry, and
# gains 1.9 a second.
STREAMS = 4
EVENTS = 50
EVENT_PERIOD_S = 0.1
# Time for which the other ranks of a group stall after a crash, before they cut their work off.
STALL_S = 0.5
# Streams from before the signal have a later deadline than the entry.
LONG_ROUTE = ROUTES[0] | {"TimeoutMs": 12_000}
FILE = INITIAL_FILE | {
    "Routes": [
        LONG_ROUTE | {"Name": "resumable", "PathPrefix": "/resumable/"},
        LONG_ROUTE | {"Name": "single", "PathPrefix": "/single/", "Resumable": False},
    ]
}


@dataclass
class Streams:
    """What the upstreams observed, and the failures that they play."""

    runs: Counter[str] = field(default_factory=Counter)
    # Streams that their upstream broke off.
    broken: set[str] = field(default_factory=set)
    # Number of the event before which the first run of each resumable stream is reset.
    reset_before: int | None = None
    has_crashed: asyncio.Event = field(default_factory=asyncio.Event)


async def run_stream(streams: Streams, upstream: int, exchange: Exchange) -> None:
    """Send the events of a stream; the first two upstreams are ranks of the group that crashes."""
    attempt = exchange.received.headers["attempt-id"]
    is_in_crashed_group = upstream < 2
    if is_in_crashed_group and streams.has_crashed.is_set():
        refusal = complete_response(exchange.received, b"", "503 Full", "Not-Executed: 1\r\n")
        await exchange.send(refusal)
        return
    streams.runs[attempt] += 1
    is_reset = attempt.startswith("resumable") and streams.runs[attempt] == 1
    await exchange.send(stream_head(exchange.received))
    first = int(exchange.received.headers.get("last-event-id", -1)) + 1
    for number in range(first, EVENTS):
        has_crashed = is_in_crashed_group and streams.has_crashed.is_set()
        if has_crashed or (is_reset and number == streams.reset_before):
            await asyncio.sleep(STALL_S if has_crashed and upstream == 1 else 0.0)
            streams.broken.add(attempt)
            exchange.reset()
            return
        await exchange.send(chunk(event(number)))
        await asyncio.sleep(EVENT_PERIOD_S)
    await exchange.send(LAST_CHUNK)


async def ask(cluster: PlatformCluster, attempt: str, deadline_ms: int) -> Response | None:
    """Send a request for a stream to the entry that stops; return its answer, if any."""
    host, _, port = cluster.machines["entry0"].caller_address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    path = f"/{attempt.partition('-')[0]}/x"
    body = attempt.encode()
    try:
        writer.write(request(path, attempt=attempt, deadline_ms=deadline_ms, body=body))
        return await read_response(reader)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


def is_whole(response: Response | None) -> bool:
    """Return whether all events and the last chunk arrived."""
    expected = b"".join(event(number) for number in range(EVENTS))
    return response is not None and response.is_complete and response.body == expected


@asynccontextmanager
async def groups(
    folder: Path, streams: Streams
) -> AsyncIterator[tuple[PlatformCluster, list[AnnouncedUpstream]]]:
    """Run two entries, and two groups of two ranks each."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(start_platform(folder, 1, 2))
        await cluster.change_file(**FILE)
        upstreams = []
        for number in range(UPSTREAMS):
            answer = partial(run_stream, streams, number)
            announced = await stack.enter_async_context(
                announced_upstream(cluster, f"e{number}", "engines", answer)
            )
            announced.fields["group"] = {
                "Name": f"g{number // 2}",
                "epoch": 1,
                "rank": number % 2,
                "State": "open",
            }
            upstreams.append(announced)
        await cluster.wait_until_ready()
        await asyncio.sleep(1.0)
        yield cluster, upstreams


def start_streams(
    cluster: PlatformCluster, kinds: tuple[str, ...]
) -> dict[str, "asyncio.Task[Response | None]"]:
    """Start streams of each kind, with a deadline after the grace period."""
    return {
        f"{kind}-{number}": asyncio.create_task(ask(cluster, f"{kind}-{number}", 9000))
        for kind in kinds
        for number in range(STREAMS)
    }


class TestLostUpstreams:
    async def test_crash_of_a_rank(self, tmp_path: Path) -> None:
        """Guards against a stop that cuts what the crash of a rank beside it has left intact."""
        streams = Streams()
        async with groups(tmp_path, streams) as (cluster, upstreams):
            calls = start_streams(cluster, ("resumable", "single"))
            await asyncio.sleep(0.5)
            cluster.signal("entry0", signal.SIGTERM)
            await asyncio.sleep(0.5)
            streams.has_crashed.set()
            upstreams[0].double.close()
            for rank in upstreams[:2]:
                rank.fields["group"] |= {"State": "broken"}
            await asyncio.gather(*calls.values())
            await cluster.wait_for_exit("entry0", 8.0)
            assert len(streams.broken) > STREAMS // 2
            assert streams.broken != calls.keys()
            incomplete = {attempt for attempt, call in calls.items() if not is_whole(call.result())}
            assert incomplete == {each for each in streams.broken if each.startswith("single")}

    async def test_resumed_in_the_grace(self, tmp_path: Path) -> None:
        """Guards against streams that break in a stop and are not resumed at another upstream."""
        streams = Streams(reset_before=20)
        async with groups(tmp_path, streams) as (cluster, _):
            calls = start_streams(cluster, ("resumable",))
            await asyncio.sleep(0.5)
            cluster.signal("entry0", signal.SIGTERM)
            await asyncio.sleep(0.5)
            # It ends 0.8 s before the requests of the entry do.
            late = asyncio.create_task(ask(cluster, "resumable-late", 6400))
            await asyncio.gather(late, *calls.values())
            await cluster.wait_for_exit("entry0", 8.0)
            assert streams.broken == {*calls, "resumable-late"}
            assert all(is_whole(each.result()) for each in (late, *calls.values()))
