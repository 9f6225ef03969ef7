"""Reverse proxy to one upstream without any routing, as a baseline for the entry."""

import asyncio

import defopt
import uvloop
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector, web
from msgspec import Struct

from lycheefall._core.ids import Address
from lycheefall._fakes.serving import Handler, OnReady, ignore_address, json_response, print_ready
from lycheefall._load.directory import Entries

_TTL_S = 3600.0
_BAD_GATEWAY = 502
_MAX_BODY_BYTES = 64 * 1024 * 1024


class BaselineSettings(Struct, frozen=True, kw_only=True):
    """Settings of the baseline proxy."""

    listen: Address
    upstream: Address


async def run_baseline(settings: BaselineSettings, on_ready: OnReady = ignore_address) -> None:
    """Forward all requests to the upstream until cancelled."""
    async with ClientSession(
        connector=TCPConnector(limit=0), timeout=ClientTimeout(total=None), auto_decompress=False
    ) as client:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_get("/v1/entries", _entries)
        app.router.add_route("*", "/{path:.*}", _forward_handler(client, settings.upstream))
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        try:
            host, port = settings.listen.rsplit(":", 1)
            await web.TCPSite(runner, host, int(port)).start()
            bound_host, bound_port = runner.addresses[0][:2]
            on_ready(Address(f"{bound_host}:{bound_port}"))
            await asyncio.get_running_loop().create_future()
        finally:
            await runner.cleanup()


async def _entries(request: web.Request) -> web.Response:
    # The load generator looks up entries before it sends requests; this proxy names itself.
    return json_response(Entries((Address(request.host),), _TTL_S))


def _forward_handler(client: ClientSession, upstream: Address) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        url = f"http://{upstream}{request.path_qs}"
        headers = {
            name: request.headers[name]
            for name in ("Content-Type", "Idempotency-Key")
            if name in request.headers
        }
        response = web.StreamResponse()
        try:
            async with client.request(
                request.method, url, headers=headers, data=await request.read()
            ) as answer:
                response.set_status(answer.status)
                response.headers["Content-Type"] = answer.headers.get("Content-Type", "")
                await response.prepare(request)
                async for data in answer.content.iter_any():
                    await response.write(data)
        except ClientError as error:
            if response.prepared:
                raise
            return json_response({"error": str(error)}, _BAD_GATEWAY)
        await response.write_eof()
        return response

    return handle


def main() -> None:
    """Run the proxy with settings from the command line."""
    settings = defopt.run(BaselineSettings, parsers={Address: Address})
    uvloop.run(run_baseline(settings, print_ready))


if __name__ == "__main__":
    main()
