"""Subcommands of the command line.

Each setting may also be set by the environment variable LYCHEEFALL_<NAME>.
"""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import TypeVar

import aiomisc

from lycheefall._agent.service import run_agent
from lycheefall._agent.settings import AgentSettings
from lycheefall._control.client import ControlClient, new_client, run_client
from lycheefall._control.service import run_control
from lycheefall._control.settings import ControlSettings
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import UpstreamKind
from lycheefall._core.ids import (
    NO_REVISION,
    Address,
    DataCentreId,
    InstanceId,
    PoolId,
    Revision,
    UpstreamId,
)
from lycheefall._core.messages.control import (
    ApplyFile,
    EvacuationResult,
    Failed,
    FileResult,
    SetEvacuation,
)
from lycheefall._core.process import run_until
from lycheefall._entry.service import run_entry
from lycheefall._entry.settings import EntrySettings
from lycheefall._operate import settings as checks
from lycheefall._operate.configuration_file import digest_of, parse_configuration, replaced_revision
from lycheefall._operate.daemon import run_daemon
from lycheefall._operate.daemon_settings import (
    build_control_settings,
    build_rank_settings,
    parse_drain_time_s,
    parse_statsd_address,
)
from lycheefall._operate.demo import run_demo
from lycheefall._operate.explain_command import explain_and_format
from lycheefall._operate.load_command import run_and_report
from lycheefall._operate.logging import LogFormat, LogLevel, configure_logging
from lycheefall._operate.status import format_status
from lycheefall._relay.explain_messages import MAX_DEADLINE_MS, Question, decode_question

Reply = TypeVar("Reply")

COMMAND_TIMEOUT_S = 10.0
MAX_CONCURRENCY = 100_000


def entry(
    *,
    instance: str,
    data_centre: str,
    listen: str,
    announce_listen: str,
    control: str,
    drain_s: str = "60",
    with_control: bool = False,
    control_listen: str = "",
    peer_listen: str = "",
    voters: str = "",
    data_folder: str = "",
    statsd: str = "",
    log_form: str = "json",
    log_level: str = "info",
) -> None:
    """Run an entry, which accepts requests of callers and routes them to upstreams.

    :param instance: name of this instance
    :param data_centre: name of the data centre of this instance
    :param listen: IP:PORT where callers connect
    :param announce_listen: IP:PORT where agents announce themselves
    :param control: comma-separated client addresses of the control replicas, IP:PORT
    :param drain_s: longest time to wait for requests in flight at shutdown, in seconds
    :param with_control: run a control replica in the same process
    :param control_listen: with --with-control: same as --listen of `lycheefall control`
    :param peer_listen: with --with-control: same as for `lycheefall control`
    :param voters: with --with-control: same as for `lycheefall control`
    :param data_folder: with --with-control: same as for `lycheefall control`
    :param statsd: IP:PORT of a statsd server; empty to disable
    :param log_form: json or console
    :param log_level: debug, info, warning or error
    """
    _configure_logging(log_form, log_level, instance, "entry")
    settings = EntrySettings(
        instance=InstanceId(checks.checked_name("instance", instance)),
        data_centre=DataCentreId(checks.checked_name("data_centre", data_centre)),
        listen=checks.checked_address("listen", listen),
        announce_listen=checks.checked_address("announce_listen", announce_listen),
        control=checks.checked_addresses("control", control),
        drain_s=parse_drain_time_s(drain_s),
        statsd=parse_statsd_address(statsd),
    )
    if not with_control:
        run_daemon(partial(run_entry, settings))
        return
    replica = build_control_settings(
        instance, data_centre, control_listen, peer_listen, voters, data_folder, statsd
    )
    run_daemon(partial(_run_entry_with_control, settings, replica))


def control(
    *,
    instance: str,
    data_centre: str,
    listen: str,
    peer_listen: str,
    voters: str,
    data_folder: str,
    statsd: str = "",
    log_form: str = "json",
    log_level: str = "info",
) -> None:
    """Run a control replica, which stores the configuration file, claims, leases and expert maps.

    :param instance: name of this instance
    :param data_centre: name of the data centre of this instance
    :param listen: IP:PORT where entries, agents and operators connect
    :param peer_listen: IP:PORT where the other replicas connect
    :param voters: initial voters, comma-separated, each NAME=PEER_IP:PORT/CLIENT_IP:PORT
    :param data_folder: folder of the replicated log; it must be kept as long as the instance exists
    :param statsd: IP:PORT of a statsd server; empty to disable
    :param log_form: json or console
    :param log_level: debug, info, warning or error
    """
    _configure_logging(log_form, log_level, instance, "control")
    replica = build_control_settings(
        instance, data_centre, listen, peer_listen, voters, data_folder, statsd
    )
    run_daemon(partial(_run_control_until, replica))


