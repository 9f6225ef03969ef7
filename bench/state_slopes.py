"""Measure bytes, memory and CPU time of the state of each role, at sizes up to the design size.

Run: PYTHONPATH=src:tests:. python -m bench.state_slopes
With the argument `differences`, only the deltas between configurations are measured.
Everything runs in one process without sockets. Times are CPU time.
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

from bench.bench_claims import make_claims
from bench.rules_cost import admission_operation, make_table
from bench.slopes import ROUNDS, Point, print_fit
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
# The time at which each step runs.
NOW_S = 0.0


def main() -> None:
    """Print points and slopes."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(ERROR))
    if sys.argv[1:] == ["differences"]:
        measure_differences()
        return
    measure_watch_answers()
    measure_configurations()
    measure_differences()
    measure_claims()
    measure_entry_state()


def cost_us(measured_call: Callable[[], object], calls: int = CALLS) -> tuple[float, ...]:
    """Return the mean CPU time of a call in us, for each round."""
    rounds = []
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(calls):
            measured_call()
        rounds.append((time.process_time() - start_s) / calls * 1e6)
    return tuple(rounds)


def allocated_mb(make: Callable[[], object]) -> tuple[float]:
    """Return the memory in MB that tracemalloc counts for an object."""
    gc.collect()
    tracemalloc.start()
    value = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return (size / 1e6,)


def member(number: int, load: Load) -> Member:
    """Return a member; every third one is an entry, the others are agents."""
    name, data_centre, incarnation = (
        f"member-{number}",
        DataCentreId("cork-a"),
        Incarnation(f"{number:016x}"),
    )
    address = Address(f"10.1.{number // 250}.{number % 250}:7000")
    if number % 3 == 2:
        return EntryMember(
            InstanceId(name), data_centre, address, address, incarnation, MemberState.READY
        )
    pool, kind = PoolId("assistant-pool"), UpstreamKind.ENGINE
    ids = (UpstreamId(name), InstanceId(f"host-{name}"), data_centre)
    return UpstreamMember(*ids, pool, kind, address, incarnation, MemberState.READY, 16, load)


def make_publish_state(count: int) -> PublishState:
    """Return the publish state of a replica with this many members."""
    view = ReplicaView(
        ReplicaRole.LEADER, Term(1), LogIndex(1), Address("10.1.1.1:1"), (), FOREVER_S, FOREVER_S
    )
    applied = AppliedView(LogIndex(1), Configuration(revision=Revision(1)), 0)
    state = PublishState(
        instance=InstanceId("c"), process=Incarnation("p"), view=view, applied=applied
    )
    for number in range(count):
        membership.step(state.members, Announce(member(number, Load()), 1), NOW_S)
    return state


def measure_watch_answers() -> None:
    """Measure the answer to one watch, without changes and with all members."""
    unchanged: list[Point] = []
    full: list[Point] = []
    decoding: list[Point] = []
    sizes: list[Point] = []
    for count in MEMBERS:
        state = make_publish_state(count)
        process = Incarnation("p")
        current_watch = Watch(1, Revision(1), process, state.members.version)
        first_watch = Watch(1, Revision(1), Incarnation(""), 0)
        unchanged.append(Point(count, cost_us(partial(encode_answer, state, current_watch))))
        full.append(Point(count, cost_us(partial(encode_answer, state, first_watch))))
        payload = encode_answer(state, first_watch)
        decoding.append(Point(count, cost_us(partial(decode_from_control, payload))))
        sizes.append(Point(count, (len(payload),)))
    print_fit("replica, a watch without changes", "members", "us", unchanged)
    print_fit("replica, a watch that receives every member", "members", "us", full)
    print_fit("watcher, decoding every member", "members", "us", decoding)
    print_fit("payload with every member", "members", "bytes", sizes)
    print(f"  size of a watch: {len(encode(current_watch))} bytes")
    for number in (0, 2):
        heartbeat = Announce(member(number, Load(9, 9, 9_999, 0.5, 0.25)), 100_000)
        print(f"  heartbeat of {type(heartbeat.member).__name__}: {len(encode(heartbeat))} bytes")


