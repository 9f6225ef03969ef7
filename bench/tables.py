"""Format the tables of bench/scenarios.py from request outcomes and engine counters."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import TeamId
from lycheefall._fakes.batch import Statistics
from lycheefall._load.outcome import Ending, Outcome, is_good
from lycheefall._load.scenario import Scenario

_MS_PER_S = 1_000


class EngineSample(Protocol):
    """Counters of the engines at one time of the run."""

    @property
    def at_s(self) -> float: ...
    @property
    def engines(self) -> dict[str, Statistics]: ...


def phases(scenario: Scenario) -> list[tuple[str, float, float]]:
    """Return name, start and end of the phases: before, during and after floods and faults."""
    disturbances = [
        (f"flood {n}", each.start_s, each.end_s) for n, each in enumerate(scenario.floods)
    ]
    disturbances += [
        (f"{each.kind.value}", each.start_s, min(each.end_s, scenario.duration_s))
        for each in scenario.faults
    ]
    unique = {(start, end): (name, start, end) for name, start, end in reversed(disturbances)}
    ordered = sorted(unique.values(), key=lambda span: span[1])
    first_start_s = ordered[0][1] if ordered else scenario.duration_s
    last_end_s = max((span[2] for span in ordered), default=scenario.duration_s)
    # The first 3 s are excluded, because limits and rates have not converged yet.
    result = [("quiet", 3.0, first_start_s), *ordered]
    return (
        result
        if last_end_s >= scenario.duration_s
        else [*result, ("after", last_end_s, scenario.duration_s)]
    )


def route_lines(scenario: Scenario, outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Return a table by route and phase."""
    yield "| route | phase | requests | answered % | in time % | p50 ms | p95 ms | p99 ms | tries |"
    yield "|---|---|---|---|---|---|---|---|---|"
    routes = dict.fromkeys(flow.route for flow in scenario.flows)
    for route in routes:
        for name, start_s, end_s in phases(scenario):
            selected = [
                each for each in outcomes if each.route == route and start_s <= each.due_s < end_s
            ]
            if selected:
                yield f"| {route} | {name} | {_cells(selected)} |"


