"""Simulated cluster with in-memory disks and network, which checks the Raft invariants."""

from dataclasses import dataclass, field
from random import Random

from msgspec import structs

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Address, CommandId, Incarnation, InstanceId, LeaseName, ReadId
from lycheefall._core.messages.consensus import (
    AppendEntries,
    LogEntry,
    Membership,
    PeerMessage,
    Replica,
    ReplicaId,
    Snapshot,
    Submitted,
)
from lycheefall._core.messages.control import AcquireLease
from lycheefall._rules.consensus.log import last_index, term_at
from lycheefall._rules.consensus.state import (
    Broadcast,
    Committed,
    Compact,
    Consensus,
    Input,
    Output,
    Proposals,
    ProposalsRefused,
    Read,
    ReadConfirmed,
    Restore,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
    Tick,
    Timing,
)
from lycheefall._rules.consensus.step import initial, step

TICK_PERIOD_S = 0.025
TIMING = Timing(replace_voter_after_s=1.5)


@dataclass
class Disk:
    """Durable state of a replica."""

    id: ReplicaId
    term: int = 0
    vote: ReplicaId | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)

    def save(self, output: Output) -> None:
        """Store a durable output."""
        match output:
            case SaveVote():
                self.term, self.vote = output.term, output.vote
            case SaveEntries():
                first = output.entries[0].index
                preceding = [each for each in self.entries if each.index < first]
                self.entries = preceding + list(output.entries)
            case SaveSnapshot():
                self.snapshot, self.entries = output.snapshot, list(output.entries)


@dataclass
class Faults:
    """Ratios of network faults, drawn from a seeded random generator."""

    random: Random = field(default_factory=lambda: Random(0))
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    reorder_ratio: float = 0.0


