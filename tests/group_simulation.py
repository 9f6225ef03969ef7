"""Simulation of the map epoch protocol: the log, coordinators, ranks and a network."""

from dataclasses import dataclass, field

from lycheefall._core.codes import ResultCode
from lycheefall._core.enums import FenceMode
from lycheefall._core.ids import FencingNumber, GroupId, Incarnation, RankId, StepNumber
from lycheefall._core.messages.control import AcquireLease, CommitEpoch, LeaseResult, RenewLease
from lycheefall._core.messages.groups import (
    DropWeights,
    EnterStep,
    LoadFailed,
    LoadWeights,
    Placement,
    QueryEpochs,
    StepEntered,
    StepRefused,
    WeightsLoaded,
)
from lycheefall._rules import group_state, group_steps, rank_steps
from lycheefall._rules.replicated import epochs, leases
from lycheefall._rules.replicated.leases import Leases

GROUP = GroupId("assistant-models/0")
RANKS = 2
# Every expert on one rank or the other.
PLACEMENTS: tuple[Placement, ...] = tuple(
    tuple((RankId(n >> expert & 1),) for expert in range(3)) for n in range(8)
)


@dataclass
class InFlightMessage:
    """A message in flight; a message with a run is discarded if its receiver has restarted.

    The receiver is `a` or `b` for a coordinator, `rank-` with a number for a rank, and `log-` with
    the sender for the log.
    """

    receiver: str
    message: object
    run: Incarnation | None = None
    # A local message between an agent and its rank, which the network can't lose.
    local: bool = False


