"""Runs a relaying entry in the process of the test, for upstreams on loopback ports."""

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
from lycheefall._relay.connection_pool import ConnectionPool, close_all
from lycheefall._relay.dispatch import (
    DISPATCH_TICK_PERIOD_S,
    Dispatcher,
    dispatch_snapshot,
    run_dispatch,
)
from lycheefall._relay.exchange import request_handler
from lycheefall._relay.exchange_state import Relay
from lycheefall._relay.messages import ApplyConfiguration, DispatchTick, ToDispatch
from lycheefall._rules.byte_budget import ByteBudget
from lycheefall._rules.dispatch_state import DispatchState
from lycheefall._rules.identification import Index, build_index
from lycheefall._rules.retry_budget import RetryBounds
from lycheefall._wire.http_server import HttpLimits, HttpServer, close_server, open_server
from run_role import platform_dialect

# Scripts that adapt the library to the platform.
ADAPTER = Path(__file__).parent.parent / "platform"
RESPONSE_BYTES = 64 * 1024 * 1024


@dataclass
class EntryHarness:
    """A running entry and its port."""

    server: HttpServer
    port: int
    dispatcher: Dispatcher
    dispatch: Inbox[ToDispatch]
    dialect: Dialect
    index: Latest[Index | None]
    relay: Relay

    async def announce(self, *records: UpstreamRecord) -> None:
        """Send upstream records to the entry, and wait until they are applied."""
        update = ReplicaUpdate(1, InstanceId("c"), 1, records, (), (), None, ())  # type: ignore[arg-type]
        await self.dispatch.put(update)
        await asyncio.sleep(0.01)

    async def configure(self, configuration: RelayConfiguration) -> None:
        """Apply a configuration."""
        await self.dispatch.put(ApplyConfiguration(configuration))
        self.index.publish(build_index(configuration))


@dataclass
class Response:
    """Response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


@asynccontextmanager
async def running_entry(
    configuration: RelayConfiguration | None,
    limits: HttpLimits | None = None,
    retry_allowance: float = 1000.0,
) -> AsyncIterator[EntryHarness]:
    """Run an entry; without a configuration, `configure` applies one later."""
    loop = asyncio.get_running_loop()
    inbox: Inbox[ToDispatch] = Inbox(1000)
    dispatcher = Dispatcher(
        dispatch_state=DispatchState(
            instance=InstanceId("e1"),
            data_centre=DataCentreId("dc1"),
            retry_bounds=RetryBounds(0.2, 10.0, retry_allowance),
            random=Random(1),
        )
    )
    index: Latest[Index | None] = Latest(None)
    if configuration is not None:
        index.publish(build_index(configuration))
    pooled_connections = ConnectionPool()
    relay = Relay(
        dialect=platform_dialect(),
        index=index,
        dispatch_snapshot=lambda: dispatch_snapshot(dispatcher, loop.time()),
        dispatch=inbox,
        connections=pooled_connections,
        now=loop.time,
        observe_pass=lambda *seen: None,
        response_bytes=ByteBudget(RESPONSE_BYTES),
        request_numbers=count(),
        random=Random(1),
    )
    server_limits = limits or HttpLimits()
    server = HttpServer(handle=request_handler(relay), limits=lambda: server_limits)
    tasks = [
        asyncio.create_task(run_dispatch(dispatcher, inbox, loop.time)),
        asyncio.create_task(tick(inbox, DispatchTick(), DISPATCH_TICK_PERIOD_S)),
    ]
    await open_server(server, Address("127.0.0.1:0"))
    assert server.listener is not None
    port = server.listener.sockets[0].getsockname()[1]
    if configuration is not None:
        await inbox.put(ApplyConfiguration(configuration))
    try:
        yield EntryHarness(server, port, dispatcher, inbox, relay.dialect, index, relay)
    finally:
        await close_server(server)
        close_all(pooled_connections)
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
    """Return the encoded request of a caller."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Attempt-Id: {attempt}"]
    if key is not None:
        lines.append(f"Api-Key: {key}")
    if deadline_ms is not None:
        lines.append(f"Deadline-Ms: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n" + extra + "\r\n").encode() + body


async def call(port: int, data: bytes, timeout_s: float = 5.0, host: str = "127.0.0.1") -> Response:
    """Send a request over a new connection and return the response."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read one response, and check whether its body is complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value for name, _, value in (row.partition(": ") for row in lines)}
    status = int(status_line.split()[1])
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, headers, body, False)
    return Response(status, headers, body, True)
