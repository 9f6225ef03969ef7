"""Tests of the protocol of map epochs."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from group_simulation import GROUP, PLACEMENTS, RANKS, GroupSimulation
from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import ExpertId, MapEpoch
from lycheefall._core.messages.groups import LoadFailed
from lycheefall._rules import group_state
from lycheefall._rules.group_state import Phase, ProposePlacement
from lycheefall._rules.rank_steps import ReportDue
from lycheefall._rules.replicated import leases

names = st.sampled_from(["a", "b"])
ranks = st.integers(0, RANKS - 1)


def check_progress(simulation: GroupSimulation, name: str, wanted: int) -> None:
    """Check that without further faults one coordinator rolls out a map to all ranks."""
    placement = PLACEMENTS[wanted]
    simulation.cut_links.clear()
    for _ in range(40):
        simulation.run_rounds(name)
        catch_up(simulation)
        if simulation.used_maps.get(min(simulation.entered)) == placement:
            return
        simulation.coordinate(name, ProposePlacement(placement))
    raise AssertionError(f"the map is not in use at step {min(simulation.entered)}")


def catch_up(simulation: GroupSimulation) -> None:
    """Advance the ranks in lock-step as far as they are permitted."""
    for _ in range(70):
        for rank in range(RANKS):
            if simulation.entered[rank] <= min(simulation.entered):
                simulation.enter(rank, 1)


class GroupMachine(RuleBasedStateMachine):
    """Coordinators and ranks under faults; the simulation checks the maps of each step."""

    @initialize(fence=st.sampled_from(FenceMode), wanted=st.integers(0, 7))
    def start(self, fence: FenceMode, wanted: int) -> None:
        self.simulation = GroupSimulation(fence)
        self.simulation.run_rounds("a", 3)
        self.simulation.coordinate("a", ProposePlacement(PLACEMENTS[wanted]))
        self.simulation.run_rounds("a", 2)

    @rule(name=names, rounds=st.integers(1, 6))
    def work(self, name: str, rounds: int) -> None:
        self.simulation.run_rounds(name, rounds, period_s=0.2)

    @rule(name=names)
    def tick(self, name: str) -> None:
        self.simulation.coordinate(name, group_state.Tick())

    @rule(count=st.integers(1, 12))
    def deliver_some(self, count: int) -> None:
        self.simulation.deliver_next(count)

    @rule(name=names, wanted=st.integers(0, 7))
    def place(self, name: str, wanted: int) -> None:
        self.simulation.coordinate(name, ProposePlacement(PLACEMENTS[wanted]))

    @rule(rank=ranks, count=st.sampled_from([1, 5, 70, 140]))
    def enter(self, rank: int, count: int) -> None:
        self.simulation.enter(rank, count)

    @rule(rank=ranks)
    def report(self, rank: int) -> None:
        self.simulation.send_to_rank(rank, ReportDue())

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.simulation.restart_coordinator(name)

    @rule(rank=ranks)
    def restart(self, rank: int) -> None:
        self.simulation.restart_rank(rank)

    @rule(name=names, rank=ranks)
    def toggle_link(self, name: str, rank: int) -> None:
        self.simulation.cut_links ^= {(name, rank)}

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def wait(self, seconds: float) -> None:
        self.simulation.now_s += seconds

    @precondition(lambda self: self.simulation.network)
    @rule(data=st.data(), fate=st.sampled_from(["lose", "late", "twice", "now"]))
    def disturb(self, data: st.DataObject, fate: str) -> None:
        self._disturb(data.draw(st.integers(0, len(self.simulation.network) - 1)), fate)

    def _disturb(self, index: int, fate: str) -> None:
        """Lose, delay, duplicate or deliver one message; local messages are only delivered."""
        message_in_flight = self.simulation.network[index]
        if message_in_flight.local and fate != "now":
            return
        if fate != "twice":
            del self.simulation.network[index]
        if fate == "now":
            self.simulation.deliver(message_in_flight)
        elif fate != "lose":
            self.simulation.delayed.append(message_in_flight)

    @precondition(lambda self: self.simulation.network)
    @rule(receiver=st.sampled_from(["rank-0", "rank-1", "log-a", "log-b", "a", "b"]))
    def delay_all(self, receiver: str) -> None:
        """Delay all messages to one receiver, as a stalled rank or link does."""
        held = [f for f in self.simulation.network if f.receiver == receiver and not f.local]
        self.simulation.delayed += held
        self.simulation.network = [f for f in self.simulation.network if f not in held]

    @precondition(lambda self: self.simulation.delayed)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        index = data.draw(st.integers(0, len(self.simulation.delayed) - 1))
        self.simulation.deliver(self.simulation.delayed.pop(index))

    def teardown(self) -> None:
        if hasattr(self, "simulation"):
            self.simulation.network += self.simulation.delayed
            check_progress(self.simulation, "a", 5)


GroupMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True
)
TestGroupMachine = GroupMachine.TestCase


def running(fence: FenceMode = FenceMode.REFUSES) -> GroupSimulation:
    """Return a simulation in which coordinator a has rolled out the first map."""
    simulation = GroupSimulation(fence)
    simulation.run_rounds("a", 6)
    simulation.coordinate("a", ProposePlacement(PLACEMENTS[0]))
    simulation.run_rounds("a", 2)
    simulation.enter(0, 10)
    simulation.enter(1, 10)
    simulation.run_rounds("a")
    return simulation


class TestTakeover:
    def test_late_commit_of_old_coordinator(self) -> None:
        """Guards against an old coordinator's commit after the new one has permitted steps."""
        simulation = running()
        simulation.coordinate("a", ProposePlacement(PLACEMENTS[1]))
        while simulation.coordinators["a"].phase is not Phase.COMMIT:
            simulation.deliver(simulation.network.pop(0))
        commit = next(f for f in simulation.network if f.receiver == "log-a")
        simulation.network.clear()
        simulation.run_rounds("b", 6)
        simulation.enter(0, 200)
        simulation.run_rounds("b", 6)
        simulation.enter(0, 200)
        simulation.deliver(commit)
        simulation.deliver_next()
        simulation.restart_rank(1)
        simulation.run_rounds("b", 2)
        simulation.enter(1, 400)

    def test_permit_of_old_coordinator(self) -> None:
        """Guards against a rank using the permission of a replaced coordinator."""
        simulation = running()
        simulation.run_rounds("b", 2, period_s=0.1)
        simulation.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        while simulation.coordinators["b"].phase is not Phase.COMMIT:
            simulation.deliver(simulation.network.pop(0))
        simulation.cut_links.add(("b", 0))
        simulation.enter(0, 200)
        simulation.run_rounds("a", 1, period_s=0.1)
        simulation.enter(0, 200)
        simulation.run_rounds("b", 2, period_s=0.1)
        simulation.enter(1, 200)
        check_progress(simulation, "b", 2)

    def test_rank_that_new_coordinator_has_not_reached(self) -> None:
        """Guards against a first step that an old coordinator has already permitted."""
        simulation = running()
        simulation.cut_links.add(("b", 0))
        simulation.run_rounds("b", 2, period_s=0.1)
        for _ in range(3):
            simulation.enter(0, 200)
            simulation.run_rounds("a", 1, period_s=0.1)
        simulation.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        simulation.run_rounds("b", 2, period_s=0.1)
        simulation.enter(0, 200)
        simulation.enter(1, 200)
        check_progress(simulation, "b", 2)

    def test_ignoring_platform(self) -> None:
        """Guards against orders to ranks before the old coordinator's lease has surely expired."""
        simulation = running(FenceMode.IGNORES)
        simulation.coordinate("b", group_state.Tick())
        simulation.deliver_next()
        assert simulation.coordinators["b"].phase is Phase.OLD_LEASE
        simulation.run_rounds("b", 6)
        assert simulation.coordinators["b"].phase is Phase.STEADY


