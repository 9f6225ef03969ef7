"""Tests of requests through an entry to upstreams that fail in various ways."""

import asyncio
import contextlib
from contextlib import AsyncExitStack
from random import Random
from typing import Any

import pytest
from msgspec import structs

from entry_harness import (
    EntryHarness,
    Response,
    call,
    read_response,
    request,
    running_entry,
)
from lycheefall._core.ids import Fingerprint, PoolId, PromptPart, UpstreamId
from lycheefall._core.messages.relay import Crash
from lycheefall._core.relay import RequestKind
from lycheefall._relay import connection_pool, dispatch, replacement, stopping
from lycheefall._relay.dispatch import Dispatcher
from lycheefall._rules import dispatching, prompt_guard
from lycheefall._rules.dispatch_messages import Output, Place, Refuse
from lycheefall._rules.prompt_blocks import FIRST_BLOCK_S
from lycheefall._wire.http_server import HttpLimits
from lycheefall._wire.http_upstream import UpstreamConnection
from relay_values import configuration, record, route
from upstream_double import (
    LAST_CHUNK,
    Exchange,
    RequestHandler,
    UpstreamDouble,
    chunk,
    complete_response,
    event,
    stream_head,
    upstream,
)

LOOKUP = configuration(route(kind=RequestKind.IDEMPOTENT, target_s=0.2, timeout_s=2.0))
BOOKING = configuration(route(kind=RequestKind.NON_IDEMPOTENT, target_s=0.2, timeout_s=2.0))
STREAM = configuration(route(kind=RequestKind.STREAMING, target_s=0.2, timeout_s=4.0))


async def respond_ok(exchange: Exchange) -> None:
    """Send a complete response."""
    await exchange.send(complete_response(exchange.received))


async def hang(exchange: Exchange) -> None:
    """Send no response until the connection ends."""
    await exchange.reader.read()


async def reset(exchange: Exchange) -> None:
    """Reset the connection without a response."""
    exchange.reset()


async def truncated(exchange: Exchange) -> None:
    """Reset the connection within the response."""
    await exchange.send(complete_response(exchange.received, b"x" * 100)[:-50])
    exchange.reset()


async def not_run(exchange: Exchange) -> None:
    """Refuse the request without running it."""
    await exchange.send(
        complete_response(exchange.received, b"", "503 Full", "Not-Executed: 1\r\n")
    )


async def misdirected(exchange: Exchange) -> None:
    """Respond as a server other than the expected one."""
    await exchange.send(complete_response(exchange.received, b"", "421 Misdirected Request"))


async def failing(exchange: Exchange) -> None:
    """Run the request and respond with an error."""
    await exchange.send(complete_response(exchange.received, b"broken", "500 Error"))


async def malformed(exchange: Exchange) -> None:
    """Send bytes that are not HTTP."""
    await exchange.send(b"\x00\x01\x02 no http\r\n\r\n")


async def unsealed(exchange: Exchange) -> None:
    """Respond without the seal header."""
    data = complete_response(exchange.received).replace(b"Server-Seal: s\r\n", b"")
    await exchange.send(data)


async def empty_seal(exchange: Exchange) -> None:
    """Respond with a seal header that has no value."""
    response = complete_response(exchange.received)
    await exchange.send(response.replace(b"Server-Seal: s", b"Server-Seal: "))


async def announce(harness: EntryHarness, *doubles: UpstreamDouble) -> None:
    """Announce upstreams to the entry; the first one is the least loaded because of its slots."""
    records = [
        record(f"u{n}", address=each.address, slots=50 - 20 * n) for n, each in enumerate(doubles)
    ]
    await harness.announce(*records)


async def call_entry(
    config: object, data: bytes, *handlers: RequestHandler
) -> tuple[Response, list[int]]:
    """Send one request to an entry with these upstreams.

    Returns the response and the number of requests received by each upstream.
    """
    async with (
        upstream(handlers[0]) as first,
        upstream(handlers[-1]) as second,
        running_entry(config) as harness,  # type: ignore[arg-type]
    ):
        await announce(harness, *((first, second) if len(handlers) > 1 else (first,)))
        response = await call(harness.port, data)
        return response, [len(first.received), len(second.received)]


