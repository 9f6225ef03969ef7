"""Bytes, memory and time of the state that roles hold, at sizes up to the one to design for.

Run: PYTHONPATH=src:tests:. python -m bench.state_slopes
With `differences` behind it, only the differences between configurations are measured.
Everything runs in one process without sockets. Times are processor time.
"""

import difflib
import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from itertools import count as count_from
from logging import ERROR

import structlog
from msgspec import structs

from bench.bench_claims import fill
from bench.rules_cost import admission_run, table_of
from bench.slopes import ROUNDS, Point, show
from lycheefall._control.configuration_cache import CachedConfiguration, apply_changes
from lycheefall._control.messages import AppliedView, ReplicaView
from lycheefall._control.publish import PublishState, changes, update_applied
from lycheefall._core.configuration import Configuration
from lycheefall._core.enums import MemberState, ReplicaRole, UpstreamKind
from lycheefall._core.ids import (
    Address,
    DataCentreId,
    Digest,
    Incarnation,
    InstanceId,
    LogIndex,
    PoolId,
    Revision,
    Term,
    UpstreamId,
)
from lycheefall._core.messages.control import Changes, Copy, Edit, Insert, Watch
from lycheefall._core.messages.membership import Announce, EntryMember, Load, Member, UpstreamMember
from lycheefall._entry.catalogue import build_catalogue
from lycheefall._entry.upstreams import UPSTREAM_TIMEOUT_S, step_upstreams
from lycheefall._operate.configuration_file import parse_configuration
from lycheefall._rules import configuration_delta, membership
from lycheefall._rules.configuration_delta import RecentRevisions
from lycheefall._rules.membership import MembershipState, RemoveSilent
from lycheefall._rules.replicated import machine
from lycheefall._wire.codec import decode_from_control, encode
from lycheefall._wire.configuration_codec import digest_of_lines, encode_lines
from processes.fleet import configuration_text

MEMBERS = (123, 410, 820, 1_230)
TEAMS = (10, 190, 380, 570)
UPSTREAMS = (20, 100, 400, 820)
CLAIMS = (10_000, 20_000, 40_000)
CALLS = 20
FOREVER_S = float("inf")
SEEN_S = 0.0


def main() -> None:
    """Print points and slopes."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ERROR))
    if sys.argv[1:] == ["differences"]:
        differences()
        return
    watch_answers()
    configurations()
    differences()
    claims()
    entry_state()


def cost_us(call: Callable[[], object], calls: int = CALLS) -> tuple[float, ...]:
    """Return the processor time of a call in each round."""
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(calls):
            call()
        rounds.append((time.process_time() - start_s) / calls * 1e6)
    return tuple(rounds)


def held_mb(make: Callable[[], object]) -> tuple[float]:
    """Return the memory that an object holds, as the allocator counts it."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return (size / 1e6,)


def member(number: int, load: Load) -> Member:
    """Return an agent, or an entry for each third member."""
    name, here, run = f"member-{number}", DataCentreId("cork-a"), Incarnation(f"{number:016x}")
    address = Address(f"10.1.{number // 250}.{number % 250}:7000")
    if number % 3 == 2:
        return EntryMember(InstanceId(name), here, address, address, run, MemberState.READY)
    pool, kind = PoolId("assistant-pool"), UpstreamKind.ENGINE
    ids = (UpstreamId(name), InstanceId(f"host-{name}"), here)
    return UpstreamMember(*ids, pool, kind, address, run, MemberState.READY, 16, load)


def published(count: int) -> PublishState:
    """Return what a replica publishes with this many members."""
    view = ReplicaView(
        ReplicaRole.LEADER, Term(1), LogIndex(1), Address("10.1.1.1:1"), (), FOREVER_S, FOREVER_S
    )
    applied = AppliedView(LogIndex(1), Configuration(revision=Revision(1)), 0)
    state = PublishState(
        instance=InstanceId("c"), process=Incarnation("p"), view=view, applied=applied
    )
    for number in range(count):
        membership.step(state.members, Announce(member(number, Load()), 1), SEEN_S)
    return state


