"""Tests of weighted fair queueing by team."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from lycheefall._core.ids import RequestId, TeamId
from lycheefall._rules import fairness
from lycheefall._rules.fairness import FairQueue

WEIGHTS = {TeamId("a"): 1.0, TeamId("b"): 2.0, TeamId("c"): 0.5}
MAX_TOKENS = 50
# Tolerance for rounding errors of sums of quotients.
EPSILON = 1e-6


class FairQueueMachine(RuleBasedStateMachine):
    """Compare the queue with lists, and the service of pairs of backlogged teams."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = FairQueue()
        self.lists: dict[TeamId, list[tuple[RequestId, int]]] = {team: [] for team in WEIGHTS}
        # Difference in weighted service while both teams of a pair had a backlog.
        self.gained: dict[tuple[TeamId, TeamId], float] = {}
        self.bounds: dict[tuple[TeamId, TeamId], tuple[float, float]] = {}
        self.count = 0

    @rule(team=st.sampled_from(sorted(WEIGHTS)), tokens=st.integers(1, MAX_TOKENS))
    def add(self, team: TeamId, tokens: int) -> None:
        self.count += 1
        request = RequestId(str(self.count))
        fairness.add(self.queue, team, WEIGHTS[team], request, tokens)
        self.lists[team].append((request, tokens))

    @precondition(lambda self: any(self.lists.values()))
    @rule()
    def take(self) -> None:
        busy = [team for team, items in self.lists.items() if items]
        request = fairness.take(self.queue)
        team = next(team for team in busy if self.lists[team][0][0] == request)
        _, tokens = self.lists[team].pop(0)
        for other in busy:
            if other != team:
                self._serve(team, other, tokens / WEIGHTS[team])

    @precondition(lambda self: any(self.lists.values()))
    @rule(data=st.data())
    def remove(self, data: st.DataObject) -> None:
        team = data.draw(st.sampled_from([t for t, items in self.lists.items() if items]))
        index = data.draw(st.integers(0, len(self.lists[team]) - 1))
        request, _ = self.lists[team].pop(index)
        assert fairness.remove(self.queue, team, request)
        assert not fairness.remove(self.queue, team, request)

    def _serve(self, team: TeamId, other: TeamId, service: float) -> None:
        first, second = sorted((team, other))
        change = service if team == first else -service
        gained = self.gained.get((first, second), 0.0) + change
        low, high = self.bounds.get((first, second), (0.0, 0.0))
        self.gained[first, second] = gained
        self.bounds[first, second] = (min(low, gained), max(high, gained))

    @invariant()
    def reset_pairs_with_an_idle_team(self) -> None:
        for pair in list(self.gained):
            if not all(self.lists[team] for team in pair):
                del self.gained[pair], self.bounds[pair]

    @invariant()
    def backlogged_teams_differ_by_one_request_each(self) -> None:
        for pair, (low, high) in self.bounds.items():
            bound = sum(MAX_TOKENS / WEIGHTS[team] for team in pair)
            assert high - low <= bound + EPSILON

    @invariant()
    def sums_and_longest_team_queue_agree(self) -> None:
        lengths = {team: len(items) / WEIGHTS[team] for team, items in self.lists.items()}
        assert self.queue.length == sum(map(len, self.lists.values()))
        tokens = sum(cost for items in self.lists.values() for _, cost in items)
        assert abs(self.queue.backlog_tokens - tokens) < EPSILON
        team_queue = fairness.longest_team_queue(self.queue)
        assert (0.0 if team_queue is None else lengths[team_queue.team]) == max(lengths.values())


TestFairQueueMachine = FairQueueMachine.TestCase


class TestFairness:
    def test_idle_team_saves_no_credit(self) -> None:
        """Guards against a formerly idle team monopolizing the service."""
        queue = FairQueue()
        busy, late = TeamId("busy"), TeamId("late")
        for number in range(200):
            fairness.add(queue, busy, 1.0, RequestId(f"busy{number}"), 10)
        for _ in range(100):
            fairness.take(queue)
        for number in range(100):
            fairness.add(queue, late, 1.0, RequestId(f"late{number}"), 10)
        served = [str(fairness.take(queue))[:4] for _ in range(20)]
        assert abs(served.count("late") - 10) <= 1

    def test_charge_corrects_an_estimate(self) -> None:
        """Guards against a team gaining service by underestimating its costs."""
        queue = FairQueue()
        served = {TeamId("low"): 0, TeamId("true"): 0}
        for number in range(400):
            for team in served:
                fairness.add(queue, team, 1.0, RequestId(f"{team}-{number}"), 10)
        for _ in range(100):
            team = TeamId(str(fairness.take(queue)).split("-")[0])
            served[team] += 1
            if team == "low":
                fairness.charge(queue, team, 30)
        assert abs(served[TeamId("low")] - 20) <= 1

    def test_weight_change_holds_for_a_backlogged_team(self) -> None:
        """Guards against a new weight taking effect only after the backlog is served."""
        queue = FairQueue()
        for number in range(40):
            for team in ("changed", "kept"):
                weight = 3.0 if team == "changed" and number else 1.0
                fairness.add(queue, TeamId(team), weight, RequestId(f"{team}{number}"), 10)
        served = [str(fairness.take(queue))[:4] for _ in range(40)]
        assert abs(served.count("chan") - 30) <= 1

    def test_short_queue_does_not_wait_for_a_long_one(self) -> None:
        """Guards against an estimate that counts a large team's backlog against a small team."""
        queue = FairQueue()
        for number in range(1000):
            fairness.add(queue, TeamId("large"), 1.0, RequestId(str(number)), 10)
        assert fairness.tokens_ahead(queue, TeamId("small"), 1.0, 10) == 20
        assert fairness.tokens_ahead(queue, TeamId("large"), 1.0, 10) == 10_010

    def test_team_that_was_served_less_goes_next(self) -> None:
        """Guards against refusing a small team while admitting a large team with many requests."""
        queue = FairQueue()
        large, small = TeamId("large"), TeamId("small")
        fairness.add(queue, large, 4.0, RequestId("first"), 100)
        fairness.take(queue)
        fairness.add(queue, large, 4.0, RequestId("second"), 100)
        assert fairness.tokens_ahead(queue, small, 1.0, 100) == 100
        fairness.add(queue, small, 1.0, RequestId("small"), 100)
        assert fairness.take(queue) == "small"
        # The small team has received its share.
        assert fairness.tokens_ahead(queue, small, 1.0, 100) == 200
