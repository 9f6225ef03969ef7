"""Tests of leases with fencing numbers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import FencingNumber, Incarnation, LeaseName
from lycheefall._core.messages.control import AcquireLease, Failed, LeaseResult, RenewLease
from lycheefall._rules.replicated import leases

NAME = LeaseName("group/one")


def acquire(state: leases.Leases, holder: str, timestamp_ms: int, duration_s: float = 1.0):
    """Apply an AcquireLease and return its result."""
    return leases.apply(state, AcquireLease(NAME, Incarnation(holder), duration_s), timestamp_ms)[1]


def renew(state: leases.Leases, holder: str, fencing: int, timestamp_ms: int):
    """Apply a RenewLease and return its result."""
    command = RenewLease(NAME, Incarnation(holder), FencingNumber(fencing), 1.0)
    return leases.apply(state, command, timestamp_ms)[1]


class TestLeases:
    def test_held_lease_is_refused(self) -> None:
        """Guards against two simultaneous holders."""
        state = leases.initial()
        acquire(state, "a", 0)
        expected = LeaseResult(ResultCode.LEASE_HELD, Incarnation("a"), FencingNumber(1), 0.4)
        assert acquire(state, "b", 600) == expected

    def test_expired_lease_gets_a_higher_number(self) -> None:
        """Guards against a new holder with the fencing number of the previous one."""
        state = leases.initial()
        assert acquire(state, "a", 0).fencing == 1
        assert acquire(state, "b", 1_000).fencing == 2

    def test_renewal_extends(self) -> None:
        """Guards against a lease that expires although its holder renews it."""
        state = leases.initial()
        acquire(state, "a", 0)
        assert renew(state, "a", 1, 900).code is ResultCode.OK
        assert acquire(state, "b", 1_500).code is ResultCode.LEASE_HELD

    def test_late_renewal_is_refused(self) -> None:
        """Guards against renewing an expired lease, which another holder may have acquired."""
        state = leases.initial()
        acquire(state, "a", 0)
        assert renew(state, "a", 1, 1_000).code is ResultCode.LEASE_EXPIRED
        acquire(state, "b", 1_000)
        assert renew(state, "a", 1, 1_100).code is ResultCode.LEASE_EXPIRED

    def test_unknown_lease(self) -> None:
        """Guards against a renewal that creates a lease."""
        state = leases.initial()
        assert renew(state, "a", 1, 0).code is ResultCode.LEASE_EXPIRED
        assert state.granted == {}

    def test_duration(self) -> None:
        """Guards against a lease with a duration that is not positive."""
        state = leases.initial()
        for duration_s in (0.0, -1.0, float("nan")):
            assert isinstance(acquire(state, "a", 0, duration_s), Failed)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.booleans(), st.sampled_from("abc"), st.integers(0, 4), st.integers(0, 700)
            ),
            max_size=40,
        )
    )
    def test_one_holder_per_fencing_number(self, steps: list[tuple[bool, str, int, int]]) -> None:
        """Guards against two holders with one fencing number, or two simultaneous holders."""
        state = leases.initial()
        holders: dict[int, str] = {}
        held_until_ms, holder, now_ms = 0, "", 0
        for acquires, name, fencing, wait_ms in steps:
            now_ms += wait_ms
            if acquires:
                result = acquire(state, name, now_ms)
            else:
                result = renew(state, name, fencing, now_ms)
            if result.code is not ResultCode.OK:
                continue
            assert now_ms >= held_until_ms or holder == name
            assert holders.setdefault(result.fencing, name) == name
            assert result.fencing == max(holders)
            held_until_ms, holder = now_ms + 1_000, name