@dataclass
class Cluster:
    """All replicas, the messages in flight and the history that the checks need."""

    names: str
    voters: str
    now_s: float = 100.0
    disks: dict[str, Disk] = field(default_factory=dict)
    running: dict[str, Consensus] = field(default_factory=dict)
    # Index of the last applied entry of each replica.
    applied: dict[str, int] = field(default_factory=dict)
    # Messages in flight and their recipients.
    in_flight: list[tuple[str, PeerMessage]] = field(default_factory=list)
    # Source and target of each link that loses all messages.
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    start_count: int = 0
    command_count: int = 0
    # Disks lost while no membership was committed.
    wiped_before_commit: int = 0
    grow_to: int = 0
    # Replicas use a short first election timeout, and vote right after a restart.
    has_fast_start: bool = False
    # Suspended replicas, and how far the clock of each replica lags behind.
    suspended: set[str] = field(default_factory=set)
    clock_lag_s: dict[str, float] = field(default_factory=dict)
    # The highest commit index of the cluster at the start of each read.
    reads: list[int] = field(default_factory=list)
    confirmed_reads: int = 0
    refused_commands: int = 0
    # The first leader seen in each term.
    leaders: dict[int, ReplicaId] = field(default_factory=dict)
    # The entry first committed at each index.
    committed: dict[int, LogEntry] = field(default_factory=dict)
    # The entry first seen at each index and term, and the term of the entry before it.
    seen: dict[tuple[int, int], tuple[LogEntry, int | None]] = field(default_factory=dict)

    def start(self, name: str) -> None:
        """Start a replica from its disk, or with an empty one."""
        self.start_count += 1
        if name not in self.disks:
            identity = ReplicaId(InstanceId(name), Incarnation(f"{name}{self.start_count}"))
            self.disks[name] = Disk(identity)
        disk = self.disks[name]
        me = Replica(disk.id, Address(f"{name}:1"), Address(f"{name}:2"))
        self.running[name] = initial(
            me,
            tuple(InstanceId(each) for each in self.voters),
            self.start_count,
            self.clock_s(name),
            structs.replace(
                TIMING,
                grow_to_voters=self.grow_to,
                uses_lease=not self.has_fast_start,
                first_election_s=0.2 if self.has_fast_start else 0.0,
            ),
            disk.term,
            disk.vote,
            disk.snapshot,
            tuple(disk.entries),
        )
        self.applied[name] = 0 if disk.snapshot is None else disk.snapshot.index

    def crash(self, name: str) -> None:
        """Crash a replica; its disk stays intact."""
        self.running.pop(name, None)

    def may_wipe(self, name: str) -> bool:
        """Return whether every membership that may be in force keeps a majority of its disks.

        A standby counts as a voter, because it may be promoted just when its disk is lost.
        """
        memberships = self._memberships_in_force()
        if not memberships:
            return self.wiped_before_commit == 0
        alive = {disk.id for other, disk in self.disks.items() if other != name}
        for membership in memberships:
            lost = sum(1 for each in membership.voters if each.id not in alive)
            lost += name not in {each.id.instance for each in membership.voters}
            if lost > (len(membership.voters) - 1) // 2:
                return False
        return True

    def _memberships_in_force(self) -> list[Membership]:
        """Return the latest committed membership, and later ones on disks or in flight."""
        committed = [
            index for index, each in self.committed.items() if isinstance(each.payload, Membership)
        ]
        first = max(committed, default=0)
        entries = [each for disk in self.disks.values() for each in disk.entries]
        for _, message in self.in_flight:
            entries += message.entries if isinstance(message, AppendEntries) else ()
        later = [
            each.payload
            for each in entries
            if isinstance(each.payload, Membership) and each.index > first
        ]
        return later + [self.committed[index].payload for index in committed if index == first]

    def wipe(self, name: str) -> None:
        """Crash a replica and delete its disk."""
        if self.committed_membership() is None:
            self.wiped_before_commit += 1
        self.crash(name)
        self.disks.pop(name, None)

    def committed_membership(self) -> Membership | None:
        """Return the latest membership that any replica knows to be committed."""
        for index in sorted(self.committed, reverse=True):
            payload = self.committed[index].payload
            if isinstance(payload, Membership):
                return payload
        return None

    def clock_s(self, name: str) -> float:
        """Return the clock of a replica, which does not advance while it is suspended."""
        return self.now_s - self.clock_lag_s.get(name, 0.0)

    def read(self, name: str) -> None:
        """Start a read at a replica."""
        self.reads.append(max(self.committed, default=0))
        self.deliver(name, Read(ReadId(len(self.reads) - 1)))

    def propose(self, name: str) -> None:
        """Propose a command at a replica."""
        self.command_count += 1
        command = AcquireLease(LeaseName("l"), Incarnation(str(self.command_count)), 1.0)
        submitted = Submitted(CommandId(str(self.command_count)), command)
        self.deliver(name, Proposals((submitted,), self.command_count))

    def compact(self, name: str) -> None:
        """Compact the log of a replica into a snapshot of its applied entries."""
        index = self.applied[name]
        membership = self._membership_at(index)
        if index and membership is not None:
            entry = self.committed[index]
            state = self._state_at(index)
            snapshot = Snapshot(entry.index, entry.term, entry.timestamp_ms, membership, state)
            self.deliver(name, Compact(snapshot))

    def deliver(self, name: str, message: Input, crashes: bool = False) -> None:
        """Pass an input to a replica; if it crashes, no output of the step is persisted."""
        if name not in self.running or name in self.suspended:
            return
        outputs = step(self.running[name], message, self.clock_s(name))[1]
        if crashes:
            self.crash(name)
            return
        for output in outputs:
            self.disks[name].save(output)
        for output in outputs:
            self._emit(name, output)
        self._check(name)

    def run(self, ticks: int, faults: Faults | None = None) -> None:
        """Advance the clock by a number of ticks and deliver messages after each."""
        faults = Faults() if faults is None else faults
        for _ in range(ticks):
            self.now_s += TICK_PERIOD_S
            for name in self.suspended:
                self.clock_lag_s[name] = self.clock_lag_s.get(name, 0.0) + TICK_PERIOD_S
            for name in list(self.running):
                self.deliver(name, Tick())
            self._deliver(faults)

    def heal(self) -> None:
        """Restore all links, and resume or start all replicas."""
        self.cut_links.clear()
        self.suspended.clear()
        for name in self.names:
            if name not in self.running:
                self.start(name)

    def current_leaders(self) -> list[str]:
        """Return the replicas that consider themselves the leader."""
        return [name for name, each in self.running.items() if each.role is ReplicaRole.LEADER]

    def _deliver(self, faults: Faults) -> None:
        in_flight, self.in_flight = self.in_flight, []
        if faults.random.random() < faults.reorder_ratio:
            faults.random.shuffle(in_flight)
        for name, message in in_flight:
            if name in self.suspended or faults.random.random() < faults.reorder_ratio:
                self.in_flight.append((name, message))
                continue
            if faults.random.random() < faults.duplicate_ratio:
                self.in_flight.append((name, message))
            if faults.random.random() >= faults.loss_ratio:
                self.deliver(name, message)

    def _emit(self, name: str, output: Output) -> None:
        match output:
            case Send():
                self._send(name, output.to.id.instance, output.message)
            case Broadcast():
                for other in self.voters:
                    self._send(name, other, output.message)
            case Committed():
                for entry in output.entries:
                    self._commit(name, entry)
            case Restore():
                self._restore(name, output.snapshot)
            case ProposalsRefused():
                self.refused_commands += len(output.command_ids)
            case ReadConfirmed():
                self.confirmed_reads += 1
                assert (
                    self.applied[name] >= self.reads[output.read]
                ), "a confirmed read missed a committed entry"

    def _send(self, source: str, target: str, message: PeerMessage) -> None:
        if source != target and (source, target) not in self.cut_links:
            self.in_flight.append((target, message))

    def _commit(self, name: str, entry: LogEntry) -> None:
        assert entry.index == self.applied[name] + 1, "entries were applied out of order"
        self.applied[name] = entry.index
        first = self.committed.setdefault(entry.index, entry)
        assert first == entry, f"committed entry {entry.index} changed"

    def _restore(self, name: str, snapshot: Snapshot) -> None:
        assert snapshot.index in self.committed, "a snapshot contains an uncommitted entry"
        assert snapshot.state == self._state_at(
            snapshot.index
        ), "a snapshot differs from the committed entries"
        assert snapshot.membership == self._membership_at(snapshot.index)
        self.applied[name] = snapshot.index

    def _state_at(self, index: int) -> bytes:
        """Return the simulated state after an entry: the terms of the entries up to it."""
        terms = (self.committed[each].term for each in range(1, index + 1))
        return ",".join(map(str, terms)).encode()

    def _membership_at(self, index: int) -> Membership | None:
        for each in range(index, 0, -1):
            payload = self.committed[each].payload
            if isinstance(payload, Membership):
                return payload
        return None

    def _check(self, name: str) -> None:
        """Check that each term has one leader and that logs with the same entry match before it."""
        state = self.running[name]
        if state.role is ReplicaRole.LEADER:
            first = self.leaders.setdefault(state.term, state.replica.id)
            assert first == state.replica.id, f"two leaders in term {state.term}"
            self._check_complete(state)
        for entry in state.log.entries[-3:]:
            previous_term = term_at(state.log, entry.index - 1)
            recorded = self.seen.setdefault((entry.index, entry.term), (entry, previous_term))
            assert recorded == (entry, previous_term), f"logs differ at entry {entry.index}"

    def _check_complete(self, state: Consensus) -> None:
        """Check that the leader of the highest term holds every committed entry."""
        if state.term < max(self.leaders):
            return
        for index in range(state.log.base_index + 1, max(self.committed, default=0) + 1):
            assert index <= last_index(state.log), f"the leader lacks committed entry {index}"
            assert term_at(state.log, index) == self.committed[index].term
