"""HTTP server, faults and message types shared by the fakes."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from pathlib import Path

import msgspec
from aiohttp import web
from msgspec import Struct

from lycheefall._core.ids import Address

OnReady = Callable[[Address], None]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# The fakes stop without draining, because draining is the task of the agent.
_SHUTDOWN_TIMEOUT_S = 0.1


class Fault(Enum):
    """Fault that a fake simulates."""

    NONE = "none"
    # Accepts requests and answers none of them.
    STALL = "stall"
    # Executes requests and answers none of them.
    STALL_AFTER_RUN = "stall-after-run"
    # Answers each request immediately with status 500.
    ERROR_FAST = "error-fast"
    # Multiplies the processing time by a configured ratio.
    SLOW = "slow"


class SetFault(Struct, frozen=True):
    """Body of POST /fault."""

    fault: Fault


class LoadAnswer(Struct, frozen=True):
    """Answer of GET /load."""

    running: int
    waiting: int
    # Tokens that the waiting and the running requests still have to generate.
    queue_tokens: int
    # Used part of the prefix cache; for a service, of its concurrency.
    kv_used_ratio: float
    # Time since these values were sampled.
    age_s: float


class UpstreamCrashed(Exception):
    """Report that a fake crashed on a request with its crash marker."""


def request_recorder(path: str) -> Callable[[str], None]:
    """Return a function that appends requests to a file as JSON lines; no-op for an empty path."""
    if not path:
        return lambda request: None

    def record(request: str) -> None:
        with Path(path).open("ab") as file:
            file.write(msgspec.json.encode(request) + b"\n")

    return record


def ignore_address(address: Address) -> None:
    """Ignore the listening address; default for `on_ready`."""


def print_ready(address: Address) -> None:
    """Print the listening address, which the parent process reads."""
    print(f"ready {address}", flush=True)


def json_response(answer: object, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(answer)
    return web.Response(body=body, status=status, content_type="application/json")


def fault_handler(send: Callable[[SetFault], Awaitable[None]]) -> Handler:
    """Return the handler of POST /fault, which sends the fault to the state owner."""

    async def handle(request: web.Request) -> web.Response:
        try:
            message = msgspec.json.decode(await request.read(), type=SetFault)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        await send(message)
        return json_response(message)

    return handle


async def serve_until_done(
    app: web.Application, listen: Address, on_ready: OnReady, owner: asyncio.Task[None]
) -> None:
    """Serve until the task that owns the state ends; if it fails, abort all connections."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        host, port = listen.rsplit(":", 1)
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        bound_host, bound_port = runner.addresses[0][:2]
        on_ready(Address(f"{bound_host}:{bound_port}"))
        await owner
    except Exception:
        _abort_connections(runner)
        raise
    finally:
        owner.cancel()
        await runner.cleanup()


def _abort_connections(runner: web.AppRunner) -> None:
    server = runner.server
    if server is None:
        return
    for connection in server.connections:
        if connection.transport is not None:
            connection.transport.abort()
