"""A relaying entry in the test's own process, before upstreams on loopback ports."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from random import Random

from lycheefall._core.dialect import Dialect
from lycheefall._core.ids import Address, DataCentreId, InstanceId
from lycheefall._core.messages.relay import ReplicaUpdate
from lycheefall._core.pipeline import Inbox, Latest, tick
from lycheefall._core.relay import RelayConfiguration, UpstreamRecord
from lycheefall._relay.connections import Connections, close_all
from lycheefall._relay.dispatch import BEAT_PERIOD_S, Dispatcher, known, run_dispatch
from lycheefall._relay.exchange import relaying
from lycheefall._relay.exchange_state import Relay
from lycheefall._relay.messages import Beat, InForce, ToDispatch
from lycheefall._rules.dispatching import DispatchState
from lycheefall._rules.identification import Index, build_index
from lycheefall._rules.retry_budget import RetryBounds
from lycheefall._wire.http_server import HttpLimits, HttpServer, close_server, open_server
from run_role import platform_dialect

ADAPTER = Path(__file__).parent.parent / "platform"


@dataclass
class Entry:
    """An entry and where it listens."""

    front: HttpServer
    port: int
    dispatcher: Dispatcher
    dispatch: Inbox[ToDispatch]
    dialect: Dialect
    index: Latest[Index | None]

    async def learn(self, *records: UpstreamRecord) -> None:
        """Let the entry hear of upstreams."""
        news = ReplicaUpdate(1, InstanceId("c"), 1, records, (), (), None, ())  # type: ignore[arg-type]
        await self.dispatch.put(news)
        await asyncio.sleep(0.01)

    async def configure(self, configuration: RelayConfiguration) -> None:
        """Put a configuration in force."""
        await self.dispatch.put(InForce(configuration))
        self.index.publish(build_index(configuration))


@dataclass
class Answered:
    """What a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@asynccontextmanager
async def entry(
    configuration: RelayConfiguration | None, limits: HttpLimits | None = None
) -> AsyncIterator[Entry]:
    """Run an entry with a configuration."""
    loop = asyncio.get_running_loop()
    inbox: Inbox[ToDispatch] = Inbox(1000)
    dispatcher = Dispatcher(
        rules=DispatchState(
            instance=InstanceId("e1"),
            data_centre=DataCentreId("dc1"),
            bounds=RetryBounds(0.2, 10.0, 1000.0),
            random=Random(1),
        )
    )
    index: Latest[Index | None] = Latest(None)
    if configuration is not None:
        index.publish(build_index(configuration))
    held = Connections()
    relay = Relay(
        dialect=platform_dialect(),
        index=index,
        known=lambda: known(dispatcher, loop.time()),
        dispatch=inbox,
        connections=held,
        now=loop.time,
        note_pass=lambda *seen: None,
        numbers=count(),
        random=Random(1),
    )
    made = limits or HttpLimits()
    front = HttpServer(handle=relaying(relay), limits=lambda: made)
    tasks = [
        asyncio.create_task(run_dispatch(dispatcher, inbox, loop.time)),
        asyncio.create_task(tick(inbox, Beat(), BEAT_PERIOD_S)),
    ]
    await open_server(front, Address("127.0.0.1:0"))
    assert front.listener is not None
    port = front.listener.sockets[0].getsockname()[1]
    if configuration is not None:
        await inbox.put(InForce(configuration))
    try:
        yield Entry(front, port, dispatcher, inbox, relay.dialect, index)
    finally:
        await close_server(front)
        close_all(held)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def request(
    path: str = "/a/x",
    *,
    method: str = "POST",
    key: str | None = "k1",
    attempt: str = "id1",
    deadline_ms: int | None = 3000,
    body: bytes = b"question",
    extra: str = "",
) -> bytes:
    """Return the bytes of a caller's request."""
    rows = [f"{method} {path} HTTP/1.1", "Host: h", f"Attempt-Id: {attempt}"]
    if key is not None:
        rows.append(f"Api-Key: {key}")
    if deadline_ms is not None:
        rows.append(f"Deadline-Ms: {deadline_ms}")
    if body:
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n" + extra + "\r\n").encode() + body


async def call(port: int, data: bytes, timeout_s: float = 5.0) -> Answered:
    """Send a request over a new connection and read the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answered:
    """Read one answer, and tell whether its body is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rows = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value for name, _, value in (row.partition(": ") for row in rows)}
    status = int(line.split()[1])
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answered(status, headers, body, False)
    return Answered(status, headers, body, True)
