"""Tests of the options of TCP connections."""

import asyncio

import pytest
import uvloop

from lycheefall._wire.sockets import detect_dead_peer, reset


async def pair() -> tuple[asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamWriter]:
    """Return the reading end of a connection and the writers of both ends."""
    accepted: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.set_result(writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    server.close()
    return reader, writer, await accepted


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
class TestReset:
    def test_peer_sees_a_reset(self, run: object) -> None:
        """Guards against a cut answer that ends like a proper one."""

        async def scenario() -> None:
            reader, _, far = await pair()
            detect_dead_peer(far.transport)
            far.write(b"half")
            await far.drain()
            reset(far.transport)
            with pytest.raises(ConnectionResetError):
                while await reader.read(100):
                    pass
                raise AssertionError("the connection ended properly")

        run(scenario())  # type: ignore[operator]

    def test_connection_that_has_ended(self, run: object) -> None:
        """Guards against an error in place of the end of a connection that its peer left."""

        async def scenario() -> None:
            _, writer, far = await pair()
            writer.transport.abort()
            await asyncio.sleep(0.05)
            far.close()
            await asyncio.sleep(0.05)
            reset(far.transport)
            reset(far.transport)

        run(scenario())  # type: ignore[operator]