@dataclass
class GroupSimulation:
    """Deliver messages in any order, and check that all ranks use the same map in each step."""

    fence: FenceMode = FenceMode.REFUSES
    now_s: float = 0.0
    # Number of starts of coordinators and ranks; each start is a run with its own incarnation.
    runs: int = 0
    log: epochs.EpochsState = field(default_factory=epochs.initial)
    # Fencing number of the last granted lease.
    lease: int = 0
    # The leases of the log; None grants the lease to every requester, so that two coordinators can
    # hold it at once.
    log_leases: Leases | None = None
    network: list[InFlightMessage] = field(default_factory=list)
    # Messages that are taken from the network, to be delivered later or a second time.
    delayed: list[InFlightMessage] = field(default_factory=list)
    coordinators: dict[str, group_state.CoordinatorState] = field(default_factory=dict)
    ranks: list[rank_steps.RankState] = field(default_factory=list)
    # Highest fencing number of the load orders at the platform of each rank.
    platform_fencing: list[int] = field(default_factory=lambda: [0] * RANKS)
    # Last step that each rank has entered.
    entered: list[int] = field(default_factory=lambda: [-1] * RANKS)
    # Map that the first rank used in each step.
    used_maps: dict[int, Placement] = field(default_factory=dict)
    # Links between a coordinator and a rank that lose all messages in both directions.
    cut_links: set[tuple[str, int]] = field(default_factory=set)

    def __post_init__(self) -> None:
        for name in ("a", "b"):
            self.restart_coordinator(name)
        self.ranks = [self._new_rank(rank) for rank in range(RANKS)]

    def restart_coordinator(self, name: str) -> None:
        """Restart a coordinator, which loses its state."""
        self.coordinators[name] = group_state.initial(GROUP, self._run(), RANKS, self.fence)

    def restart_rank(self, rank: int) -> None:
        """Restart the agent of a rank, which loses its state."""
        self.ranks[rank] = self._new_rank(rank)

    def _run(self) -> Incarnation:
        self.runs += 1
        return Incarnation(f"run-{self.runs}")

    def _new_rank(self, rank: int) -> rank_steps.RankState:
        return rank_steps.initial(GROUP, RankId(rank), self._run(), frozenset())

    def coordinate(self, name: str, message: object) -> None:
        """Apply a message to a coordinator, and queue the messages that it sends."""
        state, results = group_steps.step(self.coordinators[name], message, self.now_s)
        for result in results:
            match result:
                case group_state.SendToRank(rank, order):
                    if (name, rank) in self.cut_links:
                        continue
                    self.network.append(InFlightMessage(f"rank-{rank}", order))
                case group_state.ProposeCommand(command):
                    self.network.append(InFlightMessage(f"log-{name}", command, state.holder))
                case QueryEpochs():
                    self.network.append(InFlightMessage(f"log-{name}", result, state.holder))

    def send_to_rank(self, rank: int, message: object) -> None:
        """Apply a message to the agent of a rank, and queue the messages that it sends."""
        state, results = rank_steps.step(self.ranks[rank], message, self.now_s)
        for result in results:
            match result:
                case StepEntered():
                    self._check_map(rank, result)
                case LoadWeights():
                    self._load(rank, result)
                case QueryEpochs():
                    self.network.append(InFlightMessage(f"log-{rank}", result, state.incarnation))
                case StepRefused() | DropWeights():
                    pass
                case _:
                    for name in [n for n in self.coordinators if (n, rank) not in self.cut_links]:
                        self.network.append(InFlightMessage(name, result))

    def _check_map(self, rank: int, entered: StepEntered) -> None:
        self.entered[rank] = entered.step
        first = self.used_maps.setdefault(entered.step, entered.placement)
        assert first == entered.placement, f"unequal maps in step {entered.step}"

    def _load(self, rank: int, order: LoadWeights) -> None:
        done: object = WeightsLoaded(order.experts)
        if self.fence is FenceMode.REFUSES and order.fencing < self.platform_fencing[rank]:
            done = LoadFailed(order.experts, ResultCode.STALE_FENCING_NUMBER)
        self.platform_fencing[rank] = max(self.platform_fencing[rank], order.fencing)
        run = self.ranks[rank].incarnation
        self.network.append(InFlightMessage(f"rank-{rank}", done, run, local=True))

    def deliver(self, message_in_flight: InFlightMessage) -> None:
        """Deliver one message, unless its receiver has restarted."""
        kind, _, rest = message_in_flight.receiver.partition("-")
        if kind == "log":
            self._deliver_to_log(rest, message_in_flight)
        elif kind == "rank":
            if message_in_flight.run in (None, self.ranks[int(rest)].incarnation):
                self.send_to_rank(int(rest), message_in_flight.message)
        elif message_in_flight.run in (None, self.coordinators[kind].holder):
            self.coordinate(kind, message_in_flight.message)

    def _deliver_to_log(self, sender: str, message_in_flight: InFlightMessage) -> None:
        receiver = f"rank-{sender}" if sender.isdigit() else sender
        message = message_in_flight.message
        if isinstance(message, QueryEpochs):
            # Not bound to a run: an answer can reach the run after the one that asked.
            self.network.append(
                InFlightMessage(receiver, epochs.committed_epochs(self.log, message))
            )
            return
        result: object
        if isinstance(message, CommitEpoch):
            _, result = epochs.apply(self.log, message, 0)
        else:
            result = self._lease(message)
        answered = group_state.CommandResult(message, result, self.now_s)
        self.network.append(InFlightMessage(receiver, answered, message_in_flight.run))

    def _lease(self, message: object) -> LeaseResult:
        """Grant the lease to every requester, or to one at a time as the log does."""
        if self.log_leases is not None:
            assert isinstance(message, AcquireLease | RenewLease)
            _, granted = leases.apply(self.log_leases, message, round(self.now_s * 1000))
            assert isinstance(granted, LeaseResult)
            return granted
        code = ResultCode.OK
        if isinstance(message, AcquireLease):
            self.lease += 1
        elif isinstance(message, RenewLease) and message.fencing != self.lease:
            code = ResultCode.LEASE_EXPIRED
        assert isinstance(message, AcquireLease | RenewLease)
        return LeaseResult(code, message.holder, FencingNumber(self.lease), 2.0)

    def deliver_next(self, limit: int = 400) -> None:
        """Deliver queued messages in order, including those that result, up to a limit."""
        while self.network and limit:
            limit -= 1
            self.deliver(self.network.pop(0))

    def run_rounds(self, name: str, rounds: int = 1, period_s: float = 0.6) -> None:
        """Run rounds of a coordinator tick, a report and a step of each rank, and all messages."""
        for _ in range(rounds):
            self.now_s += period_s
            self.coordinate(name, group_state.Tick())
            for rank in range(RANKS):
                self.send_to_rank(rank, rank_steps.ReportDue())
                self.enter(rank, 1)
            self.deliver_next()

    def enter(self, rank: int, count: int) -> None:
        """Let a rank try to enter its next step a number of times."""
        for _ in range(count):
            self.send_to_rank(rank, EnterStep(StepNumber(self.entered[rank] + 1)))
