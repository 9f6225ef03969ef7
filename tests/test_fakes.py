"""Tests of the fake engine and the fake service."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import msgspec
import pytest
from aiohttp import ClientError, ClientSession
from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.ids import Address
from lycheefall._fakes.cache import PrefixCache, events_after, use_blocks
from lycheefall._fakes.engine import EngineSettings, expected_tokens, run_engine
from lycheefall._fakes.service import ServiceSettings, run_service
from lycheefall._fakes.serving import Fault, UpstreamCrashed
from lycheefall._fakes.tokens import BLOCK_CHARS, prefix_blocks

LISTEN = Address("127.0.0.1:0")


class Fake(msgspec.Struct):
    """Running fake, with its base URL and a client."""

    url: str
    client: ClientSession
    task: asyncio.Task[None]

    async def complete(self, prompt: str, **fields: object) -> str:
        """Return the text of a non-streaming chat answer."""
        body = {"messages": [{"role": "user", "content": prompt}], **fields}
        async with self.client.post(f"{self.url}/v1/chat/completions", json=body) as response:
            response.raise_for_status()
            answer = await response.json()
        return str(answer["choices"][0]["message"]["content"])

    async def get_json(self, path: str) -> dict[str, int]:
        """Return the JSON answer of a GET request."""
        async with self.client.get(self.url + path) as response:
            return dict(await response.json()) if path != "/executions" else await response.json()


@asynccontextmanager
async def running(
    run: Callable[[Callable[[Address], None]], Awaitable[None]],
) -> AsyncIterator[Fake]:
    address = asyncio.get_running_loop().create_future()
    task = asyncio.ensure_future(run(address.set_result))
    async with ClientSession() as client:
        try:
            yield Fake(f"http://{await address}", client, task)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def engine(**settings: object) -> Callable[[Callable[[Address], None]], Awaitable[None]]:
    fake_settings = EngineSettings(listen=LISTEN, **{"base_step_s": 0.001, **settings})
    return lambda on_ready: run_engine(fake_settings, on_ready)


def service(**settings: object) -> Callable[[Callable[[Address], None]], Awaitable[None]]:
    fake_settings = ServiceSettings(listen=LISTEN, **settings)
    return lambda on_ready: run_service(fake_settings, on_ready)


class TestEngine:
    async def test_answers_are_distinct(self) -> None:
        """Guards against prompts mixed up in one batch, and against answers that would hide it."""
        async with running(engine()) as fake:
            texts = await asyncio.gather(*(fake.complete(f"p{n}", max_tokens=5) for n in range(20)))
        assert texts == ["".join(expected_tokens(f"p{n}", 5)) for n in range(20)]

    async def test_stream_resumes(self) -> None:
        """Guards against a resumed stream that repeats or skips a token."""
        tokens = expected_tokens("hello", 6)
        body = {
            "messages": [{"role": "user", "content": "hello"}],
            "max_tokens": 6,
            "stream": True,
            "resume_tokens": tokens[:4],
        }
        async with running(engine()) as fake:
            path = f"{fake.url}/v1/chat/completions"
            async with fake.client.post(path, json=body) as response:
                events = (await response.text()).split("\n\n")
        chunks = [msgspec.json.decode(each[6:]) for each in events[:-2]]
        texts = [each["choices"][0]["delta"].get("content", "") for each in chunks]
        assert texts == [*tokens[4:], ""]
        assert events[-2:] == ["data: [DONE]", ""]

    async def test_closed_connection_stops_work(self) -> None:
        """Guards against an engine that keeps generating after its client disconnected."""
        async with running(engine(base_step_s=0.005)) as fake:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(fake.complete("x", max_tokens=10_000), 0.1)
            await asyncio.sleep(0.05)
            before = await fake.get_json("/statistics")
            await asyncio.sleep(0.05)
            after = await fake.get_json("/statistics")
        assert before["withdrawn"] == 1
        assert before["generated_tokens"] == after["generated_tokens"]

    async def test_priority_order(self) -> None:
        """Guards against urgent requests that wait behind earlier requests of low priority."""
        completed: list[int] = []

        async def complete(fake: Fake, priority: int) -> None:
            await fake.complete("x", max_tokens=5, priority=priority)
            completed.append(priority)

        settings = {"max_running": 1, "base_step_s": 0.005}
        async with running(engine(**settings)) as fake, asyncio.TaskGroup() as group:
            for priority in (2, 2, 2, 0):
                group.create_task(complete(fake, priority))
                await asyncio.sleep(0.005)
        assert completed == [2, 0, 2, 2]

    async def test_load_lags(self) -> None:
        """Guards against load reports without the lag of the reports of real engines."""
        settings = {"load_period_s": 0.02, "load_lag_s": 0.2, "base_step_s": 0.01}
        async with running(engine(**settings)) as fake:
            completion = asyncio.create_task(fake.complete("x", max_tokens=1000))
            await asyncio.sleep(0.1)
            early = await fake.get_json("/load")
            await asyncio.sleep(0.3)
            late = await fake.get_json("/load")
            completion.cancel()
        assert (early["running"], late["running"]) == (0, 1)
        assert late["age_s"] >= 0.2

    async def test_crash_aborts_all_connections(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a crash after which other requests of the batch succeed or hang."""
        # With a long grace period for handlers, only an abort ends the connections in time.
        monkeypatch.setattr("lycheefall._fakes.serving._SHUTDOWN_TIMEOUT_S", 60.0)
        async with running(engine(crash_marker="boom", base_step_s=0.005)) as fake:
            other = asyncio.create_task(fake.complete("x", max_tokens=1000))
            await asyncio.sleep(0.05)
            async with asyncio.timeout(5.0):
                with pytest.raises(ClientError):
                    await fake.complete("boom")
                with pytest.raises(ClientError):
                    await other
                with pytest.raises(UpstreamCrashed):
                    await fake.task

    async def test_fast_error_and_stall(self) -> None:
        """Guards against faults that have no effect on a running engine."""
        async with running(engine()) as fake:
            await fake.client.post(f"{fake.url}/fault", json={"fault": "error-fast"})
            with pytest.raises(ClientError):
                await fake.complete("x")
            await fake.client.post(f"{fake.url}/fault", json={"fault": "stall"})
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(fake.complete("x"), 0.1)