def watch_answers() -> None:
    """Measure the answer to one watch: nothing changed, or a full copy."""
    same: list[Point] = []
    full: list[Point] = []
    received: list[Point] = []
    sizes: list[Point] = []
    for count in MEMBERS:
        state = published(count)
        ends = Incarnation("p")
        nothing = Watch(1, Revision(1), ends, state.members.version)
        everything = Watch(1, Revision(1), Incarnation(""), 0)
        same.append(Point(count, cost_us(partial(answer, state, nothing))))
        full.append(Point(count, cost_us(partial(answer, state, everything))))
        payload = answer(state, everything)
        received.append(Point(count, cost_us(partial(decode_from_control, payload))))
        sizes.append(Point(count, (len(payload),)))
    show("replica, a watch without changes", "members", "us", same)
    show("replica, a watch that gets every member", "members", "us", full)
    show("watcher, decoding every member", "members", "us", received)
    show("payload with every member", "members", "bytes", sizes)
    print(f"  a watch asks with {len(encode(nothing))} bytes")
    for number in (0, 2):
        beat = Announce(member(number, Load(9, 9, 9_999, 0.5, 0.25)), 100_000)
        print(f"  heartbeat of {type(beat.member).__name__}: {len(encode(beat))} bytes")


def answer(state: PublishState, watch: Watch) -> bytes:
    """Answer a watch as the replica does."""
    membership.step(state.members, RemoveSilent(), SEEN_S)
    return encode(changes(state, watch, SEEN_S))


def configurations() -> None:
    """Measure a file and its delivery against the number of teams."""
    sizes, sent, parsing, coding, decoding, using = ([] for _ in range(6))
    for teams in TEAMS:
        text = configuration_text(0, teams)
        parsed = parse_configuration(text, Revision(1))
        payload = deliver(parsed)
        sizes.append(Point(teams, (len(text),)))
        sent.append(Point(teams, (len(payload),)))
        parsing.append(Point(teams, cost_us(partial(parse_configuration, text, Revision(1)), 3)))
        coding.append(Point(teams, cost_us(partial(deliver, parsed))))
        decoding.append(Point(teams, cost_us(partial(decode_from_control, payload))))
        using.append(Point(teams, cost_us(partial(build_catalogue, parsed))))
    show("configuration file", "teams", "bytes", sizes)
    show("delivery to one watcher", "teams", "bytes", sent)
    show("replica, parsing the file", "teams", "us", parsing)
    show("replica, encoding one delivery", "teams", "us", coding)
    show("watcher, decoding one delivery", "teams", "us", decoding)
    show("entry, catalogue of the file", "teams", "us", using)


def deliver(configuration: Configuration) -> bytes:
    """Encode the answer that brings a configuration and nothing else."""
    ends = Incarnation("p")
    return encode(Changes(1, ends, None, Revision(1), configuration, 1, False, (), (), ()))


def differences() -> None:
    """Compare two ways to find the difference between files of 570 teams, and its cost."""
    old = parse_configuration(configuration_text(0, 570), Revision(1))
    teams = old.teams
    limits = structs.replace(old.limits, queue_s=old.limits.queue_s + 1)
    kinds = {
        "one changed limit": structs.replace(old, limits=limits),
        "one added team": parse_configuration(configuration_text(1, 571), Revision(2)),
        "a block of 100 teams moved": structs.replace(
            old, teams=teams[100:300] + teams[:100] + teams[300:]
        ),
    }
    for name, changed in kinds.items():
        new = structs.replace(changed, revision=Revision(2), digest=Digest("0" * 32))
        pair = encode_lines(old), encode_lines(new)
        for way, find in (("runs", configuration_delta.difference), ("difflib", _by_difflib)):
            assert configuration_delta.apply_edits(pair[0], find(*pair)) == pair[1]
            median_us = statistics.median(cost_us(partial(find, *pair)))
            print(f"{name}, {way}: {len(encode(find(*pair)))} bytes, {median_us:.0f} us")
        _deliveries(name, old, new)


