"""Tests of the options of TCP connections."""

import asyncio

import pytest
import uvloop

from lycheefall._wire.sockets import enable_dead_peer_detection, reset


async def connection_pair() -> (
    tuple[asyncio.StreamReader, asyncio.StreamWriter, asyncio.StreamWriter]
):
    """Return the reader and writer of a client and the writer of the server."""
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
        """Guards against a truncated response that looks complete to the peer."""

        async def scenario() -> None:
            reader, _, server_writer = await connection_pair()
            enable_dead_peer_detection(server_writer.transport)
            server_writer.write(b"half")
            await server_writer.drain()
            reset(server_writer.transport)
            with pytest.raises(ConnectionResetError):
                while await reader.read(100):
                    pass
                raise AssertionError("the connection was closed without a reset")

        run(scenario())  # type: ignore[operator]

    def test_closed_connection(self, run: object) -> None:
        """Guards against an exception from a reset of a connection that its peer has closed."""

        async def scenario() -> None:
            _, client_writer, server_writer = await connection_pair()
            client_writer.transport.abort()
            await asyncio.sleep(0.05)
            server_writer.close()
            await asyncio.sleep(0.05)
            reset(server_writer.transport)
            reset(server_writer.transport)

        run(scenario())  # type: ignore[operator]
