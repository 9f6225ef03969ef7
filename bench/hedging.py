"""Compare lookups with and without hedging on the same processes.

Run: PYTHONPATH=src:tests python bench/hedging.py
Hedging sends a second attempt of a lookup to another upstream when the first one is slow. Rounds
alternate between `hedge_ratio = 0` and the default, both with the same open-loop arrivals: a
Poisson process whose rate does not depend on the answers.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import random
import tempfile
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path

import aiohttp
import defopt
import uvloop
from msgspec import Struct

from processes.fleet import Fleet, configuration_text, pause_and_resume

SERVICES = 3
SERVICE_NAMES = [f"service-{number}" for number in range(SERVICES)]
ENTRIES = 2
CASES = ("sound", "stalls", "freezes", "all-slow", "flood")
FAULT_PERIOD_S = 1.0
FREEZE_S = 0.4
BASE_FLAGS = ["--service-s", "0.005", "--max-running", "16"]
# A service with the fault delays one request in five, to 0.5 s.
STALL_FLAGS = ["--slow-ratio", "100", "--slow-part", "0.2"]


class Round(Struct, frozen=True):
    """Hold the results of one load; `upstream_requests` counts the requests at the services."""

    times_s: list[float]
    codes: dict[str, int]
    upstream_requests: int
    hedges: int


def main(
    *,
    cases: str = ",".join(CASES),
    rounds: int = 3,
    seconds: float = 10.0,
    rate: float = 200.0,
    seed: int = 20261204,
) -> None:
    """Print a table row for each case and setting.

    :param cases: comma-separated: sound (no fault), stalls (each second, the next of three services
        delays a fifth of its lookups), freezes (each second, the next service is paused for 0.4 s),
        all-slow (each lookup takes 0.1 s) or flood (all-slow at five times the rate)
    :param rounds: number of rounds with each setting
    :param seconds: length of each load in seconds
    :param rate: lookups per second over all entries
    :param seed: seed of the arrival times
    """
    print(
        "| case | hedging | lookups | p50 ms | p95 ms | p99 ms | hedges % | extra load % | codes |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for case in cases.split(","):
        uvloop.run(_run_case(case, rounds, seconds, rate * (5 if case == "flood" else 1), seed))


async def _run_case(case: str, rounds: int, seconds: float, rate: float, seed: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), engines=1, services=SERVICES, entries=ENTRIES, replicas=1)
        flags = (
            [*BASE_FLAGS, "--slow-ratio", "20"]
            if case in ("all-slow", "flood")
            else BASE_FLAGS + STALL_FLAGS
        )
        fleet.fake_flags = {f"service-{n}": flags for n in range(SERVICES)}
        fleet.agent_flags = ["--concurrency", "16"]
        fleet.assign_addresses()
        fleet.start_all()
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                await _compare(fleet, session, case, rounds, seconds, rate, seed)
        finally:
            fleet.close()


async def _compare(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    case: str,
    rounds: int,
    seconds: float,
    rate: float,
    seed: int,
) -> None:
    results: dict[str, list[Round]] = {"off": [], "on": []}
    revision = 0
    for number in range(rounds):
        settings = [("off", "hedge_ratio = 0.0"), ("on", "")]
        # The order alternates, so that each setting runs first in every other round.
        for name, limits in settings[:: -1 if number % 2 else 1]:
            text = configuration_text(revision, limits=limits)
            applied = await asyncio.to_thread(fleet.apply, text)
            assert applied.returncode == 0, applied.stderr
            revision += 1
            await fleet.wait_until_ready(session)
            # Warms up the entries, so that each round starts with measured service latencies.
            await _send_load(fleet, session, 2.0, rate, seed + 1000 + number)
            async with _inject_faults(fleet, session, case):
                measured = await _send_load(fleet, session, seconds, rate, seed + number)
            results[name].append(measured)
    for name, measured in results.items():
        _print_row(case, name, measured)


@contextlib.asynccontextmanager
async def _inject_faults(
    fleet: Fleet, session: aiohttp.ClientSession, case: str
) -> AsyncIterator[None]:
    task = asyncio.create_task(_run_faults(fleet, session, case))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for name in SERVICE_NAMES:
            fleet.resume(name)
            await _set_fault(fleet, session, name, "none")
        await asyncio.sleep(1.0)


async def _run_faults(fleet: Fleet, session: aiohttp.ClientSession, case: str) -> None:
    if case in ("all-slow", "flood"):
        for name in SERVICE_NAMES:
            await _set_fault(fleet, session, name, "slow")
        return
    for name in itertools.cycle(SERVICE_NAMES):
        if case == "freezes":
            await pause_and_resume(fleet, name, FREEZE_S)
            await asyncio.sleep(FAULT_PERIOD_S - FREEZE_S)
        elif case == "stalls":
            await _set_fault(fleet, session, name, "slow")
            await asyncio.sleep(FAULT_PERIOD_S)
            await _set_fault(fleet, session, name, "none")
        else:
            return


async def _set_fault(fleet: Fleet, session: aiohttp.ClientSession, name: str, fault: str) -> None:
    url = f"http://{fleet.addresses[name]}/fault"
    async with session.post(url, json={"fault": fault}) as response:
        response.raise_for_status()


async def _send_load(
    fleet: Fleet, session: aiohttp.ClientSession, seconds: float, rate: float, seed: int
) -> Round:
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    times_s: list[float] = []
    codes: collections.Counter[str] = collections.Counter()
    upstream_requests, hedges = _upstream_requests(fleet), _hedges(fleet)

    async def send_lookup(number: int) -> None:
        url = fleet.url(number % ENTRIES, f"/v1/services/counter/balances/{seed}-{number}")
        start_s = loop.time()
        team = {"X-Lycheefall-Team": f"team-{number % 10}"}
        async with session.get(url, headers=team) as response:
            await response.read()
            codes[response.headers["X-Lycheefall-Code"]] += 1
        times_s.append(loop.time() - start_s)

    tasks = []
    next_s = loop.time()
    for number in range(int(seconds * rate)):
        next_s += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        tasks.append(asyncio.create_task(send_lookup(number)))
    await asyncio.gather(*tasks)
    return Round(
        times_s, dict(codes), _upstream_requests(fleet) - upstream_requests, _hedges(fleet) - hedges
    )


def _upstream_requests(fleet: Fleet) -> int:
    return sum(fleet.requests().values())


def _hedges(fleet: Fleet) -> int:
    logs = [fleet.folder / f"entry-{n}.log" for n in range(ENTRIES)]
    return sum(log.read_text().count('"request_hedged"') for log in logs)


def _quantile(ratio: float) -> Callable[[Sequence[float]], float]:
    def quantile(times_s: Sequence[float]) -> float:
        return sorted(times_s)[int(len(times_s) * ratio)]

    return quantile


def _print_row(case: str, name: str, measured: Sequence[Round]) -> None:
    lookups = sum(len(each.times_s) for each in measured)
    cells = []
    for ratio in (0.5, 0.95, 0.99):
        times_ms = sorted(1000 * _quantile(ratio)(each.times_s) for each in measured)
        cells.append(" ".join(f"{each:.0f}" for each in times_ms))
    hedges = 100 * sum(each.hedges for each in measured) / lookups
    extra = 100 * (sum(each.upstream_requests for each in measured) / lookups - 1)
    codes: collections.Counter[str] = collections.Counter()
    for each in measured:
        codes.update(each.codes)
    code_text = json.dumps(dict(codes)).replace('"', "")
    print(
        f"| {case} | {name} | {lookups} | {' | '.join(cells)} | {hedges:.1f} | {extra:.1f} | ",
        end="",
    )
    print(f"{code_text} |", flush=True)


if __name__ == "__main__":
    defopt.run(main)
