"""Filter that owns the connections between control replicas."""

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
SILENT_AFTER_S = 1.0

Take = Callable[[PeerMessage | PeerUpdate], object]


class Link(Struct, eq=False):
    """The connection to another replica."""

    address: Address
    end: DealerSocket
    heard_s: float


class PeerLinks(Struct, eq=False, kw_only=True):
    """The listening socket of a replica and one connection to each other replica."""

    instance: InstanceId
    # Where this replica reaches the initial voters; others are reached where they listen.
    routes: dict[InstanceId, Address]
    now: Callable[[], float]
    listening: RouterSocket | None = None
    links: dict[InstanceId, Link] = field(default_factory=dict)


def open_links(state: PeerLinks, listen: Address, take: Take) -> None:
    """Listen for replicas; what they send goes to `take`."""

    def from_peer(peer: bytes, payload: bytes) -> None:
        try:
            message = decode_to_peer(payload)
        except DecodeError:
            return
        if isinstance(message, LinkPing):
            if state.listening is not None:
                state.listening.send(peer, encode(LinkPong()))
        elif not isinstance(message, LinkPong):
            take(message)

    state.listening = RouterSocket(listen, from_peer)


def close_links(state: PeerLinks) -> None:
    """Close all connections."""
    if state.listening is not None:
        state.listening.close()
    for link in state.links.values():
        link.end.close()
    state.links.clear()


def send_to(state: PeerLinks, to: Replica, message: ToPeer) -> None:
    """Send a message to a replica; it is lost if the connection is down."""
    address = state.routes.get(to.id.instance, to.peer_address)
    _link(state, to.id.instance, address).end.send(encode(message))


def greet(state: PeerLinks, message: ToPeer) -> None:
    """Send a message to the initial voters."""
    payload = encode(message)
    for instance, address in state.routes.items():
        if instance != state.instance:
            _link(state, instance, address).end.send(payload)


async def run_links(state: PeerLinks) -> None:
    """Test the connections to other replicas and replace the silent ones."""
    while True:
        await asyncio.sleep(PING_PERIOD_S)
        for instance, link in list(state.links.items()):
            if state.now() - link.heard_s > SILENT_AFTER_S:
                _open_link(state, instance, link.address)
            state.links[instance].end.send(encode(LinkPing()))


def _link(state: PeerLinks, instance: InstanceId, address: Address) -> Link:
    link = state.links.get(instance)
    if link is None or link.address != address:
        return _open_link(state, instance, address)
    return link


def _open_link(state: PeerLinks, instance: InstanceId, address: Address) -> Link:
    old = state.links.get(instance)
    if old is not None:
        old.end.close()

    def heard(payload: bytes) -> None:
        state.links[instance].heard_s = state.now()

    link = Link(address, DealerSocket(address, heard), state.now())
    state.links[instance] = link
    return link
