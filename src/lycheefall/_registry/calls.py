"""The calls of operators, upstreams and callers: what each is answered, and when."""

import asyncio
from asyncio import Future
from collections.abc import Awaitable, Callable
from typing import Any

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError
from lycheefall._core.ids import Address, Revision, UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.control import StoreFile
from lycheefall._core.pipeline import Inbox
from lycheefall._registry.messages import (
    Announced,
    AskDirectory,
    AwaitInForce,
    Departed,
    ToRegistrar,
)
from lycheefall._registry.questions import NotLeading, Questions, read_file, store_file
from lycheefall._wire.file_compression import compress_file, decompress_file
from lycheefall._wire.http_server import (
    CallerConnection,
    Handle,
    Headers,
    IncomingRequest,
    send_local_response,
)

# Callers keep the addresses for this long. A shorter time costs calls, a longer one sends
# callers to an entry that is gone.
DIRECTORY_TTL_S = 2.0
# Operators wait for 1 s, longer for large files; they then send the same again elsewhere.
STORE_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 0.9
_JSON: Headers = ((b"Content-Type", b"application/json"),)


class Reply(Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: Headers = _JSON


Respond = Callable[[IncomingRequest], Awaitable[Reply]]


class Registry(Struct, frozen=True, kw_only=True):
    """What the calls need."""

    control_listen: Address
    dialect: Dialect
    questions: Questions
    registrar: Inbox[ToRegistrar]
    # The number of the newest file that is committed and applied here.
    applied: Callable[[], Revision]


def handler(respond: Respond) -> Handle:
    """Return a handler that sends the whole answer of a function."""

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        reply = await respond(request)
        await send_local_response(caller, reply.status, reply.headers, reply.body)

    return handle


def control_calls(registry: Registry) -> Respond:
    """Return what operators and upstreams may call."""
    calls = registry.dialect.endpoints
    upstreams = calls.upstreams.encode()

    async def respond(request: IncomingRequest) -> Reply:
        path = request.target.partition(b"?")[0]
        if path == calls.file.encode():
            return await _file_call(registry, request)
        if path.startswith(upstreams):
            upstream = UpstreamId(path[len(upstreams) :].decode("latin-1"))
            return await _upstream_call(registry, request, upstream)
        return _error(registry, 404, "there is no such call")

    return respond


def directory_calls(registry: Registry) -> Respond:
    """Return what callers may ask."""

    async def respond(request: IncomingRequest) -> Reply:
        if request.target.partition(b"?")[0] != registry.dialect.endpoints.directory.encode():
            return _error(registry, 404, "there is no such call")
        addresses = await _asked(registry, AskDirectory)
        if not addresses:
            return _error(registry, 503, "no entry is ready")
        return Reply(200, registry.dialect.encode_directory(addresses, DIRECTORY_TTL_S))

    return respond


async def _file_call(registry: Registry, request: IncomingRequest) -> Reply:
    if request.method == b"PUT":
        return await _store(registry, request)
    if request.method == b"GET":
        return await _read(registry, request)
    return _error(registry, 405, "the file can be read and replaced")


async def _store(registry: Registry, request: IncomingRequest) -> Reply:
    try:
        number = registry.dialect.decode_file(request.body).revision
    except LycheefallError as error:
        log(Event.FILE_REFUSED, code=int(error.code), detail=error.detail)
        return _error(registry, 400, error.detail)
    if number <= registry.applied():
        log(Event.FILE_ACCEPTED, revision=number, held=registry.applied())
        return Reply(200)
    try:
        async with asyncio.timeout(STORE_TIMEOUT_S):
            result = await store_file(
                registry.questions, StoreFile(number, compress_file(request.body))
            )
    except TimeoutError:
        log(Event.FILE_STORED, revision=number, outcome="unknown", waited_s=STORE_TIMEOUT_S)
        return _error(registry, 503, "the file was not committed in time")
    if isinstance(result, NotLeading):
        return _elsewhere(registry, request, result.leader)
    await _asked(registry, lambda done: AwaitInForce(number, done))
    log(Event.FILE_STORED, revision=number, outcome="committed", held=result.revision)
    return Reply(200)


async def _read(registry: Registry, request: IncomingRequest) -> Reply:
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            held = await read_file(registry.questions)
    except TimeoutError:
        log(Event.FILE_READ, outcome="unconfirmed", waited_s=READ_TIMEOUT_S)
        return _error(registry, 503, "no majority confirmed the newest file in time")
    if isinstance(held, NotLeading):
        return _elsewhere(registry, request, held.leader)
    if not held.number:
        return _error(registry, 503, "no file was stored yet")
    log(Event.FILE_READ, outcome="confirmed", revision=held.number)
    return Reply(200, decompress_file(held.packed))


def _elsewhere(registry: Registry, request: IncomingRequest, leader: Address | None) -> Reply:
    """Send the caller to the leader, or away for now."""
    if leader is None or leader == registry.control_listen:
        return _error(registry, 503, "no leader is known")
    location = f"http://{leader}".encode() + request.target
    return Reply(307, b"", ((b"Location", location),))


async def _upstream_call(
    registry: Registry, request: IncomingRequest, upstream: UpstreamId
) -> Reply:
    if request.method == b"DELETE":
        start_time_ms = registry.dialect.decode_departure(request.body)
        await _asked(registry, lambda done: Departed(upstream, start_time_ms, done))
        return Reply(200, b"{}")
    if request.method != b"PUT":
        return _error(registry, 405, "an upstream announces itself or leaves")
    try:
        record = registry.dialect.decode_announcement(upstream, request.body)
    except LycheefallError as error:
        log(Event.ANNOUNCEMENT_REFUSED, upstream=upstream, detail=error.detail)
        return _error(registry, 400, error.detail)
    await _asked(registry, lambda done: Announced(record, done))
    return Reply(200, b"{}")


async def _asked(registry: Registry, message: Callable[[Future[Any]], ToRegistrar]) -> Any:
    done: Future[Any] = asyncio.get_running_loop().create_future()
    await registry.registrar.put(message(done))
    return await done


def _error(registry: Registry, status: int, detail: str) -> Reply:
    return Reply(status, registry.dialect.encode_error(detail))
