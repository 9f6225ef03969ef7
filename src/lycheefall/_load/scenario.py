"""Scenario of a load run, read from TOML: request flows, floods and faults."""

import math
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lycheefall._core.enums import RouteKind
from lycheefall._core.exceptions import FileFieldError, FileSyntaxError
from lycheefall._core.ids import DataCentreId, PriorityId, RouteId, TeamId, UpstreamId

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=0)]


class Caller(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Retry and timeout behaviour of the simulated callers."""

    # A request without a first token (streams) or whole answer (others) after this time is aborted
    # and retried immediately.
    slow_after_s: Positive = math.inf
    max_retries: Count = 3
    # Time that a caller waits beyond the timeout that it sends with the request.
    grace_s: Positive = 2.0
    # Limit for all callers together; requests above it are reported as not sent.
    max_in_flight: Annotated[int, Meta(gt=0)] = 5_000


class Flow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests of one kind that each of the listed teams sends at a given rate."""

    route: RouteId
    kind: RouteKind
    priority: PriorityId
    teams: tuple[TeamId, ...]
    # Requests per second and team.
    rate: Positive
    # Latency target: of the first token for chat, of the whole answer for other kinds.
    target_s: Positive
    timeout_s: Positive = 30.0
    model: str = ""
    service: str = ""
    path: str = ""
    stream: bool = True
    max_tokens: Count = 32
    # Number of distinct shared prompt prefixes, and their length in characters.
    prefixes: Annotated[int, Meta(gt=0)] = 20
    prefix_chars: Count = 256
    # Text appended to each prompt, such as the crash marker of a fake engine.
    marker: str = ""


class Flood(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Interval in which matching flows run at a multiple of their rate; empty names match all."""

    start_s: Annotated[float, Meta(ge=0)]
    end_s: Positive
    factor: Annotated[float, Meta(gt=1)]
    team: TeamId = TeamId("")
    route: RouteId = RouteId("")
    priority: PriorityId = PriorityId("")


class FaultKind(Enum):
    """Fault of an upstream; KILL and FREEZE also affect its agent."""

    KILL = "kill"
    FREEZE = "freeze"
    SLOW = "slow"
    ERROR_FAST = "error-fast"


class FaultEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Fault of one upstream, or of all upstreams of a data centre.

    The code that starts the processes injects the fault and removes it at `end_s`; the load
    generator ignores it.
    """

    kind: FaultKind
    start_s: Annotated[float, Meta(ge=0)]
    end_s: Positive = math.inf
    upstream: UpstreamId = UpstreamId("")
    data_centre: DataCentreId = DataCentreId("")


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Complete description of a load run."""

    seed: int
    duration_s: Positive
    flows: tuple[Flow, ...]
    floods: tuple[Flood, ...] = ()
    faults: tuple[FaultEntry, ...] = ()
    caller: Caller = Caller()


def parse_scenario(text: str) -> Scenario:
    """Parse a scenario; raise FileSyntaxError for bad TOML, FileFieldError for a bad field."""
    try:
        return msgspec.toml.decode(text, type=Scenario)
    except msgspec.ValidationError as error:
        raise FileFieldError(str(error)) from None
    except msgspec.DecodeError as error:
        raise FileSyntaxError(str(error)) from None


def matches(flood: Flood, flow: Flow, team: TeamId) -> bool:
    """Return whether a flood raises the rate of a flow for a team."""
    return (
        flood.team in ("", team)
        and flood.route in ("", flow.route)
        and flood.priority in ("", flow.priority)
    )


def is_flooded(scenario: Scenario, at_s: float) -> bool:
    """Return whether any flood is active at a time, in seconds since the start of the run."""
    return any(each.start_s <= at_s < each.end_s for each in scenario.floods)
