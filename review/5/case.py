"""An operator sends invalid configurations; are they refused?"""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    Platform,
    Run,
    Server,
    configuration,
    route,
    run_case,
)

SERVICE = "wuno96b"


def config(version: int) -> dict[str, Any]:
    return configuration(version, [route("loyalty-lookup", "/cufi504/", SERVICE, "idempotent")])


def unreadable(version: int) -> bytes:
    """Return a configuration with bytes that are no UTF-8 text."""
    return json.dumps(config(version)).encode().replace(b"/healthz", b"/health\xff\xfe")


def unknown_service(version: int) -> bytes:
    """Return a configuration whose route names an unknown service, beside a split."""
    content = config(version)
    split = [{"Service": SERVICE, "Weight": 100}]
    content["Routes"][0].update(Service="nosuch1", TrafficSplit=split)
    return json.dumps(content).encode()


async def work(run: Run) -> None:
    await run.answer(b"x" * 800)


async def case(platform: Platform, has_trouble: bool) -> bool:
    await platform.start_all(controls=3, entries=2)
    await platform.put_config(config(1), "version 1")
    server = Server(platform, "i-0", SERVICE, platform.new_address(100), work)
    await server.start()
    await platform.wait_until_ready()
    # All machines are in touch after StabilityWindowMs without a disruption.
    await asyncio.sleep(4.0)
    acknowledged = []
    for version, make in enumerate((unreadable, unknown_service), start=2):
        body = make(version) if has_trouble else json.dumps(config(version)).encode()
        what = f"version {version}" + (f", invalid ({make.__name__})" if has_trouble else "")
        status = await platform.put_config(body, what)
        held = await platform.get_config()
        is_held = held == body
        platform.record(f"version {version} is read back: {is_held}")
        try:
            json.loads(held or b"")
        except ValueError as error:
            platform.record(f"the operator can't read what GET returns: {error}")
        if has_trouble and status == 200:
            acknowledged.append(make.__name__)
    platform.record(f"invalid configurations that were acknowledged: {acknowledged}")
    return bool(acknowledged)


run_case(Path(__file__).parent, case)
