"""HTTP API for operators, upstreams and callers."""

import asyncio
from asyncio import Future
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote_to_bytes

from msgspec import Struct

from lycheefall._core.dialect import Dialect
from lycheefall._core.events import Event
from lycheefall._core.exceptions import LycheefallError, RequestRefused
from lycheefall._core.ids import Address, DataCentreId, Revision, UpstreamId
from lycheefall._core.log import log
from lycheefall._core.messages.control import EvacuationResult, SetEvacuation, StoreFile
from lycheefall._core.pipeline import Inbox
from lycheefall._registry.messages import (
    Announce,
    AwaitEvacuations,
    AwaitRevision,
    Depart,
    DirectoryQuery,
    ToRegistrar,
)
from lycheefall._registry.registrar import MAX_WAIT_FOR_ENTRIES_S
from lycheefall._registry.state_client import (
    NotLeader,
    StateClient,
    read_file,
    set_evacuation,
    store_file,
)
from lycheefall._wire.file_compression import compress_file, decompress_file
from lycheefall._wire.http_server import (
    CallerConnection,
    Headers,
    IncomingRequest,
    RequestHandler,
    send_local_response,
)

# Time for which callers cache the addresses. A shorter time causes more calls, a longer one sends
# callers to entries that have left.
DIRECTORY_TTL_S = 2.0
# Operators time out after 1 s, or later for large files, and retry at another replica.
STORE_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 0.9
# An order to evacuate is small, so an operator waits 1 s for it and then asks another replica.
EVACUATION_TIMEOUT_S = 0.9
# Names of data centres are kept for good.
MAX_NAME_BYTES = 255
# The longest call stores a file and then waits for the entries.
LONGEST_CALL_S = STORE_TIMEOUT_S + MAX_WAIT_FOR_ENTRIES_S
_JSON: Headers = ((b"Content-Type", b"application/json"),)


