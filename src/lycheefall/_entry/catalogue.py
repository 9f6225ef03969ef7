"""The active configuration, indexed for the validation of requests."""

from msgspec import Struct

from lycheefall._core.configuration import Configuration, Priority, Route, Team
from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import PriorityId, TeamId


class RankedPriority(Struct, frozen=True):
    """A priority and its position in the configuration file, starting at 0."""

    rank: int
    priority: Priority


class Catalogue(Struct, frozen=True):
    """A configuration and its objects by name."""

    configuration: Configuration
    teams: dict[TeamId, Team]
    priorities: dict[PriorityId, RankedPriority]
    chat_routes: tuple[Route, ...]
    # Routes of each service, longest path first.
    service_routes: dict[str, tuple[Route, ...]]

    def chat_route(self, model: str) -> Route | None:
        """Return the first route that serves the model, or None."""
        return next(
            (route for route in self.chat_routes if not route.models or model in route.models),
            None,
        )

    def service_route(self, service: str, path: str, kinds: frozenset[RouteKind]) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        return next(
            (
                route
                for route in self.service_routes.get(service, ())
                if route.kind in kinds and _is_below(path, route.path)
            ),
            None,
        )


def build_catalogue(configuration: Configuration) -> Catalogue:
    """Index a configuration."""
    services: dict[str, list[Route]] = {}
    for route in configuration.routes:
        if route.kind is not RouteKind.CHAT:
            services.setdefault(route.service, []).append(route)
    return Catalogue(
        configuration,
        {team.name: team for team in configuration.teams},
        {
            priority.name: RankedPriority(rank, priority)
            for rank, priority in enumerate(configuration.priorities)
        },
        tuple(route for route in configuration.routes if route.kind is RouteKind.CHAT),
        {
            service: tuple(sorted(routes, key=lambda route: -len(route.path)))
            for service, routes in services.items()
        },
    )


def _is_below(path: str, prefix: str) -> bool:
    start = prefix.strip("/")
    return not start or path == start or path.startswith(start + "/")
