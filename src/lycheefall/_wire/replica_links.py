"""Connections to all control replicas, for messages that are sent to each of them."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.ids import Address
from lycheefall._core.messages.groups import (
    FromReplica,
    ReplicaPing,
    ReplicaPong,
    ToRank,
    ToReplica,
)
from lycheefall._wire.codec import DecodeError, decode_from_replica, encode
from lycheefall._wire.zmq_sockets import DealerSocket

PING_PERIOD_S = 0.25
# A connection on which nothing is received for this long is closed and reopened.
SILENCE_TIMEOUT_S = 1.0

Receive = Callable[[ToRank], None]


class Link(Struct, eq=False):
    """The connection to one replica."""

    socket: DealerSocket
    received_s: float


class ReplicaLinks(Struct, eq=False):
    """Connections by address, and the function that receives the messages of the replicas."""

    receive: Receive
    links: dict[Address, Link]


def connect_replicas(addresses: tuple[Address, ...], receive: Receive) -> ReplicaLinks:
    """Connect to these replicas; the event loop must be running."""
    state = ReplicaLinks(receive, {})
    for address in addresses:
        add_replica(state, address)
    return state


def add_replica(state: ReplicaLinks, address: Address) -> None:
    """Connect to a replica, unless there is a connection already."""
    if address not in state.links:
        _open(state, address)


def send_to_all(state: ReplicaLinks, message: ToReplica) -> None:
    """Send a message to every replica; it is dropped where the connection is down."""
    payload = encode(message)
    for link in state.links.values():
        link.socket.send(payload)


async def run_links(state: ReplicaLinks) -> None:
    """Ping the replicas and reopen silent connections until cancelled, then close them all."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            for address, link in list(state.links.items()):
                if loop.time() - link.received_s > SILENCE_TIMEOUT_S:
                    link.socket.close()
                    _open(state, address)
            send_to_all(state, ReplicaPing())
            await asyncio.sleep(PING_PERIOD_S)
    finally:
        for link in state.links.values():
            link.socket.close()


def _open(state: ReplicaLinks, address: Address) -> None:
    loop = asyncio.get_running_loop()

    def handle_payload(payload: bytes) -> None:
        link.received_s = loop.time()
        message = _decode_or_none(payload)
        if message is not None and not isinstance(message, ReplicaPong):
            state.receive(message)

    link = Link(DealerSocket(address, handle_payload), loop.time())
    state.links[address] = link


def _decode_or_none(payload: bytes) -> FromReplica | None:
    try:
        return decode_from_replica(payload)
    except DecodeError:
        return None
