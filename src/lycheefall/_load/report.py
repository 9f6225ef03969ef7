"""Report of a load run: latency histograms, counts and goodput."""

from collections import Counter
from collections.abc import Iterator
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct, field

from lycheefall._load.outcome import NO_CODE, Ending, Outcome, is_good

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000


class Measure(Enum):
    """Latency that a histogram records."""

    FIRST_TOKEN = "first-token"
    # Time to the end of the answer.
    WHOLE = "whole"
    # Time between consecutive tokens of a stream.
    GAP = "gap"


class Distribution(Struct, frozen=True):
    """Percentiles of a histogram, in seconds."""

    count: int
    p50_s: float
    p90_s: float
    p95_s: float
    p99_s: float
    max_s: float


class Slice(Struct, frozen=True, kw_only=True):
    """Results of the requests of one priority, team or route.

    A slice named .../flood or .../quiet has only the requests due during or outside a flood.
    """

    name: str
    requests: int
    good: int
    endings: dict[str, int]
    distributions: dict[str, Distribution]


class Second(Struct, frozen=True):
    """Counts of the requests due in one second of the run, by priority."""

    offered: dict[str, int]
    good: dict[str, int]


class LoadReport(Struct, frozen=True, kw_only=True):
    """Results of a load run."""

    seed: int
    duration_s: float
    requests: int
    good: int
    goodput_per_s: float
    retries: int
    # By result code; without one, by HTTP status as http-NNN or, without an answer, by ending.
    codes: dict[str, int]
    # By run state; not-told counts answers without one.
    runs: dict[str, int]
    endings: dict[str, int]
    slices: tuple[Slice, ...]
    seconds: tuple[Second, ...]


class SliceState(Struct):
    """Accumulated results of a slice."""

    requests: int = 0
    good: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    histograms: dict[Measure, HdrHistogram] = field(default_factory=dict)


class ReportState(Struct):
    """Accumulated results of a run."""

    requests: int = 0
    good: int = 0
    retries: int = 0
    codes: Counter[str] = field(default_factory=Counter)
    runs: Counter[str] = field(default_factory=Counter)
    endings: Counter[str] = field(default_factory=Counter)
    slices: dict[str, SliceState] = field(default_factory=dict)
    offered: dict[int, Counter[str]] = field(default_factory=dict)
    good_by_second: dict[int, Counter[str]] = field(default_factory=dict)


def record(state: ReportState, outcome: Outcome) -> ReportState:
    """Add an outcome to the accumulated results."""
    good = is_good(outcome)
    state.requests += 1
    state.good += good
    state.retries += max(0, outcome.attempts - 1)
    state.codes[_code_label(outcome)] += 1
    state.runs[outcome.answer.run or "not-told"] += 1
    state.endings[outcome.answer.ending.value] += 1
    for name in _slice_names(outcome):
        _record_slice(state.slices.setdefault(name, SliceState()), outcome, good)
    second = int(outcome.due_s)
    state.offered.setdefault(second, Counter())[outcome.priority] += 1
    state.good_by_second.setdefault(second, Counter())[outcome.priority] += good
    return state


def summarise(state: ReportState, seed: int, duration_s: float) -> LoadReport:
    """Return the report of the accumulated results."""
    return LoadReport(
        seed=seed,
        duration_s=duration_s,
        requests=state.requests,
        good=state.good,
        goodput_per_s=state.good / duration_s,
        retries=state.retries,
        codes=dict(sorted(state.codes.items())),
        runs=dict(sorted(state.runs.items())),
        endings=dict(sorted(state.endings.items())),
        slices=tuple(_summarise_slice(*item) for item in sorted(state.slices.items())),
        seconds=tuple(_seconds(state)),
    )


def find_slice(report: LoadReport, name: str) -> Slice:
    """Return a slice by its name; raise KeyError if no request belongs to it."""
    for each in report.slices:
        if each.name == name:
            return each
    raise KeyError(name)


def report_json(report: LoadReport) -> bytes:
    """Encode a report as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n"


def _slice_names(outcome: Outcome) -> Iterator[str]:
    yield f"priority:{outcome.priority}"
    yield f"priority:{outcome.priority}/{'flood' if outcome.is_flooded else 'quiet'}"
    yield f"team:{outcome.team}"
    yield f"team:{outcome.team}/priority:{outcome.priority}"
    yield f"route:{outcome.route}"
    yield f"route:{outcome.route}/{'flood' if outcome.is_flooded else 'quiet'}"


def _code_label(outcome: Outcome) -> str:
    answer = outcome.answer
    if answer.code != NO_CODE:
        return str(answer.code)
    return f"http-{answer.status}" if answer.status else answer.ending.value


def _record_slice(state: SliceState, outcome: Outcome, good: bool) -> None:
    state.requests += 1
    state.good += good
    state.endings[outcome.answer.ending.value] += 1
    # Refusals return quickly; including them would make an overloaded system look fast.
    if outcome.answer.ending is not Ending.ANSWERED:
        return
    _record_value(state, Measure.WHOLE, outcome.total_s)
    if outcome.first_token_s is not None:
        _record_value(state, Measure.FIRST_TOKEN, outcome.first_token_s)
    for gap_s in outcome.answer.gaps_s:
        _record_value(state, Measure.GAP, gap_s)


def _record_value(state: SliceState, measure: Measure, value_s: float) -> None:
    if measure not in state.histograms:
        histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        state.histograms[measure] = histogram
    value_us = min(max(round(value_s * _US_PER_S), _LOWEST_US), _HIGHEST_US)
    state.histograms[measure].record_value(value_us)


def _summarise_slice(name: str, state: SliceState) -> Slice:
    return Slice(
        name=name,
        requests=state.requests,
        good=state.good,
        endings=dict(sorted(state.endings.items())),
        distributions={
            measure.value: _summarise_histogram(histogram)
            for measure, histogram in state.histograms.items()
        },
    )


def _summarise_histogram(histogram: HdrHistogram) -> Distribution:
    def percentile_s(percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile)) / _US_PER_S

    return Distribution(
        histogram.get_total_count(),
        percentile_s(50),
        percentile_s(90),
        percentile_s(95),
        percentile_s(99),
        percentile_s(100),
    )


def _seconds(state: ReportState) -> Iterator[Second]:
    for second in range(max(state.offered, default=-1) + 1):
        offered = state.offered.get(second, Counter())
        good = state.good_by_second.get(second, Counter())
        yield Second(dict(sorted(offered.items())), dict(sorted(good.items())))
