"""Connections to every control replica, for messages that each of them may need."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from lycheefall._core.ids import Address
from lycheefall._core.messages.groups import FromReplica, LinkTest, LinkTested, ToRank, ToReplica
from lycheefall._wire.codec import DecodeError, decode_from_replica, encode
from lycheefall._wire.zmq_sockets import DealerSocket

TEST_PERIOD_S = 0.25
# A connection that is silent for this long is closed and replaced.
SILENT_AFTER_S = 1.0

Receive = Callable[[ToRank], None]


class Link(Struct, eq=False):
    """The connection to one replica."""

    end: DealerSocket
    heard_s: float


class ReplicaLinks(Struct, eq=False):
    """The connections, by address, and the function that takes what the replicas send."""

    receive: Receive
    links: dict[Address, Link]


def connect_replicas(addresses: tuple[Address, ...], receive: Receive) -> ReplicaLinks:
    """Connect to these replicas; the loop must run."""
    state = ReplicaLinks(receive, {})
    for address in addresses:
        add_replica(state, address)
    return state


def add_replica(state: ReplicaLinks, address: Address) -> None:
    """Connect to one more replica, unless it is connected."""
    if address not in state.links:
        _open(state, address)


def send_to_all(state: ReplicaLinks, message: ToReplica) -> None:
    """Send a message to every replica; it is lost where the connection is down."""
    payload = encode(message)
    for link in state.links.values():
        link.end.send(payload)


async def run_links(state: ReplicaLinks) -> None:
    """Test the connections and replace silent ones until cancelled, then close all."""
    loop = asyncio.get_running_loop()
    try:
        while True:
            for address, link in list(state.links.items()):
                if loop.time() - link.heard_s > SILENT_AFTER_S:
                    link.end.close()
                    _open(state, address)
            send_to_all(state, LinkTest())
            await asyncio.sleep(TEST_PERIOD_S)
    finally:
        for link in state.links.values():
            link.end.close()


def _open(state: ReplicaLinks, address: Address) -> None:
    loop = asyncio.get_running_loop()

    def take(payload: bytes) -> None:
        link.heard_s = loop.time()
        message = _decoded(payload)
        if message is not None and not isinstance(message, LinkTested):
            state.receive(message)

    link = Link(DealerSocket(address, take), loop.time())
    state.links[address] = link


def _decoded(payload: bytes) -> FromReplica | None:
    try:
        return decode_from_replica(payload)
    except DecodeError:
        return None
