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
TEAM = {"X-Lycheefall-Team": "lee-counters"}
FIRST_CHATS = 6
TEXT_CHARACTERS = 40

Tell = Callable[[str], None]


class Site(Struct, frozen=True):
    """Addresses of the processes that the demo stands for."""

    entries: tuple[Address, ...]
    announces: tuple[Address, ...]
    clients: tuple[Address, ...]
    peers: tuple[Address, ...]
    upstreams: tuple[Address, ...]
    agents: tuple[Address, ...]
    folder: Path


def plan_site(folder: Path) -> Site:
    """Choose free ports on the loopback address."""
    upstreams = ENGINES + SERVICES
    ports = iter(_free_addresses(2 * (ENTRIES + REPLICAS + upstreams)))
    return Site(
        entries=tuple(islice(ports, ENTRIES)),
        announces=tuple(islice(ports, ENTRIES)),
        clients=tuple(islice(ports, REPLICAS)),
        peers=tuple(islice(ports, REPLICAS)),
        upstreams=tuple(islice(ports, upstreams)),
        agents=tuple(islice(ports, upstreams)),
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


async def run_demo(tell: Tell) -> None:
    """Start every role, apply a file, send requests and a short load, and stop."""
    with tempfile.TemporaryDirectory() as folder:
        site = plan_site(Path(folder))
        stop = asyncio.Event()
        tasks = [asyncio.create_task(role) for role in _roles(site, stop)]
        try:
            await _show(site, tell)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def _roles(site: Site, stop: asyncio.Event) -> list[Coroutine[Any, Any, None]]:
    replicas = [run_control(_control(site, n), parse_configuration) for n in range(REPLICAS)]
    entries = [run_entry(_entry(site, n), stop) for n in range(ENTRIES)]
    engines = [run_engine(EngineSettings(listen=site.upstreams[n])) for n in range(ENGINES)]
    services = [
        run_service(ServiceSettings(listen=site.upstreams[ENGINES + n])) for n in range(SERVICES)
    ]
    agents = [run_agent(_agent(site, n), stop) for n in range(ENGINES + SERVICES)]
    return [*replicas, *entries, *engines, *services, *agents]


def _centre(number: int) -> DataCentreId:
    return DataCentreId(DATA_CENTRES[number % len(DATA_CENTRES)])


def _control(site: Site, number: int) -> ControlSettings:
    return ControlSettings(
        instance=InstanceId(f"entry-{number}"),
        data_centre=_centre(number),
        client_listen=site.clients[number],
        peer_listen=site.peers[number],
        voters=tuple(
            Voter(InstanceId(f"entry-{n}"), site.peers[n], site.clients[n]) for n in range(REPLICAS)
        ),
        data_folder=site.folder / f"entry-{number}",
    )


def _entry(site: Site, number: int) -> EntrySettings:
    return EntrySettings(
        instance=InstanceId(f"entry-{number}"),
        data_centre=_centre(number),
        listen=site.entries[number],
        announce_listen=site.announces[number],
        control=site.clients,
    )


def _agent(site: Site, number: int) -> AgentSettings:
    is_engine = number < ENGINES
    name = f"engine-{number}" if is_engine else f"service-{number - ENGINES}"
    return AgentSettings(
        instance=InstanceId(f"host-{name}"),
        data_centre=_centre(number),
        upstream=UpstreamId(name),
        pool=PoolId("assistant-pool" if is_engine else "counter-app"),
        kind=UpstreamKind.ENGINE if is_engine else UpstreamKind.SERVICE,
        upstream_address=site.upstreams[number],
        listen=site.agents[number],
        control=site.clients,
    )


async def _show(site: Site, tell: Tell) -> None:
    result = await _apply(site)
    tell(f"file applied: {result.code.name}, revision {result.revision}")
    async with aiohttp.ClientSession() as session:
        addresses = await _directory(site, session)
        tell(f"entries for team lee-counters: {', '.join(addresses)}")
        await _wait_for_upstreams(session, addresses)
        for number in range(FIRST_CHATS):
            tell(await _chat(session, addresses[number % len(addresses)], number))
        tell(await _lookup(session, addresses[0]))
        key = f"{time.time_ns() // 1_000_000}-demo"
        for address in addresses:
            tell(await _book(session, address, key))
    report = await run_load(parse_scenario(SCENARIO), addresses)
    _tell_report(report, tell)


async def _apply(site: Site) -> FileResult:
    client = new_client()
    owner = asyncio.create_task(run_client(client, site.clients))
    try:
        command = ApplyFile(NO_REVISION, digest_of(CONFIGURATION), CONFIGURATION)
        result = await client.propose(command, APPLY_TIMEOUT_S)
    finally:
        owner.cancel()
        await asyncio.gather(owner, return_exceptions=True)
    assert isinstance(result, FileResult)
    return result


async def _directory(site: Site, session: aiohttp.ClientSession) -> list[Address]:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            async with session.get(
                f"http://{site.entries[0]}/v1/entries", headers=TEAM
            ) as response:
                if response.status == 200 and (found := (await response.json())["addresses"]):
                    return [Address(address) for address in found]
            await asyncio.sleep(POLL_S)


async def _wait_for_upstreams(session: aiohttp.ClientSession, addresses: list[Address]) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for address in addresses:
            await _wait_for_service(session, address)


async def _wait_for_service(session: aiohttp.ClientSession, address: Address) -> None:
    while True:
        if await _serves(session, address):
            return
        await asyncio.sleep(POLL_S)


async def _serves(session: aiohttp.ClientSession, address: Address) -> bool:
    body = _chat_body("ready?", 1)
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, json=body, headers=TEAM) as response:
        chat = response.status == 200
    url = f"http://{address}/v1/services/counter-app/balances/0"
    async with session.get(url, headers=TEAM) as response:
        return chat and response.status == 200


