"""Cases of bench/scenarios.py: floods and faults added to the ordinary load of an organisation.

A flood multiplies the request rate of a team, route or priority for a while.
"""

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
_SCENARIO_FILES = {"ballyscent": "ballyscent-day.toml", "authority": "authority-floods.toml"}
# Ratio of the engine speed in the bench to the speed that the scenario files assume.
_RATE_RATIO = 0.5
# Ratio of the ordinary load to the capacity of the engines.
_ORDINARY_RATIO = 0.55


class Organisation(Struct, frozen=True, kw_only=True):
    """Hold the configuration of an organisation and its load without floods and faults."""

    name: str
    configuration_text: str
    configuration: Configuration
    ordinary_load: Scenario

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
            for flow in self.ordinary_load.flows
            if flow.kind is RouteKind.CHAT and flow.priority == self.urgent
        )

    @property
    def large_teams(self) -> tuple[TeamId, ...]:
        """Return the teams with a weight above that of the others."""
        return tuple(team.name for team in self.configuration.teams if team.weight > 1.0)

    def pool(self, kind: UpstreamKind) -> str:
        """Return the name of the first pool of a kind."""
        return next(pool.name for pool in self.configuration.pools if pool.kind is kind)


def load_organisation(name: str) -> Organisation:
    """Read the configuration and the ordinary load of an organisation."""
    configuration_text = (ROOT / "examples" / f"{name}.toml").read_text(encoding="utf-8")
    scenario = parse_scenario(
        (ROOT / "scenarios" / _SCENARIO_FILES[name]).read_text(encoding="utf-8")
    )
    scaled_flows = tuple(_scale_rate(flow, _RATE_RATIO) for flow in scenario.flows)
    ordinary_load = replace(scenario, flows=scaled_flows, floods=(), faults=())
    return Organisation(
        name=name,
        configuration_text=configuration_text,
        configuration=parse_configuration(configuration_text, NO_REVISION),
        ordinary_load=ordinary_load,
    )


def _steady(organisation: Organisation) -> Scenario:
    return replace(organisation.ordinary_load, duration_s=25.0)


def _batch_flood(organisation: Organisation) -> Scenario:
    flood = Flood(start_s=15.0, end_s=35.0, factor=10.0, priority=organisation.batch)
    return replace(organisation.ordinary_load, duration_s=35.0, floods=(flood,))


def _urgent_flood(organisation: Organisation) -> Scenario:
    flood = Flood(start_s=15.0, end_s=35.0, factor=5.0, route=organisation.urgent_route)
    return replace(organisation.ordinary_load, duration_s=35.0, floods=(flood,))


def _both_floods(organisation: Organisation) -> Scenario:
    batch = Flood(start_s=12.0, end_s=24.0, factor=10.0, priority=organisation.batch)
    urgent = Flood(start_s=28.0, end_s=40.0, factor=5.0, route=organisation.urgent_route)
    return replace(organisation.ordinary_load, duration_s=40.0, floods=(batch, urgent))


def _large_teams(organisation: Organisation) -> Scenario:
    # All teams have equal base rates, so that a flood is 20 times the rate of a small team.
    large = set(organisation.large_teams)
    small = [flow for flow in organisation.ordinary_load.flows if not large & set(flow.teams)]
    flows = tuple(replace(flow, teams=(*flow.teams, *organisation.large_teams)) for flow in small)
    floods = tuple(
        Flood(start_s=15.0, end_s=40.0, factor=20.0, team=team) for team in organisation.large_teams
    )
    return replace(organisation.ordinary_load, duration_s=40.0, flows=flows, floods=floods)


def _loss_in_flood(organisation: Organisation) -> Scenario:
    kill = FaultEntry(kind=FaultKind.KILL, start_s=22.0, upstream=UpstreamId("engine-3"))
    return replace(_batch_flood(organisation), faults=(kill,))


def _data_centre_loss(organisation: Organisation) -> Scenario:
    kill = FaultEntry(
        kind=FaultKind.KILL, start_s=15.0, end_s=25.0, data_centre=DataCentreId("dc-1")
    )
    # A load of 0.7 of the capacity of all engines.
    flows = tuple(
        _scale_rate(flow, 0.7 / _ORDINARY_RATIO) for flow in organisation.ordinary_load.flows
    )
    return replace(organisation.ordinary_load, duration_s=40.0, flows=flows, faults=(kill,))


def _scale_rate(flow: Flow, ratio: float) -> Flow:
    return replace(flow, rate=flow.rate * ratio)


def _one_fault(kind: FaultKind) -> Callable[[Organisation], Scenario]:
    def case(organisation: Organisation) -> Scenario:
        fault = FaultEntry(kind=kind, start_s=15.0, end_s=30.0, upstream=UpstreamId("engine-3"))
        return replace(organisation.ordinary_load, duration_s=30.0, faults=(fault,))

    return case


CASES: dict[str, Callable[[Organisation], Scenario]] = {
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
