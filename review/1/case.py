"""A server crashes; are streams that run at other servers, and may not be resumed, run again?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BrokenOff,
    Machine,
    Platform,
    Run,
    Server,
    client_headers,
    configuration,
    connect,
    encode_request,
    read_answer,
    route,
    run_case,
)

SERVICE = "huvo11a"
SERVERS = 8
SLOTS = 6
STREAMS = 64
# Time to the first event of a stream, and between its events.
FIRST_EVENT_S = 0.3
PAUSE_S = 0.5
EVENTS = 4
# Each round has a part of its own in all prompts, such as new instructions of an assistant.
SHARED_PARTS = [f"5c1e07a{number}:40" for number in range(3)]
CONFIG = configuration(
    1,
    [
        route(
            "scent-match",
            "/lohu930/",
            SERVICE,
            "streaming",
            TimeoutMs=8000,
            TargetLatencyMs=402,
            Priority=0,
            Sticky=True,
            Resumable=False,
            ItlTargetMs=600,
        )
    ],
)


async def work(run: Run) -> None:
    """Send a stream of events; one that resumes goes on behind the last event."""
    first = int(run.headers.get("last-event-id", "0")) + 1
    await asyncio.sleep(FIRST_EVENT_S)
    run.writer.write(
        run.head("200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    )
    for number in range(first, EVENTS + 1):
        event = f"id: {number}\ndata: {run.server.name} {run.attempt} {number}\n\n".encode()
        run.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await run.writer.drain()
        run.has_output = True
        run.server.platform.record(f"server {run.server.name}: event {number} of {run.attempt}")
        await asyncio.sleep(PAUSE_S)
    run.writer.write(b"0\r\n\r\n")
    await run.writer.drain()


async def stream(platform: Platform, entry: Machine, attempt: str, shared: str) -> str:
    """Send a stream as a client, and return how it ended."""
    headers = client_headers(
        attempt,
        8000,
        Model="m",
        Token_Count="714,140",
        Prefix_Hash=f"{shared},{attempt}:674",
    )
    reader, writer = await connect(entry)
    try:
        writer.write(encode_request("POST", f"/lohu930/{attempt}", headers, b'{"stream":true}'))
        try:
            answer = await read_answer(reader)
        except BrokenOff:
            outcome = "broken off"
        else:
            lines = answer.body.decode().splitlines()
            by = sorted({line.split()[1] for line in lines if line.startswith("data:")})
            outcome = f"{answer.status}, events of {len(by)} servers"
    finally:
        writer.close()
    platform.record(f"client: {attempt} at {entry.name}: {outcome}")
    return outcome


async def case(platform: Platform, has_trouble: bool) -> bool:
    await platform.start_all(controls=3, entries=2)
    await platform.put_config(CONFIG, "version 1")
    servers = [
        Server(platform, f"i-{number}", SERVICE, platform.new_address(100 + number), work, SLOTS)
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await platform.wait_until_ready()
    # All machines are in touch after StabilityWindowMs without a disruption.
    await asyncio.sleep(4.0)
    second, first = platform.entries
    for number, part in enumerate(SHARED_PARTS):
        # The shared part was asked for at one entry before it is at the other one.
        earlier = (stream(platform, first, f"b{number}{each:03}", part) for each in range(8))
        await asyncio.gather(*earlier)
        streams = asyncio.gather(
            *(stream(platform, second, f"a{number}{each:03}", part) for each in range(STREAMS))
        )
        # All streams have sent their first event, and none its second one.
        await asyncio.sleep(FIRST_EVENT_S + PAUSE_S * 0.5)
        crashed = servers[number % SERVERS]
        if has_trouble:
            crashed.crash()
        outcomes = Counter(await streams)
        platform.record(f"round {number}: {dict(outcomes)}")
        if has_trouble:
            await asyncio.sleep(2.0)
            await crashed.restart()
        await asyncio.sleep(3.0)
    # A request begins to run with its first token.
    runs = Counter(run.attempt for server in servers for run in server.runs if run.has_output)
    again = sorted(attempt for attempt, count in runs.items() if count > 1)
    platform.record(f"run more than once: {len(again)} of {len(runs)}: {' '.join(again)}")
    return bool(again)


run_case(Path(__file__).parent, case)
