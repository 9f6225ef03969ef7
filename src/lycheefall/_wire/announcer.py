"""Send heartbeats of this process to every process that should know it."""

import asyncio

from msgspec.structs import replace

from lycheefall._core.ids import Address
from lycheefall._core.messages.membership import Announce, Load, Member, UpstreamMember
from lycheefall._wire.codec import encode
from lycheefall._wire.zmq_sockets import DealerSocket

HEARTBEAT_S = 0.25


class Announcer:
    """Connections to the processes that hear the heartbeats, and the last sequence."""

    __slots__ = ("_changed", "_ends", "_member", "_sequence")

    def __init__(self) -> None:
        self._ends: dict[Address, DealerSocket] = {}
        self._member: Member | None = None
        self._sequence = 0
        self._changed = asyncio.Event()

    def set_member(self, member: Member) -> None:
        """Announce this member from now on, at once if more than its load has changed."""
        if self._member is None or _without_load(member) != _without_load(self._member):
            self._changed.set()
        self._member = member

    def set_addresses(self, addresses: set[Address]) -> None:
        """Announce to exactly these addresses from now on."""
        for address in self._ends.keys() - addresses:
            self._ends.pop(address).close()
        for address in addresses - self._ends.keys():
            self._ends[address] = DealerSocket(address, _ignore, replaces_silent=True)

    async def run(self) -> None:
        """Send a heartbeat once a period and at each change of state."""
        try:
            while True:
                self._beat()
                await _wait(self._changed, HEARTBEAT_S)
        finally:
            self.set_addresses(set())

    def _beat(self) -> None:
        if self._member is None:
            return
        self._sequence += 1
        payload = encode(Announce(self._member, self._sequence))
        for end in self._ends.values():
            end.send(payload)


def _without_load(member: Member) -> Member:
    return replace(member, load=Load()) if isinstance(member, UpstreamMember) else member


def _ignore(payload: bytes) -> None:
    """Drop what a listener sends; announcements are not answered."""


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
    event.clear()
