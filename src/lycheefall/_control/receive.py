"""Receive filter: decodes client messages and passes each to the filter that handles it."""

from msgspec import Struct

from lycheefall._control.messages import (
    ClientMessage,
    FromRank,
    Proposal,
    ReadRequest,
    ToCoordination,
    ToPublish,
    ToStep,
)
from lycheefall._core.ids import Address
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import FromControl, Propose
from lycheefall._core.messages.groups import (
    FromReplica,
    Prepared,
    PrepareRefused,
    QueryEpochs,
    RankReport,
    ReplicaPing,
    ReplicaPong,
)
from lycheefall._core.pipeline import Inbox
from lycheefall._wire.codec import DecodeError, decode_to_control, encode
from lycheefall._wire.zmq_sockets import RouterSocket


class ClientListener(Struct, eq=False):
    """The listening socket for the clients of a replica."""

    socket: RouterSocket | None = None


def open_listener(
    state: ClientListener,
    client_listen: Address,
    step: Inbox[ToStep],
    publish: Inbox[ToPublish],
    coordination: Inbox[ToCoordination],
) -> None:
    """Listen for clients; drop messages that cannot be decoded or whose inbox is full."""

    def from_client(peer: bytes, payload: bytes) -> None:
        try:
            message = decode_to_control(payload)
        except DecodeError:
            return
        match message:
            case Propose():
                submitted = Submitted(message.command_id, message.command)
                step.offer(Proposal(peer, submitted))
            case QueryEpochs():
                step.offer(ReadRequest(peer, message))
            case Prepared() | PrepareRefused() | RankReport():
                coordination.offer(FromRank(peer, message))
            case ReplicaPing():
                answer(state, peer, ReplicaPong())
            case _:
                publish.offer(ClientMessage(peer, message))

    state.socket = RouterSocket(client_listen, from_client)


def close_listener(state: ClientListener) -> None:
    """Close the socket."""
    if state.socket is not None:
        state.socket.close()


def answer(state: ClientListener, peer: bytes, message: FromControl | FromReplica) -> None:
    """Answer a client; the answer is dropped if its connection is closed."""
    if state.socket is not None:
        state.socket.send(peer, encode(message))
