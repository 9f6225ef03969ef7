"""Tests of the load generator, its report and the baseline proxy."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from xml.etree import ElementTree

import msgspec
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.exceptions import FileFieldError, FileSyntaxError
from lycheefall._core.ids import Address
from lycheefall._fakes.engine import EngineSettings, run_engine
from lycheefall._fakes.service import ServiceSettings, run_service
from lycheefall._fakes.serving import Fault
from lycheefall._fakes.tokens import expected_tokens
from lycheefall._load.arrivals import Arrival, generate_arrivals
from lycheefall._load.baseline import BaselineSettings, run_baseline
from lycheefall._load.outcome import Ending
from lycheefall._load.plot import plot_svg
from lycheefall._load.report import LoadReport, find_slice, report_json
from lycheefall._load.requests import build_request, check_text
from lycheefall._load.run import run_load
from lycheefall._load.scenario import FaultKind, Scenario, parse_scenario

SCENARIOS = Path(__file__).parent.parent / "scenarios"
LISTEN = Address("127.0.0.1:0")
Start = Callable[[Callable[[Address], None]], Awaitable[None]]

SCENARIO_TOML = """
seed = 1
duration_s = 0.5
[caller]
slow_after_s = 0.2
max_retries = 1
grace_s = 0.2
[[flows]]
route = "{route}"
kind = "{kind}"
priority = "urgent"
teams = ["a", "b"]
rate = 30.0
target_s = 0.5
timeout_s = 0.8
path = "p"
service = "s"
max_tokens = 4
"""
FLOOD_TOML = """
[[floods]]
start_s = 0.2
end_s = 0.4
factor = 10.0
team = "a"
"""


def build_scenario(kind: str, extra_toml: str = "") -> Scenario:
    return parse_scenario(SCENARIO_TOML.format(route=f"{kind}-route", kind=kind) + extra_toml)


async def start_server(run: Start) -> tuple[Address, asyncio.Task[None]]:
    address = asyncio.get_running_loop().create_future()
    task = asyncio.ensure_future(run(address.set_result))
    return await address, task


async def load_through_baseline(scenario: Scenario, upstream: Start) -> LoadReport:
    upstream_address, upstream_task = await start_server(upstream)
    settings = BaselineSettings(listen=LISTEN, upstream=upstream_address)
    address, task = await start_server(lambda ready: run_baseline(settings, ready))
    try:
        return await run_load(scenario, [address])
    finally:
        task.cancel()
        upstream_task.cancel()
        await asyncio.gather(task, upstream_task, return_exceptions=True)


def engine(**settings: object) -> Start:
    engine_settings = EngineSettings(listen=LISTEN, **{"base_step_s": 0.002, **settings})
    return lambda ready: run_engine(engine_settings, ready)


def service(**settings: object) -> Start:
    return lambda ready: run_service(ServiceSettings(listen=LISTEN, **settings), ready)


def serve(handle: Callable[[web.Request], Awaitable[web.StreamResponse]]) -> Start:
    async def run(ready: Callable[[Address], None]) -> None:
        async def list_entries(_: web.Request) -> web.Response:
            return web.json_response({"addresses": [address], "ttl_s": 60.0})

        app = web.Application()
        app.router.add_get("/v1/entries", list_entries)
        app.router.add_post("/{path:.*}", handle)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = "{}:{}".format(*runner.addresses[0])
        ready(Address(address))
        await asyncio.Event().wait()

    return run


def arrival_key(arrival: Arrival) -> tuple[float, str, int]:
    return arrival.at_s, arrival.team, arrival.prefix


class TestScenario:
    @pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda p: p.stem)
    def test_scenario_files_parse(self, path: Path) -> None:
        """Guards against a scenario file that does not parse or has no flows."""
        assert parse_scenario(path.read_text()).flows

    @pytest.mark.parametrize(
        ("extra_toml", "error"),
        [("rate_s = 1", FileFieldError), ("marker = 3", FileFieldError), ("= 1", FileSyntaxError)],
    )
    def test_parse_errors(self, extra_toml: str, error: type[Exception]) -> None:
        """Guards against a misspelt field or bad syntax that is silently ignored."""
        with pytest.raises(error):
            build_scenario("chat", extra_toml)

    def test_fault_entry(self) -> None:
        """Guards against a misspelt kind of fault that is silently left out of a run."""
        fault_toml = '[[faults]]\nkind = "{}"\nstart_s = 1.0\ndata_centre = "dc-1"\n'
        (fault,) = build_scenario("chat", fault_toml.format("error-fast")).faults
        assert fault.kind is FaultKind.ERROR_FAST
        with pytest.raises(FileFieldError):
            build_scenario("chat", fault_toml.format("error"))


class TestArrivals:
    def test_flood_adds_only(self) -> None:
        """Guards against a flood that changes other arrivals, so that runs cannot be compared."""
        base = [arrival_key(each) for each in generate_arrivals(build_scenario("chat"))]
        flooded = [
            arrival_key(each) for each in generate_arrivals(build_scenario("chat", FLOOD_TOML))
        ]
        added = set(flooded) - set(base)
        assert set(base) <= set(flooded)
        assert added
        assert all(0.2 <= at_s < 0.4 and team == "a" for at_s, team, _ in added)

    @given(st.integers())
    def test_seeded_and_in_order(self, seed: int) -> None:
        """Guards against arrivals that differ between runs of one seed or are out of order."""
        scenario = msgspec.structs.replace(build_scenario("chat", FLOOD_TOML), seed=seed)
        first = [arrival_key(each) for each in generate_arrivals(scenario)]
        assert first == [arrival_key(each) for each in generate_arrivals(scenario)]
        assert [each[0] for each in first] == sorted(each[0] for each in first)

    def test_rate(self) -> None:
        """Guards against arrivals above or below the configured rate."""
        scenario = msgspec.structs.replace(build_scenario("chat"), duration_s=100.0)
        assert 5_600 < sum(1 for _ in generate_arrivals(scenario)) < 6_400


class TestCheck:
    def test_answer_to_other_request_is_wrong(self) -> None:
        """Guards against an answer to another request that is accepted as correct."""
        first, second = list(generate_arrivals(build_scenario("chat")))[:2]
        request, other_request = build_request(first, 0, "r"), build_request(second, 0, "r")
        assert check_text(request, request.expected) is Ending.ANSWERED
        assert check_text(request, other_request.expected) is Ending.WRONG_CONTENT
        assert check_text(request, request.expected[:9]) is Ending.CUT_OFF


class TestRun:
    async def test_chat(self) -> None:
        """Guards against lost or misread streams, and against missing slices."""
        report = await load_through_baseline(build_scenario("chat"), engine())
        assert report.endings == {"answered": report.requests}
        assert report.requests == len(list(generate_arrivals(build_scenario("chat"))))
        by_priority = find_slice(report, "priority:urgent").distributions
        assert by_priority["first-token"].count == report.requests
        assert by_priority["gap"].count == report.requests * 3
        assert sum(sum(each.offered.values()) for each in report.seconds) == report.requests
        assert msgspec.json.decode(report_json(report), type=LoadReport) == report
        ElementTree.fromstring(plot_svg(report))

    @pytest.mark.parametrize("kind", ["lookup", "booking"])
    async def test_services(self, kind: str) -> None:
        """Guards against correct lookups and bookings that are counted as wrong."""
        report = await load_through_baseline(build_scenario(kind), service())
        assert report.endings == {"answered": report.requests}

    async def test_stall_is_retried_immediately(self) -> None:
        """Guards against callers that wait on a stalled engine instead of retrying."""
        report = await load_through_baseline(build_scenario("chat"), engine(fault=Fault.STALL))
        assert report.endings == {"timed-out": report.requests}
        assert report.retries == report.requests
        assert report.good == 0

    async def test_fast_errors_are_not_good(self) -> None:
        """Guards against refusals in the histograms, which make a failing system look fast."""
        report = await load_through_baseline(build_scenario("chat"), engine(fault=Fault.ERROR_FAST))
        assert report.codes == {"http-500": report.requests}
        assert find_slice(report, "priority:urgent").distributions == {}

    async def test_truncated_stream_is_cut_off(self) -> None:
        """Guards against a truncated stream that is accepted as complete."""

        async def serve_truncated_stream(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            await response.write(b'data: {"choices":[{"delta":{"content":""}}]}\n\n')
            return response

        report = await load_through_baseline(build_scenario("chat"), serve(serve_truncated_stream))
        assert report.endings == {"cut-off": report.requests}

    async def test_stream_without_last_chunk_is_cut_off(self) -> None:
        """Guards against the end of a connection that is taken for the end of a stream."""

        async def serve_all_but_the_last_chunk(request: web.Request) -> web.StreamResponse:
            body = await request.json()
            text = "".join(expected_tokens(body["messages"][0]["content"], body["max_tokens"]))
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            event = {"choices": [{"delta": {"content": text}}]}
            await response.write(b"data: %s\n\ndata: [DONE]\n\n" % msgspec.json.encode(event))
            assert request.transport is not None
            request.transport.close()
            return response

        scenario = build_scenario("chat")
        address, task = await start_server(serve(serve_all_but_the_last_chunk))
        try:
            report = await run_load(scenario, [address])
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert report.endings == {"cut-off": report.requests}

    async def test_bound_on_requests_in_flight(self) -> None:
        """Guards against unbounded requests in flight, and against unsent requests not reported."""
        caller = msgspec.structs.replace(build_scenario("chat").caller, max_in_flight=1)
        scenario = msgspec.structs.replace(build_scenario("chat"), caller=caller)
        report = await load_through_baseline(scenario, engine())
        assert report.endings["not-sent"] > 0
        assert report.endings["not-sent"] + report.endings["answered"] == report.requests

    async def test_no_entry(self) -> None:
        """Guards against a run that hangs if no entry answers."""
        report = await run_load(build_scenario("chat"), [Address("127.0.0.1:9")])
        assert report.endings == {"connection-failed": report.requests}