class TestPrefixCache:
    @given(st.lists(st.text("ab", min_size=4, max_size=4), max_size=30), st.floats(0, 1))
    def test_events_replay_to_the_blocks(
        self, patterns: list[str], event_loss_ratio: float
    ) -> None:
        """Guards against events that do not reproduce the cache although none was lost."""
        cache = PrefixCache(capacity_blocks=6, event_loss_ratio=event_loss_ratio, random=Random(1))
        for pattern in patterns:
            use_blocks(cache, prefix_blocks("".join(c * BLOCK_CHARS for c in pattern)), 0.0)
        published = events_after(cache, 0, 0.0).events
        replayed: set[str] = set()
        for each in published:
            (replayed.add if each.change.value == "stored" else replayed.discard)(each.block)
        if len(published) == cache.sequence:
            assert replayed == set(cache.blocks)
        assert len(cache.blocks) <= 6

    def test_events_lag(self) -> None:
        """Guards against events that are published before the configured lag."""
        cache = PrefixCache(capacity_blocks=6, event_loss_ratio=0.0, random=Random(1))
        use_blocks(cache, ("a",), 10.0)
        assert events_after(cache, 0, 9.9).events == ()
        assert events_after(cache, 0, 10.0).last == 1


class TestService:
    async def test_each_execution_is_recorded(self, tmp_path: Path) -> None:
        """Guards against a duplicate booking that is missing in the recorded executions."""
        file = tmp_path / "executions"
        async with running(service(executions_file=str(file))) as fake:
            for _ in range(2):
                headers = {"Idempotency-Key": "k"}
                await fake.client.post(f"{fake.url}/book", data=b"1", headers=headers)
            recorded = await fake.get_json("/executions")
        assert [(each["key"], each["number"]) for each in recorded] == [("k", 1), ("k", 2)]
        assert [msgspec.json.decode(line) for line in file.read_bytes().splitlines()] == recorded

    async def test_stall_after_run_executes(self) -> None:
        """Guards against a stall after execution that does not execute the booking."""
        async with running(service(fault=Fault.STALL_AFTER_RUN)) as fake:
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(fake.client.post(f"{fake.url}/book"), 0.1)
            assert len(await fake.get_json("/executions")) == 1

    async def test_crash_records_the_booking(self, tmp_path: Path) -> None:
        """Guards against a crash that loses its booking from the executions file."""
        file = tmp_path / "executions"
        async with running(service(executions_file=str(file), crash_marker="boom")) as fake:
            with pytest.raises(ClientError):
                await fake.client.post(f"{fake.url}/book", data=b"boom")
        assert len(file.read_bytes().splitlines()) == 1