class TestPassThrough:
    async def test_bytes_are_unchanged(self) -> None:
        """Guards against a method, path, query, header or body that is changed on the way."""
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            path = "/a/%7Ex/../y?q=%20a&b"
            extra = "X-Own: Value\r\nTenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
            response = await call(harness.port, request(path, extra=extra, attempt="z9"))
            received = double.received[0]
            assert response.status == 200
            assert response.body == b"answer"
            assert response.headers["server-seal"] == "s"
            assert received.request_line == f"POST {path} HTTP/1.1"
            assert received.body == b"question"
            assert received.headers["x-own"] == "Value"
            assert received.headers["attempt-id"] == "z9"
            assert received.headers["tenant"] == "t1"
            assert received.header_names.count("Tenant") == 1
            assert received.headers["expect-instance"] == "u0"
            assert 0 < int(received.headers["deadline-ms"]) <= 2000
            assert not {"api-key", "x-hop", "connection"} & set(received.headers)

    async def test_chunked_body(self) -> None:
        """Guards against a chunked body that is lost or forwarded with its chunk framing."""
        head = request(body=b"", extra="Transfer-Encoding: chunked\r\n")
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            response = await call(harness.port, head + chunk(b"one") + chunk(b"two") + LAST_CHUNK)
            assert response.status == 200
            assert double.received[0].body == b"onetwo"

    async def test_connections_are_reused(self) -> None:
        """Guards against a new upstream connection for each lookup."""
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            for number in range(5):
                await call(harness.port, request(attempt=str(number)))
            assert double.connections == 1

    async def test_booking_uses_a_new_connection(self) -> None:
        """Guards against a booking on an idle connection that the upstream has just closed."""
        async with upstream(respond_ok) as double, running_entry(BOOKING) as harness:
            await announce(harness, double)
            for number in range(3):
                await call(harness.port, request(attempt=str(number)))
            assert double.connections == 3


