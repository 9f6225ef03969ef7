"""Tests of the headers by which upstreams say that they are leaving or accept no requests."""

import pytest

from entry_harness import call, request, running_entry
from lycheefall._core.relay import RequestKind
from lycheefall._relay.headers import parse_decimal
from relay_values import configuration, record, route
from upstream_double import (
    LAST_CHUNK,
    Exchange,
    RequestHandler,
    chunk,
    complete_response,
    event,
    stream_head,
    upstream,
)

LOOKUP = configuration(route(kind=RequestKind.IDEMPOTENT, target_s=0.2, timeout_s=2.0))
STREAM = configuration(route(kind=RequestKind.STREAMING, target_s=0.2, timeout_s=4.0))


def responding(status: str, extra: str) -> RequestHandler:
    """Return a handler that sends a complete response with further headers."""

    async def respond(exchange: Exchange) -> None:
        await exchange.send(complete_response(exchange.received, b"answer", status, extra))

    return respond


async def leaving_stream(exchange: Exchange) -> None:
    """Send a stream whose head says that the upstream is leaving."""
    head = stream_head(exchange.received).replace(b"\r\n\r\n", b"\r\nServer-Leaving: 1\r\n\r\n")
    await exchange.send(head + chunk(event(1)) + LAST_CHUNK)


async def requests_received(config: object, handler: RequestHandler, count: int = 3) -> int:
    """Return how many of some successive requests reach an upstream with this handler."""
    async with upstream(handler) as double, running_entry(config) as harness:  # type: ignore[arg-type]
        await harness.announce(record("u0", address=double.address, slots=50))
        for number in range(count):
            await call(harness.port, request(attempt=str(number)))
            # A replica repeats all records after a reconnection.
            await harness.announce(record("u0", address=double.address, slots=50, sequence=9))
        return len(double.received)


class TestLeaving:
    @pytest.mark.parametrize(
        ("status", "extra"),
        [
            ("200 OK", ""),
            ("404 Not Found", ""),
            ("500 Error", ""),
            ("503 Full", "Not-Executed: 1\r\n"),
        ],
    )
    async def test_any_response_counts(self, status: str, extra: str) -> None:
        """Guards against requests to an upstream after a response that says it is leaving."""
        handler = responding(status, extra + "Server-Leaving: 1\r\n")
        assert await requests_received(LOOKUP, handler) == 1

    async def test_head_of_a_stream_counts(self) -> None:
        """Guards against a notice that is only read from whole responses."""
        assert await requests_received(STREAM, leaving_stream) == 1

    @pytest.mark.parametrize("extra", ["", "Server-Leaving: 0\r\n"])
    async def test_upstream_that_stays(self, extra: str) -> None:
        """Guards against an upstream that is excluded although it is not leaving."""
        assert await requests_received(LOOKUP, responding("200 OK", extra)) == 3

    async def test_response_of_another_server(self) -> None:
        """Guards against the notice of a server that only uses the address of an upstream."""
        handler = responding("421 Misdirected Request", "Server-Leaving: 1\r\n")
        assert await requests_received(LOOKUP, handler) == 3


class TestRetryAfter:
    @pytest.mark.parametrize("value", ["30", "2.5", "99999999"])
    async def test_no_request_in_that_time(self, value: str) -> None:
        """Guards against requests to an upstream that asked for a time without any."""
        handler = responding("503 Full", f"Not-Executed: 1\r\nRetry-After: {value}\r\n")
        assert await requests_received(LOOKUP, handler) == 1

    @pytest.mark.parametrize(
        "value",
        ["-5", "0", "", "soon", "Fri, 04 Dec 2026 10:00:00 GMT", "1e9", "9" * 5000, "²"],
    )
    async def test_invalid_values(self, value: str) -> None:
        """Guards against a value that is no time and excludes an upstream or ends a request."""
        handler = responding("503 Full", f"Not-Executed: 1\r\nRetry-After: {value}\r\n")
        assert await requests_received(LOOKUP, handler) == 3

    async def test_other_statuses(self) -> None:
        """Guards against Retry-After of a response that is no refusal of the upstream."""
        assert await requests_received(LOOKUP, responding("200 OK", "Retry-After: 30\r\n")) == 3


def test_parse_decimal() -> None:
    """Guards against fractions that are read as whole seconds."""
    assert parse_decimal(b" 1.25 ") == 1.25
    assert parse_decimal(b"7") == 7.0
    assert parse_decimal(b".") is None
    assert parse_decimal(None) is None


async def test_deadline_with_thousands_of_digits() -> None:
    """Guards against a number that int() refuses and that ends the request without an answer."""
    async with (
        upstream(responding("200 OK", "")) as double,
        running_entry(LOOKUP) as harness,
    ):
        await harness.announce(record("u0", address=double.address))
        extra = f"Deadline-Ms: {'9' * 5000}\r\n"
        response = await call(harness.port, request(deadline_ms=None, extra=extra))
        assert response.status == 200
