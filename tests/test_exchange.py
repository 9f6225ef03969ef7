"""Tests of requests on their way through an entry, before upstreams that misbehave."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from lycheefall._core.relay import RequestKind
from lycheefall._wire.http_server import HttpLimits
from relay_values import configuration, record, route
from relay_world import Answered, Entry, call, entry, request
from upstream_double import (
    LAST_CHUNK,
    Answer,
    Exchange,
    UpstreamDouble,
    chunk,
    event,
    stream_head,
    upstream,
    whole,
)

LOOKUP = configuration(route(kind=RequestKind.IDEMPOTENT, target_s=0.2, timeout_s=2.0))
BOOKING = configuration(route(kind=RequestKind.NON_IDEMPOTENT, target_s=0.2, timeout_s=2.0))
STREAM = configuration(route(kind=RequestKind.STREAMING, target_s=0.2, timeout_s=4.0))


async def good(exchange: Exchange) -> None:
    """Answer properly."""
    await exchange.send(whole(exchange.seen))


async def hang(exchange: Exchange) -> None:
    """Answer nothing until the connection ends."""
    await exchange.reader.read()


async def reset(exchange: Exchange) -> None:
    """Break off."""
    exchange.reset()


async def truncated(exchange: Exchange) -> None:
    """Break off within the answer."""
    await exchange.send(whole(exchange.seen, b"x" * 100)[:-50])
    exchange.reset()


async def not_run(exchange: Exchange) -> None:
    """Refuse without running it."""
    await exchange.send(whole(exchange.seen, b"", "503 Full", "Not-Executed: 1\r\n"))


async def misdirected(exchange: Exchange) -> None:
    """Be another server than the expected one."""
    await exchange.send(whole(exchange.seen, b"", "421 Misdirected Request"))


async def failing(exchange: Exchange) -> None:
    """Run it and fail."""
    await exchange.send(whole(exchange.seen, b"broken", "500 Error"))


async def garbage(exchange: Exchange) -> None:
    """Send bytes that are no answer."""
    await exchange.send(b"\x00\x01\x02 no http\r\n\r\n")


async def unsealed(exchange: Exchange) -> None:
    """Answer without the seal."""
    data = whole(exchange.seen).replace(b"Server-Seal: s\r\n", b"")
    await exchange.send(data)


async def learn(made: Entry, *doubles: UpstreamDouble) -> None:
    """Let the entry know upstreams; the first one is the least loaded by its slots."""
    records = [
        record(f"u{n}", address=each.address, slots=50 - 20 * n) for n, each in enumerate(doubles)
    ]
    await made.learn(*records)


async def ask(config: object, data: bytes, *answers: Answer) -> tuple[Answered, list[int]]:
    """Send one request to an entry with these upstreams; return how many arrived at each."""
    async with (
        upstream(answers[0]) as first,
        upstream(answers[-1]) as second,
        entry(config) as made,  # type: ignore[arg-type]
    ):
        await learn(made, *((first, second) if len(answers) > 1 else (first,)))
        answered = await call(made.port, data)
        return answered, [len(first.seen), len(second.seen)]


class TestPassThrough:
    async def test_bytes_are_unchanged(self) -> None:
        """Guards against a method, path, query, header or body that arrives changed."""
        async with upstream(good) as served, entry(LOOKUP) as made:
            await learn(made, served)
            path = "/a/%7Ex/../y?q=%20a&b"
            extra = "X-Own: Value\r\nTenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
            answered = await call(made.port, request(path, extra=extra, attempt="z9"))
            seen = served.seen[0]
            assert answered.status == 200
            assert answered.body == b"answer"
            assert answered.headers["server-seal"] == "s"
            assert seen.line == f"POST {path} HTTP/1.1"
            assert seen.body == b"question"
            assert seen.headers["x-own"] == "Value"
            assert seen.headers["attempt-id"] == "z9"
            assert seen.headers["tenant"] == "t1"
            assert seen.names.count("Tenant") == 1
            assert seen.headers["expect-instance"] == "u0"
            assert 0 < int(seen.headers["deadline-ms"]) <= 2000
            assert not {"api-key", "x-hop", "connection"} & set(seen.headers)

    async def test_chunked_body(self) -> None:
        """Guards against a body without length that is lost or kept in chunks."""
        head = request(body=b"", extra="Transfer-Encoding: chunked\r\n")
        async with upstream(good) as served, entry(LOOKUP) as made:
            await learn(made, served)
            answered = await call(made.port, head + chunk(b"one") + chunk(b"two") + LAST_CHUNK)
            assert answered.status == 200
            assert served.seen[0].body == b"onetwo"

    async def test_connections_are_kept(self) -> None:
        """Guards against a new connection to the upstream for each lookup."""
        async with upstream(good) as served, entry(LOOKUP) as made:
            await learn(made, served)
            for number in range(5):
                await call(made.port, request(attempt=str(number)))
            assert served.connections == 1

    async def test_booking_on_a_connection_of_its_own(self) -> None:
        """Guards against a booking on a kept connection that the upstream has just dropped."""
        async with upstream(good) as served, entry(BOOKING) as made:
            await learn(made, served)
            for number in range(3):
                await call(made.port, request(attempt=str(number)))
            assert served.connections == 3


class TestIdentified:
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
        answered, arrived = await ask(LOOKUP, data, good)
        assert answered.status == status
        assert arrived[0] == 0

    async def test_no_configuration(self) -> None:
        """Guards against 404 from an entry that does not know the routes yet."""
        answered, _ = await ask(None, request(), good)
        assert answered.status == 503
        assert float(answered.headers["retry-after"]) > 0

    async def test_configuration_that_comes_soon(self) -> None:
        """Guards against callers that use up their tries while all processes start again."""
        async with upstream(good) as only, entry(None) as made:
            await learn(made, only)
            answering = asyncio.create_task(call(made.port, request()))
            await asyncio.sleep(0.1)
            await made.configure(LOOKUP)
            assert (await answering).status == 200

    async def test_no_configuration_in_a_booking_s_time(self) -> None:
        """Guards against a caller with little time that waits for a configuration in vain."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answered, _ = await ask(None, request(deadline_ms=800), good)
        assert answered.status == 503
        assert loop.time() - began_s < 0.5

    async def test_too_large(self) -> None:
        """Guards against a body above the limit, declared or in chunks."""
        async with entry(LOOKUP, HttpLimits(body_bytes=100)) as made:
            answered = await call(made.port, request(body=b"x" * 101))
            assert answered.status == 413
            head = request(body=b"", extra="Transfer-Encoding: chunked\r\n")
            answered = await call(made.port, head + chunk(b"x" * 101) + LAST_CHUNK)
            assert answered.status == 413

    async def test_large_header(self) -> None:
        """Guards against a head above the limit."""
        async with entry(LOOKUP, HttpLimits(header_bytes=2_000)) as made:
            answered = await call(made.port, request(extra=f"X: {'y' * 5_000}\r\n"))
            assert answered.status == 431

    async def test_slow_head(self) -> None:
        """Guards against a caller that keeps a connection open with half a head."""
        async with entry(LOOKUP, HttpLimits(header_timeout_s=0.2)) as made:
            answered = await call(made.port, request()[:20])
            assert answered.status == 408

    async def test_no_http(self) -> None:
        """Guards against an entry that hangs on bytes that are no request."""
        async with entry(LOOKUP) as made:
            answered = await call(made.port, b"\x16\x03\x01 hello\r\n\r\n")
            assert answered.status == 400


