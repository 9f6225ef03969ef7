"""Tables of bench/scenarios.py, from the outcomes that the callers saw."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from lycheefall._core.enums import RouteKind
from lycheefall._core.ids import TeamId
from lycheefall._fakes.batch import Statistics
from lycheefall._load.outcome import Ending, Outcome, is_good
from lycheefall._load.scenario import Scenario

_MS_PER_S = 1_000


class Counted(Protocol):
    """Counters of the engines at a time of the run."""

    @property
    def at_s(self) -> float: ...
    @property
    def engines(self) -> dict[str, Statistics]: ...


def disturbed_spans(scenario: Scenario) -> list[tuple[str, float, float]]:
    """Return names and times of the quiet part before all floods and faults, of each, and after."""
    spans = [(f"flood {n}", each.start_s, each.end_s) for n, each in enumerate(scenario.floods)]
    spans += [
        (f"{each.kind.value}", each.start_s, min(each.end_s, scenario.duration_s))
        for each in scenario.faults
    ]
    unique = {(start, end): (name, start, end) for name, start, end in reversed(spans)}
    ordered = sorted(unique.values(), key=lambda span: span[1])
    first = ordered[0][1] if ordered else scenario.duration_s
    last = max((span[2] for span in ordered), default=scenario.duration_s)
    # The start is left out, since limits and rates are still being learnt.
    result = [("quiet", 3.0, first), *ordered]
    return (
        result if last >= scenario.duration_s else [*result, ("after", last, scenario.duration_s)]
    )


def kind_lines(scenario: Scenario, outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Return a table by route and time."""
    yield "| route | time | requests | answered % | in time % | p50 ms | p95 ms | p99 ms | tries |"
    yield "|---|---|---|---|---|---|---|---|---|"
    routes = dict.fromkeys(flow.route for flow in scenario.flows)
    for route in routes:
        for name, start_s, end_s in disturbed_spans(scenario):
            found = [
                each for each in outcomes if each.route == route and start_s <= each.due_s < end_s
            ]
            if found:
                yield f"| {route} | {name} | {_cells(found)} |"


def team_lines(scenario: Scenario, outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Return a table of the teams that a flood of other teams does not belong to."""
    flooding = {flood.team for flood in scenario.floods if flood.team}
    if not flooding:
        return
    yield "| small teams | time | requests | answered % | in time % | p50 ms | p95 | p99 | tries |"
    yield "|---|---|---|---|---|---|---|---|---|"
    routes = {flow.route: flow for flow in scenario.flows}
    for route in routes:
        for name, start_s, end_s in disturbed_spans(scenario):
            found = [
                each
                for each in outcomes
                if each.route == route
                and each.team not in flooding
                and start_s <= each.due_s < end_s
            ]
            if found:
                yield f"| {route} | {name} | {_cells(found)} |"


def _cells(outcomes: Sequence[Outcome]) -> str:
    count = len(outcomes)
    answered = [each for each in outcomes if each.answer.ending is Ending.ANSWERED]
    times_s = sorted(
        each.total_s if each.first_token_s is None else each.first_token_s for each in answered
    )
    times = " | ".join(f"{_at(times_s, ratio) * _MS_PER_S:.0f}" for ratio in (0.5, 0.95, 0.99))
    good = sum(map(is_good, outcomes))
    attempts = sum(each.attempts for each in outcomes) / count
    return f"{count} | {len(answered) / count:.1%} | {good / count:.1%} | {times} | {attempts:.2f}"


def _at(ordered: Sequence[float], ratio: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * ratio))] if ordered else float("nan")


def engine_lines(
    scenario: Scenario, outcomes: Sequence[Outcome], samples: Sequence[Counted]
) -> Iterator[str]:
    """Return what reached the engines, against the first tries of the callers."""
    chats = {flow.route for flow in scenario.flows if flow.kind is RouteKind.CHAT}
    faulty = {fault.upstream for fault in scenario.faults if fault.upstream}
    yield "| time | first tries | at engines | ratio | mean of an engine | faulty one | cached % |"
    yield "|---|---|---|---|---|---|---|"
    for name, start_s, end_s in disturbed_spans(scenario):
        attempts = sum(each.route in chats and start_s <= each.due_s < end_s for each in outcomes)
        counts = _grown(samples, start_s, end_s, lambda each: each.submitted)
        cached = sum(_grown(samples, start_s, end_s, lambda each: each.cached_tokens).values())
        prefilled = sum(
            _grown(samples, start_s, end_s, lambda each: each.prefilled_tokens).values()
        )
        total = sum(counts.values())
        cached_ratio = cached / max(1, cached + prefilled)
        bad = sum(counts.get(upstream, 0) for upstream in faulty)
        yield (
            f"| {name} | {attempts} | {total} | {total / max(1, attempts):.2f} | "
            f"{total / max(1, len(counts)):.0f} | {bad} | {cached_ratio:.1%} |"
        )


def _grown(
    samples: Iterable[Counted], start_s: float, end_s: float, read: Callable[[Statistics], int]
) -> dict[str, int]:
    grown: dict[str, int] = {}
    last: dict[str, int] = {}
    for sample in samples:
        for name, statistics in sample.engines.items():
            value = read(statistics)
            # A restarted engine counts from zero again.
            step = value - last.get(name, 0) if value >= last.get(name, 0) else value
            if start_s <= sample.at_s < end_s:
                grown[name] = grown.get(name, 0) + step
            last[name] = value
    return grown


def share_lines(
    scenario: Scenario, outcomes: Sequence[Outcome], weights: Mapping[TeamId, float]
) -> Iterator[str]:
    """Return what small teams were served against their fair share of what all were served."""
    flooding = {flood.team for flood in scenario.floods if flood.team}
    if not flooding:
        return
    start_s, end_s = scenario.floods[0].start_s, scenario.floods[0].end_s
    found = [each for each in outcomes if start_s <= each.due_s < end_s]
    yield "| route | served by fair share of small teams: lowest | median | together |"
    yield "|---|---|---|---|"
    for route in dict.fromkeys(flow.route for flow in scenario.flows):
        asked: Counter[TeamId] = Counter(each.team for each in found if each.route == route)
        served: Counter[TeamId] = Counter(
            each.team
            for each in found
            if each.route == route and each.answer.ending is Ending.ANSWERED
        )
        fair = fair_shares(asked, sum(served.values()), weights)
        small = [team for team in fair if team not in flooding]
        ratios = sorted(served[team] / fair[team] for team in small)
        together = sum(served[team] for team in small) / sum(fair[team] for team in small)
        yield (f"| {route} | {ratios[0]:.1%} | {ratios[len(ratios) // 2]:.1%} | {together:.1%} |")


def fair_shares(
    asked: Mapping[TeamId, int], capacity: float, weights: Mapping[TeamId, float]
) -> dict[TeamId, float]:
    """Divide a capacity by weight; what a team does not ask for goes to the others."""
    shares: dict[TeamId, float] = {}
    left = capacity
    open_teams = sorted(asked, key=lambda team: asked[team] / weights[team])
    while open_teams:
        team = open_teams[0]
        weight = sum(weights[each] for each in open_teams)
        shares[team] = min(asked[team], left * weights[team] / weight)
        left -= shares[team]
        open_teams.pop(0)
    return shares
