"""Tests of upstreams that send bytes without end, or so few that a response never ends."""

import asyncio

import pytest

from entry_harness import EntryHarness, call, request, running_entry
from lycheefall._core.relay import RequestKind
from lycheefall._wire.http_upstream import MAX_BODY_BYTES
from lycheefall._wire.sse import MAX_EVENT_BYTES
from relay_values import configuration, record, route
from test_exchange import announce, respond_ok, stream_events
from upstream_double import Exchange, RequestHandler, chunk, event, stream_head, upstream

LOOKUP = configuration(route(kind=RequestKind.IDEMPOTENT, target_s=1.0, timeout_s=4.0))
BOOKING = configuration(route(kind=RequestKind.NON_IDEMPOTENT, target_s=1.0, timeout_s=4.0))
STREAM = configuration(route(kind=RequestKind.STREAMING, target_s=1.0, timeout_s=4.0))
BLOCK = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id1\r\n"


def repeating(start: bytes, block: bytes, pause_s: float = 0.0) -> RequestHandler:
    """Return a handler that sends a start and then a block without end."""

    async def respond(exchange: Exchange) -> None:
        await exchange.send(start)
        while True:
            await exchange.send(block)
            exchange.double.sent_bytes += len(block)
            await asyncio.sleep(pause_s)

    return respond


ENDLESS = {
    "no head": repeating(b"", BLOCK),
    "header": repeating(HEAD + b"X: ", BLOCK),
    "headers": repeating(HEAD, b"X: y\r\n" * 1000),
    "informational": repeating(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "body": repeating(HEAD + b"\r\n", BLOCK),
    "chunks": repeating(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk(BLOCK)),
    "chunk size": repeating(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 1000),
}


async def call_then_lookup(
    harness: EntryHarness, handler: RequestHandler
) -> tuple[int, int, float]:
    """Send a request to an endless upstream, then one to a sound upstream.

    Returns the status, the bytes that the endless one sent, and the time to the response.
    """
    loop = asyncio.get_running_loop()
    async with upstream(handler) as endless, upstream(respond_ok) as sound:
        await harness.announce(record("u0", address=endless.address, slots=50))
        started_s = loop.time()
        response = await call(harness.port, request(deadline_ms=3000))
        took_s = loop.time() - started_s
        await harness.announce(record("u1", address=sound.address, slots=500))
        assert (await call(harness.port, request(attempt="id2"))).status == 200
        return response.status, endless.sent_bytes, took_s


class TestEndless:
    @pytest.mark.parametrize("name", ENDLESS)
    async def test_booking(self, name: str) -> None:
        """Guards against a response that fills the memory of the entry until its deadline."""
        async with running_entry(BOOKING) as harness:
            status, sent_bytes, took_s = await call_then_lookup(harness, ENDLESS[name])
            assert status == 502
            # The sockets of both sides buffer a few megabytes.
            assert sent_bytes < 2 * MAX_BODY_BYTES
            assert took_s < 3.0

    @pytest.mark.parametrize("name", ENDLESS)
    async def test_lookup_moves(self, name: str) -> None:
        """Guards against a repeatable request that fails with one faulty upstream."""
        async with (
            upstream(ENDLESS[name]) as endless,
            upstream(respond_ok) as sound,
            running_entry(LOOKUP) as harness,
        ):
            await announce(harness, endless, sound)
            assert (await call(harness.port, request(deadline_ms=3000))).status == 200

    async def test_event(self) -> None:
        """Guards against an event without end that fills the memory of the entry."""
        async with running_entry(STREAM) as harness:

            async def respond(exchange: Exchange) -> None:
                start = stream_head(exchange.received) + chunk(event(1))
                await repeating(start, chunk(BLOCK))(exchange)

            async with upstream(respond) as endless:
                await harness.announce(record("u0", address=endless.address, slots=50))
                response = await call(harness.port, request(deadline_ms=3000))
                assert not response.is_complete
                assert endless.sent_bytes < 16 * MAX_EVENT_BYTES

    async def test_response_to_another_request(self) -> None:
        """Guards against the endless body of a late response that is read to its end."""
        late = HEAD.replace(b"id1", b"id0") + b"\r\n"
        async with running_entry(BOOKING) as harness:
            status, sent_bytes, _ = await call_then_lookup(harness, repeating(late, BLOCK))
            assert status == 502
            assert sent_bytes < 2 * MAX_BODY_BYTES


class TestTrickle:
    async def test_stalled_stream_with_single_bytes(self) -> None:
        """Guards against a stalled stream that is kept because a byte arrives now and then."""

        async def trickle(exchange: Exchange) -> None:
            await exchange.send(stream_head(exchange.received) + chunk(event(1)))
            while True:
                await exchange.send(chunk(b"d"))
                await asyncio.sleep(0.1)

        async with (
            upstream(trickle) as first,
            upstream(stream_events(1, 2, 3)) as second,
            running_entry(STREAM) as harness,
        ):
            await announce(harness, first, second)
            response = await call(harness.port, request(deadline_ms=3500))
            assert response.is_complete
            assert response.body == event(1) + event(2) + event(3)

    async def test_slow_sound_stream(self) -> None:
        """Guards against a sound stream that is cut because its events are far apart."""

        async def slow(exchange: Exchange) -> None:
            await exchange.send(stream_head(exchange.received))
            for number in range(1, 4):
                await exchange.send(chunk(event(number)))
                await asyncio.sleep(0.6)
            await exchange.send(b"0\r\n\r\n")

        async with upstream(slow) as only, running_entry(STREAM) as harness:
            await announce(harness, only)
            response = await call(harness.port, request(deadline_ms=3500))
            assert response.is_complete
            assert response.body == event(1) + event(2) + event(3)
            assert len(only.received) == 1
