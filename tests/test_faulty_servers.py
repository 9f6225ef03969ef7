"""Tests of faults that operators of similar systems have reported."""

import asyncio

import pytest

from entry_harness import call, request, running_entry
from lycheefall._core.relay import RequestKind
from relay_values import configuration, route
from test_exchange import (
    LOOKUP,
    announce,
)
from upstream_double import (
    Exchange,
    complete_response,
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