def _chat_body(prompt: str, max_tokens: int) -> dict[str, object]:
    messages = [{"role": "user", "content": prompt}]
    return {"model": "scent-match", "messages": messages, "max_tokens": max_tokens}


async def _chat(session: aiohttp.ClientSession, address: Address, number: int) -> str:
    url = f"http://{address}/v1/chat/completions"
    body = _chat_body(f"match scent {number}", 8)
    async with session.post(url, json=body, headers=TEAM) as response:
        text = (await response.json())["choices"][0]["message"]["content"]
        return f"chat {number} {_origin(response, address)}: {text[:TEXT_CHARACTERS]}"


async def _lookup(session: aiohttp.ClientSession, address: Address) -> str:
    url = f"http://{address}/v1/services/counter-app/balances/17"
    async with session.get(url, headers=TEAM) as response:
        return f"lookup {_origin(response, address)}: {(await response.text())}"


async def _book(session: aiohttp.ClientSession, address: Address, key: str) -> str:
    url = f"http://{address}/v1/services/counter-app/bookings"
    headers = TEAM | {"Idempotency-Key": key}
    async with session.post(url, json={"item": "rose"}, headers=headers) as response:
        return f"booking {_origin(response, address)}: {(await response.text())}"


def _origin(response: aiohttp.ClientResponse, address: Address) -> str:
    code = ResultCode(int(response.headers["X-Lycheefall-Code"]))
    run = response.headers["X-Lycheefall-Run"]
    upstream = response.headers.get("X-Lycheefall-Upstream") or "the recorded answer"
    return f"by {upstream} through {address}, code {int(code)} {code.name}, {run}"


def _tell_report(report: LoadReport, tell: Tell) -> None:
    tell(f"load: {report.requests} requests in {report.duration_s:g} s, {report.good} in time")
    tell(f"codes: {report.codes}; run: {report.runs}; endings: {report.endings}")
