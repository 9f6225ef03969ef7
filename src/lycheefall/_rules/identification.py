"""Match requests to a route, a pool and a team by host, path and API key."""

from enum import Enum

from msgspec import Struct

from lycheefall._core.ids import PoolId, TeamId
from lycheefall._core.relay import (
    LOWEST_RANK,
    RelayConfiguration,
    RelayRoute,
    RelayTeam,
    Urgency,
)

# Timeouts of first attempts on one route differ by less than this ratio; a request with a shorter
# one is a retry of the caller.
RETRY_TIMEOUT_RATIO = 0.83
# Sent as Retry-After without a configuration: the replicas then have no leader, and operators need
# seconds to repair that.
NO_CONFIGURATION_RETRY_AFTER_S = 1.0


class Unidentified(Enum):
    """Reason why a request was not matched to a route and a team."""

    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"


class Identified(Struct, frozen=True):
    """The route, pool, team and urgency of a request."""

    route: RelayRoute
    pool: PoolId
    team: TeamId | None
    urgency: Urgency


class Index(Struct, frozen=True):
    """A configuration with its routes indexed by host and path prefix, and its teams by API key."""

    configuration: RelayConfiguration
    routes: dict[str, dict[str, RelayRoute]]
    teams: dict[str, RelayTeam]


def build_index(configuration: RelayConfiguration) -> Index:
    """Index a configuration by host, path prefix and team key."""
    routes: dict[str, dict[str, RelayRoute]] = {}
    for route in configuration.routes:
        routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
    teams = {key: team for team in configuration.teams or () for key in team.keys}
    return Index(configuration, routes, teams)


def identify(
    index: Index, host: str, path: str, key: str | None, draw: float
) -> Identified | Unidentified:
    """Match a request to route, pool and team; `draw` in [0, 1) selects a pool by weight."""
    route = _route_of(index, host, path)
    if route is None:
        return Unidentified.NO_ROUTE
    pool = _pool_of(route, draw)
    if route.anonymous or index.configuration.teams is None:
        return Identified(route, pool, None, _urgency(route.rank, route))
    # An empty header is no key, even if a team has an empty one.
    team = index.teams.get(key) if key else None
    if team is None:
        return Unidentified.UNKNOWN_KEY
    rank = route.rank if team.rank is None else team.rank
    return Identified(route, pool, team.name, _urgency(rank, route))


def is_caller_retry(timeout_s: float, longest_timeout_s: float) -> bool:
    """Return whether a request is a retry, given the longest timeout seen on its route."""
    return timeout_s < longest_timeout_s * RETRY_TIMEOUT_RATIO


def _urgency(rank: int, route: RelayRoute) -> Urgency:
    """Return the urgency of a request; ranks beyond the lowest count as the lowest."""
    return Urgency(min(rank, LOWEST_RANK), min(route.rank, LOWEST_RANK))


def _route_of(index: Index, host: str, path: str) -> RelayRoute | None:
    """Return the route with the longest prefix; each prefix ends with a slash."""
    routes = index.routes.get(host.lower()) or index.routes.get(host.partition(":")[0].lower())
    if routes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def _pool_of(route: RelayRoute, draw: float) -> PoolId:
    """Return the pool at a fraction `draw` of the sum of the weights."""
    remaining = draw * sum(part.weight for part in route.split)
    for part in route.split:
        remaining -= part.weight
        if remaining < 0:
            return part.pool
    # Rounding may leave a remainder of 0 after the last pool.
    return next(part.pool for part in reversed(route.split) if part.weight > 0)