class TestRestart:
    def test_all_processes(self) -> None:
        """Guards against a group that stops when all processes have lost the step number."""
        simulation = running()
        for _ in range(3):
            simulation.enter(0, 100)
            simulation.enter(1, 100)
            simulation.run_rounds("a")
        simulation.restart_coordinator("a")
        simulation.restart_coordinator("b")
        simulation.restart_rank(0)
        simulation.restart_rank(1)
        check_progress(simulation, "b", 6)

    def test_restarted_agent_without_permission(self) -> None:
        """Guards against a first step that a rank had already entered before a restart."""
        simulation = running()
        simulation.cut_links.add(("b", 0))
        simulation.run_rounds("b", 1, period_s=0.1)
        for _ in range(3):
            simulation.enter(0, 200)
            simulation.run_rounds("a", 1, period_s=0.1)
        simulation.restart_rank(0)
        simulation.restart_coordinator("a")
        simulation.cut_links.clear()
        simulation.coordinate("b", group_state.Tick())
        simulation.deliver_next()
        simulation.send_to_rank(0, ReportDue())
        simulation.deliver_next()
        simulation.coordinate("b", ProposePlacement(PLACEMENTS[1]))
        simulation.deliver_next()
        simulation.enter(1, 400)
        check_progress(simulation, "b", 2)


