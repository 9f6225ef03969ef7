"""Measure the memory and the processing time of a claim in the replicated state machine.

A claim reserves the idempotency key of a booking before its first dispatch, and later holds its
answer.

Run: PYTHONPATH=src python bench/bench_claims.py
"""

import time
import tracemalloc
import uuid

import msgspec

from lycheefall._core.codes import ResultCode
from lycheefall._core.configuration import Limits
from lycheefall._core.ids import (
    FIRST_ATTEMPT,
    Digest,
    IdempotencyKey,
    Incarnation,
    TeamId,
    UpstreamId,
)
from lycheefall._core.messages.control import Claim, RecordedAnswer, RecordOutcome
from lycheefall._rules.replicated import claims

SIZES = (20_000, 40_000)
BODY = b"x" * 100
LIMITS = Limits()


def make_claims(count: int) -> claims.ClaimsState:
    """Return a state with answered claims of 570 teams, spread evenly over one hour."""
    state = claims.initial()
    for number in range(count):
        timestamp_ms = number * 3_600_000 // count
        key, team = IdempotencyKey(str(uuid.UUID(int=number))), TeamId(f"team-{number % 570}")
        holder, upstream = Incarnation("e" * 16), UpstreamId("counter-app-1")
        digest = Digest(f"{number:032x}")
        claim = Claim(key, team, digest, timestamp_ms, holder, upstream, holder)
        claims.apply(state, claim, timestamp_ms, LIMITS)
        answer = RecordedAnswer(
            ResultCode.OK, 200, "application/json", bytes(BODY) + b"%d" % number
        )
        claims.apply(state, RecordOutcome(key, team, FIRST_ATTEMPT, answer), timestamp_ms, LIMITS)
    return state


def main() -> None:
    """Print bytes per claim and time per command at two sizes."""
    for count in SIZES:
        started_s = time.perf_counter()
        make_claims(count)
        command_us = (time.perf_counter() - started_s) / count / 2 * 1e6
        tracemalloc.start()
        state = make_claims(count)
        memory_bytes = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        snapshot_bytes = len(msgspec.msgpack.encode(state)) / count
        counted_bytes = state.total_bytes / count
        print(
            f"claims={count} memory_bytes={memory_bytes:.0f} snapshot_bytes={snapshot_bytes:.0f} "
            f"counted_bytes={counted_bytes:.0f} command_us={command_us:.1f}"
        )


if __name__ == "__main__":
    main()
