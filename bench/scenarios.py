"""Run load scenarios with floods and faults on the whole system, as separate processes.

Run: PYTHONPATH=src:tests:bench python bench/scenarios.py
A baseline replaces one policy of the entries, see bench/policies.py. Reports and plots are written
to the folder out/.
"""

import asyncio
import os
import resource
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import aiohttp
import defopt
import msgspec
import uvloop
from msgspec import Struct, field

from cases import CASES, ROOT, Organisation, load_organisation
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.ids import TeamId
from lycheefall._fakes.batch import Statistics
from lycheefall._load.outcome import Outcome
from lycheefall._load.plot import plot_svg
from lycheefall._load.report import LoadReport, report_json
from lycheefall._load.run import run_load
from lycheefall._load.scenario import FaultEntry, FaultKind, Scenario
from processes.fleet import Fleet, data_centre_of
from tables import engine_lines, fair_share_lines, route_lines, team_lines

ENGINES = 16
SERVICES = 3
# Engine steps sleep, so that CPU time is not the limit. They are half as fast as the scenario files
# assume, because at full speed the processes used most of a shared machine.
ENGINE_FLAGS = ["--max-running", "8", "--base-step-s", "0.06"]
AGENT_FLAGS = ["--concurrency", "8"]
SAMPLE_PERIOD_S = 0.5
READY_TIMEOUT_S = 40.0
# The control cluster forms late when 42 processes start on a busy machine.
APPLY_ATTEMPTS = 4
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Sample(Struct, frozen=True):
    """Counters of the engines at one time of the run."""

    at_s: float
    engines: dict[str, Statistics]


class Run(Struct):
    """Hold the outcomes and measurements of one scenario."""

    scenario: Scenario
    outcomes: list[Outcome] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    # CPU time of the load generator and of each entry, as a ratio of one core.
    generator_ratio: float = 0.0
    entry_ratios: list[float] = field(default_factory=list)
    # Ratio of busy CPU time of the machine, other processes included.
    machine_ratio: float = 0.0


def main(
    *,
    user: str = "ballyscent",
    cases: str = "steady",
    baseline: str = "in-use",
    seed: int = 20261204,
    out: str = "out",
) -> None:
    """Run cases in sequence, each on new processes, and print their tables.

    :param user: organisation with its configuration and load: ballyscent or authority
    :param cases: comma-separated names of bench/cases.py
    :param baseline: in-use (no policy replaced), fifo, random or no-budget
    :param seed: seed of the arrival times
    :param out: folder for reports and plots
    """
    folder = ROOT / out
    folder.mkdir(exist_ok=True)
    organisation = load_organisation(user)
    for name in cases.split(","):
        scenario = msgspec.structs.replace(CASES[name](organisation), seed=seed)
        with _fleet(organisation, baseline) as fleet:
            run, report = uvloop.run(_run_scenario(fleet, organisation, scenario))
        stem = f"{user}-{name}-{baseline}"
        (folder / f"{stem}.json").write_bytes(report_json(report))
        (folder / f"{stem}.svg").write_text(plot_svg(report), encoding="utf-8")
        weights = {team.name: team.weight for team in organisation.configuration.teams}
        _print_tables(stem, run, report, weights)


@contextmanager
def _fleet(organisation: Organisation, baseline: str) -> Iterator[Fleet]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), engines=ENGINES, services=SERVICES)
        fleet.pools = {kind.value: organisation.pool(kind) for kind in UpstreamKind}
        fleet.fake_flags = {f"engine-{n}": ENGINE_FLAGS for n in range(ENGINES)}
        fleet.agent_flags_by_kind = {"engine": AGENT_FLAGS}
        fleet.python_path = [str(ROOT / "bench")]
        fleet.entry_command = ["policies", baseline]
        fleet.assign_addresses()
        fleet.start_all()
        try:
            yield fleet
        finally:
            fleet.close()


async def _run_scenario(
    fleet: Fleet, organisation: Organisation, scenario: Scenario
) -> tuple[Run, LoadReport]:
    await _apply_configuration(fleet, organisation)
    run = Run(scenario)
    entries = [fleet.addresses[f"entry-{n}"] for n in range(fleet.entries)]
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
        await _wait_until_ready(session, entries, scenario)
        start_s = asyncio.get_running_loop().time()
        cpu_before_s, entries_before_s, machine_before = (
            _cpu_time_s(),
            _entry_cpu_times_s(fleet),
            _machine_ticks(),
        )
        tasks = [asyncio.create_task(_sample_engines(session, fleet, run, start_s))]
        for fault in scenario.faults:
            tasks.append(asyncio.create_task(_inject_fault(session, fleet, fault, start_s)))
        report = await run_load(scenario, entries, run.outcomes.append)
        elapsed_s = asyncio.get_running_loop().time() - start_s
        for task in tasks:
            task.cancel()
        # Without an injected fault, the results would be those of a different scenario.
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
    run.generator_ratio = (_cpu_time_s() - cpu_before_s) / elapsed_s
    idle, total = (
        after - before for before, after in zip(machine_before, _machine_ticks(), strict=True)
    )
    run.machine_ratio = 1.0 - idle / max(1, total)
    run.entry_ratios = [
        (after - before) / elapsed_s
        for before, after in zip(entries_before_s, _entry_cpu_times_s(fleet), strict=True)
    ]
    return run, report


async def _apply_configuration(fleet: Fleet, organisation: Organisation) -> None:
    """Apply the configuration file; a retry after a lost answer returns the first result."""
    for _ in range(APPLY_ATTEMPTS):
        applied = await asyncio.to_thread(fleet.apply, organisation.configuration_text)
        if applied.returncode == 0:
            return
    raise RuntimeError(applied.stderr)