class TestIdentification:
    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (request(key="wrong"), 401),
            (request(key=None), 401),
            (request("/none/x"), 404),
        ],
    )
    async def test_refused_before_anything_runs(self, data: bytes, status: int) -> None:
        """Guards against a request that runs without a valid key or route."""
        response, received_counts = await call_entry(LOOKUP, data, respond_ok)
        assert response.status == status
        assert received_counts[0] == 0

    async def test_last_team_taken_away(self) -> None:
        """Guards against requests with any key that run once a configuration has no team left."""
        async with upstream(respond_ok) as double, running_entry(BOOKING) as harness:
            await announce(harness, double)
            assert (await call(harness.port, request())).status == 200
            await harness.configure(structs.replace(BOOKING, teams=()))
            for key in ("k1", "never-known", None):
                assert (await call(harness.port, request(key=key))).status == 401
            assert len(double.received) == 1

    async def test_no_configuration(self) -> None:
        """Guards against 404 from an entry that has no routes yet."""
        response, _ = await call_entry(None, request(), respond_ok)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0

    async def test_waits_for_first_configuration(self) -> None:
        """Guards against callers that exhaust their retries while all processes restart."""
        async with upstream(respond_ok) as double, running_entry(None) as harness:
            await announce(harness, double)
            answering = asyncio.create_task(call(harness.port, request()))
            await asyncio.sleep(0.1)
            await harness.configure(LOOKUP)
            assert (await answering).status == 200

    async def test_wait_for_configuration_is_bounded(self) -> None:
        """Guards against a caller whose short timeout is spent waiting for a configuration."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response, _ = await call_entry(None, request(deadline_ms=800), respond_ok)
        assert response.status == 503
        assert loop.time() - started_s < 0.5

    async def test_body_too_large(self) -> None:
        """Guards against a body above the limit, with a declared length or in chunks."""
        async with running_entry(LOOKUP, HttpLimits(body_bytes=100)) as harness:
            response = await call(harness.port, request(body=b"x" * 101))
            assert response.status == 413
            head = request(body=b"", extra="Transfer-Encoding: chunked\r\n")
            response = await call(harness.port, head + chunk(b"x" * 101) + LAST_CHUNK)
            assert response.status == 413

    async def test_headers_too_large(self) -> None:
        """Guards against headers above the size limit."""
        async with running_entry(LOOKUP, HttpLimits(header_bytes=2_000)) as harness:
            response = await call(harness.port, request(extra=f"X: {'y' * 5_000}\r\n"))
            assert response.status == 431

    async def test_limits_change_while_a_connection_is_idle(self) -> None:
        """Guards against limits of an earlier configuration that bind the next request."""
        small = HttpLimits(body_bytes=100, header_bytes=500, idle_timeout_s=0.3)
        async with (
            upstream(respond_ok) as double,
            running_entry(LOOKUP, small) as harness,
        ):
            await announce(harness, double)
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(request(body=b""))
            assert (await read_response(reader)).status == 200
            harness.server.limits = HttpLimits
            await asyncio.sleep(0.5)
            data = request(attempt="id2", body=b"x" * 1000, extra=f"X: {'y' * 5_000}\r\n")
            # In two parts, so that the parser sees an incomplete head above the earlier limit.
            writer.write(data[:2000])
            await asyncio.sleep(0.05)
            writer.write(data[2000:])
            assert (await read_response(reader)).status == 200
            writer.close()

    async def test_chunk_size_without_end(self) -> None:
        """Guards against a chunk size of a body that is buffered without a limit."""
        async with running_entry(LOOKUP, HttpLimits(header_bytes=2_000)) as harness:
            head = request(body=b"", extra="Transfer-Encoding: chunked\r\n")
            response = await call(harness.port, head + b"0" * 5_000)
            assert response.status in (400, 431)

    async def test_slow_headers(self) -> None:
        """Guards against a caller that holds a connection open with incomplete headers."""
        async with running_entry(LOOKUP, HttpLimits(header_timeout_s=0.2)) as harness:
            response = await call(harness.port, request()[:20])
            assert response.status == 408

    async def test_malformed_request(self) -> None:
        """Guards against an entry that hangs on bytes that are not HTTP."""
        async with running_entry(LOOKUP) as harness:
            response = await call(harness.port, b"\x16\x03\x01 hello\r\n\r\n")
            assert response.status == 400


class TestLookups:
    @pytest.mark.parametrize(
        "first",
        [hang, reset, truncated, not_run, misdirected, failing, malformed, unsealed, empty_seal],
    )
    async def test_retried_at_second_upstream(self, first: RequestHandler) -> None:
        """Guards against a lookup that fails because one upstream fails."""
        response, received_counts = await call_entry(LOOKUP, request(), first, respond_ok)
        assert (response.status, response.body) == (200, b"answer")
        assert received_counts == [1, 1]

    async def test_upstream_error_is_forwarded_when_all_fail(self) -> None:
        """Guards against an upstream's error response that is replaced by another error."""
        response, received_counts = await call_entry(LOOKUP, request(), failing, failing)
        assert (response.status, response.body) == (500, b"broken")
        assert response.headers["server-seal"] == "s"
        assert received_counts == [1, 1]

    async def test_not_run_anywhere(self) -> None:
        """Guards against 502 for a request that certainly did not run."""
        response, received_counts = await call_entry(LOOKUP, request(), not_run, not_run)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert received_counts == [1, 1]


class TestSlowAttempts:
    @staticmethod
    def respond_after(delay_s: float) -> RequestHandler:
        async def respond(exchange: Exchange) -> None:
            await asyncio.sleep(delay_s)
            await respond_ok(exchange)

        return respond

    async def test_no_retry_left(self) -> None:
        """Guards against an attempt that is given up though no other may begin."""
        async with AsyncExitStack() as stack:
            doubles = [
                await stack.enter_async_context(upstream(self.respond_after(1.2))) for _ in "ab"
            ]
            harness = await stack.enter_async_context(running_entry(LOOKUP, retry_allowance=0.0))
            await announce(harness, *doubles)
            assert (await call(harness.port, request())).status == 200
            assert sum(len(each.received) for each in doubles) == 1

    async def test_slow_service(self) -> None:
        """Guards against work that is done twice because all upstreams need longer than usual."""
        async with AsyncExitStack() as stack:
            doubles = [
                await stack.enter_async_context(upstream(self.respond_after(1.0))) for _ in "ab"
            ]
            harness = await stack.enter_async_context(running_entry(LOOKUP))
            await announce(harness, *doubles)
            pool = harness.dispatcher.dispatch_state.pools[PoolId("engines")]
            pool.upstreams.delay_s = 1.0
            assert (await call(harness.port, request())).status == 200
            assert sum(len(each.received) for each in doubles) == 1

    async def test_response_while_another_upstream_is_looked_for(self) -> None:
        """Guards against a slot that stays taken if the response comes first."""
        async with upstream(self.respond_after(0.8)) as first, running_entry(LOOKUP) as harness:
            other = record("u9", address="127.0.0.1:1", slots=1)
            await announce(harness, first)
            await harness.announce(other)
            state = harness.dispatcher.dispatch_state
            state.pools[PoolId("engines")].upstreams.by_id[other.upstream].own_in_flight = 1
            assert (await call(harness.port, request())).status == 200
            await asyncio.sleep(0.05)
            assert dispatching.in_flight(state) == {other.upstream: 1}


