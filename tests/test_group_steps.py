"""Tests of the protocol of map epochs."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from group_world import GROUP, PLACEMENTS, RANKS, World
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import ExpertId, MapEpoch
from lycheefall._core.messages.groups import LoadFailed
from lycheefall._rules import group_state
from lycheefall._rules.group_state import Phase, ProposePlacement
from lycheefall._rules.rank_steps import ReportDue

names = st.sampled_from(["a", "b"])
ranks = st.integers(0, RANKS - 1)


def check_progress(world: World, name: str, wanted: int) -> None:
    """Check that without further faults one coordinator rolls out a map to all ranks."""
    placement = PLACEMENTS[wanted]
    world.cut.clear()
    for _ in range(40):
        world.work(name)
        catch_up(world)
        if world.used.get(min(world.entered)) == placement:
            return
        world.coordinate(name, ProposePlacement(placement))
    raise AssertionError(f"the map is not in use at step {min(world.entered)}")


def catch_up(world: World) -> None:
    """Advance the ranks in lock-step as far as they are permitted."""
    for _ in range(70):
        for rank in range(RANKS):
            if world.entered[rank] <= min(world.entered):
                world.enter(rank, 1)


class GroupMachine(RuleBasedStateMachine):
    """Coordinators and ranks under faults; the simulation checks the maps of each step."""

    @initialize(fence=st.sampled_from(FenceMode), wanted=st.integers(0, 7))
    def start(self, fence: FenceMode, wanted: int) -> None:
        self.world = World(fence)
        self.world.work("a", 3)
        self.world.coordinate("a", ProposePlacement(PLACEMENTS[wanted]))
        self.world.work("a", 2)

    @rule(name=names, rounds=st.integers(1, 6))
    def work(self, name: str, rounds: int) -> None:
        self.world.work(name, rounds, period_s=0.2)

    @rule(name=names)
    def tick(self, name: str) -> None:
        self.world.coordinate(name, group_state.Tick())

    @rule(count=st.integers(1, 12))
    def deliver_some(self, count: int) -> None:
        self.world.settle(count)

    @rule(name=names, wanted=st.integers(0, 7))
    def place(self, name: str, wanted: int) -> None:
        self.world.coordinate(name, ProposePlacement(PLACEMENTS[wanted]))

    @rule(rank=ranks, count=st.sampled_from([1, 5, 70, 140]))
    def enter(self, rank: int, count: int) -> None:
        self.world.enter(rank, count)

    @rule(rank=ranks)
    def report(self, rank: int) -> None:
        self.world.send_to_rank(rank, ReportDue())

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.world.crash(name)

    @rule(rank=ranks)
    def restart(self, rank: int) -> None:
        self.world.restart(rank)

    @rule(name=names, rank=ranks)
    def toggle_link(self, name: str, rank: int) -> None:
        self.world.cut ^= {(name, rank)}

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def wait(self, seconds: float) -> None:
        self.world.now_s += seconds

    @precondition(lambda self: self.world.network)
    @rule(data=st.data(), fate=st.sampled_from(["lose", "late", "twice", "now"]))
    def disturb(self, data: st.DataObject, fate: str) -> None:
        self._disturb(data.draw(st.integers(0, len(self.world.network) - 1)), fate)

    def _disturb(self, index: int, fate: str) -> None:
        message_in_flight = self.world.network[index]
        if message_in_flight.local and fate != "now":
            return
        if fate != "twice":
            del self.world.network[index]
        if fate == "now":
            self.world.deliver(message_in_flight)
        elif fate != "lose":
            self.world.late.append(message_in_flight)

    @precondition(lambda self: self.world.network)
    @rule(place=st.sampled_from(["rank-0", "rank-1", "log-a", "log-b", "a", "b"]))
    def delay_all(self, place: str) -> None:
        """Delay all messages to one receiver, as a stalled rank or link does."""
        held = [f for f in self.world.network if f.place == place and not f.local]
        self.world.late += held
        self.world.network = [f for f in self.world.network if f not in held]

    @precondition(lambda self: self.world.late)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.world.late) - 1))
        self.world.deliver(self.world.late.pop(index))

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.network += self.world.late
            check_progress(self.world, "a", 5)


GroupMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestGroupMachine = GroupMachine.TestCase


def running(fence: FenceMode = FenceMode.REFUSES) -> World:
    """Return a simulation in which coordinator a has rolled out the first map."""
    world = World(fence)
    world.work("a", 6)
    world.coordinate("a", ProposePlacement(PLACEMENTS[0]))
    world.work("a", 2)
    world.enter(0, 10)
    world.enter(1, 10)
    world.work("a")
    return world


class TestTakeover:
    def test_late_commit_of_old_coordinator(self) -> None:
        """Guards against an old coordinator's commit after the new one has permitted steps."""
        world = running()
        world.coordinate("a", ProposePlacement(PLACEMENTS[1]))
        while world.coordinators["a"].phase is not Phase.COMMIT:
            world.deliver(world.network.pop(0))
        commit = next(f for f in world.network if f.place == "log-a")
        world.network.clear()
        world.work("b", 6)
        world.enter(0, 200)
        world.work("b", 6)
        world.enter(0, 200)
        world.deliver(commit)
        world.settle()
        world.restart(1)
        world.work("b", 2)
        world.enter(1, 400)

    def test_permit_of_old_coordinator(self) -> None:
        """Guards against a rank using the permission of a replaced coordinator."""
        world = running()
        world.work("b", 2, period_s=0.1)
        world.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        while world.coordinators["b"].phase is not Phase.COMMIT:
            world.deliver(world.network.pop(0))
        world.cut.add(("b", 0))
        world.enter(0, 200)
        world.work("a", 1, period_s=0.1)
        world.enter(0, 200)
        world.work("b", 2, period_s=0.1)
        world.enter(1, 200)
        check_progress(world, "b", 2)

    def test_rank_that_new_coordinator_has_not_reached(self) -> None:
        """Guards against a first step that an old coordinator has already permitted."""
        world = running()
        world.cut.add(("b", 0))
        world.work("b", 2, period_s=0.1)
        for _ in range(3):
            world.enter(0, 200)
            world.work("a", 1, period_s=0.1)
        world.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        world.work("b", 2, period_s=0.1)
        world.enter(0, 200)
        world.enter(1, 200)
        check_progress(world, "b", 2)

    def test_ignoring_platform(self) -> None:
        """Guards against orders to ranks before the old coordinator's lease has surely expired."""
        world = running(FenceMode.IGNORES)
        world.coordinate("b", group_state.Tick())
        world.settle()
        assert world.coordinators["b"].phase is Phase.OLD_LEASE
        world.work("b", 6)
        assert world.coordinators["b"].phase is Phase.STEADY


