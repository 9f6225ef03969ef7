"""TCP forwarder that simulates network faults between two processes."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheefall._core.ids import Address


@dataclass
class Forwarder:
    """TCP forwarder; a blocked direction holds its bytes without closing connections."""

    target: Address
    address: Address | None = None
    # The direction to the client is blocked once a request contains these bytes; empty for never.
    hold_answers_after: bytes = b""
    server: asyncio.Server | None = None
    # Set while bytes may pass in this direction.
    to_target: asyncio.Event = field(default_factory=asyncio.Event)
    to_client: asyncio.Event = field(default_factory=asyncio.Event)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def open(self) -> None:
        """Listen on a free port of the loopback interface."""
        self.heal()
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")

    def block(self, to_target: bool = True, to_client: bool = True) -> None:
        """Hold all bytes in the given directions."""
        if to_target:
            self.to_target.clear()
        if to_client:
            self.to_client.clear()

    def heal(self) -> None:
        """Unblock both directions; held bytes are sent first."""
        self.to_target.set()
        self.to_client.set()

    def blackhole_open_connections(self) -> None:
        """Hold the bytes of all open connections permanently; new connections work."""
        self.to_target.clear()
        self.to_client.clear()
        self.to_target, self.to_client = asyncio.Event(), asyncio.Event()
        self.heal()

    def close_connections(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        self.close_connections()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.writers += [writer, target_writer]
        for source, sink, gate, inspect in (
            (reader, target_writer, self.to_target, self._inspect_request),
            (target_reader, writer, self.to_client, _ignore_data),
        ):
            task = asyncio.ensure_future(_copy(source, sink, gate, inspect))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def _inspect_request(self, data: bytes) -> None:
        if self.hold_answers_after and self.hold_answers_after in data:
            self.block(to_target=False)


def _ignore_data(data: bytes) -> None:
    return None


async def _copy(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    gate: asyncio.Event,
    inspect: Callable[[bytes], None],
) -> None:
    with contextlib.suppress(OSError):
        while data := await source.read(65_536):
            inspect(data)
            await gate.wait()
            sink.write(data)
            await sink.drain()
    sink.close()
