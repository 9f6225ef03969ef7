"""Options of TCP connections that go silent."""

import asyncio
import socket
import struct

# A peer that acknowledges nothing for this long is gone. Links delay packets by milliseconds
# and a lost packet is sent again within a few hundred.
USER_TIMEOUT_MS = 2_000
# Probes of an idle connection, in seconds: a dead peer shows after about three.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_NO_LINGER = struct.pack("ii", 1, 0)
_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def notice_dead_peer(transport: asyncio.Transport) -> None:
    """Let a connection fail soon when its peer is gone without a word."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is None:
        return
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset, which no peer takes for the proper end of an answer."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    # A connection that the peer has ended has no descriptor any more.
    if connection is not None and not transport.is_closing() and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
