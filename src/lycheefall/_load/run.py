"""Pipeline of a load run: generate | call | record | summarise."""

import asyncio
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from enum import Enum

from aiohttp import ClientSession, TCPConnector

from lycheefall._core.ids import Address, TeamId
from lycheefall._core.pipeline import Inbox
from lycheefall._load.arrivals import Arrival, generate_arrivals
from lycheefall._load.caller import Call, build_outcome, make_call
from lycheefall._load.directory import AddressQuery, run_directory
from lycheefall._load.outcome import Answer, Ending, Outcome
from lycheefall._load.report import LoadReport, ReportState, record, summarise
from lycheefall._load.requests import build_request
from lycheefall._load.scenario import Scenario, is_flooded

_OUTCOMES_CAPACITY = 100_000
_QUERIES_CAPACITY = 10_000
_RUN_ID_BYTES = 4


class EndOfRun(Enum):
    """Mark the end of the outcomes in the inbox of the recorder."""

    END = "end"


async def run_load(
    scenario: Scenario,
    entries: Sequence[Address],
    observe: Callable[[Outcome], object] = lambda outcome: None,
) -> LoadReport:
    """Run a scenario and return its report.

    The entries to use are looked up at the given addresses. `observe` is called with each outcome.
    """
    outcomes: Inbox[Outcome | EndOfRun] = Inbox(_OUTCOMES_CAPACITY)
    async with ClientSession(connector=TCPConnector(limit=0)) as client:
        directories, directory_tasks = _start_directories(scenario, client, entries)
        recorder = asyncio.create_task(_record_all(outcomes, observe))
        try:
            await _generate(scenario, client, directories, outcomes)
            await outcomes.put(EndOfRun.END)
            state = await recorder
        finally:
            for task in (*directory_tasks, recorder):
                task.cancel()
    return summarise(state, scenario.seed, scenario.duration_s)


async def _record_all(
    outcomes: Inbox[Outcome | EndOfRun], observe: Callable[[Outcome], object]
) -> ReportState:
    state = ReportState()
    while True:
        outcome = await outcomes.get()
        if outcome is EndOfRun.END:
            return state
        observe(outcome)
        state = record(state, outcome)


def _start_directories(
    scenario: Scenario, client: ClientSession, entries: Sequence[Address]
) -> tuple[Mapping[TeamId, Inbox[AddressQuery]], list[asyncio.Task[None]]]:
    teams = sorted({team for flow in scenario.flows for team in flow.teams})
    inboxes: dict[TeamId, Inbox[AddressQuery]] = {team: Inbox(_QUERIES_CAPACITY) for team in teams}
    tasks = [
        asyncio.create_task(run_directory(inbox, client, team, entries))
        for team, inbox in inboxes.items()
    ]
    return inboxes, tasks


async def _generate(
    scenario: Scenario,
    client: ClientSession,
    directories: Mapping[TeamId, Inbox[AddressQuery]],
    outcomes: Inbox[Outcome | EndOfRun],
) -> None:
    loop = asyncio.get_running_loop()
    start_at = loop.time()
    # Idempotency keys contain the wall-clock time, which entries compare with the key retention.
    start_ms = time.time_ns() // 1_000_000
    run_id = secrets.token_hex(_RUN_ID_BYTES)
    in_flight: set[asyncio.Task[None]] = set()
    for arrival in generate_arrivals(scenario):
        due_at = start_at + arrival.at_s
        await asyncio.sleep(max(0.0, due_at - loop.time()))
        call = _build_call(scenario, arrival, due_at, start_ms, run_id)
        if len(in_flight) >= scenario.caller.max_in_flight:
            not_sent = build_outcome(call, Answer(ending=Ending.NOT_SENT), 0, loop.time())
            await outcomes.put(not_sent)
            continue
        directory = directories[arrival.team]
        task = asyncio.create_task(_run_call(scenario, client, directory, call, outcomes))
        in_flight.add(task)
        task.add_done_callback(in_flight.discard)
    await asyncio.gather(*in_flight)


def _build_call(
    scenario: Scenario, arrival: Arrival, due_at: float, start_ms: int, run_id: str
) -> Call:
    request = build_request(arrival, start_ms, run_id)
    return Call(arrival, request, due_at, is_flooded(scenario, arrival.at_s))


async def _run_call(
    scenario: Scenario,
    client: ClientSession,
    directory: Inbox[AddressQuery],
    call: Call,
    outcomes: Inbox[Outcome | EndOfRun],
) -> None:
    await outcomes.put(await make_call(client, directory, scenario.caller, call))