def encode_answer(state: PublishState, watch: Watch) -> bytes:
    """Return the encoded answer of a replica to a watch."""
    membership.step(state.members, RemoveSilent(), NOW_S)
    return encode(changes(state, watch, NOW_S))


def measure_configurations() -> None:
    """Measure a configuration file and its delivery against the number of teams."""
    sizes, delivered, parsing, encoding, decoding, catalogue_us = ([] for _ in range(6))
    for teams in TEAMS:
        text = configuration_text(0, teams)
        parsed = parse_configuration(text, Revision(1))
        payload = encode_delivery(parsed)
        sizes.append(Point(teams, (len(text),)))
        delivered.append(Point(teams, (len(payload),)))
        parsing.append(Point(teams, cost_us(partial(parse_configuration, text, Revision(1)), 3)))
        encoding.append(Point(teams, cost_us(partial(encode_delivery, parsed))))
        decoding.append(Point(teams, cost_us(partial(decode_from_control, payload))))
        catalogue_us.append(Point(teams, cost_us(partial(build_catalogue, parsed))))
    print_fit("configuration file", "teams", "bytes", sizes)
    print_fit("delivery to one watcher", "teams", "bytes", delivered)
    print_fit("replica, parsing the file", "teams", "us", parsing)
    print_fit("replica, encoding one delivery", "teams", "us", encoding)
    print_fit("watcher, decoding one delivery", "teams", "us", decoding)
    print_fit("entry, catalogue of the file", "teams", "us", catalogue_us)


def encode_delivery(configuration: Configuration) -> bytes:
    """Return an encoded answer that holds only a configuration."""
    process = Incarnation("p")
    return encode(Changes(1, process, None, Revision(1), configuration, 1, False, (), (), ()))


def measure_differences() -> None:
    """Compare two diff algorithms on files of 570 teams, and measure the cost of their deltas."""
    old = parse_configuration(configuration_text(0, 570), Revision(1))
    teams = old.teams
    limits = structs.replace(old.limits, queue_s=old.limits.queue_s + 1)
    cases = {
        "one changed limit": structs.replace(old, limits=limits),
        "one added team": parse_configuration(configuration_text(1, 571), Revision(2)),
        "a block of 100 teams moved": structs.replace(
            old, teams=teams[100:300] + teams[:100] + teams[300:]
        ),
    }
    for name, changed in cases.items():
        new = structs.replace(changed, revision=Revision(2), digest=Digest("0" * 32))
        pair = encode_lines(old), encode_lines(new)
        for method, compute_edits in (
            ("runs", configuration_delta.difference),
            ("difflib", _by_difflib),
        ):
            assert configuration_delta.apply_edits(pair[0], compute_edits(*pair)) == pair[1]
            median_us = statistics.median(cost_us(partial(compute_edits, *pair)))
            print(
                f"{name}, {method}: {len(encode(compute_edits(*pair)))} bytes, {median_us:.0f} us"
            )
        _print_delivery_costs(name, old, new)


