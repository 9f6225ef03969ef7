"""Replicas with an in-memory disk and network, and the checks of what must always hold."""

from dataclasses import dataclass, field
from random import Random

from msgspec import structs

from lycheefall._core.enums import ReplicaRole
from lycheefall._core.ids import Address, CommandId, Incarnation, InstanceId, LeaseName, ReadId
from lycheefall._core.messages.consensus import (
    Append,
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

TICK_S = 0.025
TIMING = Timing(replace_s=1.5)


@dataclass
class Disk:
    """What a replica made durable."""

    id: ReplicaId
    term: int = 0
    vote: ReplicaId | None = None
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)

    def save(self, output: Output) -> None:
        """Take a durable output."""
        match output:
            case SaveVote():
                self.term, self.vote = output.term, output.vote
            case SaveEntries():
                first = output.entries[0].index
                kept = [each for each in self.entries if each.index < first]
                self.entries = kept + list(output.entries)
            case SaveSnapshot():
                self.snapshot, self.entries = output.snapshot, list(output.entries)


@dataclass
class Faults:
    """What the network does to messages, drawn from a seed."""

    random: Random = field(default_factory=lambda: Random(0))
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    reorder_ratio: float = 0.0


@dataclass
class World:
    """All replicas, the messages under way and what was observed so far."""

    names: str
    voters: str
    now_s: float = 100.0
    disks: dict[str, Disk] = field(default_factory=dict)
    running: dict[str, Consensus] = field(default_factory=dict)
    applied: dict[str, int] = field(default_factory=dict)
    mail: list[tuple[str, PeerMessage]] = field(default_factory=list)
    cut: set[tuple[str, str]] = field(default_factory=set)
    starts: int = 0
    commands: int = 0
    wiped_before_commit: int = 0
    grow_to: int = 0
    # Replicas that start campaign soon, and keep no promise to an earlier leader.
    is_hasty: bool = False
    # Replicas that stand still, and by how much the clock of each is behind.
    suspended: set[str] = field(default_factory=set)
    behind_s: dict[str, float] = field(default_factory=dict)
    # The latest commit anywhere at the start of each read.
    reads: list[int] = field(default_factory=list)
    confirmed: int = 0
    refused: int = 0
    leaders: dict[int, ReplicaId] = field(default_factory=dict)
    committed: dict[int, LogEntry] = field(default_factory=dict)
    seen: dict[tuple[int, int], tuple[LogEntry, int | None]] = field(default_factory=dict)

    def start(self, name: str) -> None:
        """Start a replica with what its disk holds."""
        self.starts += 1
        if name not in self.disks:
            identity = ReplicaId(InstanceId(name), Incarnation(f"{name}{self.starts}"))
            self.disks[name] = Disk(identity)
        disk = self.disks[name]
        me = Replica(disk.id, Address(f"{name}:1"), Address(f"{name}:2"))
        self.running[name] = initial(
            me,
            tuple(InstanceId(each) for each in self.voters),
            self.starts,
            self.clock_s(name),
            structs.replace(
                TIMING,
                grow_to_voters=self.grow_to,
                uses_lease=not self.is_hasty,
                first_election_s=0.2 if self.is_hasty else 0.0,
            ),
            disk.term,
            disk.vote,
            disk.snapshot,
            tuple(disk.entries),
        )
        self.applied[name] = 0 if disk.snapshot is None else disk.snapshot.index

    def crash(self, name: str) -> None:
        """End a replica; its disk stays."""
        self.running.pop(name, None)

    def may_wipe(self, name: str) -> bool:
        """Tell whether every membership that may be in force keeps a majority of its disks.

        A standby counts as a voter: it may be promoted at the moment at which it is lost.
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
        """Return the latest committed membership, and the later ones on disks or under way."""
        committed = [
            index for index, each in self.committed.items() if isinstance(each.payload, Membership)
        ]
        first = max(committed, default=0)
        held = [each for disk in self.disks.values() for each in disk.entries]
        for _, message in self.mail:
            held += message.entries if isinstance(message, Append) else ()
        later = [
            each.payload
            for each in held
            if isinstance(each.payload, Membership) and each.index > first
        ]
        return later + [self.committed[index].payload for index in committed if index == first]

    def wipe(self, name: str) -> None:
        """Delete the disk of a replica and end it."""
        if self.committed_membership() is None:
            self.wiped_before_commit += 1
        self.crash(name)
        self.disks.pop(name, None)

    def committed_membership(self) -> Membership | None:
        """Return the latest membership that some replica knows to be committed."""
        for index in sorted(self.committed, reverse=True):
            payload = self.committed[index].payload
            if isinstance(payload, Membership):
                return payload
        return None

    def clock_s(self, name: str) -> float:
        """Return the clock of a replica, which does not count the time it stood still."""
        return self.now_s - self.behind_s.get(name, 0.0)

    def read(self, name: str) -> None:
        """Begin a read at a replica."""
        self.reads.append(max(self.committed, default=0))
        self.take(name, Read(ReadId(len(self.reads) - 1)))

    def propose(self, name: str) -> None:
        """Propose a command at a replica."""
        self.commands += 1
        command = AcquireLease(LeaseName("l"), Incarnation(str(self.commands)), 1.0)
        submitted = Submitted(CommandId(str(self.commands)), command)
        self.take(name, Proposals((submitted,), self.commands))

    def compact(self, name: str) -> None:
        """Replace the log of a replica by a snapshot of what it has applied."""
        index = self.applied[name]
        membership = self._membership_at(index)
        if index and membership is not None:
            entry = self.committed[index]
            state = self._prefix(index)
            snapshot = Snapshot(entry.index, entry.term, entry.stamp_ms, membership, state)
            self.take(name, Compact(snapshot))

    def take(self, name: str, message: Input, dies: bool = False) -> None:
        """Give a replica an input; if it dies, nothing of the step becomes durable."""
        if name not in self.running or name in self.suspended:
            return
        outputs = step(self.running[name], message, self.clock_s(name))[1]
        if dies:
            self.crash(name)
            return
        for output in outputs:
            self.disks[name].save(output)
        for output in outputs:
            self._emit(name, output)
        self._check(name)

    def run(self, ticks: int, faults: Faults | None = None) -> None:
        """Let time pass while messages are delivered."""
        faults = Faults() if faults is None else faults
        for _ in range(ticks):
            self.now_s += TICK_S
            for name in self.suspended:
                self.behind_s[name] = self.behind_s.get(name, 0.0) + TICK_S
            for name in list(self.running):
                self.take(name, Tick())
            self._deliver(faults)

    def heal(self) -> None:
        """Start all replicas and let all links work."""
        self.cut.clear()
        self.suspended.clear()
        for name in self.names:
            if name not in self.running:
                self.start(name)

    def leading(self) -> list[str]:
        """Return the replicas that consider themselves leader."""
        return [name for name, each in self.running.items() if each.role is ReplicaRole.LEADER]

    def _deliver(self, faults: Faults) -> None:
        mail, self.mail = self.mail, []
        if faults.random.random() < faults.reorder_ratio:
            faults.random.shuffle(mail)
        for name, message in mail:
            if name in self.suspended or faults.random.random() < faults.reorder_ratio:
                self.mail.append((name, message))
                continue
            if faults.random.random() < faults.duplicate_ratio:
                self.mail.append((name, message))
            if faults.random.random() >= faults.loss_ratio:
                self.take(name, message)

    def _emit(self, name: str, output: Output) -> None:
        match output:
            case Send():
                self._post(name, output.to.id.instance, output.message)
            case Broadcast():
                for other in self.voters:
                    self._post(name, other, output.message)
            case Committed():
                for entry in output.entries:
                    self._commit(name, entry)
            case Restore():
                self._restore(name, output.snapshot)
            case ProposalsRefused():
                self.refused += len(output.command_ids)
            case ReadConfirmed():
                self.confirmed += 1
                assert self.applied[name] >= self.reads[output.read], "a read missed a commit"

    def _post(self, source: str, target: str, message: PeerMessage) -> None:
        if source != target and (source, target) not in self.cut:
            self.mail.append((target, message))

    def _commit(self, name: str, entry: LogEntry) -> None:
        assert entry.index == self.applied[name] + 1, "entries are applied in their order"
        self.applied[name] = entry.index
        first = self.committed.setdefault(entry.index, entry)
        assert first == entry, f"committed entry {entry.index} changed"

    def _restore(self, name: str, snapshot: Snapshot) -> None:
        assert snapshot.index in self.committed, "a snapshot holds committed entries only"
        assert snapshot.state == self._prefix(snapshot.index), "a snapshot is what was committed"
        assert snapshot.membership == self._membership_at(snapshot.index)
        self.applied[name] = snapshot.index

    def _prefix(self, index: int) -> bytes:
        terms = (self.committed[each].term for each in range(1, index + 1))
        return ",".join(map(str, terms)).encode()

    def _membership_at(self, index: int) -> Membership | None:
        for each in range(index, 0, -1):
            payload = self.committed[each].payload
            if isinstance(payload, Membership):
                return payload
        return None

    def _check(self, name: str) -> None:
        state = self.running[name]
        if state.role is ReplicaRole.LEADER:
            first = self.leaders.setdefault(state.term, state.me.id)
            assert first == state.me.id, f"two leaders in term {state.term}"
            self._check_complete(state)
        for entry in state.log.entries[-3:]:
            before = term_at(state.log, entry.index - 1)
            held = self.seen.setdefault((entry.index, entry.term), (entry, before))
            assert held == (entry, before), f"logs differ at entry {entry.index}"

    def _check_complete(self, state: Consensus) -> None:
        """Check that the leader of the highest term holds every committed entry."""
        if state.term < max(self.leaders):
            return
        for index in range(state.log.base_index + 1, max(self.committed, default=0) + 1):
            assert index <= last_index(state.log), f"the leader lacks committed entry {index}"
            assert term_at(state.log, index) == self.committed[index].term
