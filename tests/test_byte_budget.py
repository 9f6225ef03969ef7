"""Tests of the budget that bounds the bytes of all bodies."""

import pytest

from lycheefall._rules import byte_budget
from lycheefall._rules.byte_budget import FREE_BYTES, ByteBudget, Holding


class Bodies:
    """A budget of 1,000 bytes beyond the free ones, and the bodies that it has ended."""

    def __init__(self) -> None:
        self.budget = ByteBudget(1000)
        self.ended: list[str] = []

    def open(self, name: str, size_bytes: int = 0) -> Holding:
        """Return the holding of a body with a size beyond the free bytes."""
        holding = Holding(lambda: self.ended.append(name))
        self.grow(holding, size_bytes)
        return holding

    def grow(self, holding: Holding, size_bytes: int) -> None:
        """Set the size of a body beyond the free bytes."""
        byte_budget.resize(self.budget, holding, FREE_BYTES + size_bytes)


class TestByteBudget:
    def test_largest_growing_body_ends(self) -> None:
        """Guards against a small body that ends because of a large one."""
        bodies = Bodies()
        bodies.open("large", 700)
        small = bodies.open("small", 200)
        bodies.grow(small, 301)
        assert bodies.ended == ["large"]
        assert bodies.budget.charged_bytes == 301

    def test_complete_body_stays(self) -> None:
        """Guards against a complete response that is lost to one without end."""
        bodies = Bodies()
        byte_budget.settle(bodies.open("complete", 900))
        growing = bodies.open("growing", 50)
        bodies.grow(growing, 101)
        assert (bodies.ended, growing.is_ended) == (["growing"], True)

    def test_small_bodies_are_free(self) -> None:
        """Guards against small requests that fail while the budget is used up."""
        bodies = Bodies()
        byte_budget.settle(bodies.open("complete", 1000))
        for number in range(100):
            bodies.open(f"small {number}", 0)
        assert bodies.ended == []
        assert byte_budget.has_room(bodies.budget, FREE_BYTES)
        assert not byte_budget.has_room(bodies.budget, FREE_BYTES + 1)

    def test_closed_body_makes_room(self) -> None:
        """Guards against bytes that stay charged without a body, or are returned twice."""
        bodies = Bodies()
        first = bodies.open("first", 600)
        second = bodies.open("second", 500)
        assert bodies.ended == ["first"]
        for holding in (first, second, second):
            byte_budget.close(bodies.budget, holding)
        assert (bodies.budget.charged_bytes, bodies.budget.charged) == (0, set())

    def test_ended_body_is_not_charged_again(self) -> None:
        """Guards against bytes that an ended body receives before its connection is closed."""
        bodies = Bodies()
        holding = bodies.open("endless", 1001)
        bodies.grow(holding, 2000)
        assert (bodies.ended, bodies.budget.charged_bytes) == (["endless"], 0)

    def test_body_above_the_limit_fits_alone(self) -> None:
        """Guards against an allowed request that no empty entry takes."""
        bodies = Bodies()
        assert byte_budget.has_room(bodies.budget, FREE_BYTES + 5000)
        byte_budget.settle(large := bodies.open("large"))
        bodies.grow(large, 5000)
        assert byte_budget.has_room(bodies.budget, FREE_BYTES)
        assert not byte_budget.has_room(bodies.budget, FREE_BYTES + 1)

    @pytest.mark.parametrize("memory_mb", [168, 300, 430, 820])
    def test_limits_fit_into_the_memory(self, memory_mb: int) -> None:
        """Guards against budgets that exceed the memory of a process."""
        limit_bytes = byte_budget.limit_for_memory(memory_mb * 1e6)
        # Two budgets, two copies of each body, and the process itself.
        assert limit_bytes > 4_194_304
        assert 2 * 2 * limit_bytes + 64e6 < 0.8 * memory_mb * 1e6
