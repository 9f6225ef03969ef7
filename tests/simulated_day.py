"""Discrete-event simulation of a scaled-down day on the dispatching rules of several entries.

Engines of a group start each pass together, and a pass takes longer the more requests its
most loaded engine runs. Entries receive each other's loads with a delay. Refused callers retry
once. Results are counted by kind of request, team and data centre.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from lycheefall._core.ids import DataCentreId, GroupId, InstanceId, PoolId, TeamId, UpstreamId
from lycheefall._core.relay import RequestKind, UpstreamRecord, Urgency
from lycheefall._rules import dispatch_peers, dispatching, record_table
from lycheefall._rules.dispatch_messages import (
    AttemptEnded,
    DispatchRequest,
    FirstByte,
    Outcome,
    Output,
    PauseObserved,
    Place,
    Refuse,
)
from lycheefall._rules.dispatch_state import DispatchState, PeerEntry, PeerLoads
from lycheefall._rules.record_table import RecordTable
from lycheefall._rules.retry_budget import RetryBounds
from relay_values import POOL, SERVICE_POOL, configuration, record

TICK_PERIOD_S = 0.025
LOADS_PERIOD_S = 0.1
# Delay from one entry to another over control.
LOADS_DELAY_S = 0.1
PAUSE_TARGET_S = 0.12
PREFILL_S = 0.08
PASS_S = 0.05
# Added to a pass for each request of the most loaded engine of the group.
PASS_PER_REQUEST_S = 0.006
SLOTS = 8
# Engines of a group.
RANKS = 4
SERVICE_S = 0.06
# Time until a crashed upstream has restarted.
RESTART_S = 3.0
DRAIN_S = 4.0


@dataclass(frozen=True)
class Kind:
    """A kind of request, with its rate and the value of its answers."""

    name: str
    pool: PoolId
    rank: int
    target_s: float
    per_s: float
    value: float
    late_value: float
    # Number of events of a stream; 0 for requests with one answer.
    events: int = 0


@dataclass(frozen=True)
class Flood:
    """A period with a multiplied rate of one kind of request."""

    kind: str
    from_s: float
    to_s: float
    factor: float


@dataclass(frozen=True)
class Fault:
    """A crash or a drain of an upstream."""

    at_s: float
    upstream: str
    is_drain: bool = False


@dataclass(frozen=True)
class Day:
    """Load, faults and size of a simulated day."""

    kinds: tuple[Kind, ...]
    floods: tuple[Flood, ...] = ()
    faults: tuple[Fault, ...] = ()
    duration_s: float = 30.0
    groups: int = 4
    entries: int = 6
    services: int = 3


@dataclass
class Results:
    """Counts and value of the answers, by kind, team and data centre."""

    requested: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)
    full_value: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    earned: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))

    def value(self, name: str = "all") -> float:
        """Return the earned fraction of the full value."""
        return self.earned[name] / self.full_value[name]

    def lines(self) -> Iterator[str]:
        """Yield the rows of a table of the results."""
        yield (
            f"{'':24}{'requests':>9}{'in time':>8}{'late':>6}{'refused':>9}{'lost':>6}{'value':>8}"
        )
        for name in self.requested:
            yield (
                f"{name:24}{self.requested[name]:9}{self.in_time[name]:8}{self.late[name]:6}"
                f"{self.refused[name]:9}{self.lost[name]:6}{self.value(name):8.3f}"
            )


@dataclass(eq=False)
class Call:
    """A caller's request, which is sent again once if it is refused."""

    number: int
    kind: Kind
    team: str
    entry: int
    # Time of the first try.
    first_s: float
    is_retry: bool = False
    is_late: bool = False
    events_left: int = 0
    upstream: str = ""


@dataclass(eq=False)
class Group:
    """Engines whose passes start together."""

    running: list[Call] = field(default_factory=list)
    # Requests that were placed while the engine was full.
    queued: list[Call] = field(default_factory=list)
    pass_ends_s: float | None = None
    # The end of a pass is ignored if a crash has aborted the pass since it began.
    crashes: int = 0


