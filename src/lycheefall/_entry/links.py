"""Links from an entry to agents: sockets, heartbeats and silence."""

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

HEARTBEAT_S = 0.25
# A link without any message for this long is closed and replaced.
SILENCE_S = 1.0

Deliver = Callable[[ToDispatch], object]


class Link:
    """One connection to an agent."""

    __slots__ = (
        "address",
        "connection",
        "end",
        "heard_s",
        "incarnation",
        "pinged_s",
        "sequence",
    )

    def __init__(self, address: Address, now_s: float) -> None:
        self.address = address
        self.end: DealerSocket | None = None
        self.heard_s = now_s
        self.pinged_s = 0.0
        self.sequence = 0
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
            self._lose(upstream, link)

    def send(self, upstream: UpstreamId, message: ToAgent) -> None:
        """Send a message; a dispatch that can't be sent comes back as refused."""
        link = self._links.get(upstream)
        sent = link is not None and link.end is not None and link.end.send(encode(message))
        if not sent and isinstance(message, Dispatch):
            refused = Refused(message.request, message.attempt, ResultCode.NOT_CONNECTED)
            self._deliver(FromAgent(upstream, refused))

    def beat(self) -> None:
        """Send heartbeats that are due and replace links that have gone silent."""
        now_s = self._clock()
        for upstream, link in self._links.items():
            if now_s - link.heard_s > SILENCE_S:
                self._replace(upstream, link)
            if now_s - link.pinged_s >= HEARTBEAT_S:
                self._ping(link, now_s)

    def close(self) -> None:
        """Close all links."""
        for upstream in list(self._links):
            self.disconnect(upstream)

    def _open(self, upstream: UpstreamId) -> None:
        link = self._links[upstream]
        end = DealerSocket(
            link.address, lambda payload: self._receive(upstream, link, end, payload)
        )
        link.end = end
        link.heard_s = self._clock()

    def _ping(self, link: Link, now_s: float) -> None:
        link.pinged_s = now_s
        link.sequence += 1
        if link.end is not None:
            link.end.send(encode(Ping(link.sequence)))

    def _replace(self, upstream: UpstreamId, link: Link) -> None:
        if link.incarnation is not None:
            log(Event.LINK_SILENT, upstream=upstream, silence_s=SILENCE_S)
        self._lose(upstream, link)
        self._open(upstream)

    def _lose(self, upstream: UpstreamId, link: Link) -> None:
        if link.end is not None:
            link.end.close()
            link.end = None
        if link.incarnation is not None:
            self._deliver(LinkDown(upstream, link.incarnation))
            link.incarnation = None

    def _receive(self, upstream: UpstreamId, link: Link, end: DealerSocket, payload: bytes) -> None:
        if link.end is not end:
            return
        try:
            message = decode_to_entry(payload)
        except msgspec.DecodeError as error:
            log(Event.FRAME_DROPPED, upstream=upstream, detail=str(error))
            return
        link.heard_s = self._clock()
        if isinstance(message, Pong):
            self._learn(upstream, link, message)
        self._pass(upstream, message)

    def _learn(self, upstream: UpstreamId, link: Link, pong: Pong) -> None:
        # ZeroMQ replaces a broken connection by itself. Frames that were sent over the old one are
        # lost, and the agent answers attempts that began there to a peer that is gone.
        if link.incarnation == pong.incarnation and link.connection == pong.connection:
            return
        if link.incarnation is not None:
            self._deliver(LinkDown(upstream, link.incarnation))
        link.incarnation = pong.incarnation
        link.connection = pong.connection
        log(Event.LINK_OPENED, upstream=upstream, address=link.address)
        self._deliver(LinkUp(upstream, pong.incarnation))

    def _pass(self, upstream: UpstreamId, message: ToEntry) -> None:
        self._deliver(FromAgent(upstream, message))