def team_lines(scenario: Scenario, outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Return a table by route and phase without the flooding teams; empty if no team floods."""
    flooding = {flood.team for flood in scenario.floods if flood.team}
    if not flooding:
        return
    yield "| small teams | phase | requests | answered % | in time % | p50 ms | p95 | p99 | tries |"
    yield "|---|---|---|---|---|---|---|---|---|"
    routes = {flow.route: flow for flow in scenario.flows}
    for route in routes:
        for name, start_s, end_s in phases(scenario):
            selected = [
                each
                for each in outcomes
                if each.route == route
                and each.team not in flooding
                and start_s <= each.due_s < end_s
            ]
            if selected:
                yield f"| {route} | {name} | {_cells(selected)} |"


def _cells(outcomes: Sequence[Outcome]) -> str:
    """Return the cells from the number of requests to the mean number of attempts.

    The time of a stream is that of its first token, any other time that of the whole answer.
    """
    count = len(outcomes)
    answered = [each for each in outcomes if each.answer.ending is Ending.ANSWERED]
    times_s = sorted(
        each.total_s if each.first_token_s is None else each.first_token_s for each in answered
    )
    times = " | ".join(
        f"{_quantile(times_s, ratio) * _MS_PER_S:.0f}" for ratio in (0.5, 0.95, 0.99)
    )
    good = sum(map(is_good, outcomes))
    attempts = sum(each.attempts for each in outcomes) / count
    return f"{count} | {len(answered) / count:.1%} | {good / count:.1%} | {times} | {attempts:.2f}"


def _quantile(ordered: Sequence[float], ratio: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * ratio))] if ordered else float("nan")


def engine_lines(
    scenario: Scenario, outcomes: Sequence[Outcome], samples: Sequence[EngineSample]
) -> Iterator[str]:
    """Return a table of the requests at the engines against the first attempts of the callers."""
    chats = {flow.route for flow in scenario.flows if flow.kind is RouteKind.CHAT}
    faulty = {fault.upstream for fault in scenario.faults if fault.upstream}
    yield "| phase | first attempts | at engines | ratio | mean/engine | faulty engine | cached % |"
    yield "|---|---|---|---|---|---|---|"
    for name, start_s, end_s in phases(scenario):
        first_attempts = sum(
            each.route in chats and start_s <= each.due_s < end_s for each in outcomes
        )
        counts = _counter_increases(samples, start_s, end_s, lambda each: each.submitted)
        cached = sum(
            _counter_increases(samples, start_s, end_s, lambda each: each.cached_tokens).values()
        )
        prefilled = sum(
            _counter_increases(samples, start_s, end_s, lambda each: each.prefilled_tokens).values()
        )
        total = sum(counts.values())
        cached_ratio = cached / max(1, cached + prefilled)
        faulty_count = sum(counts.get(upstream, 0) for upstream in faulty)
        yield (
            f"| {name} | {first_attempts} | {total} | {total / max(1, first_attempts):.2f} | "
            f"{total / max(1, len(counts)):.0f} | {faulty_count} | {cached_ratio:.1%} |"
        )


def _counter_increases(
    samples: Iterable[EngineSample],
    start_s: float,
    end_s: float,
    read_counter: Callable[[Statistics], int],
) -> dict[str, int]:
    """Return, for each engine, by how much a counter rose between two times."""
    increases: dict[str, int] = {}
    last_values: dict[str, int] = {}
    for sample in samples:
        for name, statistics in sample.engines.items():
            value = read_counter(statistics)
            # Counters restart from zero with the engine.
            increase = (
                value - last_values.get(name, 0) if value >= last_values.get(name, 0) else value
            )
            if start_s <= sample.at_s < end_s:
                increases[name] = increases.get(name, 0) + increase
            last_values[name] = value
    return increases


def fair_share_lines(
    scenario: Scenario, outcomes: Sequence[Outcome], weights: Mapping[TeamId, float]
) -> Iterator[str]:
    """Return the ratio of served requests to the fair share, for the small teams of each route."""
    flooding = {flood.team for flood in scenario.floods if flood.team}
    if not flooding:
        return
    start_s, end_s = scenario.floods[0].start_s, scenario.floods[0].end_s
    selected = [each for each in outcomes if start_s <= each.due_s < end_s]
    yield "| route | small teams, served / fair share: lowest | median | total |"
    yield "|---|---|---|---|"
    for route in dict.fromkeys(flow.route for flow in scenario.flows):
        demand: Counter[TeamId] = Counter(each.team for each in selected if each.route == route)
        served: Counter[TeamId] = Counter(
            each.team
            for each in selected
            if each.route == route and each.answer.ending is Ending.ANSWERED
        )
        fair_share = fair_shares(demand, sum(served.values()), weights)
        small = [team for team in fair_share if team not in flooding]
        ratios = sorted(served[team] / fair_share[team] for team in small)
        total_ratio = sum(served[team] for team in small) / sum(fair_share[team] for team in small)
        yield (
            f"| {route} | {ratios[0]:.1%} | {ratios[len(ratios) // 2]:.1%} | {total_ratio:.1%} |"
        )


def fair_shares(
    demand: Mapping[TeamId, int], capacity: float, weights: Mapping[TeamId, float]
) -> dict[TeamId, float]:
    """Divide a capacity by weight; the unused share of a team goes to the others."""
    shares: dict[TeamId, float] = {}
    remaining = capacity
    # The lowest demand per weight comes first, so that what a team leaves unused goes to the rest.
    unserved = sorted(demand, key=lambda team: demand[team] / weights[team])
    while unserved:
        team = unserved[0]
        weight = sum(weights[each] for each in unserved)
        shares[team] = min(demand[team], remaining * weights[team] / weight)
        remaining -= shares[team]
        unserved.pop(0)
    return shares
