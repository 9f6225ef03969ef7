"""Options of TCP connections: detection of dead peers, and reset."""

import asyncio
import socket
import struct

# A peer that leaves sent data unacknowledged for this long counts as dead. Links delay packets by
# milliseconds, and a lost packet is retransmitted within a few hundred milliseconds.
USER_TIMEOUT_MS = 2_000
# Probes of an idle connection; a dead peer is detected after about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_ZERO_LINGER = struct.pack("ii", 1, 0)
_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def enable_dead_peer_detection(transport: asyncio.Transport) -> None:
    """Set the options by which a connection fails soon if its peer no longer responds."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is None:
        return
    for level, option, value in _OPTIONS:
        connection.setsockopt(level, option, value)


def limit_receive_buffer(transport: asyncio.Transport, size_bytes: int) -> None:
    """Limit the bytes that the kernel receives before the process reads them."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


def reset(transport: asyncio.Transport) -> None:
    """Abort a connection with a TCP reset, which no peer takes for the end of a response."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    # The file descriptor is invalid if the peer has closed the connection already.
    if connection is not None and not transport.is_closing() and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()
