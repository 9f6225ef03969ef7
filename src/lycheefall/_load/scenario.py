"""Scenario of a load run: flows of requests and floods, read from TOML."""

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
    """Behaviour of the partner software."""

    # An answer that has not begun by then is abandoned and asked for again at once.
    slow_after_s: Positive = math.inf
    max_retries: Count = 3
    # A caller gives up this long after the timeout that it sends with the request.
    grace_s: Positive = 2.0
    max_in_flight: Annotated[int, Meta(gt=0)] = 5_000


class Flow(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Requests of one kind that each of some teams sends at a rate."""

    route: RouteId
    kind: RouteKind
    priority: PriorityId
    teams: tuple[TeamId, ...]
    # Requests a second, for each team.
    rate: Positive
    # An answer that begins (chat) or ends (others) within this time counts as good.
    target_s: Positive
    timeout_s: Positive = 30.0
    model: str = ""
    service: str = ""
    path: str = ""
    stream: bool = True
    max_tokens: Count = 32
    # Prompts share this many different beginnings of this many characters.
    prefixes: Annotated[int, Meta(gt=0)] = 20
    prefix_chars: Count = 256
    # Text at the end of each prompt, such as the crash marker of a fake engine.
    marker: str = ""


class Flood(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A time in which some flows run at a multiple of their rate; empty names match all."""

    start_s: Annotated[float, Meta(ge=0)]
    end_s: Positive
    factor: Annotated[float, Meta(gt=1)]
    team: TeamId = TeamId("")
    route: RouteId = RouteId("")
    priority: PriorityId = PriorityId("")


class FaultKind(Enum):
    """What happens to an upstream and, for the first two, to the agent beside it."""

    KILL = "kill"
    FREEZE = "freeze"
    SLOW = "slow"
    ERROR_FAST = "error-fast"


class FaultEntry(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fault of one upstream, or of all upstreams of a data centre.

    Whoever starts the processes injects it, and repairs it at its end; the generator doesn't.
    """

    kind: FaultKind
    start_s: Annotated[float, Meta(ge=0)]
    end_s: Positive = math.inf
    upstream: UpstreamId = UpstreamId("")
    data_centre: DataCentreId = DataCentreId("")


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One load run."""

    seed: int
    duration_s: Positive
    flows: tuple[Flow, ...]
    floods: tuple[Flood, ...] = ()
    faults: tuple[FaultEntry, ...] = ()
    caller: Caller = Caller()


def parse_scenario(text: str) -> Scenario:
    """Parse a scenario; raise FileSyntaxError or FileFieldError."""
    try:
        return msgspec.toml.decode(text, type=Scenario)
    except msgspec.ValidationError as error:
        raise FileFieldError(str(error)) from None
    except msgspec.DecodeError as error:
        raise FileSyntaxError(str(error)) from None


def matches(flood: Flood, flow: Flow, team: TeamId) -> bool:
    """Return whether a flood raises the rate of a flow of a team."""
    return (
        flood.team in ("", team)
        and flood.route in ("", flow.route)
        and flood.priority in ("", flow.priority)
    )


def is_flooded(scenario: Scenario, at_s: float) -> bool:
    """Return whether any flood is going on."""
    return any(each.start_s <= at_s < each.end_s for each in scenario.floods)
