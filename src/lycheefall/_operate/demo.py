"""Run the whole system as tasks of one process and send it a few requests."""

import asyncio
import socket
import tempfile
import time
from collections.abc import Callable, Coroutine
from itertools import islice
from pathlib import Path
from typing import Any

import aiohttp
from msgspec import Struct

from lycheefall._agent.service import run_agent
from lycheefall._agent.settings import AgentSettings
from lycheefall._control.client import new_client, run_client
from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings, Voter
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import UpstreamKind
from lycheefall._core.ids import (
    NO_REVISION,
    Address,
    DataCentreId,
    InstanceId,
    PoolId,
    UpstreamId,
)
from lycheefall._core.messages.control import ApplyFile, FileResult
from lycheefall._entry.service import run_entry
from lycheefall._entry.settings import EntrySettings
from lycheefall._fakes.engine import EngineSettings, run_engine
from lycheefall._fakes.service import ServiceSettings, run_service
from lycheefall._load.report import LoadReport
from lycheefall._load.run import run_load
from lycheefall._load.scenario import parse_scenario
from lycheefall._operate.configuration_file import digest_of, parse_configuration
from lycheefall._operate.demo_files import CONFIGURATION, SCENARIO

ENTRIES = 4
REPLICAS = 3
ENGINES = 4
SERVICES = 2
DATA_CENTRES = ("cork-a", "cork-b", "cork-c")
START_TIMEOUT_S = 20.0
APPLY_TIMEOUT_S = 10.0
POLL_S = 0.05
TEAM_HEADERS = {"X-Lycheefall-Team": "lee-counters"}
CHAT_COUNT = 6
MAX_SHOWN_CHARACTERS = 40

WriteLine = Callable[[str], None]


class DemoLayout(Struct, frozen=True):
    """Addresses of the roles of the demo, which all run in one process."""

    entries: tuple[Address, ...]
    announce_addresses: tuple[Address, ...]
    control_addresses: tuple[Address, ...]
    peer_addresses: tuple[Address, ...]
    upstreams: tuple[Address, ...]
    agents: tuple[Address, ...]
    folder: Path


def plan_layout(folder: Path) -> DemoLayout:
    """Allocate free loopback addresses for all roles."""
    upstreams = ENGINES + SERVICES
    addresses = iter(_free_addresses(2 * (ENTRIES + REPLICAS + upstreams)))
    return DemoLayout(
        entries=tuple(islice(addresses, ENTRIES)),
        announce_addresses=tuple(islice(addresses, ENTRIES)),
        control_addresses=tuple(islice(addresses, REPLICAS)),
        peer_addresses=tuple(islice(addresses, REPLICAS)),
        upstreams=tuple(islice(addresses, upstreams)),
        agents=tuple(islice(addresses, upstreams)),
        folder=folder,
    )


def _free_addresses(count: int) -> list[Address]:
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [Address(f"127.0.0.1:{probe.getsockname()[1]}") for probe in probes]
    finally:
        for probe in probes:
            probe.close()


async def run_demo(write_line: WriteLine) -> None:
    """Start all roles, apply a file, send requests and a short load, and stop."""
    with tempfile.TemporaryDirectory() as folder:
        layout = plan_layout(Path(folder))
        stop = asyncio.Event()
        tasks = [asyncio.create_task(role) for role in _role_coroutines(layout, stop)]
        try:
            await _run_requests(layout, write_line)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def _role_coroutines(layout: DemoLayout, stop: asyncio.Event) -> list[Coroutine[Any, Any, None]]:
    replicas = [
        run_control(_control_settings(layout, n), parse_configuration) for n in range(REPLICAS)
    ]
    entries = [run_entry(_entry_settings(layout, n), stop) for n in range(ENTRIES)]
    engines = [run_engine(EngineSettings(listen=layout.upstreams[n])) for n in range(ENGINES)]
    services = [
        run_service(ServiceSettings(listen=layout.upstreams[ENGINES + n])) for n in range(SERVICES)
    ]
    agents = [run_agent(_agent_settings(layout, n), stop) for n in range(ENGINES + SERVICES)]
    return [*replicas, *entries, *engines, *services, *agents]


def _data_centre(number: int) -> DataCentreId:
    return DataCentreId(DATA_CENTRES[number % len(DATA_CENTRES)])


def _control_settings(layout: DemoLayout, number: int) -> ControlSettings:
    # Replicas carry the names of the first entries, as a replica started by --with-control does.
    return ControlSettings(
        instance=InstanceId(f"entry-{number}"),
        data_centre=_data_centre(number),
        client_listen=layout.control_addresses[number],
        peer_listen=layout.peer_addresses[number],
        voters=tuple(
            Voter(InstanceId(f"entry-{n}"), layout.peer_addresses[n], layout.control_addresses[n])
            for n in range(REPLICAS)
        ),
        data_folder=layout.folder / f"entry-{number}",
    )


def _entry_settings(layout: DemoLayout, number: int) -> EntrySettings:
    return EntrySettings(
        instance=InstanceId(f"entry-{number}"),
        data_centre=_data_centre(number),
        listen=layout.entries[number],
        announce_listen=layout.announce_addresses[number],
        control=layout.control_addresses,
    )