class TestRestart:
    def test_all_processes(self) -> None:
        """Guards against a group that stops when all processes have lost the step number."""
        world = running()
        for _ in range(3):
            world.enter(0, 100)
            world.enter(1, 100)
            world.work("a")
        world.crash("a")
        world.crash("b")
        world.restart(0)
        world.restart(1)
        check_progress(world, "b", 6)

    def test_restarted_agent_without_permission(self) -> None:
        """Guards against a first step that a rank had already entered before a restart."""
        world = running()
        world.cut.add(("b", 0))
        world.work("b", 1, period_s=0.1)
        for _ in range(3):
            world.enter(0, 200)
            world.work("a", 1, period_s=0.1)
        world.restart(0)
        world.crash("a")
        world.cut.clear()
        world.coordinate("b", group_state.Tick())
        world.settle()
        world.send_to_rank(0, ReportDue())
        world.settle()
        world.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        world.settle()
        world.enter(1, 400)
        check_progress(world, "b", 2)


class TestAbort:
    def test_rank_cannot_prepare(self) -> None:
        """Guards against committing a map that one rank could not load."""
        world = running()
        world.coordinate("a", ProposePlacement(PLACEMENTS[7]))
        world.settle(2)
        world.network = [f for f in world.network if not f.local]
        world.send_to_rank(1, LoadFailed((ExpertId(0),), ResultCode.UPSTREAM_ERROR))
        world.work("a", 2)
        assert group_state.epoch_in_force(world.coordinators["a"]) == MapEpoch(1)
        world.restart(1)
        check_progress(world, "a", 7)


class TestCoordinatorLoss:
    @pytest.mark.parametrize("fence", FenceMode)
    @pytest.mark.parametrize("delivered", range(40))
    def test_crash_at_each_message(self, delivered: int, fence: FenceMode) -> None:
        """Guards against a group that stops, or uses two maps, after losing its coordinator."""
        world = running(fence)
        world.coordinate("a", ProposePlacement(PLACEMENTS[3]))
        world.work("a", 0)
        world.settle(delivered)
        world.crash("a")
        world.enter(0, 100)
        check_progress(world, "b", 6)
        assert world.log.groups[GROUP].commits