class TestBookings:
    @pytest.mark.parametrize("first", [reset, truncated, malformed, unsealed, empty_seal])
    async def test_never_run_twice(self, first: RequestHandler) -> None:
        """Guards against a second run, and against 503, which states that the first did not run."""
        response, received_counts = await call_entry(BOOKING, request(), first, respond_ok)
        assert response.status == 502
        assert received_counts == [1, 0]

    async def test_upstream_error_is_final(self) -> None:
        """Guards against a booking that is run again after it ran and failed."""
        response, received_counts = await call_entry(BOOKING, request(), failing, respond_ok)
        assert (response.status, received_counts) == (500, [1, 0])

    @pytest.mark.parametrize("first", [not_run, misdirected])
    async def test_retried_if_not_run(self, first: RequestHandler) -> None:
        """Guards against a failed booking that another upstream could have run."""
        response, received_counts = await call_entry(BOOKING, request(), first, respond_ok)
        assert (response.status, received_counts) == (200, [1, 1])

    async def test_deadline_exceeded(self) -> None:
        """Guards against a response after the deadline, and 503 for a request that may run."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response, received_counts = await call_entry(
            BOOKING, request(deadline_ms=400), hang, respond_ok
        )
        assert response.status == 504
        assert 0.35 <= loop.time() - started_s <= 0.9
        assert received_counts == [1, 0]

    async def test_unreachable_upstream(self) -> None:
        """Guards against a booking that fails although another upstream can be reached."""
        async with upstream(respond_ok) as double, running_entry(BOOKING) as harness:
            unreachable = record("u0", address="127.0.0.1:1", slots=50)
            await harness.announce(unreachable, record("u1", address=double.address, slots=10))
            response = await call(harness.port, request())
            assert response.status == 200


class TestLateResponses:
    async def test_late_response_of_an_earlier_request(self) -> None:
        """Guards against the response to one request that is sent to another."""
        first = True

        async def respond_twice(exchange: Exchange) -> None:
            nonlocal first
            if first:
                first = False
                await exchange.send(complete_response(exchange.received, b"one"))
                return
            late_response = complete_response(exchange.received, b"stray").replace(
                b"Attempt-Id: b", b"Attempt-Id: a"
            )
            await exchange.send(late_response + complete_response(exchange.received, b"two"))

        async with upstream(respond_twice) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            assert (await call(harness.port, request(attempt="a"))).body == b"one"
            assert (await call(harness.port, request(attempt="b"))).body == b"two"

    async def test_extra_bytes_while_idle(self) -> None:
        """Guards against reusing a connection with bytes that belong to no request."""

        async def send_extra_bytes(exchange: Exchange) -> None:
            await exchange.send(complete_response(exchange.received) + b"HTTP/1.1 200 OK\r\n")

        async with upstream(send_extra_bytes) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            for number in range(2):
                response = await call(harness.port, request(attempt=str(number)))
                assert (response.status, response.body) == (200, b"answer")
                await asyncio.sleep(0.05)
            assert double.connections == 2

    async def test_body_without_length(self) -> None:
        """Guards against a body truncated by a reset that is forwarded as complete."""

        async def respond_without_length(exchange: Exchange) -> None:
            attempt = exchange.received.headers["attempt-id"]
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n\r\n"
            await exchange.send(head.encode() + b"whole")
            if attempt == "cut":
                await asyncio.sleep(0.05)
                exchange.reset()
            else:
                exchange.writer.close()
                await asyncio.sleep(0.05)

        response, _ = await call_entry(BOOKING, request(), respond_without_length)
        assert (response.status, response.body) == (200, b"whole")
        response, _ = await call_entry(BOOKING, request(attempt="cut"), respond_without_length)
        assert response.status == 502


def stream_events(*numbers: int, then: RequestHandler | None = None) -> RequestHandler:
    """Return a handler that sends these events, then ends the stream or calls `then`."""

    async def respond(exchange: Exchange) -> None:
        await exchange.send(stream_head(exchange.received))
        for number in numbers:
            await exchange.send(chunk(event(number)))
            await asyncio.sleep(0.01)
        if then is None:
            await exchange.send(LAST_CHUNK)
        else:
            await then(exchange)

    return respond


async def reset_within_event(exchange: Exchange) -> None:
    """Reset the connection within an event."""
    await exchange.send(chunk(b"id: 9\nda"))
    await asyncio.sleep(0.05)
    exchange.reset()


async def end_within_event(exchange: Exchange) -> None:
    """End the chunked body within an event."""
    await exchange.send(chunk(b"id: 9\nda") + LAST_CHUNK)


class TestStreams:
    async def test_events_in_order(self) -> None:
        """Guards against events that are lost, merged or buffered until the end."""
        response, _ = await call_entry(STREAM, request(), stream_events(0, 1, 2))
        assert response.is_complete
        assert response.body == event(0) + event(1) + event(2)

    @pytest.mark.parametrize("end", [reset_within_event, reset, end_within_event, hang])
    async def test_resumed_at_another_upstream(self, end: RequestHandler) -> None:
        """Guards against a stream that is truncated, or has a partial or duplicate event."""
        last_event_ids: list[str] = []

        async def resume(exchange: Exchange) -> None:
            last_event_ids.append(exchange.received.headers["last-event-id"])
            await stream_events(2, 3)(exchange)

        response, received_counts = await call_entry(
            STREAM, request(), stream_events(0, 1, then=end), resume
        )
        assert response.is_complete
        assert response.body == b"".join(event(n) for n in range(4))
        assert (last_event_ids, received_counts) == (["1"], [1, 1])

    async def test_cut_stream_does_not_look_complete(self) -> None:
        """Guards against a truncated stream that ends as if complete."""
        response, _ = await call_entry(STREAM, request(), stream_events(0, 1, then=reset))
        assert response.body == event(0) + event(1)
        assert not response.is_complete

    async def test_slow_first_event(self) -> None:
        """Guards against a stream that is blocked by an upstream that does not respond."""
        response, received_counts = await call_entry(STREAM, request(), hang, stream_events(0, 1))
        assert response.is_complete
        assert received_counts == [1, 1]

    async def test_stall_without_another_upstream(self) -> None:
        """Guards against cutting a stalled stream that no other upstream can resume."""

        async def respond_with_pause(exchange: Exchange) -> None:
            await exchange.send(stream_head(exchange.received) + chunk(event(0)))
            await asyncio.sleep(1.2)
            await exchange.send(chunk(event(1)) + LAST_CHUNK)

        response, received_counts = await call_entry(STREAM, request(), respond_with_pause)
        assert response.is_complete
        assert received_counts[0] == 1


class TestCallers:
    async def test_leaves_as_an_upstream_is_assigned(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a slot that stays taken if its caller leaves at that moment."""
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            deliver = dispatch._deliver
            placed: list[Place] = []

            def deliver_and_cancel(state: Dispatcher, outputs: list[Output]) -> None:
                deliver(state, outputs)
                placed.extend(each for each in outputs if isinstance(each, Place))
                for caller in harness.server.callers if outputs else ():
                    if caller.handler_task is not None:
                        caller.handler_task.cancel()

            monkeypatch.setattr(dispatch, "_deliver", deliver_and_cancel)
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await call(harness.port, request())
            await asyncio.sleep(0.05)
            assert len(placed) == 1
            assert dispatching.in_flight(harness.dispatcher.dispatch_state) == {}
            assert not double.received

    @pytest.mark.parametrize("config", [LOOKUP, STREAM])
    async def test_caller_disconnects(self, config: object) -> None:
        """Guards against an upstream that keeps working for a disconnected caller."""
        async with upstream(hang) as double, running_entry(config) as harness:  # type: ignore[arg-type]
            await announce(harness, double)
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(request())
            while not double.received:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.sleep(0.3)
            dispatch_state = harness.dispatcher.dispatch_state
            assert (
                sum(
                    stats.own_in_flight
                    for p in dispatch_state.pools.values()
                    for stats in p.upstreams.by_id.values()
                )
                == 0
            )
            assert dispatch_state.team_by_request == {}

    async def test_queued_caller_disconnects(self) -> None:
        """Guards against assigning an upstream to a request whose caller has disconnected."""
        async with upstream(hang) as double, running_entry(STREAM) as harness:
            await harness.announce(record("u0", address=double.address, slots=1))
            first = asyncio.create_task(call(harness.port, request(attempt="a")))
            while not double.received:
                await asyncio.sleep(0.01)
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(request(attempt="b"))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            pools = harness.dispatcher.dispatch_state.pools.values()
            assert sum(len(pool.waiting) for pool in pools) == 0
            assert len(double.received) == 1
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

    async def test_several_requests_on_one_connection(self) -> None:
        """Guards against a connection that is closed after one response."""
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            for number in range(3):
                writer.write(request(attempt=str(number)))
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"200" in head
                await reader.readexactly(len(b"answer"))
            writer.close()

    async def test_refusal_has_retry_after(self) -> None:
        """Guards against an overloaded entry that queues requests or omits Retry-After."""
        async with upstream(hang) as double, running_entry(STREAM) as harness:
            await harness.announce(record("u0", address=double.address, slots=1))
            calls = [
                asyncio.create_task(call(harness.port, request(attempt=str(n)))) for n in range(30)
            ]
            await asyncio.sleep(1.5)
            # The first request occupies the only slot.
            done = [each.result() for each in calls[1:] if each.done()]
            assert len(done) >= 25
            assert {each.status for each in done} == {503}
            assert all(float(each.headers["retry-after"]) <= 1.0 for each in done)
            for each in calls:
                each.cancel()
            await asyncio.gather(*calls, return_exceptions=True)