def _agent_settings(layout: DemoLayout, number: int) -> AgentSettings:
    is_engine = number < ENGINES
    name = f"engine-{number}" if is_engine else f"service-{number - ENGINES}"
    return AgentSettings(
        instance=InstanceId(f"host-{name}"),
        data_centre=_data_centre(number),
        upstream=UpstreamId(name),
        pool=PoolId("assistant-pool" if is_engine else "counter-app"),
        kind=UpstreamKind.ENGINE if is_engine else UpstreamKind.SERVICE,
        upstream_address=layout.upstreams[number],
        listen=layout.agents[number],
        control=layout.control_addresses,
    )


async def _run_requests(layout: DemoLayout, write_line: WriteLine) -> None:
    result = await _apply_configuration(layout)
    write_line(f"file applied: {result.code.name}, revision {result.revision}")
    async with aiohttp.ClientSession() as session:
        addresses = await _fetch_directory(layout, session)
        write_line(f"entries for team lee-counters: {', '.join(addresses)}")
        await _wait_for_upstreams(session, addresses)
        for number in range(CHAT_COUNT):
            write_line(await _send_chat(session, addresses[number % len(addresses)], number))
        write_line(await _send_lookup(session, addresses[0]))
        key = f"{time.time_ns() // 1_000_000}-demo"
        for address in addresses:
            write_line(await _send_booking(session, address, key))
    report = await run_load(parse_scenario(SCENARIO), addresses)
    _write_report(report, write_line)


async def _apply_configuration(layout: DemoLayout) -> FileResult:
    client = new_client()
    client_task = asyncio.create_task(run_client(client, layout.control_addresses))
    try:
        command = ApplyFile(NO_REVISION, digest_of(CONFIGURATION), CONFIGURATION)
        result = await client.propose(command, APPLY_TIMEOUT_S)
    finally:
        client_task.cancel()
        await asyncio.gather(client_task, return_exceptions=True)
    assert isinstance(result, FileResult)
    return result


async def _fetch_directory(layout: DemoLayout, session: aiohttp.ClientSession) -> list[Address]:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            async with session.get(
                f"http://{layout.entries[0]}/v1/entries", headers=TEAM_HEADERS
            ) as response:
                if response.status == 200 and (addresses := (await response.json())["addresses"]):
                    return [Address(address) for address in addresses]
            await asyncio.sleep(POLL_S)


async def _wait_for_upstreams(session: aiohttp.ClientSession, addresses: list[Address]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for address in addresses:
            await _wait_until_serving(session, address)


async def _wait_until_serving(session: aiohttp.ClientSession, address: Address) -> None:
    while True:
        if await _is_serving(session, address):
            return
        await asyncio.sleep(POLL_S)


async def _is_serving(session: aiohttp.ClientSession, address: Address) -> bool:
    body = _chat_body("ready?", 1)
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
        chat_succeeded = response.status == 200
    url = f"http://{address}/v1/services/counter-app/balances/0"
    async with session.get(url, headers=TEAM_HEADERS) as response:
        return chat_succeeded and response.status == 200


def _chat_body(prompt: str, max_tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "scent-match", "messages": messages, "max_tokens": max_tokens}


async def _send_chat(session: aiohttp.ClientSession, address: Address, number: int) -> str:
    url = f"http://{address}/v1/chat/completions"
    body = _chat_body(f"match scent {number}", 8)
    async with session.post(url, json=body, headers=TEAM_HEADERS) as response:
        text = (await response.json())["choices"][0]["message"]["content"]
        return f"chat {number} {_format_origin(response, address)}: {text[:MAX_SHOWN_CHARACTERS]}"


async def _send_lookup(session: aiohttp.ClientSession, address: Address) -> str:
    url = f"http://{address}/v1/services/counter-app/balances/17"
    async with session.get(url, headers=TEAM_HEADERS) as response:
        return f"lookup {_format_origin(response, address)}: {(await response.text())}"


async def _send_booking(session: aiohttp.ClientSession, address: Address, key: str) -> str:
    url = f"http://{address}/v1/services/counter-app/bookings"
    headers = TEAM_HEADERS | {"Idempotency-Key": key}
    async with session.post(url, json={"item": "rose"}, headers=headers) as response:
        return f"booking {_format_origin(response, address)}: {(await response.text())}"


def _format_origin(response: aiohttp.ClientResponse, address: Address) -> str:
    code = ResultCode(int(response.headers["X-Lycheefall-Code"]))
    run = response.headers["X-Lycheefall-Run"]
    upstream = response.headers.get("X-Lycheefall-Upstream") or "the recorded answer"
    return f"by {upstream} through {address}, code {int(code)} {code.name}, {run}"


def _write_report(report: LoadReport, write_line: WriteLine) -> None:
    write_line(
        f"load: {report.requests} requests in {report.duration_s:g} s, {report.good} in time"
    )
    write_line(f"codes: {report.codes}; run: {report.runs}; endings: {report.endings}")