def agent(
    *,
    instance: str,
    data_centre: str,
    upstream: str,
    pool: str,
    kind: str,
    upstream_address: str,
    listen: str,
    control: str,
    announce_as: str = "",
    concurrency: str = "16",
    group: str = "",
    rank: str = "",
    rank_listen: str = "",
    drain_s: str = "60",
    statsd: str = "",
    log_form: str = "json",
    log_level: str = "info",
) -> None:
    """Run the agent of an upstream.

    :param instance: name of this instance
    :param data_centre: name of the data centre of this instance
    :param upstream: name of the upstream
    :param pool: pool that the upstream belongs to
    :param kind: engine or service
    :param upstream_address: IP:PORT where the upstream serves HTTP
    :param listen: IP:PORT where entries connect
    :param control: comma-separated client addresses of the control replicas, IP:PORT
    :param announce_as: IP:PORT where entries connect, if it differs from the listening address
    :param concurrency: number of requests that the upstream runs concurrently
    :param group: group of ranks that the upstream belongs to; empty for none
    :param rank: with --group: number of the rank, starting at 0
    :param rank_listen: with --group: loopback IP:PORT where the rank's runtime connects
    :param drain_s: longest time to wait for running attempts at shutdown, in seconds
    :param statsd: IP:PORT of a statsd server; empty to disable
    :param log_form: json or console
    :param log_level: debug, info, warning or error
    """
    _configure_logging(log_form, log_level, instance, "agent")
    max_concurrent = checks.checked_number("concurrency", concurrency, int, 1, MAX_CONCURRENCY)
    settings = AgentSettings(
        instance=InstanceId(checks.checked_name("instance", instance)),
        data_centre=DataCentreId(checks.checked_name("data_centre", data_centre)),
        upstream=UpstreamId(checks.checked_name("upstream", upstream)),
        pool=PoolId(checks.checked_name("pool", pool)),
        kind=checks.checked_choice("kind", kind, UpstreamKind),
        upstream_address=checks.checked_address("upstream_address", upstream_address),
        listen=checks.checked_address("listen", listen),
        control=checks.checked_addresses("control", control),
        concurrency=int(max_concurrent),
        drain_s=parse_drain_time_s(drain_s),
        rank=build_rank_settings(group, rank, rank_listen) if group else None,
        announce_as=checks.checked_address("announce_as", announce_as) if announce_as else None,
        statsd=parse_statsd_address(statsd),
    )
    run_daemon(partial(run_agent, settings))


def check(file: str) -> None:
    """Check a configuration file without applying it.

    :param file: path of the file
    """
    text = _read_file(file)
    configuration = parse_configuration(text, Revision(replaced_revision(text) + 1))
    print(
        f"{file}: ok, replaces revision {replaced_revision(text)}, digest {digest_of(text)}, "
        f"{len(configuration.teams)} teams, {len(configuration.routes)} routes"
    )


def apply(file: str, *, control: str) -> None:
    """Apply a configuration file atomically.

    :param file: path of the file
    :param control: comma-separated client addresses of the control replicas, IP:PORT
    """
    text = _read_file(file)
    parse_configuration(text, NO_REVISION)
    command = ApplyFile(Revision(replaced_revision(text)), digest_of(text), text)
    addresses = checks.checked_addresses("control", control)
    result = _call_control(addresses, lambda client: client.propose(command, COMMAND_TIMEOUT_S))
    assert isinstance(result, FileResult)
    print(
        f"{result.code.name} ({int(result.code)}): revision {result.revision}, "
        f"digest {result.digest} {result.detail}".rstrip()
    )
    if result.code is not ResultCode.OK:
        sys.exit(1)


def evacuate(data_centre: str, *, control: str, withdraw: bool = False) -> None:
    """Send nothing new to the upstreams of a data centre; requests that run there end whole.

    :param data_centre: name of the data centre
    :param control: comma-separated client addresses of the control replicas, IP:PORT
    :param withdraw: use the upstreams of the data centre again
    """
    name = DataCentreId(checks.checked_name("data_centre", data_centre))
    addresses = checks.checked_addresses("control", control)
    command = SetEvacuation(name, not withdraw)
    result = _call_control(addresses, lambda client: client.propose(command, COMMAND_TIMEOUT_S))
    assert isinstance(result, EvacuationResult | Failed)
    detail = result.detail if isinstance(result, Failed) else f"version {result.version}"
    print(f"{result.code.name} ({int(result.code)}): {detail}")
    if result.code is not ResultCode.OK:
        sys.exit(1)