def _print_delivery_costs(name: str, old: Configuration, new: Configuration) -> None:
    """Print the cost of one change for a replica, in total and per watcher, and for a watcher."""
    state, views = make_publish_state(0), [AppliedView(LogIndex(1), each, 0) for each in (old, new)]
    lines = encode_lines(old)
    cached = CachedConfiguration(Revision(1), digest_of_lines(lines), lines)

    def record_revisions() -> None:
        state.recent_revisions = RecentRevisions()
        for view in views:
            update_applied(state, view)

    def compute_delta() -> None:
        state.recent_revisions.deltas.clear()
        configuration_delta.delta_for(
            state.recent_revisions, Revision(1), cached.digest, Revision(2)
        )

    def deliver_change(watch: Watch) -> None:
        record_revisions()
        for _ in range(MEMBERS[-1]):
            encode_answer(state, watch)

    record_revisions()
    watch = Watch(1, Revision(1), Incarnation("p"), state.members.version, 0, cached.digest)
    without_digest = structs.replace(watch, digest=Digest(""))
    delta_answer = changes(state, watch, NOW_S)
    # Each call with the number of operations that it performs.
    timings = {
        "replica, lines and digest of a revision": (record_revisions, 2),
        "replica, delta between two revisions": (compute_delta, 1),
        "replica, answer with the delta": (partial(encode_answer, state, watch), 1),
        "replica, answer with the full configuration": (
            partial(encode_answer, state, without_digest),
            1,
        ),
        "replica, two revisions and 1,230 deltas": (partial(deliver_change, watch), 1),
        "replica, two revisions and 1,230 full configurations": (
            partial(deliver_change, without_digest),
            1,
        ),
        "watcher, applying the delta": (
            partial(_receive_configuration, cached, encode_answer(state, watch)),
            1,
        ),
        "watcher, applying the full configuration": (
            partial(
                _receive_configuration, CachedConfiguration(), encode_answer(state, without_digest)
            ),
            1,
        ),
        "watcher, decoding the full configuration": (
            partial(decode_from_control, encode_answer(state, without_digest)),
            1,
        ),
    }
    print(
        f"  delta {len(encode(delta_answer))} B, full {len(encode_answer(state, without_digest))}"
    )
    for title, (measured_call, operations) in timings.items():
        print(f"  {title}: {statistics.median(cost_us(measured_call)) / operations:.0f} us")


def _receive_configuration(cached: CachedConfiguration, payload: bytes) -> None:
    message = decode_from_control(payload)
    assert isinstance(message, Changes)
    assert apply_changes(cached, message)[1].configuration is not None


def _by_difflib(old: tuple[bytes, ...], new: tuple[bytes, ...]) -> tuple[Edit, ...]:
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    edits: list[Edit] = []
    for kind, start, end, new_start, new_end in matcher.get_opcodes():
        if kind == "equal":
            edits.append(Copy(start, end - start))
        elif new_end > new_start:
            edits.append(Insert(new[new_start:new_end]))
    return tuple(edits)


def measure_claims() -> None:
    """Measure the memory and the snapshots of answered claims."""
    memory, snapshot, encoding = [], [], []
    for count in CLAIMS:
        memory.append(Point(count, allocated_mb(partial(make_claims, count))))
        machine_state = machine.initial()
        machine_state.claims = make_claims(count)
        snapshot.append(Point(count, (len(encode(machine_state)) / 1e6,)))
        encoding.append(
            Point(count, tuple(us / 1000 for us in cost_us(partial(encode, machine_state), 1)))
        )
    print_fit("claims", "claims", "MB", memory)
    print_fit("snapshot", "claims", "MB", snapshot)
    print_fit("replica, encoding a snapshot", "claims", "ms", encoding)


def measure_entry_state() -> None:
    """Measure the memory of the rules of an entry and the cost of receiving announcements."""
    _print_memory(
        "fair queues with ten waiting requests per team", "teams", TEAMS, admission_operation
    )
    _print_memory(
        "routing table with 200 prefixes per upstream", "upstreams", UPSTREAMS, make_table
    )
    announcement_us = []
    for count in UPSTREAMS:
        table = membership.initial(UPSTREAM_TIMEOUT_S)
        members = [agent_member(number) for number in range(count)]
        sequence = count_from(1)
        # The first announcement of an upstream writes a log line.
        _receive_announcements(table, members, sequence)
        announcement_us.append(
            Point(count, cost_us(partial(_receive_announcements, table, members, sequence), 1))
        )
    print_fit("entry, one announcement of every upstream", "upstreams", "us", announcement_us)


def agent_member(number: int) -> Member:
    """Return the announced record of an agent."""
    return member(number * 3, Load(9, 9, 9_999, 0.5, 0.25))


def _receive_announcements(
    table: MembershipState, members: Sequence[Member], sequence: Iterator[int]
) -> None:
    number = next(sequence)
    for each in members:
        step_upstreams(table, Announce(each, number), NOW_S)


def _print_memory(
    name: str, unit: str, sizes: Sequence[int], make: Callable[[int], object]
) -> None:
    print_fit(name, unit, "MB", [Point(size, allocated_mb(partial(make, size))) for size in sizes])


if __name__ == "__main__":
    main()
