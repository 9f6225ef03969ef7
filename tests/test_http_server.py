"""Tests of the HTTP server for callers."""

import asyncio
from typing import Any

import h11

from lycheefall._wire.http_server import (
    CallerConnection,
    HttpLimits,
    HttpServer,
    send_local_response,
)


class RecordingWriter:
    """Writer that records the data of each write."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.writes.append(data)

    async def drain(self) -> None:
        await asyncio.sleep(0)


async def test_response_in_one_write() -> None:
    """Guards against a response head without its body if the process is killed between two writes.

    Found by the soak test, seed 1502.
    """
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
    http.next_event()
    http.next_event()
    writer: Any = RecordingWriter()
    server = HttpServer(handle=None, limits=HttpLimits)  # type: ignore[arg-type]
    caller = CallerConnection(server=server, reader=None, writer=writer, http=http)  # type: ignore[arg-type]
    await send_local_response(caller, 200, (), b"body")
    assert len(writer.writes) == 1
    assert writer.writes[0].endswith(b"\r\n\r\nbody")
    assert http.our_state is h11.DONE