class TestAbort:
    def test_rank_cannot_prepare(self) -> None:
        """Guards against committing a map that one rank could not load."""
        simulation = running()
        simulation.coordinate("a", ProposePlacement(PLACEMENTS[7]))
        simulation.deliver_next(2)
        simulation.network = [f for f in simulation.network if not f.local]
        simulation.send_to_rank(1, LoadFailed((ExpertId(0),), ResultCode.UPSTREAM_ERROR))
        simulation.run_rounds("a", 2)
        assert group_state.current_epoch(simulation.coordinators["a"]) == MapEpoch(1)
        simulation.restart_rank(1)
        check_progress(simulation, "a", 7)


class TestCoordinatorLoss:
    @pytest.mark.parametrize("fence", FenceMode)
    @pytest.mark.parametrize("delivered", range(40))
    def test_crash_at_each_message(self, delivered: int, fence: FenceMode) -> None:
        """Guards against a group that stops, or uses two maps, after losing its coordinator."""
        simulation = running(fence)
        simulation.coordinate("a", ProposePlacement(PLACEMENTS[3]))
        simulation.run_rounds("a", 0)
        simulation.deliver_next(delivered)
        simulation.restart_coordinator("a")
        simulation.enter(0, 100)
        check_progress(simulation, "b", 6)
        assert simulation.log.groups[GROUP].commits


class TestLeaseOfTheLog:
    """Coordinators with the leases of the log, which only one of them holds at a time."""

    def start(self, fence: FenceMode) -> GroupSimulation:
        """Return a simulation in which coordinator a has rolled out the first map."""
        simulation = GroupSimulation(fence, log_leases=leases.initial())
        simulation.run_rounds("a", 8)
        simulation.coordinate("a", ProposePlacement(PLACEMENTS[0]))
        simulation.run_rounds("a", 3)
        return simulation

    @pytest.mark.parametrize("fence", FenceMode)
    def test_lost_result_of_a_renewal(self, fence: FenceMode) -> None:
        """Guards against a group that stops for good because its holder can't use its own lease.

        The log had renewed the lease, but the coordinator did not learn of it and stepped down. It
        acquired the lease again while that lasted, and ignored the grant, which has the same
        fencing number. Each attempt extended the lease, so no other coordinator got it either.
        """
        simulation = self.start(fence)
        self.lose_results(simulation, "a")
        simulation.now_s += 1.4
        for _ in range(20):
            simulation.now_s += 0.1
            simulation.coordinate("a", group_state.Tick())
            simulation.coordinate("b", group_state.Tick())
            simulation.deliver_next()
        check_progress(simulation, "a", 5)

    @pytest.mark.parametrize("fence", FenceMode)
    def test_any_order_of_faults(self, fence: FenceMode) -> None:
        """Guards against a group that stops for good after coordinators end or lose their lease."""
        for seed in range(150):
            simulation = self.start(fence)
            random = Random(seed)
            for _ in range(random.randrange(4, 30)):
                self.play_event(simulation, random)
            check_progress(simulation, "a", 5)

    def play_event(self, simulation: GroupSimulation, random: Random) -> None:
        """Play one event or fault of coordinator a or b."""
        name = random.choice("ab")
        match random.randrange(8):
            case 0 | 1:
                simulation.run_rounds(name, random.randint(1, 6), period_s=0.2)
            case 2:
                simulation.coordinate(name, ProposePlacement(PLACEMENTS[random.randrange(8)]))
            case 3:
                simulation.deliver_next(random.randint(1, 12))
            case 4:
                simulation.enter(random.randrange(RANKS), random.choice([1, 5, 70]))
            case 5:
                self.lose_results(simulation, name)
                simulation.now_s += random.choice([1.2, 1.9])
            case 6:
                simulation.now_s += random.choice([0.1, 0.6])
            case 7:
                simulation.restart_coordinator(name)

    def lose_results(self, simulation: GroupSimulation, name: str) -> None:
        """Let the log apply the commands of a coordinator, and lose their results."""
        simulation.now_s += 0.6
        simulation.coordinate(name, group_state.Tick())
        for command in [f for f in simulation.network if f.receiver == f"log-{name}"]:
            simulation.network.remove(command)
            simulation.deliver(command)
        simulation.network = [f for f in simulation.network if f.receiver != name]