class _Simulation:
    """State of a simulated day, and the functions that its events call."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.random = Random(seed)
        # Heap of the events to come: time, order among events of the same time, and action.
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.numbers = count()
        self.now_s = 0.0
        self.results = Results()
        self.calls: dict[int, Call] = {}
        self.groups = {f"g{number}": Group() for number in range(day.groups)}
        self.records = {each.upstream: each for each in _records(day)}
        self.entries = [self._create_entry(number) for number in range(day.entries)]
        # Most requests that one engine ran or queued at the same time.
        self.max_requests = 0

    def _create_entry(self, number: int) -> DispatchState:
        state = DispatchState(
            instance=InstanceId(f"e{number}"),
            data_centre=_data_centre(number),
            retry_bounds=RetryBounds(ratio=0.2, window_s=10.0, allowance=88.0),
            random=Random(number),
        )
        dispatching.apply_configuration(state, configuration())
        return state

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def run(self) -> None:
        """Process all events; requests in flight at the end of the day are completed."""
        self._update_records()
        self.schedule(0.0, self._send_loads)
        for fault in self.day.faults:
            self.schedule(fault.at_s, lambda fault=fault: self._inject_fault(fault))
        for kind in self.day.kinds:
            self._schedule_arrival(kind)
        for step in range(int((self.day.duration_s + 10.0) / TICK_PERIOD_S)):
            self.schedule(step * TICK_PERIOD_S, self._tick)
        while self.events:
            self.now_s, _, action = heapq.heappop(self.events)
            action()

    def _schedule_arrival(self, kind: Kind) -> None:
        factor = 1.0
        for flood in self.day.floods:
            if flood.kind == kind.name and flood.from_s <= self.now_s < flood.to_s:
                factor = flood.factor
        at_s = self.now_s + self.random.expovariate(kind.per_s * factor)
        if at_s < self.day.duration_s:
            self.schedule(at_s, lambda: self._on_arrival(kind))

    def _on_arrival(self, kind: Kind) -> None:
        self._schedule_arrival(kind)
        # One team sends 80 % of the requests.
        team = "large" if self.random.random() < 0.8 else "small"
        entry = self.random.randrange(self.day.entries)
        call = Call(next(self.numbers), kind, team, entry, self.now_s)
        for name in self._names(call):
            self.results.requested[name] += 1
            self.results.full_value[name] += kind.value
        self._send_request(call)

    def _send_request(self, call: Call) -> None:
        call.number = next(self.numbers)
        self.calls[call.number] = call
        target_s = self.now_s + (0.0 if call.is_retry else call.kind.target_s)
        message = DispatchRequest(
            number=call.number,
            pool=call.kind.pool,
            kind=RequestKind.STREAMING if call.kind.events else RequestKind.IDEMPOTENT,
            urgency=Urgency(0, call.kind.rank),
            team=TeamId(call.team),
            arrived_s=self.now_s,
            target_s=target_s,
            deadline_s=call.first_s + 8.0,
        )
        self._apply(dispatching.on_request(self.entries[call.entry], message, self.now_s))

    def _apply(self, outputs: list[Output]) -> None:
        for output in outputs:
            call = self.calls[output.number]
            match output:
                case Refuse():
                    self._on_refused(call, output.retry_after_s)
                case Place(record=placed_on):
                    call.upstream = placed_on.upstream
                    self._start(call)

    def _on_refused(self, call: Call, retry_after_s: float) -> None:
        if call.is_retry:
            self._count(self.results.refused, call, 0.0)
            return
        call.is_retry = True
        self.schedule(self.now_s + retry_after_s, lambda: self._send_request(call))

    def _start(self, call: Call) -> None:
        if not call.kind.events:
            duration_s = SERVICE_S * self.random.uniform(0.6, 1.6)
            self.schedule(self.now_s + duration_s, lambda: self._on_answered(call))
            return
        call.events_left = call.kind.events
        group = self._group(call)
        group.queued.append(call)
        at_engine = [
            each for each in group.running + group.queued if each.upstream == call.upstream
        ]
        self.max_requests = max(self.max_requests, len(at_engine))
        if group.pass_ends_s is None:
            self._begin_pass(group)

    def _begin_pass(self, group: Group) -> None:
        loads = Counter(each.upstream for each in group.running)
        for call in list(group.queued):
            if loads[call.upstream] < SLOTS:
                loads[call.upstream] += 1
                group.queued.remove(call)
                group.running.append(call)
        if not group.running:
            group.pass_ends_s = None
            return
        pass_s = PASS_S + PASS_PER_REQUEST_S * max(loads.values())
        group.pass_ends_s = self.now_s + pass_s
        crashes = group.crashes
        self.schedule(group.pass_ends_s, lambda: self._end_pass(group, pass_s, crashes))

    def _end_pass(self, group: Group, pass_s: float, crashes: int) -> None:
        if crashes != group.crashes:
            return
        for call in list(group.running):
            state = self.entries[call.entry]
            upstream = UpstreamId(call.upstream)
            if call.events_left == call.kind.events:
                delay_s = PREFILL_S + pass_s
                first = FirstByte(POOL, upstream, delay_s)
                dispatching.on_first_byte(state, first, self.now_s)
                call.is_late |= self.now_s + PREFILL_S > call.first_s + call.kind.target_s
            else:
                pause = PauseObserved(POOL, upstream, pass_s, PAUSE_TARGET_S)
                dispatching.on_pause_observed(state, pause, self.now_s)
                call.is_late |= pass_s > PAUSE_TARGET_S
            call.events_left -= 1
            if not call.events_left:
                group.running.remove(call)
                self._on_answered(call)
        self._begin_pass(group)

    def _on_answered(self, call: Call) -> None:
        if not call.kind.events:
            call.is_late = self.now_s > call.first_s + call.kind.target_s
            first = FirstByte(SERVICE_POOL, UpstreamId(call.upstream), SERVICE_S)
            dispatching.on_first_byte(self.entries[call.entry], first, self.now_s)
        if call.is_late:
            self._count(self.results.late, call, call.kind.late_value)
        else:
            self._count(self.results.in_time, call, call.kind.value)
        self._end_attempt(call, Outcome.ANSWERED, False)

    def _end_attempt(self, call: Call, outcome: Outcome, stalled: bool) -> None:
        state = self.entries[call.entry]
        dispatching.release_team(state, call.number)
        attempt_ended = AttemptEnded(
            call.kind.pool,
            UpstreamId(call.upstream),
            outcome,
            had_first_byte=outcome is Outcome.ANSWERED,
            group_stalled=stalled,
        )
        self._apply(dispatching.on_attempt_ended(state, attempt_ended, self.now_s))

    def _inject_fault(self, fault: Fault) -> None:
        failed = self.records.pop(UpstreamId(fault.upstream))
        self._update_records()
        restored_s = self.now_s + (DRAIN_S if fault.is_drain else RESTART_S)
        self.schedule(restored_s, lambda: self._restore(failed))
        if fault.is_drain or failed.group is None:
            return
        group = self.groups[failed.group.group]
        # Every rank of a group is needed for each layer, so all its streams are lost.
        lost = group.running + group.queued
        group.running, group.queued, group.pass_ends_s = [], [], None
        group.crashes += 1
        for call in lost:
            self._count(self.results.lost, call, 0.0)
            self._end_attempt(call, Outcome.LOST, True)

    def _restore(self, upstream: UpstreamRecord) -> None:
        self.records[upstream.upstream] = upstream
        self._update_records()

    def _update_records(self) -> None:
        for state in self.entries:
            table = RecordTable()
            for each in self.records.values():
                record_table.merge(table, each, self.now_s)
            dispatching.update_upstreams(state, table)

    def _send_loads(self) -> None:
        sent = [dispatching.in_flight(each) for each in self.entries]
        self.schedule(self.now_s + LOADS_DELAY_S, lambda: self._receive_loads(sent))
        if self.now_s < self.day.duration_s + 10.0:
            self.schedule(self.now_s + LOADS_PERIOD_S, self._send_loads)

    def _receive_loads(self, sent: list[dict[UpstreamId, int]]) -> None:
        for number, state in enumerate(self.entries):
            others = {
                each.instance: PeerEntry(each.data_centre, self.now_s)
                for each in self.entries
                if each is not state
            }
            totals: Counter[UpstreamId] = Counter()
            for other, counts in enumerate(sent):
                if other != number:
                    totals.update(counts)
            loads = PeerLoads(dict(totals), self.now_s)
            dispatch_peers.update_peers(state, others, InstanceId("c"), loads, self.now_s)

    def _tick(self) -> None:
        for state in self.entries:
            self._apply(dispatching.tick(state, self.now_s))

    def _group(self, call: Call) -> Group:
        return self.groups[call.upstream.partition("-")[0]]

    def _count(self, counter: Counter[str], call: Call, earned: float) -> None:
        for name in self._names(call):
            counter[name] += 1
            self.results.earned[name] += earned

    def _names(self, call: Call) -> tuple[str, ...]:
        data_centre = _data_centre(call.entry)
        return (
            "all",
            f"kind {call.kind.name}",
            f"team {call.team}",
            f"data centre {data_centre}",
        )


def _data_centre(number: int) -> DataCentreId:
    return DataCentreId(f"dc{number % 3}")


def _records(day: Day) -> Iterator[UpstreamRecord]:
    for number in range(day.groups):
        for rank in range(RANKS):
            name = f"g{number}-{rank}"
            data_centre = _data_centre(number)
            yield record(
                name, slots=SLOTS, data_centre=data_centre, rank=rank, group=GroupId(f"g{number}")
            )
    for number in range(day.services):
        yield record(f"s{number}", pool=SERVICE_POOL, slots=4, data_centre=_data_centre(number))


def simulate_day(day: Day, seed: int) -> tuple[Results, int]:
    """Simulate a day; return the results and the most requests at one engine at a time."""
    simulation = _Simulation(day, seed)
    simulation.run()
    return simulation.results, simulation.max_requests
