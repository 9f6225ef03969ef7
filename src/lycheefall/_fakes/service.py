"""Fake of a service with lookups and bookings, which records each executed booking."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from functools import partial
from pathlib import Path
from typing import BinaryIO

import defopt
import msgspec
import uvloop
import xxhash
from aiohttp import web
from msgspec import Struct, field

from lycheefall._core.ids import Address, Digest, IdempotencyKey
from lycheefall._core.pipeline import Inbox, run_actor
from lycheefall._fakes.serving import (
    Fault,
    Handler,
    LoadAnswer,
    OnReady,
    SetFault,
    UpstreamCrashed,
    fault_handler,
    ignore_address,
    json_response,
    print_ready,
    request_recorder,
    serve_until_done,
)

__all__ = ["Execution", "ServiceSettings", "UpstreamCrashed", "body_digest", "run_service"]

_INBOX_CAPACITY = 100_000
_MAX_BODY_BYTES = 64 * 1024 * 1024


class ServiceSettings(Struct, frozen=True, kw_only=True):
    """Settings of a fake service."""

    listen: Address
    # Executions are appended to this file as JSON lines; empty to disable.
    executions_file: str = ""
    # Paths of lookups are appended to this file on arrival; empty to disable.
    requests_file: str = ""
    service_s: float = 0.005
    max_running: int = 32
    slow_ratio: float = 20.0
    # Share of the requests that a slow service delays, evenly spread.
    slow_part: float = 1.0
    fault: Fault = Fault.NONE
    # A path or body that contains this text crashes the service after execution; empty to disable.
    crash_marker: str = ""


class Execution(Struct, frozen=True):
    """Executed booking; `number` counts executions from 1."""

    key: IdempotencyKey
    digest: Digest
    number: int


class Value(Struct, frozen=True):
    """Answer of a lookup, derived from the path so that swapped answers are detected."""

    path: str
    value: str


class Failure(Struct, frozen=True):
    """Answer of a service with the ERROR_FAST fault."""

    error: str


Reply = Execution | Value | Failure | LoadAnswer | tuple[Execution, ...]
ReplyTo = Callable[[Reply], object]


class Submit(Struct, frozen=True):
    """Request a lookup or a booking."""

    path: str
    key: IdempotencyKey
    body: bytes
    is_booking: bool
    reply: ReplyTo


class ServiceTimeElapsed(Struct, frozen=True):
    """Report that the service time of a job has elapsed."""

    job: Submit


class ReadExecutions(Struct, frozen=True):
    """Request the list of all executions."""

    reply: ReplyTo


class ReadLoad(Struct, frozen=True):
    """Request the current load."""

    reply: ReplyTo


ServiceInput = Submit | ServiceTimeElapsed | ReadExecutions | ReadLoad | SetFault


class StartTimer(Struct, frozen=True):
    """Send ServiceTimeElapsed for a job after its service time."""

    job: Submit
    after_s: float


class SendReply(Struct, frozen=True):
    """Send a reply to a waiting request handler."""

    reply: ReplyTo
    content: Reply


class AppendExecution(Struct, frozen=True):
    """Append an execution to the executions file."""

    execution: Execution


class Crash(Struct, frozen=True):
    """Stop the service and abort all connections."""


ServiceOutput = StartTimer | SendReply | AppendExecution | Crash


class ServiceState(Struct):
    """Queue, running jobs and executions of the service."""

    settings: ServiceSettings
    fault: Fault
    running: int = 0
    started: int = 0
    waiting: deque[Submit] = field(default_factory=deque)
    executions: list[Execution] = field(default_factory=list)


def step(
    state: ServiceState, message: ServiceInput, now_s: float
) -> tuple[ServiceState, list[ServiceOutput]]:
    """Apply a message to the state, and return the effects to carry out."""
    match message:
        case Submit():
            return state, _submit(state, message)
        case ServiceTimeElapsed(job):
            return state, _finish(state, job)
        case ReadExecutions(reply):
            return state, [SendReply(reply, tuple(state.executions))]
        case ReadLoad(reply):
            return state, [SendReply(reply, _measure_load(state))]
        case SetFault(fault):
            state.fault = fault
            return state, _start_queued(state)


def lookup_value(path: str) -> str:
    """Return the value of a lookup of a path."""
    return xxhash.xxh3_64_hexdigest(path.encode())


def body_digest(body: bytes) -> Digest:
    """Return the digest that is recorded for the body of a booking."""
    return Digest(xxhash.xxh3_128_hexdigest(body))


async def run_service(settings: ServiceSettings, on_ready: OnReady = ignore_address) -> None:
    """Run a service until cancelled; raise UpstreamCrashed on a request with the crash marker."""
    inbox: Inbox[ServiceInput] = Inbox(_INBOX_CAPACITY)
    with _open_for_append(settings.executions_file) as file:
        emit = partial(_emit, inbox, file)
        state = ServiceState(settings, settings.fault)
        service_task = asyncio.create_task(run_actor(inbox, state, step, emit))
        application = _application(inbox, request_recorder(settings.requests_file))
        await serve_until_done(application, settings.listen, on_ready, service_task)


def _open_for_append(path: str) -> AbstractContextManager[BinaryIO | None]:
    return Path(path).open("ab") if path else nullcontext()


def _emit(inbox: Inbox[ServiceInput], file: BinaryIO | None, message: ServiceOutput) -> None:
    match message:
        case StartTimer(job, after_s):
            asyncio.get_running_loop().call_later(after_s, inbox.offer, ServiceTimeElapsed(job))
        case SendReply(reply, content):
            reply(content)
        case AppendExecution(execution) if file is not None:
            file.write(msgspec.json.encode(execution) + b"\n")
            # Not synced: the record must survive a crash of this process, not of the machine.
            file.flush()
        case Crash():
            raise UpstreamCrashed("crashed on a request with the crash marker")


def _submit(state: ServiceState, job: Submit) -> list[ServiceOutput]:
    if state.fault is Fault.ERROR_FAST:
        return [SendReply(job.reply, Failure("service failed"))]
    state.waiting.append(job)
    return _start_queued(state)


def _start_queued(state: ServiceState) -> list[ServiceOutput]:
    outputs: list[ServiceOutput] = []
    settings = state.settings
    while state.waiting and state.running < settings.max_running and state.fault is not Fault.STALL:
        state.running += 1
        state.started += 1
        after_s = settings.service_s * (settings.slow_ratio if _is_slow(state) else 1.0)
        outputs.append(StartTimer(state.waiting.popleft(), after_s))
    return outputs


def _is_slow(state: ServiceState) -> bool:
    share = state.settings.slow_part
    is_selected = int(state.started * share) > int((state.started - 1) * share)
    return state.fault is Fault.SLOW and is_selected


def _finish(state: ServiceState, job: Submit) -> list[ServiceOutput]:
    state.running -= 1
    outputs = _execute(state, job)
    marker = state.settings.crash_marker
    if marker and (marker in job.path or marker.encode() in job.body):
        return [*(each for each in outputs if isinstance(each, AppendExecution)), Crash()]
    if state.fault is Fault.STALL_AFTER_RUN:
        outputs = [each for each in outputs if isinstance(each, AppendExecution)]
    return outputs + _start_queued(state)


def _execute(state: ServiceState, job: Submit) -> list[ServiceOutput]:
    if not job.is_booking:
        return [SendReply(job.reply, Value(job.path, lookup_value(job.path)))]
    number = len(state.executions) + 1
    execution = Execution(job.key, body_digest(job.body), number)
    state.executions.append(execution)
    return [AppendExecution(execution), SendReply(job.reply, execution)]


def _measure_load(state: ServiceState) -> LoadAnswer:
    used_ratio = state.running / state.settings.max_running
    return LoadAnswer(state.running, len(state.waiting), 0, used_ratio, 0.0)


def _application(
    inbox: Inbox[ServiceInput], record_request: Callable[[str], None]
) -> web.Application:
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app.router.add_get("/load", _query_handler(inbox, ReadLoad))
    app.router.add_get("/executions", _query_handler(inbox, ReadExecutions))
    app.router.add_post("/fault", fault_handler(inbox.put))
    app.router.add_get("/{path:.*}", _request_handler(inbox, record_request))
    app.router.add_post("/{path:.*}", _request_handler(inbox, record_request))
    return app


def _query_handler(
    inbox: Inbox[ServiceInput], make_query: Callable[[ReplyTo], ServiceInput]
) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        replies: Inbox[Reply] = Inbox(1)
        await inbox.put(make_query(replies.offer))
        return json_response(await replies.get())

    return handle


def _request_handler(inbox: Inbox[ServiceInput], record_request: Callable[[str], None]) -> Handler:
    async def handle(request: web.Request) -> web.Response:
        replies: Inbox[Reply] = Inbox(1)
        job = Submit(
            request.path_qs,
            IdempotencyKey(request.headers.get("Idempotency-Key", "")),
            await request.read(),
            request.method == "POST",
            replies.offer,
        )
        if not job.is_booking:
            record_request(job.path)
        await inbox.put(job)
        answer = await replies.get()
        return json_response(answer, 500 if isinstance(answer, Failure) else 200)

    return handle


def main() -> None:
    """Run a service with settings from the command line."""
    settings = defopt.run(ServiceSettings, parsers={Address: Address})
    uvloop.run(run_service(settings, print_ready))


if __name__ == "__main__":
    main()
