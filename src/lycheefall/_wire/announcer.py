"""Heartbeats by which a process announces itself to other processes."""

import asyncio

from msgspec.structs import replace

from lycheefall._core.ids import Address
from lycheefall._core.messages.membership import Announce, Load, Member, UpstreamMember
from lycheefall._wire.codec import encode
from lycheefall._wire.zmq_sockets import DealerSocket

HEARTBEAT_PERIOD_S = 0.25


class Announcer:
    """Sends the heartbeats of one process to a set of addresses."""

    __slots__ = ("_changed", "_member", "_sequence", "_sockets")

    def __init__(self) -> None:
        self._sockets: dict[Address, DealerSocket] = {}
        self._member: Member | None = None
        self._sequence = 0
        self._changed = asyncio.Event()

    def set_member(self, member: Member) -> None:
        """Announce this member from now on, and at once if more than its load has changed."""
        if self._member is None or _without_load(member) != _without_load(self._member):
            self._changed.set()
        self._member = member

    def set_addresses(self, addresses: set[Address]) -> None:
        """Replace the addresses that the heartbeats are sent to."""
        for address in self._sockets.keys() - addresses:
            self._sockets.pop(address).close()
        for address in addresses - self._sockets.keys():
            self._sockets[address] = DealerSocket(address, _discard, use_heartbeats=True)

    async def run(self) -> None:
        """Send heartbeats periodically and at each change of state, until cancelled."""
        try:
            while True:
                self._send_heartbeat()
                await _wait_or_timeout(self._changed, HEARTBEAT_PERIOD_S)
        finally:
            self.set_addresses(set())

    def _send_heartbeat(self) -> None:
        if self._member is None:
            return
        self._sequence += 1
        payload = encode(Announce(self._member, self._sequence))
        for socket in self._sockets.values():
            socket.send(payload)


def _without_load(member: Member) -> Member:
    return replace(member, load=Load()) if isinstance(member, UpstreamMember) else member


def _discard(payload: bytes) -> None:
    """Discard a received message; receivers do not reply to heartbeats."""


async def _wait_or_timeout(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
    event.clear()
