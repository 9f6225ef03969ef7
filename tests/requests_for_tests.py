"""Validated requests for tests of the filters that process them."""

from typing import Any

from lycheefall._core.configuration import Route
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import Fingerprint, PoolId, PriorityId, RequestId, RouteId, TeamId
from lycheefall._core.messages.entry import CallerRequest

POOL = PoolId("pool")
URGENT = PriorityId("urgent")


def route(kind: RouteKind = RouteKind.CHAT) -> Route:
    """Return a route to one pool."""
    return Route(name=RouteId(kind.value), kind=kind, pools=(POOL,), priority=URGENT)


def request(name: str = "r", **fields: Any) -> CallerRequest:
    """Return a chat request; fields replace the defaults."""
    defaults: dict[str, Any] = {
        "request": RequestId(name),
        "team": TeamId("team"),
        "priority": URGENT,
        "rank": 0,
        "route": route(),
        "method": "POST",
        "path": "/v1/chat/completions",
        "content_type": "application/json",
        "body": b"{}",
        "stream": True,
        "model": "m",
        "arrived_s": 0.0,
        "deadline_s": 10.0,
        "cost_tokens": 20,
        "prompt_tokens": 4,
        "fingerprint": Fingerprint(name),
    }
    return CallerRequest(**(defaults | fields))
