"""ZeroMQ sockets that are read by the event loop, without a thread of their own.

The file descriptor of a ZeroMQ socket is edge-triggered, and a send can consume the event of a
received message. So the socket is drained when it becomes readable and again after each send.
"""

import asyncio
from collections.abc import Callable

import zmq

from lycheefall._core.exceptions import PortInUse
from lycheefall._core.ids import Address

# High-water mark per peer; messages in a longer queue would expire before their delivery.
SEND_QUEUE_MESSAGES = 1_000
# High-water mark per peer of messages that are not read yet, each of which holds a buffer of up to
# 9 kB. Beyond it, the sender's queue fills.
RECEIVE_QUEUE_MESSAGES = 100
# A drain yields to the event loop after this many messages, so that timers are not delayed.
DRAIN_BATCH_MESSAGES = 256

# A connection that is not established after this time is retried. The first packet to a machine
# that is not reachable yet is lost, and the operating system retransmits it only after a second.
CONNECT_TIMEOUT_MS = 250
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 250
# Interval of ZeroMQ heartbeats, and the silence after which ZeroMQ reconnects.
HEARTBEAT_INTERVAL_MS = 250
HEARTBEAT_TIMEOUT_MS = 1_000


def _new_socket(kind: int) -> zmq.Socket[bytes]:
    socket: zmq.Socket[bytes] = zmq.Context.instance().socket(kind)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
    # Queue messages only for established connections.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
    return socket


class _EventLoopSocket:
    """A socket whose received messages the event loop passes to a function."""

    __slots__ = ("_closed", "_deliver", "_descriptor", "_loop", "_scheduled", "_socket")

    def __init__(self, socket: zmq.Socket[bytes], deliver: Callable[[list[bytes]], None]) -> None:
        self._socket = socket
        self._deliver = deliver
        self._closed = False
        self._scheduled = False
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(socket.getsockopt(zmq.FD))
        self._loop.add_reader(self._descriptor, self._drain)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled and not self._closed:
            self._scheduled = True
            self._loop.call_soon(self._drain)

    def _drain(self) -> None:
        self._scheduled = False
        for _ in range(DRAIN_BATCH_MESSAGES):
            if self._closed:
                return
            try:
                parts = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(parts)
        self._schedule()

    def send(self, parts: list[bytes]) -> bool:
        if self._closed:
            return False
        try:
            self._socket.send_multipart(parts, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        finally:
            # A failed send can consume the event of a received message as well.
            self._schedule()
        return True

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._descriptor)
        self._socket.close(linger=0)


class RouterSocket:
    """A bound ROUTER socket, which many peers connect to."""

    __slots__ = ("_event_loop_socket", "_receive")

    def __init__(self, address: Address, receive: Callable[[bytes, bytes], None]) -> None:
        socket = _new_socket(zmq.ROUTER)
        # Makes a send to an unknown peer fail; by default the message is dropped silently.
        socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        try:
            socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            socket.close(linger=0)
            raise PortInUse(f"can't listen on {address}: {error}") from error
        self._receive = receive
        self._event_loop_socket = _EventLoopSocket(socket, self._deliver)

    def _deliver(self, parts: list[bytes]) -> None:
        if len(parts) == 2:
            self._receive(parts[0], parts[1])

    def send(self, peer: bytes, payload: bytes) -> bool:
        """Queue a message for a peer; return False if it is not connected or its queue is full."""
        return self._event_loop_socket.send([peer, payload])

    def close(self) -> None:
        """Close the socket; later sends return False."""
        self._event_loop_socket.close()


class DealerSocket:
    """A DEALER socket that is connected to one peer."""

    __slots__ = ("_event_loop_socket", "_receive")

    def __init__(
        self,
        address: Address,
        receive: Callable[[bytes], None],
        *,
        use_heartbeats: bool = False,
    ) -> None:
        socket = _new_socket(zmq.DEALER)
        if use_heartbeats:
            # For one-way traffic, where the owner of the socket can't detect a silent peer itself.
            socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.connect(f"tcp://{address}")
        self._receive = receive
        self._event_loop_socket = _EventLoopSocket(socket, self._deliver)

    def _deliver(self, parts: list[bytes]) -> None:
        if len(parts) == 1:
            self._receive(parts[0])

    def send(self, payload: bytes) -> bool:
        """Queue a message; return False if the connection is down or its queue is full."""
        return self._event_loop_socket.send([payload])

    def close(self) -> None:
        """Close the socket; later sends return False."""
        self._event_loop_socket.close()