class TestPlannedStop:
    @pytest.mark.parametrize("ends_after_s", [1.0, 4.0])
    async def test_signal_while_connecting(
        self, monkeypatch: pytest.MonkeyPatch, ends_after_s: float
    ) -> None:
        """Guards against a request that is sent after the signal though it may outlive the entry.

        Its upstream was assigned before the signal.
        """
        async with upstream(respond_ok) as first, running_entry(LOOKUP) as harness:
            await announce(harness, first)
            acquire = connection_pool.acquire

            async def stop_and_acquire(*arguments: Any) -> UpstreamConnection:
                if harness.relay.stop is None:
                    ends_s = asyncio.get_running_loop().time() + ends_after_s
                    await stopping.begin(harness.relay, ends_s)
                return await acquire(*arguments)

            monkeypatch.setattr(connection_pool, "acquire", stop_and_acquire)
            response = await call(harness.port, request(deadline_ms=3000))
            fits = ends_after_s > 2.0
            assert response.status == (200 if fits else 503)
            assert len(first.received) == (1 if fits else 0)
            assert not any(
                stats.own_in_flight
                for pool in harness.dispatcher.dispatch_state.pools.values()
                for stats in pool.upstreams.by_id.values()
            )

    @pytest.mark.parametrize("sends_head_first", [False, True])
    async def test_silent_upstream(self, sends_head_first: bool) -> None:
        """Guards against a run that is given up for another one that the stop doesn't allow."""

        async def respond_late(exchange: Exchange) -> None:
            stream = stream_head(exchange.received) + chunk(event(0)) + LAST_CHUNK
            sent_first = len(stream_head(exchange.received)) if sends_head_first else 0
            await exchange.send(stream[:sent_first])
            await asyncio.sleep(1.2)
            await exchange.send(stream[sent_first:])

        async with AsyncExitStack() as stack:
            doubles = [await stack.enter_async_context(upstream(respond_late)) for _ in range(2)]
            harness = await stack.enter_async_context(running_entry(STREAM))
            await announce(harness, *doubles)
            answer = asyncio.create_task(call(harness.port, request(deadline_ms=4000)))
            await asyncio.sleep(0.2)
            await stopping.begin(harness.relay, asyncio.get_running_loop().time() + 2.0)
            response = await answer
            assert (response.status, response.body) == (200, event(0))
            assert response.is_complete
            assert sum(len(each.received) for each in doubles) == 1

    async def test_signal_while_a_stall_is_queued(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a run that is given up for an upstream that the signal forbids."""

        async def pause(exchange: Exchange) -> None:
            await exchange.send(stream_head(exchange.received))
            await asyncio.sleep(1.2)
            await exchange.send(chunk(event(0)) + LAST_CHUNK)

        async with (
            upstream(pause) as first,
            upstream(respond_ok) as second,
            running_entry(STREAM) as harness,
        ):
            await announce(harness, first, second)
            request_placement = replacement.request_placement

            async def place_and_stop(*arguments: Any) -> Place | Refuse:
                placement = await request_placement(*arguments)
                if first.received:
                    ends_s = asyncio.get_running_loop().time() + 2.0
                    await stopping.begin(harness.relay, ends_s)
                return placement

            monkeypatch.setattr(replacement, "request_placement", place_and_stop)
            response = await call(harness.port, request(deadline_ms=4000))
            assert (response.status, response.body) == (200, event(0))
            assert second.received == []
            await asyncio.sleep(0.05)
            assert dispatching.in_flight(harness.dispatcher.dispatch_state) == {}

    async def test_refused_request_starts_no_trial(self) -> None:
        """Guards against other entries that wait for the trial of a request that isn't sent."""
        async with upstream(respond_ok) as double, running_entry(LOOKUP) as harness:
            await announce(harness, double)
            now_s = asyncio.get_running_loop().time()
            guard = harness.dispatcher.prompts
            crash = Crash(Fingerprint("f"), UpstreamId("u9"), 1, (PromptPart("dead"),))
            prompt_guard.on_crash(guard, crash, now_s)
            prompt_guard.refresh(guard, now_s - 3 * FIRST_BLOCK_S, Random(1))
            await stopping.begin(harness.relay, now_s + 1.0)
            prompt = "Prefix-Hash: dead:800,beef:20\r\n"
            response = await call(harness.port, request(extra=prompt))
            assert (response.status, response.body) == (503, b'{"Error":"stopping"}')
            assert harness.relay.dispatch_snapshot().part_trials == ()


class TestCrashes:
    async def test_lost_responses_are_not_crashes(self) -> None:
        """Guards against a lookup that stays refused after three upstreams lost a response."""
        remaining_losses = 6

        async def lose_response(exchange: Exchange) -> None:
            nonlocal remaining_losses
            if remaining_losses:
                remaining_losses -= 1
                exchange.reset()
            else:
                await respond_ok(exchange)

        async with (
            upstream(lose_response) as one,
            upstream(lose_response) as two,
            upstream(lose_response) as three,
            running_entry(LOOKUP) as harness,
        ):
            await harness.announce(
                *(record(f"u{n}", address=d.address) for n, d in enumerate((one, two, three)))
            )
            responses = [await call(harness.port, request(attempt=str(n))) for n in range(10)]
            assert [each.status for each in responses[-5:]] == [200] * 5

    async def test_request_that_crashes_upstreams(self) -> None:
        """Guards against a request that crashes one upstream after another."""
        async with AsyncExitStack() as stack, running_entry(LOOKUP) as harness:
            doubles: list[UpstreamDouble] = []

            async def crash(exchange: Exchange) -> None:
                exchange.reset()
                exchange.double.close()

            for _ in range(6):
                doubles.append(await stack.enter_async_context(upstream(crash)))
            records = [record(f"u{n}", address=each.address) for n, each in enumerate(doubles)]
            await harness.announce(*records)
            responses = [await call(harness.port, request(attempt=str(n))) for n in range(12)]
            assert responses[-1].status in (502, 503)
            assert harness.dispatcher.refused, "the request is not refused"
            before = sum(len(each.received) for each in doubles)
            assert (await call(harness.port, request(attempt="last"))).status == 503
            assert sum(len(each.received) for each in doubles) == before
