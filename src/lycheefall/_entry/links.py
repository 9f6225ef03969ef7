"""Links from an entry to agents: sockets, heartbeats and timeouts."""

from collections.abc import Callable

import msgspec

from lycheefall._core.codes import ResultCode
from lycheefall._core.events import Event
from lycheefall._core.ids import Address, Incarnation, UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.dispatch import Dispatch, Ping, Pong, Refused, ToAgent, ToEntry
from lycheefall._core.messages.entry import FromAgent, LinkDown, LinkUp, ToDispatch
from lycheefall._wire.codec import decode_to_entry, encode
from lycheefall._wire.zmq_sockets import DealerSocket

HEARTBEAT_PERIOD_S = 0.25
# A link that receives no message for this long is closed and reopened.
SILENCE_TIMEOUT_S = 1.0

Deliver = Callable[[ToDispatch], object]


class Link:
    """One connection to an agent."""

    __slots__ = (
        "address",
        "connection",
        "dealer",
        "incarnation",
        "last_ping_s",
        "last_received_s",
        "sequence",
    )

    def __init__(self, address: Address, now_s: float) -> None:
        self.address = address
        self.dealer: DealerSocket | None = None
        self.last_received_s = now_s
        self.last_ping_s = 0.0
        # Sequence number of the last ping.
        self.sequence = 0
        # Incarnation of the agent and its id of the connection, from its last pong.
        self.incarnation: Incarnation | None = None
        self.connection = b""


class Links:
    """All links of an entry; owned by its dispatch task."""

    __slots__ = ("_clock", "_deliver", "_links")

    def __init__(self, deliver: Deliver, clock: Callable[[], float]) -> None:
        self._deliver = deliver
        self._clock = clock
        self._links: dict[UpstreamId, Link] = {}

    def connect(self, upstream: UpstreamId, address: Address) -> None:
        """Open a link to an agent, or replace it when its address has changed."""
        known = self._links.get(upstream)
        if known is not None and known.address == address:
            return
        self.disconnect(upstream)
        self._links[upstream] = Link(address, self._clock())
        self._open(upstream)

    def disconnect(self, upstream: UpstreamId) -> None:
        """Close the link to an agent."""
        link = self._links.pop(upstream, None)
        if link is not None:
            self._close_link(upstream, link)

    def send(self, upstream: UpstreamId, message: ToAgent) -> None:
        """Send a message; deliver a refusal for a dispatch that can't be sent."""
        link = self._links.get(upstream)
        sent = link is not None and link.dealer is not None and link.dealer.send(encode(message))
        if not sent and isinstance(message, Dispatch):
            refused = Refused(message.request, message.attempt, ResultCode.NOT_CONNECTED)
            self._deliver(FromAgent(upstream, refused))

    def send_heartbeats(self) -> None:
        """Send the heartbeats that are due and reopen links that have timed out."""
        now_s = self._clock()
        for upstream, link in self._links.items():
            if now_s - link.last_received_s > SILENCE_TIMEOUT_S:
                self._replace(upstream, link)
            if now_s - link.last_ping_s >= HEARTBEAT_PERIOD_S:
                self._ping(link, now_s)

    def close(self) -> None:
        """Close all links."""
        for upstream in list(self._links):
            self.disconnect(upstream)

    def _open(self, upstream: UpstreamId) -> None:
        link = self._links[upstream]
        dealer = DealerSocket(
            link.address, lambda payload: self._receive(upstream, link, dealer, payload)
        )
        link.dealer = dealer
        link.last_received_s = self._clock()

    def _ping(self, link: Link, now_s: float) -> None:
        link.last_ping_s = now_s
        link.sequence += 1
        if link.dealer is not None:
            link.dealer.send(encode(Ping(link.sequence)))

    def _replace(self, upstream: UpstreamId, link: Link) -> None:
        if link.incarnation is not None:
            log(Event.LINK_SILENT, upstream=upstream, silence_s=SILENCE_TIMEOUT_S)
        self._close_link(upstream, link)
        self._open(upstream)

    def _close_link(self, upstream: UpstreamId, link: Link) -> None:
        if link.dealer is not None:
            link.dealer.close()
            link.dealer = None
        if link.incarnation is not None:
            self._deliver(LinkDown(upstream, link.incarnation))
            link.incarnation = None

    def _receive(
        self, upstream: UpstreamId, link: Link, dealer: DealerSocket, payload: bytes
    ) -> None:
        if link.dealer is not dealer:
            # The link has been closed or reopened since; the message belongs to the old socket.
            return
        try:
            message = decode_to_entry(payload)
        except msgspec.DecodeError as error:
            log(Event.FRAME_DROPPED, upstream=upstream, detail=str(error))
            return
        link.last_received_s = self._clock()
        if isinstance(message, Pong):
            self._update_peer(upstream, link, message)
        self._forward(upstream, message)

    def _update_peer(self, upstream: UpstreamId, link: Link, pong: Pong) -> None:
        # ZeroMQ reconnects by itself. Frames sent over the old connection are lost, and so are the
        # replies to earlier attempts, which the agent addresses to a peer that no longer exists.
        if link.incarnation == pong.incarnation and link.connection == pong.connection:
            return
        if link.incarnation is not None:
            self._deliver(LinkDown(upstream, link.incarnation))
        link.incarnation = pong.incarnation
        link.connection = pong.connection
        log(Event.LINK_OPENED, upstream=upstream, address=link.address)
        self._deliver(LinkUp(upstream, pong.incarnation))

    def _forward(self, upstream: UpstreamId, message: ToEntry) -> None:
        self._deliver(FromAgent(upstream, message))
