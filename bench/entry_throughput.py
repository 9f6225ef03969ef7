"""Compare the throughput and median latency of an entry with those of a pass-through proxy.

Run: PYTHONPATH=src:tests python bench/entry_throughput.py
Each round sends the same closed-loop load to both in turn, so that other load on the machine
affects both alike. The pass-through proxy is lycheefall._load.baseline.
"""

import asyncio
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import aiohttp
import defopt
import uvloop
from msgspec import Struct

from lycheefall._core.ids import Address
from processes.control_harness import free_addresses
from processes.fleet import SOURCE, Fleet, configuration_text

HEADERS = {"X-Lycheefall-Team": "team-1"}
LOOKUP = "/v1/services/counter/balances/17"
# The path at the service; the entry removes the prefix, the pass-through proxy changes nothing.
DIRECT_LOOKUP = "/balances/17"
CHAT = "/v1/chat/completions"


class Round(Struct, frozen=True):
    """Hold the throughput and the median latency of one load on one target."""

    per_s: float
    p50_ms: float


def main(
    *,
    rounds: int = 5,
    seconds: float = 4.0,
    in_flight: int = 64,
    clients: int = 2,
    tokens: int = 16,
) -> None:
    """Print the rounds of both targets for lookups and for streamed chats.

    :param rounds: rounds for each kind of request
    :param seconds: length of each load
    :param in_flight: requests in flight, over all clients
    :param clients: client processes
    :param tokens: tokens of each chat answer
    """
    with tempfile.TemporaryDirectory() as folder, ProcessPoolExecutor(clients) as pool:
        fleet = Fleet(Path(folder), engines=1, services=1, entries=1, replicas=1)
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
        baselines = [_baseline(fleet, name) for name in ("service-0", "engine-0")]
        try:
            uvloop.run(_apply_and_wait(fleet))
            per_client = in_flight // clients
            entry = fleet.addresses["entry-0"]
            cases = (
                ("lookup", LOOKUP, entry, DIRECT_LOOKUP, baselines[0][1], 0),
                ("chat", CHAT, entry, CHAT, baselines[1][1], tokens),
            )
            for name, path, address, baseline_path, baseline, answer_tokens in cases:
                pairs = []
                for _ in range(rounds):
                    entry_round = _measure(
                        pool, clients, address, path, per_client, seconds, answer_tokens
                    )
                    baseline_round = _measure(
                        pool, clients, baseline, baseline_path, per_client, seconds, answer_tokens
                    )
                    pairs.append((entry_round, baseline_round))
                _print_rounds(name, pairs)
        finally:
            for process, _ in baselines:
                process.kill()
                process.wait()
            fleet.close()


def _baseline(fleet: Fleet, upstream: str) -> tuple[subprocess.Popen[bytes], Address]:
    (address,) = free_addresses(1)
    flags = ["--listen", address, "--upstream", fleet.addresses[upstream]]
    process = subprocess.Popen(
        [sys.executable, "-m", "lycheefall._load.baseline", *flags],
        env=os.environ | {"PYTHONPATH": str(SOURCE)},
        stdout=subprocess.DEVNULL,
    )
    return process, address


async def _apply_and_wait(fleet: Fleet) -> None:
    applied = fleet.apply(configuration_text())
    assert applied.returncode == 0, applied.stderr
    async with aiohttp.ClientSession() as session:
        await fleet.wait_until_ready(session)


def _measure(
    pool: ProcessPoolExecutor,
    clients: int,
    address: Address,
    path: str,
    in_flight: int,
    seconds: float,
    tokens: int,
) -> Round:
    jobs = [pool.submit(_client, address, path, in_flight, seconds, tokens) for _ in range(clients)]
    times_s = [each for job in jobs for each in job.result()]
    return Round(len(times_s) / seconds, statistics.median(times_s) * 1000)


def _client(
    address: Address, path: str, in_flight: int, seconds: float, tokens: int
) -> list[float]:
    return uvloop.run(_send_load(address, path, in_flight, seconds, tokens))


async def _send_load(
    address: Address, path: str, in_flight: int, seconds: float, tokens: int
) -> list[float]:
    times_s: list[float] = []
    deadline_s = time.perf_counter() + seconds
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, headers=HEADERS) as session:

        async def caller(number: int) -> None:
            count = 0
            while (start_s := time.perf_counter()) < deadline_s:
                count += 1
                body = _body(f"{number}-{count}", tokens) if tokens else None
                method = "POST" if tokens else "GET"
                async with session.request(
                    method, f"http://{address}{path}", json=body
                ) as response:
                    await response.read()
                    assert response.status == 200, await response.text()
                times_s.append(time.perf_counter() - start_s)

        await asyncio.gather(*(caller(number) for number in range(in_flight)))
    return times_s


def _body(prompt: str, tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": f"prompt {prompt} " + "x" * 200}]
    return {"model": "m", "messages": messages, "max_tokens": tokens, "stream": True}


def _print_rounds(name: str, pairs: Sequence[tuple[Round, Round]]) -> None:
    print(f"{name}: entry req/s, pass-through req/s, ratio, added p50 ms")
    for entry_round, baseline_round in pairs:
        ratio, added_ms = (
            entry_round.per_s / baseline_round.per_s,
            entry_round.p50_ms - baseline_round.p50_ms,
        )
        print(
            f"  {entry_round.per_s:8.0f} {baseline_round.per_s:8.0f} {ratio:6.2f} {added_ms:8.2f}"
        )
    ratio = statistics.median(
        entry_round.per_s / baseline_round.per_s for entry_round, baseline_round in pairs
    )
    added_ms = statistics.median(
        entry_round.p50_ms - baseline_round.p50_ms for entry_round, baseline_round in pairs
    )
    print(f"  median ratio {ratio:.2f}, median added p50 {added_ms:.2f} ms", flush=True)


if __name__ == "__main__":
    defopt.run(main)