class Reply(Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes = b""
    headers: Headers = _JSON


# Returns the response to a request.
Respond = Callable[[IncomingRequest], Awaitable[Reply]]


class ApiContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the API."""

    control_listen: Address
    dialect: Dialect
    state_client: StateClient
    registrar: Inbox[ToRegistrar]
    # Returns the revision of the newest file that is committed and applied at this replica.
    applied_revision: Callable[[], Revision]
    # Returns whether the process was told to stop.
    is_stopping: Callable[[], bool]


def handler(respond: Respond) -> RequestHandler:
    """Return a handler that sends the replies of a function."""

    async def handle(request: IncomingRequest, caller: CallerConnection) -> None:
        reply = await respond(request)
        await send_local_response(caller, reply.status, reply.headers, reply.body)

    return handle


def control_api(context: ApiContext) -> Respond:
    """Return the API for operators and upstreams."""
    endpoints = context.dialect.endpoints
    upstream_prefix = endpoints.upstreams.encode()
    evacuation_prefix = endpoints.evacuations.encode()

    async def respond(request: IncomingRequest) -> Reply:
        if context.is_stopping():
            # Such a call could take longer than the process has left; another replica takes it.
            return _error_reply(context, 503, "the replica is stopping")
        path = request.target.partition(b"?")[0]
        if path == endpoints.file.encode():
            return await _file_request(context, request)
        if path.startswith(upstream_prefix):
            upstream = UpstreamId(path[len(upstream_prefix) :].decode("latin-1"))
            return await _upstream_request(context, request, upstream)
        if path.startswith(evacuation_prefix):
            name = path[len(evacuation_prefix) :]
            return await _evacuation_request(context, request, name)
        return _error_reply(context, 404, "there is no such call")

    return respond


def directory_api(context: ApiContext) -> Respond:
    """Return the API for callers: the directory of entries."""

    async def respond(request: IncomingRequest) -> Reply:
        if request.target.partition(b"?")[0] != context.dialect.endpoints.directory.encode():
            return _error_reply(context, 404, "there is no such call")
        addresses = await _ask_registrar(context, DirectoryQuery)
        if not addresses:
            return _error_reply(context, 503, "no entry is ready")
        return Reply(200, context.dialect.encode_directory(addresses, DIRECTORY_TTL_S))

    return respond


async def _file_request(context: ApiContext, request: IncomingRequest) -> Reply:
    if request.method == b"PUT":
        return await _put_file(context, request)
    if request.method == b"GET":
        return await _get_file(context, request)
    return _error_reply(context, 405, "the file can be read and replaced")


async def _put_file(context: ApiContext, request: IncomingRequest) -> Reply:
    """Validate and commit a file; wait, up to a limit, until the entries use it."""
    try:
        revision = context.dialect.decode_file(request.body).revision
    except LycheefallError as error:
        log(Event.FILE_REFUSED, code=int(error.code), detail=error.detail)
        return _error_reply(context, 400, error.detail)
    if revision <= context.applied_revision():
        log(Event.FILE_ACCEPTED, revision=revision, held=context.applied_revision())
        return Reply(200)
    try:
        async with asyncio.timeout(STORE_TIMEOUT_S):
            result = await store_file(
                context.state_client, StoreFile(revision, compress_file(request.body))
            )
    except TimeoutError:
        log(Event.FILE_STORED, revision=revision, outcome="unknown", waited_s=STORE_TIMEOUT_S)
        return _error_reply(context, 503, "the file was not committed in time")
    if isinstance(result, NotLeader):
        return _redirect(context, request, result.leader)
    await _ask_registrar(context, lambda done: AwaitRevision(revision, done))
    log(Event.FILE_STORED, revision=revision, outcome="committed", held=result.revision)
    return Reply(200)


async def _get_file(context: ApiContext, request: IncomingRequest) -> Reply:
    """Reply with the newest file, as confirmed by a majority."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            newest = await read_file(context.state_client)
    except TimeoutError:
        log(Event.FILE_READ, outcome="unconfirmed", waited_s=READ_TIMEOUT_S)
        return _error_reply(context, 503, "no majority confirmed the newest file in time")
    if isinstance(newest, NotLeader):
        return _redirect(context, request, newest.leader)
    if not newest.number:
        return _error_reply(context, 503, "no file was stored yet")
    log(Event.FILE_READ, outcome="confirmed", revision=newest.number)
    return Reply(200, decompress_file(newest.packed))


async def _evacuation_request(context: ApiContext, request: IncomingRequest, name: bytes) -> Reply:
    """Evacuate a data centre (POST) or withdraw that (DELETE); wait until the entries comply."""
    if request.method not in (b"POST", b"DELETE"):
        return _error_reply(context, 405, "an evacuation is ordered or withdrawn")
    data_centre = _data_centre(name)
    if data_centre is None:
        return _refuse_evacuation(context, "the path names no valid data centre")
    order = SetEvacuation(data_centre, request.method == b"POST")
    try:
        async with asyncio.timeout(EVACUATION_TIMEOUT_S):
            result = await set_evacuation(context.state_client, order)
    except TimeoutError:
        log(
            Event.EVACUATION_STORED,
            outcome="unknown",
            data_centre=data_centre,
            evacuated=order.is_evacuated,
            waited_s=EVACUATION_TIMEOUT_S,
        )
        return _error_reply(context, 503, "the order was not committed in time")
    if isinstance(result, NotLeader):
        return _redirect(context, request, result.leader)
    if not isinstance(result, EvacuationResult):
        return _refuse_evacuation(context, result.detail)
    version = result.version
    await _ask_registrar(context, lambda done: AwaitEvacuations(version, done))
    return Reply(200, b"{}")


def _data_centre(name: bytes) -> DataCentreId | None:
    """Return the data centre that a path names, or None if the name is invalid."""
    try:
        decoded = unquote_to_bytes(name).decode()
    except UnicodeDecodeError:
        return None
    is_valid = decoded and decoded.isprintable() and "/" not in decoded
    return DataCentreId(decoded) if is_valid and len(name) <= MAX_NAME_BYTES else None


def _refuse_evacuation(context: ApiContext, detail: str) -> Reply:
    log(Event.EVACUATION_REFUSED, detail=detail)
    return _error_reply(context, 400, detail)


def _redirect(context: ApiContext, request: IncomingRequest, leader: Address | None) -> Reply:
    """Redirect to the leader, or reply with 503 if no leader is known."""
    if leader is None or leader == context.control_listen:
        return _error_reply(context, 503, "no leader is known")
    location = f"http://{leader}".encode() + request.target
    return Reply(307, b"", ((b"Location", location),))


async def _upstream_request(
    context: ApiContext, request: IncomingRequest, upstream: UpstreamId
) -> Reply:
    """Announce an upstream (PUT) or record its departure (DELETE)."""
    if request.method == b"DELETE":
        start_time_ms = context.dialect.decode_departure(request.body)
        return await _change_upstream(
            context, upstream, lambda done: Depart(upstream, start_time_ms, done)
        )
    if request.method != b"PUT":
        return _error_reply(context, 405, "an upstream announces itself or leaves")
    try:
        record = context.dialect.decode_announcement(upstream, request.body)
    except LycheefallError as error:
        log(Event.ANNOUNCEMENT_REFUSED, upstream=upstream, detail=error.detail)
        return _error_reply(context, 400, error.detail)
    return await _change_upstream(context, upstream, lambda done: Announce(record, done))


async def _change_upstream(
    context: ApiContext, upstream: UpstreamId, new_message: Callable[[Future[Any]], ToRegistrar]
) -> Reply:
    """Reply once the entries have applied a change, or with 503 if there is no room for it."""
    try:
        await _ask_registrar(context, new_message)
    except RequestRefused as error:
        log(Event.ANNOUNCEMENT_REFUSED, upstream=upstream, detail=error.detail)
        return _error_reply(context, 503, error.detail)
    return Reply(200, b"{}")


async def _ask_registrar(
    context: ApiContext, new_message: Callable[[Future[Any]], ToRegistrar]
) -> Any:
    """Send a message that carries a future to the registrar, and return the future's result."""
    done: Future[Any] = asyncio.get_running_loop().create_future()
    await context.registrar.put(new_message(done))
    return await done


def _error_reply(context: ApiContext, status: int, detail: str) -> Reply:
    return Reply(status, context.dialect.encode_error(detail))
