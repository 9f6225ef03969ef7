"""Tests of faults that operators of similar systems have reported."""

import asyncio

import pytest

from entry_harness import call, request, running_entry
from lycheefall._core.relay import RequestKind
from relay_values import configuration, record, route
from test_exchange import (
    BOOKING,
    LOOKUP,
    STREAM,
    announce,
    call_entry,
    reset,
    stream_events,
)
from upstream_double import (
    Exchange,
    RequestHandler,
    complete_response,
    event,
    upstream,
)


def refusal(attempt: str | None) -> bytes:
    """Return a refusal with the id of a request, or with none."""
    echo = "" if attempt is None else f"Attempt-Id: {attempt}\r\n"
    return (f"HTTP/1.1 503 Full\r\n{echo}Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull").encode()


class TestRepeatedRefusal:
    @pytest.mark.parametrize("echo", ["a", None])
    async def test_kept_connection(self, echo: str | None) -> None:
        """Guards against "not run" for a request that is running at that moment."""

        async def refuse_then_run(exchange: Exchange) -> None:
            attempt = exchange.received.headers["attempt-id"]
            if attempt == "a":
                await exchange.send(refusal("a"))
                return
            await exchange.send(refusal(echo))
            await asyncio.sleep(0.05)
            await exchange.send(complete_response(exchange.received, b"ran"))

        async with upstream(refuse_then_run) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            assert (await call(harness.port, request(attempt="a"))).status == 503
            response = await call(harness.port, request(attempt="b"))
            assert len(double.received) == 2
            assert response.status in (200, 502)

    async def test_booking_after_a_refused_lookup(self) -> None:
        """Guards against a booking that runs twice after a refusal of another request."""
        runs = 0

        async def refuse_lookup(exchange: Exchange) -> None:
            nonlocal runs
            if exchange.received.headers["attempt-id"] == "lookup":
                await exchange.send(refusal("lookup"))
                return
            runs += 1
            await exchange.send(refusal("lookup"))
            await exchange.send(complete_response(exchange.received))

        routes = (
            route("lookup", prefix="/l/", kind=RequestKind.IDEMPOTENT, target_s=0.2),
            route("booking", prefix="/b/", kind=RequestKind.NON_IDEMPOTENT, target_s=0.2),
        )
        async with (
            upstream(refuse_lookup) as first,
            upstream(refuse_lookup) as second,
            running_entry(configuration(*routes)) as harness,
        ):
            await announce(harness, first, second)
            await call(harness.port, request("/l/x", attempt="lookup"))
            assert (await call(harness.port, request("/b/x", attempt="b"))).status == 200
            assert runs == 1


def answering(data: bytes) -> RequestHandler:
    """Return a handler that sends these bytes and closes the connection."""

    async def respond(exchange: Exchange) -> None:
        attempt = exchange.received.headers["attempt-id"].encode()
        await exchange.send(data.replace(b"ATTEMPT", attempt))
        exchange.writer.close()

    return respond


def response_bytes(status: str, body: bytes, extra: str = "") -> bytes:
    """Return a whole response with a seal."""
    head = f"HTTP/1.1 {status}\r\nAttempt-Id: ATTEMPT\r\nServer-Seal: s\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class TestErrorAfterABrokenStream:
    @pytest.mark.parametrize(
        "answer",
        [
            response_bytes("500 Error", b"no\n\nluck\n\n"),
            response_bytes("503 Full", b"no\n\nluck\n\n", "Not-Executed: 1\r\n"),
            response_bytes("404 Not Found", b"no\n\nluck\n\n"),
            response_bytes("202 Accepted", b"no\n\nluck\n\n"),
            response_bytes("200 OK", b'{"error": "no\n\nluck"}\n\n', "Content-Type: a/json\r\n"),
            response_bytes("200 OK", b"no\n\nluck\n\n", "Content-Type: text/plain\r\n"),
            response_bytes("200 OK", b"HTTP/1.1 500 Error\r\nA: b\r\n\r\nx\n\n"),
            b"HTTP/1.1 500 Error\r\n\r\nid: 2\ndata: no\n\n",
            b"id: 2\ndata: no\n\n",
            b"",
        ],
    )
    async def test_next_upstream_answers_with_an_error(self, answer: bytes) -> None:
        """Guards against the text of an error within a stream, or a stream that looks complete."""
        response, received = await call_entry(
            STREAM, request(), stream_events(0, 1, then=reset), answering(answer)
        )
        assert received == [1, 1]
        assert response.body == event(0) + event(1)
        assert not response.is_complete


def sealed_head(attempt: str, framing: str) -> bytes:
    """Return the head of a response."""
    return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n{framing}\r\n").encode()


class TestCutHead:
    @pytest.mark.parametrize("config", [LOOKUP, BOOKING, STREAM])
    @pytest.mark.parametrize("framing", ["Content-Length: 12\r\n", ""])
    async def test_every_position(self, config: object, framing: str) -> None:
        """Guards against a 200 with an empty or short body after a head that broke off."""
        whole = sealed_head("id1", framing)
        cut = 0

        async def cut_head(exchange: Exchange) -> None:
            await exchange.send(whole[:cut])
            exchange.writer.close()

        async with upstream(cut_head) as double, running_entry(config) as harness:  # type: ignore[arg-type]
            await harness.announce(record("u0", address=double.address, slots=50))
            for position in range(0, len(whole), 3):
                cut = position
                response = await call(harness.port, request())
                assert response.status in (502, 503), whole[:position]


class TestStreamWithoutFraming:
    @pytest.mark.parametrize(
        ("tail", "is_complete"), [(b"", True), (b"id: 2\nda", False), (b"id: 2\ndata: t2\n", False)]
    )
    async def test_end_of_the_connection(self, tail: bytes, is_complete: bool) -> None:
        """Guards against a stream that broke off within an event and looks complete."""

        async def respond(exchange: Exchange) -> None:
            attempt = exchange.received.headers["attempt-id"]
            head = sealed_head(attempt, "Content-Type: text/event-stream\r\n")
            await exchange.send(head + event(0) + event(1) + tail)
            exchange.writer.close()

        response, _ = await call_entry(STREAM, request(), respond)
        assert response.body == event(0) + event(1)
        assert response.is_complete is is_complete

    async def test_resumed_by_a_framed_one(self) -> None:
        """Guards against a partial event within a resumed stream."""

        async def respond(exchange: Exchange) -> None:
            attempt = exchange.received.headers["attempt-id"]
            head = sealed_head(attempt, "Content-Type: text/event-stream\r\n")
            await exchange.send(head + event(0) + b"id: 1\ndata")
            exchange.writer.close()

        response, _ = await call_entry(STREAM, request(), respond, stream_events(1, 2))
        assert response.body == event(0) + event(1) + event(2)
        assert response.is_complete
