"""Expose the metrics of a process over HTTP in the Prometheus text format."""

import asyncio
from collections.abc import Iterator
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from lycheefall._core.ids import Address
from lycheefall._wire.http_server import (
    CallerConnection,
    HttpLimits,
    HttpServer,
    IncomingRequest,
    Intake,
    RequestHandler,
    close_server,
    open_server,
    send_local_response,
)

EXPLAIN_PATH = b"/explain"
_BODY_BYTES = 16_384
_CONTENT_TYPE = (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
# From an immediate reply to the longest deadline of callers.
_LATENCY_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)

# A registry of its own omits the default collectors, which read files that may not exist.
REGISTRY = CollectorRegistry(auto_describe=False)
REQUESTS = Counter(
    "lycheefall_requests", "Requests by route and outcome", ("route", "outcome"), registry=REGISTRY
)
ATTEMPTS = Counter(
    "lycheefall_attempts", "Attempts by pool and outcome", ("pool", "outcome"), registry=REGISTRY
)
FIRST_BYTE_LATENCY_S = Histogram(
    "lycheefall_first_byte_seconds",
    "Time from a request's head to the first byte of its answer, by route",
    ("route",),
    registry=REGISTRY,
    buckets=_LATENCY_BUCKETS_S,
)
WAITING = Gauge(
    "lycheefall_waiting", "Requests that wait for an upstream", ("pool",), registry=REGISTRY
)
EVACUATED_DATA_CENTRES = Gauge(
    "lycheefall_evacuated_data_centres",
    "Data centres whose upstreams receive no new requests",
    registry=REGISTRY,
)
IN_FLIGHT = Gauge("lycheefall_in_flight", "Attempts in flight", ("pool",), registry=REGISTRY)
COLD_UPSTREAMS = Gauge(
    "lycheefall_cold_upstreams", "Upstreams that are not yet warm", ("pool",), registry=REGISTRY
)


class _ClosedCallers(Collector):
    """Counts the connections that were closed for the sake of others, by reason."""

    def __init__(self, intake: Intake) -> None:
        self._intake = intake

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(
            "lycheefall_callers_closed",
            "Connections of callers closed or not accepted, by reason",
            labels=("reason",),
        )
        for reason, count in self._intake.closed.items():
            family.add_metric((reason.value,), count)
        yield family


async def run_exposition(
    listen: Address, intake: Intake, explain: RequestHandler | None = None
) -> None:
    """Serve the metrics over HTTP until cancelled, and explanations if the role offers them."""
    REGISTRY.register(_ClosedCallers(intake))
    server = HttpServer(
        handle=partial(_handle, explain),
        limits=partial(HttpLimits, body_bytes=_BODY_BYTES),
        counts_output=True,
    )
    await open_server(server, listen)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await close_server(server)


async def _handle(
    explain: RequestHandler | None, request: IncomingRequest, caller: CallerConnection
) -> None:
    if explain is not None and request.target == EXPLAIN_PATH:
        await explain(request, caller)
        return
    await send_local_response(caller, 200, (_CONTENT_TYPE,), generate_latest(REGISTRY))
