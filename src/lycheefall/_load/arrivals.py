"""Seeded Poisson arrivals; a flood adds arrivals and leaves the others as they are."""

import heapq
from collections.abc import Iterator
from random import Random

from msgspec import Struct

from lycheefall._core.ids import TeamId
from lycheefall._load.scenario import Flow, Scenario, matches


class Span(Struct, frozen=True):
    """A time in which requests arrive at a rate."""

    start_s: float
    end_s: float
    rate: float


class Arrival(Struct, frozen=True, kw_only=True):
    """A request that is due at a time of the run."""

    at_s: float
    stream: int
    index: int
    team: TeamId
    flow: Flow
    prefix: int


def arrivals_of(scenario: Scenario) -> Iterator[Arrival]:
    """Return all arrivals in the order of their time."""
    streams = list(_streams(scenario))
    return heapq.merge(*streams, key=lambda arrival: arrival.at_s)


def _streams(scenario: Scenario) -> Iterator[Iterator[Arrival]]:
    number = 0
    for flow in scenario.flows:
        for team in flow.teams:
            for span in _spans(scenario, flow, team):
                name = f"{flow.route}/{flow.priority}/{team}/{span.start_s}/{span.rate}"
                yield _poisson(Random(f"{scenario.seed}/{name}"), number, flow, team, span)
                number += 1


def _spans(scenario: Scenario, flow: Flow, team: TeamId) -> Iterator[Span]:
    yield Span(0.0, scenario.duration_s, flow.rate)
    for flood in scenario.floods:
        if matches(flood, flow, team):
            end_s = min(flood.end_s, scenario.duration_s)
            yield Span(flood.start_s, end_s, flow.rate * (flood.factor - 1.0))


def _poisson(
    random: Random, stream: int, flow: Flow, team: TeamId, span: Span
) -> Iterator[Arrival]:
    at_s = span.start_s + random.expovariate(span.rate)
    index = 0
    while at_s < span.end_s:
        prefix = random.randrange(flow.prefixes)
        yield Arrival(at_s=at_s, stream=stream, index=index, team=team, flow=flow, prefix=prefix)
        at_s += random.expovariate(span.rate)
        index += 1