def status(*, control: str) -> None:
    """Print the status of the system as known to a control replica.

    :param control: comma-separated client addresses of the control replicas, IP:PORT
    """
    addresses = checks.checked_addresses("control", control)
    report = _call_control(addresses, lambda client: client.status(COMMAND_TIMEOUT_S))
    print(format_status(report))


def explain(
    *,
    entry: str,
    target: str = "",
    host: str = "",
    key: str = "",
    deadline_ms: str = "",
    file: str = "",
    json: bool = False,
) -> None:
    """Print where a request would go now, and why, without sending it.

    :param entry: IP:PORT of a relaying entry for operators, where it serves its metrics
    :param target: path of the request; required without --file
    :param host: value of the Host header
    :param key: API key; empty for none
    :param deadline_ms: timeout that the caller states, in milliseconds; empty for that of the route
    :param file: JSON file with the request instead of the four flags before
    :param json: print JSON; docs/explain.md describes the fields
    """
    address = checks.checked_address("entry", entry)
    if file:
        question = decode_question(checks.checked_file("file", file).read_bytes())
    else:
        if not target.startswith("/"):
            raise checks.invalid("target", target, "a path that starts with a slash")
        timeout_ms = checks.checked_number(
            "deadline_ms", deadline_ms or "1", int, 1, MAX_DEADLINE_MS
        )
        question = Question(
            target=target,
            host=host,
            key=key or None,
            deadline_ms=int(timeout_ms) if deadline_ms else None,
        )
    print(explain_and_format(address, question, json))


def load(scenario: str, *, entries: str, report: str = "", plot: str = "") -> None:
    """Generate the load of a scenario file and print a summary.

    :param scenario: path of the scenario file
    :param entries: comma-separated addresses to request the directory from, IP:PORT
    :param report: path of the JSON report to write; empty for none
    :param plot: path of the SVG plot to write; empty for none
    """
    text = checks.checked_file("scenario", scenario).read_text(encoding="utf-8")
    addresses = checks.checked_addresses("entries", entries)
    files = (Path(report) if report else None, Path(plot) if plot else None)
    print(run_and_report(text, addresses, *files))


def demo(*, log_level: str = "warning") -> None:
    """Run entries, control, agents and fake upstreams in one process under a short load.

    :param log_level: debug, info, warning or error
    """
    _configure_logging("console", log_level, "demo", "demo")
    aiomisc.run(run_demo(print), log_config=False)


def _configure_logging(log_format: str, level: str, instance: str, role: str) -> None:
    configure_logging(
        checks.checked_choice("log_form", log_format, LogFormat),
        checks.checked_choice("log_level", level, LogLevel),
        instance=instance,
        role=role,
    )


async def _run_control_until(replica: ControlSettings, stop: asyncio.Event) -> None:
    await run_until(stop, run_control(replica, parse_configuration))


async def _run_entry_with_control(
    settings: EntrySettings, replica: ControlSettings, stop: asyncio.Event
) -> None:
    """Run both roles; the replica keeps running until the entry has completed its requests."""
    entry_ended = asyncio.Event()
    entry_task = asyncio.create_task(run_entry(settings, stop))
    entry_task.add_done_callback(lambda task: entry_ended.set())
    await run_until(entry_ended, run_control(replica, parse_configuration))
    await entry_task


def _read_file(file: str) -> str:
    return checks.checked_file("file", file).read_text(encoding="utf-8")


def _call_control(
    addresses: tuple[Address, ...],
    call: Callable[[ControlClient], Coroutine[None, None, Reply]],
) -> Reply:
    # Only errors are logged, to standard error, so that standard output holds just the reply.
    configure_logging(LogFormat.CONSOLE, LogLevel.ERROR)

    async def run_call() -> Reply:
        client = new_client()
        client_task = asyncio.create_task(run_client(client, addresses))
        try:
            return await call(client)
        finally:
            client_task.cancel()
            await asyncio.gather(client_task, return_exceptions=True)

    return aiomisc.run(run_call(), log_config=False)
