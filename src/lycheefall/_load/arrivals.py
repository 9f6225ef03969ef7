"""Seeded Poisson arrivals; a flood adds arrivals and does not change the others."""

import heapq
from collections.abc import Iterator
from random import Random

from msgspec import Struct

from lycheefall._core.ids import TeamId
from lycheefall._load.scenario import Flow, Scenario, matches


class RateInterval(Struct, frozen=True):
    """Time interval with a constant arrival rate, in requests per second."""

    start_s: float
    end_s: float
    rate: float


class Arrival(Struct, frozen=True, kw_only=True):
    """Request to send at a given time, in seconds since the start of the run."""

    at_s: float
    # Number of the Poisson process that the arrival belongs to, and its position in it.
    stream_number: int
    index: int
    team: TeamId
    flow: Flow
    # Number of the shared prompt prefix, below `flow.prefixes`.
    prefix: int


def generate_arrivals(scenario: Scenario) -> Iterator[Arrival]:
    """Return all arrivals, ordered by time."""
    streams = list(_arrival_streams(scenario))
    return heapq.merge(*streams, key=lambda arrival: arrival.at_s)


def _arrival_streams(scenario: Scenario) -> Iterator[Iterator[Arrival]]:
    stream_number = 0
    for flow in scenario.flows:
        for team in flow.teams:
            for interval in _rate_intervals(scenario, flow, team):
                name = f"{flow.route}/{flow.priority}/{team}/{interval.start_s}/{interval.rate}"
                yield _poisson_arrivals(
                    Random(f"{scenario.seed}/{name}"), stream_number, flow, team, interval
                )
                stream_number += 1


def _rate_intervals(scenario: Scenario, flow: Flow, team: TeamId) -> Iterator[RateInterval]:
    yield RateInterval(0.0, scenario.duration_s, flow.rate)
    for flood in scenario.floods:
        if matches(flood, flow, team):
            end_s = min(flood.end_s, scenario.duration_s)
            yield RateInterval(flood.start_s, end_s, flow.rate * (flood.factor - 1.0))


def _poisson_arrivals(
    rng: Random, stream_number: int, flow: Flow, team: TeamId, interval: RateInterval
) -> Iterator[Arrival]:
    at_s = interval.start_s + rng.expovariate(interval.rate)
    index = 0
    while at_s < interval.end_s:
        prefix = rng.randrange(flow.prefixes)
        yield Arrival(
            at_s=at_s, stream_number=stream_number, index=index, team=team, flow=flow, prefix=prefix
        )
        at_s += rng.expovariate(interval.rate)
        index += 1
