"""Filter that owns the sockets of a control replica."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from lycheefall._control.messages import (
    ClientMessage,
    FromRank,
    Proposal,
    Question,
    ToCoordination,
    ToPublish,
    ToStep,
)
from lycheefall._core.ids import Address, InstanceId
from lycheefall._core.messages.consensus import (
    LinkPing,
    LinkPong,
    Replica,
    Submitted,
    ToPeer,
)
from lycheefall._core.messages.control import FromControl, Propose
from lycheefall._core.messages.groups import (
    AskEpochs,
    FromReplica,
    LinkTest,
    LinkTested,
    Prepared,
    PrepareRefused,
    RankReport,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._wire.codec import DecodeError, decode_to_control, encode
from lycheefall._wire.consensus_codec import decode_to_peer
from lycheefall._wire.zmq_ends import DealerEnd, RouterEnd

PING_PERIOD_S = 0.25
# A connection that is silent for this long is closed and replaced.
SILENT_AFTER_S = 1.0


class Link(Struct, eq=False):
    """The connection to another replica."""

    address: Address
    end: DealerEnd
    heard_s: float


class Sockets(Struct, eq=False, kw_only=True):
    """Sockets of a replica: two listening ones and one connection to each other replica."""

    instance: InstanceId
    # Where this replica reaches the initial voters; others are reached where they listen.
    routes: dict[InstanceId, Address]
    now: Callable[[], float]
    clients: RouterEnd | None = None
    peers: RouterEnd | None = None
    links: dict[InstanceId, Link] = field(default_factory=dict)


def open_sockets(
    state: Sockets,
    client_listen: Address,
    peer_listen: Address,
    step: Inbox[ToStep],
    publish: Inbox[ToPublish],
    coordination: Inbox[ToCoordination],
) -> None:
    """Listen for clients and replicas; received messages go to the inboxes, or are dropped."""

    def from_client(peer: bytes, payload: bytes) -> None:
        try:
            message = decode_to_control(payload)
        except DecodeError:
            return
        match message:
            case Propose():
                submitted = Submitted(message.command_id, message.command)
                step.offer(Proposal(peer, submitted))
            case AskEpochs():
                step.offer(Question(peer, message))
            case Prepared() | PrepareRefused() | RankReport():
                coordination.offer(FromRank(peer, message))
            case LinkTest():
                answer(state, peer, LinkTested())
            case _:
                publish.offer(ClientMessage(peer, message))

    def from_peer(peer: bytes, payload: bytes) -> None:
        try:
            message = decode_to_peer(payload)
        except DecodeError:
            return
        if isinstance(message, LinkPing):
            if state.peers is not None:
                state.peers.send(peer, encode(LinkPong()))
        elif not isinstance(message, LinkPong):
            step.offer(message)

    state.clients = RouterEnd(client_listen, from_client)
    try:
        state.peers = RouterEnd(peer_listen, from_peer)
    except BaseException:
        state.clients.close()
        raise


def close_sockets(state: Sockets) -> None:
    """Close all sockets."""
    for end in (state.clients, state.peers):
        if end is not None:
            end.close()
    for link in state.links.values():
        link.end.close()
    state.links.clear()


def send_to(state: Sockets, to: Replica, message: ToPeer) -> None:
    """Send a message to a replica; it is lost if the connection is down."""
    address = state.routes.get(to.id.instance, to.peer_address)
    _link(state, to.id.instance, address).end.send(encode(message))


def greet(state: Sockets, message: ToPeer) -> None:
    """Send a message to the initial voters."""
    payload = encode(message)
    for instance, address in state.routes.items():
        if instance != state.instance:
            _link(state, instance, address).end.send(payload)


def answer(state: Sockets, peer: bytes, message: FromControl | FromReplica) -> None:
    """Answer a client; the answer is lost if its connection is closed."""
    if state.clients is not None:
        state.clients.send(peer, encode(message))


async def run_links(state: Sockets) -> None:
    """Test the connections to other replicas and replace the silent ones."""
    while True:
        await asyncio.sleep(PING_PERIOD_S)
        for instance, link in list(state.links.items()):
            if state.now() - link.heard_s > SILENT_AFTER_S:
                _open_link(state, instance, link.address)
            state.links[instance].end.send(encode(LinkPing()))


def _link(state: Sockets, instance: InstanceId, address: Address) -> Link:
    link = state.links.get(instance)
    if link is None or link.address != address:
        return _open_link(state, instance, address)
    return link


def _open_link(state: Sockets, instance: InstanceId, address: Address) -> Link:
    old = state.links.get(instance)
    if old is not None:
        old.end.close()

    def heard(payload: bytes) -> None:
        state.links[instance].heard_s = state.now()

    link = Link(address, DealerEnd(address, heard), state.now())
    state.links[instance] = link
    return link