class TestLookups:
    @pytest.mark.parametrize(
        "first", [hang, reset, truncated, not_run, misdirected, failing, garbage, unsealed]
    )
    async def test_second_upstream(self, first: Answer) -> None:
        """Guards against a lookup that is lost because one upstream fails."""
        answered, arrived = await ask(LOOKUP, request(), first, good)
        assert (answered.status, answered.body) == (200, b"answer")
        assert arrived == [1, 1]

    async def test_failure_is_passed_on_when_all_fail(self) -> None:
        """Guards against an upstream's own failure replaced by another one."""
        answered, arrived = await ask(LOOKUP, request(), failing, failing)
        assert (answered.status, answered.body) == (500, b"broken")
        assert answered.headers["server-seal"] == "s"
        assert arrived == [1, 1]

    async def test_not_run_anywhere(self) -> None:
        """Guards against 502 where it is proved that nothing ran."""
        answered, arrived = await ask(LOOKUP, request(), not_run, not_run)
        assert answered.status == 503
        assert float(answered.headers["retry-after"]) > 0
        assert arrived == [1, 1]


class TestBookings:
    @pytest.mark.parametrize("first", [reset, truncated, garbage, unsealed])
    async def test_never_twice(self, first: Answer) -> None:
        """Guards against a second run, and against a promise that the first one did not run."""
        answered, arrived = await ask(BOOKING, request(), first, good)
        assert answered.status == 502
        assert arrived == [1, 0]

    async def test_own_failure_is_final(self) -> None:
        """Guards against a booking that ran, failed and is run again."""
        answered, arrived = await ask(BOOKING, request(), failing, good)
        assert (answered.status, arrived) == (500, [1, 0])

    @pytest.mark.parametrize("first", [not_run, misdirected])
    async def test_moved_where_it_did_not_run(self, first: Answer) -> None:
        """Guards against a lost booking that another upstream could have taken."""
        answered, arrived = await ask(BOOKING, request(), first, good)
        assert (answered.status, arrived) == (200, [1, 1])

    async def test_no_answer_in_time(self) -> None:
        """Guards against an answer after the time, and against a promise for what may run."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answered, arrived = await ask(BOOKING, request(deadline_ms=400), hang, good)
        assert answered.status == 504
        assert 0.35 <= loop.time() - began_s <= 0.9
        assert arrived == [1, 0]

    async def test_unreachable_upstream(self) -> None:
        """Guards against a booking that fails although another upstream can be reached."""
        async with upstream(good) as served, entry(BOOKING) as made:
            closed = record("u0", address="127.0.0.1:1", slots=50)
            await made.learn(closed, record("u1", address=served.address, slots=10))
            answered = await call(made.port, request())
            assert answered.status == 200


class TestLateAnswers:
    async def test_second_answer_of_an_earlier_request(self) -> None:
        """Guards against the answer to one request that is given to another."""
        first = True

        async def twice(exchange: Exchange) -> None:
            nonlocal first
            if first:
                first = False
                await exchange.send(whole(exchange.seen, b"one"))
                return
            stray = whole(exchange.seen, b"stray").replace(b"Attempt-Id: b", b"Attempt-Id: a")
            await exchange.send(stray + whole(exchange.seen, b"two"))

        async with upstream(twice) as served, entry(LOOKUP) as made:
            await learn(made, served)
            assert (await call(made.port, request(attempt="a"))).body == b"one"
            assert (await call(made.port, request(attempt="b"))).body == b"two"

    async def test_extra_bytes_while_idle(self) -> None:
        """Guards against a connection that goes on with bytes which belong to no request."""

        async def talkative(exchange: Exchange) -> None:
            await exchange.send(whole(exchange.seen) + b"HTTP/1.1 200 OK\r\n")

        async with upstream(talkative) as served, entry(LOOKUP) as made:
            await learn(made, served)
            for number in range(2):
                answered = await call(made.port, request(attempt=str(number)))
                assert (answered.status, answered.body) == (200, b"answer")
                await asyncio.sleep(0.05)
            assert served.connections == 2

    async def test_body_that_ends_with_the_connection(self) -> None:
        """Guards against a body cut by a reset that is passed on as complete."""

        async def unframed(exchange: Exchange) -> None:
            attempt = exchange.seen.headers["attempt-id"]
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n\r\n"
            await exchange.send(head.encode() + b"whole")
            if attempt == "cut":
                await asyncio.sleep(0.05)
                exchange.reset()
            else:
                exchange.writer.close()
                await asyncio.sleep(0.05)

        answered, _ = await ask(BOOKING, request(), unframed)
        assert (answered.status, answered.body) == (200, b"whole")
        answered, _ = await ask(BOOKING, request(attempt="cut"), unframed)
        assert answered.status == 502


def streaming(*numbers: int, then: Answer | None = None) -> Answer:
    """Return an upstream that sends these events, and then ends properly or otherwise."""

    async def answer(exchange: Exchange) -> None:
        await exchange.send(stream_head(exchange.seen))
        for number in numbers:
            await exchange.send(chunk(event(number)))
            await asyncio.sleep(0.01)
        if then is None:
            await exchange.send(LAST_CHUNK)
        else:
            await then(exchange)

    return answer


async def half_event(exchange: Exchange) -> None:
    """Break off within an event."""
    await exchange.send(chunk(b"id: 9\nda"))
    await asyncio.sleep(0.05)
    exchange.reset()


async def short_end(exchange: Exchange) -> None:
    """End as if complete, within an event."""
    await exchange.send(chunk(b"id: 9\nda") + LAST_CHUNK)


class TestStreams:
    async def test_events_in_order(self) -> None:
        """Guards against events that are lost, joined or held back until the end."""
        answered, _ = await ask(STREAM, request(), streaming(0, 1, 2))
        assert answered.is_complete
        assert answered.body == event(0) + event(1) + event(2)

    @pytest.mark.parametrize("end", [half_event, reset, short_end, hang])
    async def test_continued_by_another_upstream(self, end: Answer) -> None:
        """Guards against a stream that is cut, has half an event or has one twice."""
        resumed: list[str] = []

        async def rest(exchange: Exchange) -> None:
            resumed.append(exchange.seen.headers["last-event-id"])
            await streaming(2, 3)(exchange)

        answered, arrived = await ask(STREAM, request(), streaming(0, 1, then=end), rest)
        assert answered.is_complete
        assert answered.body == b"".join(event(n) for n in range(4))
        assert (resumed, arrived) == (["1"], [1, 1])

    async def test_cut_stream_does_not_look_complete(self) -> None:
        """Guards against a cut stream with a proper end."""
        answered, _ = await ask(STREAM, request(), streaming(0, 1, then=reset))
        assert answered.body == event(0) + event(1)
        assert not answered.is_complete

    async def test_slow_first_event(self) -> None:
        """Guards against a stream that waits for an upstream which hangs."""
        answered, arrived = await ask(STREAM, request(), hang, streaming(0, 1))
        assert answered.is_complete
        assert arrived == [1, 1]

    async def test_pause_without_another_upstream(self) -> None:
        """Guards against a paused stream that is cut although nobody could continue it."""

        async def pausing(exchange: Exchange) -> None:
            await exchange.send(stream_head(exchange.seen) + chunk(event(0)))
            await asyncio.sleep(1.2)
            await exchange.send(chunk(event(1)) + LAST_CHUNK)

        answered, arrived = await ask(STREAM, request(), pausing)
        assert answered.is_complete
        assert arrived[0] == 1


class TestCallers:
    @pytest.mark.parametrize("config", [LOOKUP, STREAM])
    async def test_caller_that_leaves(self, config: object) -> None:
        """Guards against an upstream that goes on working for a caller who left."""
        async with upstream(hang) as served, entry(config) as made:  # type: ignore[arg-type]
            await learn(made, served)
            _, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(request())
            while not served.seen:
                await asyncio.sleep(0.01)
            writer.close()
            await asyncio.sleep(0.3)
            rules = made.dispatcher.rules
            assert (
                sum(
                    seat.own_in_flight
                    for p in rules.pools.values()
                    for seat in p.upstreams.by_id.values()
                )
                == 0
            )
            assert rules.teams == {}

    async def test_caller_that_leaves_while_waiting(self) -> None:
        """Guards against a place for a request that nobody waits for."""
        async with upstream(hang) as served, entry(STREAM) as made:
            await made.learn(record("u0", address=served.address, slots=1))
            first = asyncio.create_task(call(made.port, request(attempt="a")))
            while not served.seen:
                await asyncio.sleep(0.01)
            _, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(request(attempt="b"))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            pools = made.dispatcher.rules.pools.values()
            assert sum(len(pool.waiting) for pool in pools) == 0
            assert len(served.seen) == 1
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)

    async def test_several_requests_on_one_connection(self) -> None:
        """Guards against a connection that ends after one answer."""
        async with upstream(good) as served, entry(LOOKUP) as made:
            await learn(made, served)
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            for number in range(3):
                writer.write(request(attempt=str(number)))
                head = await reader.readuntil(b"\r\n\r\n")
                assert b"200" in head
                await reader.readexactly(len(b"answer"))
            writer.close()

    async def test_refusal_says_when_to_come_back(self) -> None:
        """Guards against a full system that holds requests, or refuses without a time."""
        async with upstream(hang) as served, entry(STREAM) as made:
            await made.learn(record("u0", address=served.address, slots=1))
            calls = [
                asyncio.create_task(call(made.port, request(attempt=str(n)))) for n in range(30)
            ]
            await asyncio.sleep(1.5)
            # The first one got the only place.
            done = [each.result() for each in calls[1:] if each.done()]
            assert len(done) >= 25
            assert {each.status for each in done} == {503}
            assert all(float(each.headers["retry-after"]) <= 1.0 for each in done)
            for each in calls:
                each.cancel()
            await asyncio.gather(*calls, return_exceptions=True)


class TestCrashes:
    async def test_lost_answers_of_a_popular_lookup(self) -> None:
        """Guards against a lookup refused for good after three upstreams lost an answer."""
        losses = 6

        async def lossy(exchange: Exchange) -> None:
            nonlocal losses
            if losses:
                losses -= 1
                exchange.reset()
            else:
                await good(exchange)

        async with (
            upstream(lossy) as one,
            upstream(lossy) as two,
            upstream(lossy) as three,
            entry(LOOKUP) as made,
        ):
            await made.learn(
                *(record(f"u{n}", address=d.address) for n, d in enumerate((one, two, three)))
            )
            found = [await call(made.port, request(attempt=str(n))) for n in range(10)]
            assert [each.status for each in found[-5:]] == [200] * 5

    async def test_request_that_crashes_upstreams(self) -> None:
        """Guards against a request that goes on to crash one upstream after the other."""
        async with AsyncExitStack() as stack, entry(LOOKUP) as made:
            doubles: list[UpstreamDouble] = []

            async def crash(exchange: Exchange) -> None:
                exchange.reset()
                exchange.double.close()

            for _ in range(6):
                doubles.append(await stack.enter_async_context(upstream(crash)))
            records = [record(f"u{n}", address=each.address) for n, each in enumerate(doubles)]
            await made.learn(*records)
            found = [await call(made.port, request(attempt=str(n))) for n in range(12)]
            assert found[-1].status in (502, 503)
            assert made.dispatcher.refused, "the request is not refused"
            before = sum(len(each.seen) for each in doubles)
            assert (await call(made.port, request(attempt="last"))).status == 503
            assert sum(len(each.seen) for each in doubles) == before
