"""Owns the connections between control replicas.

A replica sends messages on its own connection to each other replica and receives them on its
listening socket. The only answers on a connection are pongs, which show that it is alive.
"""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._core.ids import Address, InstanceId
from lycheefall._core.messages.consensus import LinkPing, LinkPong, PeerMessage, Replica, ToPeer
from lycheefall._core.messages.relay import PeerUpdate
from lycheefall._wire.codec import DecodeError, encode
from lycheefall._wire.consensus_codec import decode_to_peer
from lycheefall._wire.zmq_sockets import DealerSocket, RouterSocket

PING_PERIOD_S = 0.25
# A connection that is silent for this long is closed and replaced.
SILENCE_TIMEOUT_S = 1.0

Receive = Callable[[PeerMessage | PeerUpdate], object]


class Link(Struct, eq=False):
    """The connection to another replica."""

    address: Address
    socket: DealerSocket
    last_received_s: float


class PeerLinks(Struct, eq=False, kw_only=True):
    """The listening socket of a replica, and one connection to each other replica."""

    instance: InstanceId
    # Addresses of the initial voters as seen from this replica; other replicas are reached at the
    # address that they listen on.
    voter_addresses: dict[InstanceId, Address]
    now: Callable[[], float]
    listener: RouterSocket | None = None
    links: dict[InstanceId, Link] = field(default_factory=dict)


def open_links(state: PeerLinks, listen: Address, receive: Receive) -> None:
    """Listen for other replicas and pass their messages to `receive`."""

    def from_peer(peer: bytes, payload: bytes) -> None:
        try:
            message = decode_to_peer(payload)
        except DecodeError:
            return
        if isinstance(message, LinkPing):
            if state.listener is not None:
                state.listener.send(peer, encode(LinkPong()))
        elif not isinstance(message, LinkPong):
            receive(message)

    state.listener = RouterSocket(listen, from_peer)


def close_links(state: PeerLinks) -> None:
    """Close all connections."""
    if state.listener is not None:
        state.listener.close()
    for link in state.links.values():
        link.socket.close()
    state.links.clear()


def send_to(state: PeerLinks, to: Replica, message: ToPeer) -> None:
    """Send a message to a replica; the message is dropped if the connection is down."""
    address = state.voter_addresses.get(to.id.instance, to.peer_address)
    _get_or_open_link(state, to.id.instance, address).socket.send(encode(message))


def broadcast(state: PeerLinks, message: ToPeer) -> None:
    """Send a message to all other initial voters."""
    payload = encode(message)
    for instance, address in state.voter_addresses.items():
        if instance != state.instance:
            _get_or_open_link(state, instance, address).socket.send(payload)


async def run_links(state: PeerLinks) -> None:
    """Ping the other replicas and replace silent connections until cancelled."""
    while True:
        await asyncio.sleep(PING_PERIOD_S)
        for instance, link in list(state.links.items()):
            if state.now() - link.last_received_s > SILENCE_TIMEOUT_S:
                _replace_link(state, instance, link.address)
            state.links[instance].socket.send(encode(LinkPing()))


def _get_or_open_link(state: PeerLinks, instance: InstanceId, address: Address) -> Link:
    link = state.links.get(instance)
    if link is None or link.address != address:
        return _replace_link(state, instance, address)
    return link


def _replace_link(state: PeerLinks, instance: InstanceId, address: Address) -> Link:
    previous = state.links.get(instance)
    if previous is not None:
        previous.socket.close()

    def on_message(payload: bytes) -> None:
        state.links[instance].last_received_s = state.now()

    link = Link(address, DealerSocket(address, on_message), state.now())
    state.links[instance] = link
    return link
