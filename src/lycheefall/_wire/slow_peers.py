"""Keep the connections of peers that read slowly, and abort those of dead ones.

The kernel counts a window that stays closed as a dead peer (TCP_USER_TIMEOUT), also if the peer
answers its probes. While much output is on its way, this module takes over from that option.
"""

import asyncio
import socket
import struct
from collections.abc import Callable

from lycheefall._core.events import Event
from lycheefall._core.log import log
from lycheefall._rules import peer_liveness
from lycheefall._rules.peer_liveness import SendState
from lycheefall._wire.sockets import USER_TIMEOUT_MS

# Output of up to this size fits into the window with which a connection begins.
MIN_WATCHED_BYTES = 32_768
CHECK_PERIOD_S = 0.25
# Limit of the kernel for watched connections, in case that this process doesn't check them.
WATCHED_TIMEOUT_MS = 60_000

# struct tcp_info of Linux: 8 bytes, 24 numbers of 32 bits, 4 of 64 bits and 3 of 32 bits.
_TCP_INFO = struct.Struct("=8B24I4Q3I")
_PROBES = 3
_UNACKNOWLEDGED = 8 + 4
_LAST_DATA_SENT = 8 + 9
_LAST_ACK_RECEIVED = 8 + 12
_NOT_SENT = 8 + 24 + 4 + 2

ReadSendState = Callable[[socket.socket], SendState | None]
# Connections that are watched now.
Watched = set[asyncio.BaseTransport]


def read_send_state(connection: socket.socket) -> SendState | None:
    """Return what a connection has sent, or None if the kernel doesn't tell."""
    try:
        data = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return None
    if len(data) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack(data)
    return SendState(
        fields[_UNACKNOWLEDGED],
        fields[_NOT_SENT],
        fields[_PROBES],
        fields[_LAST_DATA_SENT],
        fields[_LAST_ACK_RECEIVED],
    )


def watch(
    watched: Watched,
    transport: asyncio.WriteTransport,
    size_bytes: int,
    read_state: ReadSendState = read_send_state,
) -> None:
    """Watch a connection that sends this many bytes, until its peer has received everything."""
    connection: socket.socket | None = transport.get_extra_info("socket")
    if size_bytes < MIN_WATCHED_BYTES or connection is None or transport in watched:
        return
    if transport.is_closing() or connection.fileno() < 0 or read_state(connection) is None:
        return
    watched.add(transport)
    _set_user_timeout(connection, WATCHED_TIMEOUT_MS)
    loop = asyncio.get_running_loop()
    unanswered_since_s: float | None = None

    def check() -> None:
        nonlocal unanswered_since_s
        # A transport that is closing has a socket until its output is sent.
        state = read_state(connection) if connection.fileno() >= 0 else None
        if state is None:
            watched.discard(transport)
            return
        if peer_liveness.is_all_received(state) and not transport.get_write_buffer_size():
            watched.discard(transport)
            _set_user_timeout(connection, USER_TIMEOUT_MS)
            return
        if not peer_liveness.is_unanswered(state):
            unanswered_since_s = None
        elif unanswered_since_s is None:
            unanswered_since_s = loop.time()
        if peer_liveness.is_dead(unanswered_since_s, loop.time()):
            watched.discard(transport)
            log(Event.PEER_DEAD, unsent_bytes=transport.get_write_buffer_size())
            transport.abort()
            return
        loop.call_later(CHECK_PERIOD_S, check)

    loop.call_later(CHECK_PERIOD_S, check)


def _set_user_timeout(connection: socket.socket, timeout_ms: int) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
