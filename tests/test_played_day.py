"""Simulations of a scaled day with floods, crashes and a drain on the dispatching rules."""

import pytest

from lycheefall._rules import concurrency_limits, wait_queue
from played_day import Day, Fault, Flood, Kind, Results, simulate_day
from relay_values import POOL, SERVICE_POOL

# Target for the mean value of a large day with faults; a simulated day has no prices.
TARGET_VALUE = 0.69

KINDS = (
    Kind("assist", POOL, 0, 0.4, 22.0, 3.1, 0.3, events=16),
    Kind("batch", POOL, 2, 1.0, 20.0, 0.8, 0.3, events=16),
    Kind("blurb", POOL, 1, 0.4, 10.0, 1.6, 0.4, events=16),
    Kind("lookup", SERVICE_POOL, 2, 0.3, 8.0, 1.0, 0.3),
)
TROUBLE = Day(
    KINDS,
    floods=(Flood("batch", 4.0, 9.0, 4.0), Flood("assist", 14.0, 18.0, 3.0)),
    faults=(Fault(11.0, "g1-2"), Fault(20.0, "g2-0", is_drain=True), Fault(22.0, "s1")),
)
CALM = Day(KINDS, length_s=15.0)


def show(name: str, results: Results) -> None:
    """Print the results; pytest shows them for a failed test."""
    print(name)
    for line in results.lines():
        print(line)


def test_calm_day() -> None:
    """Guards against lateness and refusals without faults or floods."""
    results, _ = simulate_day(CALM, seed=1)
    show("calm", results)
    assert results.value() >= 0.9
    assert results.refused["all"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_day_with_trouble(seed: int) -> None:
    """Guards against results below the users' target, and against starvation of any part."""
    results, max_requests = simulate_day(TROUBLE, seed)
    show(f"trouble, seed {seed}", results)
    assert results.value() >= TARGET_VALUE
    answered = results.in_time["all"] + results.late["all"]
    assert answered + results.refused["all"] + results.lost["all"] == results.asked["all"]
    for name in results.asked:
        # The lower bound of a standard day, which holds for each kind, team and data centre.
        assert results.value(name) >= 0.5, name
    # Loads of other entries are known late, so two entries may take the same slot.
    assert max_requests <= 2 * 8


def test_rank_steps_protect_urgent_work(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against urgency ranks without effect, compared with the policy switched off."""
    flood = Day(KINDS, floods=(Flood("batch", 4.0, 12.0, 6.0),), length_s=15.0)
    with_ranks, _ = simulate_day(flood, seed=1)
    monkeypatch.setattr(wait_queue, "RANK_STEP", 0.0)
    without, _ = simulate_day(flood, seed=1)
    show("ranks", with_ranks)
    show("no ranks", without)
    assert with_ranks.value("kind assist") > without.value("kind assist")


def test_reserved_places_keep_work_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against late requests that take the last slots, compared with no reserve."""
    with_reserve = [simulate_day(TROUBLE, seed)[0] for seed in (1, 2, 3)]
    monkeypatch.setattr(concurrency_limits, "RESERVED_RATIO", -1.0)
    without = [simulate_day(TROUBLE, seed)[0] for seed in (1, 2, 3)]
    for number, (one, other) in enumerate(zip(with_reserve, without, strict=True)):
        show(f"reserve, seed {number + 1}", one)
        show(f"no reserve, seed {number + 1}", other)
    assert sum(each.value() for each in with_reserve) > sum(each.value() for each in without)
