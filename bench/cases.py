"""Cases of bench/scenarios.py: floods and faults on the ordinary load of a user."""

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct
from msgspec.structs import replace

from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import RouteKind, UpstreamKind
from lycheefall._core.ids import NO_REVISION, DataCentreId, PriorityId, RouteId, TeamId, UpstreamId
from lycheefall._load.scenario import (
    FaultEntry,
    FaultKind,
    Flood,
    Flow,
    Scenario,
    parse_scenario,
)
from lycheefall._operate.configuration_file import parse_configuration

ROOT = Path(__file__).resolve().parents[1]
_USERS = {"ballyscent": "ballyscent-day.toml", "authority": "authority-floods.toml"}
# The engines of the bench are this much slower than the scenario files assume.
_RATE_RATIO = 0.5
# The ordinary load is this part of what the engines can do.
_ORDINARY_RATIO = 0.55


class User(Struct, frozen=True, kw_only=True):
    """One of the two organisations."""

    name: str
    text: str
    configuration: Configuration
    flows: Scenario

    @property
    def urgent(self) -> PriorityId:
        """Return the most urgent priority."""
        return self.configuration.priorities[0].name

    @property
    def batch(self) -> PriorityId:
        """Return the least urgent priority."""
        return self.configuration.priorities[-1].name

    @property
    def urgent_route(self) -> RouteId:
        """Return the chat route of the most urgent priority."""
        return next(
            flow.route
            for flow in self.flows.flows
            if flow.kind is RouteKind.CHAT and flow.priority == self.urgent
        )

    @property
    def large_teams(self) -> tuple[TeamId, ...]:
        """Return the teams that request more than the others."""
        return tuple(team.name for team in self.configuration.teams if team.weight > 1.0)

    def pool(self, kind: UpstreamKind) -> str:
        """Return the pool of a kind."""
        return next(pool.name for pool in self.configuration.pools if pool.kind is kind)


def user_of(name: str) -> User:
    """Read the configuration and the ordinary load of a user."""
    text = (ROOT / "examples" / f"{name}.toml").read_text(encoding="utf-8")
    flows = parse_scenario((ROOT / "scenarios" / _USERS[name]).read_text(encoding="utf-8"))
    slower = tuple(_scaled(flow, _RATE_RATIO) for flow in flows.flows)
    plain = replace(flows, flows=slower, floods=(), faults=())
    return User(
        name=name, text=text, configuration=parse_configuration(text, NO_REVISION), flows=plain
    )


def _steady(user: User) -> Scenario:
    return replace(user.flows, duration_s=25.0)


def _batch_flood(user: User) -> Scenario:
    flood = Flood(start_s=15.0, end_s=35.0, factor=10.0, priority=user.batch)
    return replace(user.flows, duration_s=35.0, floods=(flood,))


def _urgent_flood(user: User) -> Scenario:
    flood = Flood(start_s=15.0, end_s=35.0, factor=5.0, route=user.urgent_route)
    return replace(user.flows, duration_s=35.0, floods=(flood,))


def _both_floods(user: User) -> Scenario:
    batch = Flood(start_s=12.0, end_s=24.0, factor=10.0, priority=user.batch)
    urgent = Flood(start_s=28.0, end_s=40.0, factor=5.0, route=user.urgent_route)
    return replace(user.flows, duration_s=40.0, floods=(batch, urgent))


def _large_teams(user: User) -> Scenario:
    # All teams have equal rates here, so that 20 times is 20 times a small team.
    large = set(user.large_teams)
    small = [flow for flow in user.flows.flows if not large & set(flow.teams)]
    flows = tuple(replace(flow, teams=(*flow.teams, *user.large_teams)) for flow in small)
    floods = tuple(
        Flood(start_s=15.0, end_s=40.0, factor=20.0, team=team) for team in user.large_teams
    )
    return replace(user.flows, duration_s=40.0, flows=flows, floods=floods)


def _loss_in_flood(user: User) -> Scenario:
    kill = FaultEntry(kind=FaultKind.KILL, start_s=22.0, upstream=UpstreamId("engine-3"))
    return replace(_batch_flood(user), faults=(kill,))


def _data_centre_loss(user: User) -> Scenario:
    kill = FaultEntry(
        kind=FaultKind.KILL, start_s=15.0, end_s=25.0, data_centre=DataCentreId("dc-1")
    )
    flows = tuple(_scaled(flow, 0.7 / _ORDINARY_RATIO) for flow in user.flows.flows)
    return replace(user.flows, duration_s=40.0, flows=flows, faults=(kill,))


def _scaled(flow: Flow, ratio: float) -> Flow:
    return replace(flow, rate=flow.rate * ratio)


def _one_fault(kind: FaultKind) -> Callable[[User], Scenario]:
    def case(user: User) -> Scenario:
        fault = FaultEntry(kind=kind, start_s=15.0, end_s=30.0, upstream=UpstreamId("engine-3"))
        return replace(user.flows, duration_s=30.0, faults=(fault,))

    return case


CASES: dict[str, Callable[[User], Scenario]] = {
    "steady": _steady,
    "batch-flood": _batch_flood,
    "urgent-flood": _urgent_flood,
    "large-teams": _large_teams,
    "both-floods": _both_floods,
    "loss-in-flood": _loss_in_flood,
    "data-centre-loss": _data_centre_loss,
    "slow": _one_fault(FaultKind.SLOW),
    "error-fast": _one_fault(FaultKind.ERROR_FAST),
}
