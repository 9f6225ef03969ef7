"""Tests of the adaptive limit of an upstream."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.messages.membership import Load
from lycheefall._rules import limits
from lycheefall._rules.limits import UpstreamLimit

SERVICE_S = 0.1


def run_against(
    limit: UpstreamLimit, capacity: int, start_s: float, rounds: int, reports: bool
) -> list[int]:
    """Return the limits over rounds at an upstream with the given capacity, always fully used."""
    seen = []
    now_s = start_s
    for _ in range(rounds):
        in_flight = limits.max_in_flight(limit)
        elapsed_s = SERVICE_S * max(1.0, in_flight / capacity)
        now_s += elapsed_s
        for _ in range(in_flight):
            limits.observe_first_token(limit, elapsed_s, in_flight, now_s)
        if reports:
            load = Load(running=capacity, waiting=max(0, in_flight - capacity))
            limits.observe_load(limit, load, limit.concurrency, now_s)
        seen.append(limits.max_in_flight(limit))
    return seen


class TestLimit:
    @given(
        st.lists(
            st.tuples(st.floats(0.001, 60.0), st.integers(0, 300), st.integers(0, 300)),
            max_size=60,
        )
    )
    def test_bounds(self, events: list[tuple[float, int, int]]) -> None:
        """Guards against a limit of zero, and against a limit that grows without bound."""
        limit = UpstreamLimit(16)
        now_s = 0.0
        for elapsed_s, in_flight, waiting in events:
            now_s += elapsed_s
            limits.observe_first_token(limit, elapsed_s, in_flight, now_s)
            assert 1 <= limits.max_in_flight(limit) <= 32
            limits.observe_load(limit, Load(waiting=waiting), 16, now_s)
            assert 1 <= limits.max_in_flight(limit) <= 32

    def test_grows_to_the_capacity(self) -> None:
        """Guards against a limit that underuses an upstream at the start or after congestion."""
        limit = UpstreamLimit(16)
        assert limits.max_in_flight(limit) == 16
        limit.limit = 4.0
        assert run_against(limit, 16, 0.0, 60, reports=True)[-1] >= 14

    def test_varying_requests_do_not_lower_it(self) -> None:
        """Guards against a limit that decreases because some requests are shorter than others."""
        random = Random(1)
        limit = UpstreamLimit(8)
        limits.observe_first_token(limit, 0.001, 8, 0.0)
        for step in range(2000):
            elapsed_s = random.expovariate(1.0 / SERVICE_S)
            limits.observe_first_token(limit, elapsed_s, limits.max_in_flight(limit), step * 0.02)
        assert limits.max_in_flight(limit) >= 8

    def test_delay_lowers_it(self) -> None:
        """Guards against queueing at an upstream that slows down without load reports."""
        limit = UpstreamLimit(64)
        run_against(limit, 64, 0.0, 100, reports=False)
        assert limits.max_in_flight(limit) >= 64
        assert min(run_against(limit, 8, 20.0, 20, reports=False)) <= 24

    def test_reported_queue_lowers_it(self) -> None:
        """Guards against queueing at an upstream whose delay doesn't show congestion."""
        limit = UpstreamLimit(16)
        limits.observe_load(limit, Load(running=16, waiting=5), 16, 1.0)
        assert limits.max_in_flight(limit) == 12

    def test_one_decrease_for_one_congestion(self) -> None:
        """Guards against repeated decreases for one congestion because reports lag."""
        limit = UpstreamLimit(16)
        for step in range(10):
            limits.observe_load(limit, Load(waiting=16), 16, 1.0 + step * 0.01)
        assert limits.max_in_flight(limit) == 12

    def test_unused_limit_stays(self) -> None:
        """Guards against a limit that grows while it is mostly unused."""
        limit = UpstreamLimit(16)
        for step in range(100):
            limits.observe_first_token(limit, 0.1, in_flight=1, now_s=float(step))
        assert limits.max_in_flight(limit) == 16
