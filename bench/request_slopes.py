"""Measure the CPU time of an entry and an agent per request and per streamed token.

Run: PYTHONPATH=src:tests:. python -m bench.request_slopes
The entry runs without a control replica. There is one simulated upstream of each kind, with its
agent. Each token is a frame of its own.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

import aiohttp
import uvloop
from msgspec import Struct

from bench.slopes import ROUNDS, Point, cpu_time_s, cpu_usage, print_fit, resident_mb
from lycheefall._core.codes import ResultCode
from processes.fleet import Fleet, configuration_text

CHAT = "/v1/chat/completions"
LOOKUP = "/v1/services/counter/balances/17"
TOKENS = (1, 16, 64, 128)
IN_FLIGHT = 16
LOAD_S = 3.0
# An entry may refuse requests until it has estimated the rate of an upstream.
REFUSAL_BACKOFF_S = 0.05
TEAM = {"X-Lycheefall-Team": "team-1"}
# The first entry process also runs the control replica.
ENTRY = "entry-1"


class Cost(Struct, frozen=True):
    """Hold the request rate and the CPU time per request of each role."""

    per_s: float
    refused_per_s: float
    entry_us: float
    agent_us: float


def main() -> None:
    """Print points and slopes; each size has new processes, so that learned limits are reset."""
    lookups = _measure_with_fleet(0)
    _print_lookups(lookups)
    chats = {tokens: _measure_with_fleet(tokens) for tokens in TOKENS}
    for role in ("entry", "agent"):
        points = [
            Point(tokens, tuple(getattr(each, f"{role}_us") for each in rounds))
            for tokens, rounds in chats.items()
        ]
        print_fit(f"{role}, one chat", "streamed tokens", "us", points)
    for tokens, rounds in chats.items():
        rates = ", ".join(f"{each.per_s:.0f} ({each.refused_per_s:.1f})" for each in rounds)
        print(f"  {tokens} tokens: {rates} chats/s (refused) with {IN_FLIGHT} in flight")


def _measure_with_fleet(tokens: int) -> list[Cost]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), engines=1, services=1, entries=2, replicas=1)
        fleet.fake_flags = {
            "engine-0": [
                *("--base-step-s", "0.002", "--sequence-step-s", "0"),
                *("--prefill-token-s", "0", "--max-running", "256"),
            ],
            "service-0": ["--service-s", "0.0", "--max-running", "256"],
        }
        fleet.agent_flags = ["--concurrency", "256"]
        fleet.assign_addresses()
        fleet.start_all()
        try:
            return uvloop.run(_measure_rounds(fleet, tokens))
        finally:
            fleet.close()


async def _measure_rounds(fleet: Fleet, tokens: int) -> list[Cost]:
    applied = await asyncio.to_thread(fleet.apply, configuration_text(teams=570))
    assert applied.returncode == 0, applied.stderr
    agent = "engine-0-agent" if tokens else "service-0-agent"
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await fleet.wait_until_ready(session)
        pids = [fleet.processes[name].pid for name in (ENTRY, agent)]
        core_rounds = await asyncio.to_thread(cpu_usage, pids, 1.0)
        idle = [statistics.median(each) for each in core_rounds]
        costs = [await _measure(fleet, session, pids, tokens, idle) for _ in range(ROUNDS)]
        memory = ", ".join(f"{resident_mb(pid):.0f}" for pid in pids)
        print(f"{tokens} tokens: memory of entry and agent {memory} MB, idle cores {idle}")
    return costs


def _print_lookups(rounds: list[Cost]) -> None:
    for role in ("entry", "agent"):
        costs = sorted(getattr(each, f"{role}_us") for each in rounds)
        print(f"{role}, one lookup: median {costs[1]:.0f} us of {costs[0]:.0f} to {costs[-1]:.0f}")
    print(f"  lookups/s: {', '.join(f'{each.per_s:.0f}' for each in rounds)}", flush=True)


async def _measure(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    pids: list[int],
    tokens: int,
    idle: list[float],
) -> Cost:
    """Return the cost of requests less the idle CPU time of the processes."""
    before = [cpu_time_s(pid) for pid in pids]
    count, refused, deadline_s = 0, 0, time.perf_counter() + LOAD_S

    async def caller(number: int) -> None:
        nonlocal count, refused
        while time.perf_counter() < deadline_s:
            if await _send_request(fleet, session, tokens, f"{number}-{count}"):
                count += 1
            else:
                refused += 1

    await asyncio.gather(*(caller(number) for number in range(IN_FLIGHT)))
    cpu_times_s = [cpu_time_s(pid) - earlier for pid, earlier in zip(pids, before, strict=True)]
    entry_us, agent_us = (
        (each - LOAD_S * cores) / count * 1e6 for each, cores in zip(cpu_times_s, idle, strict=True)
    )
    return Cost(count / LOAD_S, refused / LOAD_S, entry_us, agent_us)


async def _send_request(
    fleet: Fleet, session: aiohttp.ClientSession, tokens: int, prompt: str
) -> bool:
    if not tokens:
        async with session.get(fleet.url(1, LOOKUP), headers=TEAM) as response:
            await response.read()
    else:
        messages = [{"role": "user", "content": f"prompt {prompt} " + "x" * 200}]
        body = {"model": "m", "messages": messages, "max_tokens": tokens, "stream": True}
        async with session.post(fleet.url(1, CHAT), json=body, headers=TEAM) as response:
            await response.read()
    if response.status == 200:
        return True
    code = int(response.headers["X-Lycheefall-Code"])
    assert ResultCode.NOT_READY <= code < ResultCode.NOT_READY + 1_000, code
    await asyncio.sleep(REFUSAL_BACKOFF_S)
    return False


if __name__ == "__main__":
    main()