def _deliveries(name: str, old: Configuration, new: Configuration) -> None:
    """Print what one change costs a replica, once and a watcher, and each watcher."""
    state, views = published(0), [AppliedView(LogIndex(1), each, 0) for each in (old, new)]
    lines = encode_lines(old)
    held = CachedConfiguration(Revision(1), digest_of_lines(lines), lines)

    def once() -> None:
        state.recent_revisions = RecentRevisions()
        for view in views:
            update_applied(state, view)

    def pair() -> None:
        state.recent_revisions.deltas.clear()
        configuration_delta.delta_for(state.recent_revisions, Revision(1), held.digest, Revision(2))

    def change(watch: Watch) -> None:
        once()
        for _ in range(MEMBERS[-1]):
            answer(state, watch)

    once()
    watch = Watch(1, Revision(1), Incarnation("p"), state.members.version, 0, held.digest)
    whole = structs.replace(watch, digest=Digest(""))
    arrived = changes(state, watch, SEEN_S)
    figures = {
        "replica, lines and digest of a revision": (once, 2),
        "replica, difference of a pair": (pair, 1),
        "replica, answer with the difference": (partial(answer, state, watch), 1),
        "replica, answer with the whole": (partial(answer, state, whole), 1),
        "replica, two revisions and 1,230 differences": (partial(change, watch), 1),
        "replica, two revisions and 1,230 wholes": (partial(change, whole), 1),
        "watcher, difference": (partial(_receive, held, answer(state, watch)), 1),
        "watcher, whole": (partial(_receive, CachedConfiguration(), answer(state, whole)), 1),
        "watcher, decoding the whole alone": (
            partial(decode_from_control, answer(state, whole)),
            1,
        ),
    }
    print(f"  {len(encode(arrived))} bytes, {len(answer(state, whole))} as a whole")
    for title, (call, parts) in figures.items():
        print(f"  {title}: {statistics.median(cost_us(call)) / parts:.0f} us")


def _receive(held: CachedConfiguration, payload: bytes) -> None:
    message = decode_from_control(payload)
    assert isinstance(message, Changes)
    assert apply_changes(held, message)[1].configuration is not None


def _by_difflib(old: tuple[bytes, ...], new: tuple[bytes, ...]) -> tuple[Edit, ...]:
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    edits: list[Edit] = []
    for kind, start, end, new_start, new_end in matcher.get_opcodes():
        if kind == "equal":
            edits.append(Copy(start, end - start))
        elif new_end > new_start:
            edits.append(Insert(new[new_start:new_end]))
    return tuple(edits)


def claims() -> None:
    """Measure memory and snapshot of answered claims."""
    memory, snapshot, encoding = [], [], []
    for count in CLAIMS:
        memory.append(Point(count, held_mb(partial(fill, count))))
        whole = machine.initial()
        whole.claims = fill(count)
        snapshot.append(Point(count, (len(encode(whole)) / 1e6,)))
        encoding.append(Point(count, tuple(us / 1000 for us in cost_us(partial(encode, whole), 1))))
    show("claims", "claims", "MB", memory)
    show("snapshot", "claims", "MB", snapshot)
    show("replica, encoding a snapshot", "claims", "ms", encoding)


def entry_state() -> None:
    """Measure what the rules of an entry hold and the cost of hearing an announcement."""
    _memory("fair queues with ten waiting requests a team", "teams", TEAMS, admission_run)
    _memory("routing table with 200 prefixes an upstream", "upstreams", UPSTREAMS, table_of)
    hearing = []
    for count in UPSTREAMS:
        table = membership.initial(UPSTREAM_TIMEOUT_S)
        beats = [agent_member(number) for number in range(count)]
        sequence = count_from(1)
        # The first announcement of an upstream writes a log line.
        _hear(table, beats, sequence)
        hearing.append(Point(count, cost_us(partial(_hear, table, beats, sequence), 1)))
    show("entry, one announcement of every upstream", "upstreams", "us", hearing)


def agent_member(number: int) -> Member:
    """Return an agent as it announces itself."""
    return member(number * 3, Load(9, 9, 9_999, 0.5, 0.25))


def _hear(table: MembershipState, members: Sequence[Member], sequence: Iterator[int]) -> None:
    number = next(sequence)
    for each in members:
        step_upstreams(table, Announce(each, number), SEEN_S)


def _memory(name: str, unit: str, sizes: Sequence[int], make: Callable[[int], object]) -> None:
    show(name, unit, "MB", [Point(size, held_mb(partial(make, size))) for size in sizes])


if __name__ == "__main__":
    main()
