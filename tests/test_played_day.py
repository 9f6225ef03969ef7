"""Plays of a scaled day with a flood, a crash and a drain on the dispatching rules."""

import pytest

from lycheefall._rules import concurrency_limits, wait_queue
from played_day import Account, Day, Fault, Flood, Kind, play_day
from relay_values import DESK, POOL

# What the users aim at for the mean worth of a grown day with trouble; a played day has no prices.
AIM = 0.69

KINDS = (
    Kind("assist", POOL, 0, 0.4, 22.0, 3.1, 0.3, events=16),
    Kind("batch", POOL, 2, 1.0, 20.0, 0.8, 0.3, events=16),
    Kind("blurb", POOL, 1, 0.4, 10.0, 1.6, 0.4, events=16),
    Kind("lookup", DESK, 2, 0.3, 8.0, 1.0, 0.3),
)
TROUBLE = Day(
    KINDS,
    floods=(Flood("batch", 4.0, 9.0, 4.0), Flood("assist", 14.0, 18.0, 3.0)),
    faults=(Fault(11.0, "g1-2"), Fault(20.0, "g2-0", is_drain=True), Fault(22.0, "s1")),
)
CALM = Day(KINDS, length_s=15.0)


def show(name: str, account: Account) -> None:
    """Print what each kind, team and data centre got; pytest shows it for a test that fails."""
    print(name)
    for line in account.lines():
        print(line)


def test_calm_day() -> None:
    """Guards against lateness and refusals without any trouble."""
    account, _ = play_day(CALM, seed=1)
    show("calm", account)
    assert account.worth() >= 0.9
    assert account.refused["all"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_day_with_trouble(seed: int) -> None:
    """Guards against days that fall below the users' aim, and against parts that get nothing."""
    account, fullest = play_day(TROUBLE, seed)
    show(f"trouble, seed {seed}", account)
    assert account.worth() >= AIM
    answered = account.in_aim["all"] + account.late["all"]
    assert answered + account.refused["all"] + account.lost["all"] == account.asked["all"]
    for name in account.asked:
        # The floor of a standard day: no kind, team or data centre may be given up.
        assert account.worth(name) >= 0.5, name
    # Loads of other entries are known late, so two entries may take the same place.
    assert fullest <= 2 * 8


def test_rank_steps_protect_urgent_work(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ranks that no longer decide, with the policy off in the same run."""
    flood = Day(KINDS, floods=(Flood("batch", 4.0, 12.0, 6.0),), length_s=15.0)
    with_ranks, _ = play_day(flood, seed=1)
    monkeypatch.setattr(wait_queue, "RANK_STEP", 0.0)
    without, _ = play_day(flood, seed=1)
    show("ranks", with_ranks)
    show("no ranks", without)
    assert with_ranks.worth("kind assist") > without.worth("kind assist")


def test_reserved_places_keep_work_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against late work that takes the last places, with the policy off in the same run."""
    with_reserve = [play_day(TROUBLE, seed)[0] for seed in (1, 2, 3)]
    monkeypatch.setattr(concurrency_limits, "RESERVED_RATIO", -1.0)
    without = [play_day(TROUBLE, seed)[0] for seed in (1, 2, 3)]
    for number, (one, other) in enumerate(zip(with_reserve, without, strict=True)):
        show(f"reserve, seed {number + 1}", one)
        show(f"no reserve, seed {number + 1}", other)
    assert sum(each.worth() for each in with_reserve) > sum(each.worth() for each in without)