async def _wait_until_ready(
    session: aiohttp.ClientSession, entries: Sequence[str], scenario: Scenario
) -> None:
    """Wait until each entry answers a chat request and a lookup."""
    chat = next(flow for flow in scenario.flows if flow.kind is RouteKind.CHAT)
    lookup = next(flow for flow in scenario.flows if flow.kind is RouteKind.LOOKUP)
    headers = {"X-Lycheefall-Team": chat.teams[0]}
    message = {"role": "user", "content": "ready?"}
    body = {"model": chat.model, "messages": [message], "max_tokens": 1}
    probes = (
        ("POST", "/v1/chat/completions", body),
        ("GET", f"/v1/services/{lookup.service}/{lookup.path}/0", None),
    )
    async with asyncio.timeout(READY_TIMEOUT_S):
        for entry in entries:
            for method, path, content in probes:
                while True:
                    try:
                        async with session.request(
                            method, f"http://{entry}{path}", json=content, headers=headers
                        ) as response:
                            if response.status == 200:
                                break
                    except (aiohttp.ClientError, TimeoutError):
                        pass
                    await asyncio.sleep(0.1)
    # Time for each entry to receive the announcements of all upstreams and to connect.
    await asyncio.sleep(2.0)


async def _sample_engines(
    session: aiohttp.ClientSession, fleet: Fleet, run: Run, start_s: float
) -> None:
    loop = asyncio.get_running_loop()
    names = [name for name in fleet.upstream_names if name.startswith("engine")]
    while True:
        statistics = await asyncio.gather(*(_statistics(session, fleet, name) for name in names))
        engines = {name: each for name, each in zip(names, statistics, strict=True) if each}
        run.samples.append(Sample(loop.time() - start_s, engines))
        await asyncio.sleep(SAMPLE_PERIOD_S)


async def _statistics(session: aiohttp.ClientSession, fleet: Fleet, name: str) -> Statistics | None:
    timeout = aiohttp.ClientTimeout(total=SAMPLE_PERIOD_S)
    try:
        url = f"http://{fleet.addresses[name]}/statistics"
        async with session.get(url, timeout=timeout) as response:
            return msgspec.json.decode(await response.read(), type=Statistics)
    except (aiohttp.ClientError, TimeoutError):
        return None


async def _inject_fault(
    session: aiohttp.ClientSession, fleet: Fleet, fault: FaultEntry, start_s: float
) -> None:
    loop = asyncio.get_running_loop()
    names = [
        name
        for name in fleet.upstream_names
        if name == fault.upstream or data_centre_of(name) == fault.data_centre
    ]
    await asyncio.sleep(start_s + fault.start_s - loop.time())
    for name in names:
        await _start_fault(session, fleet, fault.kind, name)
    # The default end is infinite: the fault lasts until the end of the run.
    if fault.end_s >= 1e9:
        return
    await asyncio.sleep(start_s + fault.end_s - loop.time())
    for name in names:
        await _end_fault(session, fleet, fault.kind, name)


async def _start_fault(
    session: aiohttp.ClientSession, fleet: Fleet, kind: FaultKind, name: str
) -> None:
    if kind in (FaultKind.SLOW, FaultKind.ERROR_FAST):
        await _set_fault(session, fleet, name, kind.value)
        return
    for process in (name, f"{name}-agent"):
        if kind is FaultKind.KILL:
            fleet.kill(process)
        else:
            fleet.pause(process)


async def _end_fault(
    session: aiohttp.ClientSession, fleet: Fleet, kind: FaultKind, name: str
) -> None:
    if kind in (FaultKind.SLOW, FaultKind.ERROR_FAST):
        await _set_fault(session, fleet, name, "none")
        return
    for process in (name, f"{name}-agent"):
        if kind is FaultKind.KILL:
            fleet.start(process)
        else:
            fleet.resume(process)


async def _set_fault(session: aiohttp.ClientSession, fleet: Fleet, name: str, fault: str) -> None:
    url = f"http://{fleet.addresses[name]}/fault"
    async with session.post(url, json={"fault": fault}) as response:
        response.raise_for_status()


def _cpu_time_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _entry_cpu_times_s(fleet: Fleet) -> list[float]:
    return [_process_cpu_time_s(fleet.processes[f"entry-{n}"].pid) for n in range(fleet.entries)]


def _process_cpu_time_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _machine_ticks() -> tuple[int, int]:
    """Return the idle and the total CPU ticks of the machine."""
    line = Path("/proc/stat").read_text(encoding="ascii").partition("\n")[0]
    ticks = [int(each) for each in line.split()[1:9]]
    return ticks[3] + ticks[4], sum(ticks)


def _print_tables(stem: str, run: Run, report: LoadReport, weights: dict[TeamId, float]) -> None:
    entries = " ".join(f"{ratio:.0%}" for ratio in run.entry_ratios)
    print(f"\n## {stem}, seed {run.scenario.seed}, {time.strftime('%H:%M:%S')}")
    print(f"{report.requests} requests, {report.retries} retries, codes {report.codes}")
    cores = f"generator {run.generator_ratio:.0%}, entries {entries}"
    print(f"cores: {cores}; machine {run.machine_ratio:.0%} busy")
    for line in (
        *route_lines(run.scenario, run.outcomes),
        *team_lines(run.scenario, run.outcomes),
        *fair_share_lines(run.scenario, run.outcomes, weights),
        *engine_lines(run.scenario, run.outcomes, run.samples),
    ):
        print(line, flush=True)


if __name__ == "__main__":
    defopt.run(main)
