"""Tests of the ZeroMQ sockets."""

import asyncio
import select
import socket

import pytest

from lycheefall._core.exceptions import PortInUse
from lycheefall._core.ids import Address
from lycheefall._wire.zmq_sockets import DealerSocket, RouterSocket


def free_address() -> Address:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{probe.getsockname()[1]}")


class TestSockets:
    async def test_echo_of_many_messages(self) -> None:
        """Guards against messages that stay unread because the descriptor is edge-triggered."""
        address = free_address()
        count = 2_000
        replies: list[bytes] = []
        done = asyncio.Event()

        def collect(payload: bytes) -> None:
            replies.append(payload)
            if len(replies) == count:
                done.set()

        router = RouterSocket(address, lambda peer, payload: bool(router.send(peer, payload)))
        dealer = DealerSocket(address, collect)
        sent = 0
        while sent < count:
            if dealer.send(b"%d" % sent):
                sent += 1
            else:
                await asyncio.sleep(0.001)
        await asyncio.wait_for(done.wait(), 10)
        dealer.close()
        router.close()
        assert replies == [b"%d" % number for number in range(count)]

    async def test_send_without_peer(self) -> None:
        """Guards against messages that are queued for a peer that is not connected."""
        dealer = DealerSocket(free_address(), lambda payload: None)
        assert not dealer.send(b"lost")
        dealer.close()

    async def test_message_before_a_failed_send(self) -> None:
        """Guards against an unread message whose event was consumed by a failed send."""
        address = free_address()
        received: list[bytes] = []
        router = RouterSocket(address, lambda peer, payload: received.append(payload))
        dealer = DealerSocket(address, lambda payload: None)
        while not dealer.send(b"first"):
            await asyncio.sleep(0.01)
        while not received:
            await asyncio.sleep(0.01)
        for number in range(20):
            assert dealer.send(b"%d" % number)
            # Block the event loop until the message has arrived.
            select.select([], [], [], 0.005)
            assert not router.send(b"unknown peer", b"lost")
            async with asyncio.timeout(1.0):
                while received[-1] != b"%d" % number:
                    await asyncio.sleep(0)
        dealer.close()
        router.close()

    async def test_port_in_use(self) -> None:
        """Guards against a second process that starts on a port that is in use."""
        address = free_address()
        first = RouterSocket(address, lambda peer, payload: None)
        with pytest.raises(PortInUse):
            RouterSocket(address, lambda peer, payload: None)
        first.close()
