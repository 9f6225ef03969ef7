"""Find the parts of prompts on which upstreams crash, from crashes and from sound responses.

No two requests with such a part need to be alike, and sound requests share their other parts. A
part is sound if an upstream has generated on it: a crashing part crashes every upstream that begins
to. So a crash is blamed on the parts that no upstream has generated on. Only if there are none is
it blamed on the others, which are then suspected after several crashes: a part may have become a
crashing one, and sound requests were running beside a crash by chance.

Entries and control use the same rules. Callers choose the parts, so all collections are bounded.
"""

from collections import Counter
from collections.abc import Iterable

from msgspec import Struct, field

from lycheefall._core.ids import PromptPart
from lycheefall._rules.placing.upstream_notices import Start

# A sound part that was in this many crashes without a response in between is suspected.
SOUND_PART_CRASHES = 3
# Crashes and responses are forgotten after this time.
RETENTION_S = 120.0
# Reports of one trial differ by less than this.
TRIAL_RESOLUTION_S = 0.5
MAX_CRASHES = 64
MAX_PARTS_PER_CRASH = 64
MAX_GENERATED_PARTS = 8192


class _Crash(Struct):
    """Parts of the prompts on which a crashed upstream may have begun to generate."""

    crashed_s: float
    parts: set[PromptPart] = field(default_factory=set)


class Verdict(Struct, frozen=True):
    """Crashes blamed on a part, 0 if it is not suspected, and when the last one with it was."""

    crashes: int
    crashed_s: float
    # Start of the latest trial, if any.
    trial_s: float | None = None


class PromptEvidence(Struct, eq=False):
    """Crashes by start of an upstream, and the last response by part, each the oldest first.

    The latest trials are kept for parts that were in a crash.
    """

    crashes: dict[Start, _Crash] = field(default_factory=dict)
    generated_s: dict[PromptPart, float] = field(default_factory=dict)
    trials_s: dict[PromptPart, float] = field(default_factory=dict)


def record_crash(
    evidence: PromptEvidence, start: Start, parts: Iterable[PromptPart], now_s: float
) -> None:
    """Add parts to a crash, which several entries may report."""
    crash = evidence.crashes.get(start)
    if crash is None:
        if len(evidence.crashes) >= MAX_CRASHES:
            del evidence.crashes[next(iter(evidence.crashes))]
        crash = evidence.crashes[start] = _Crash(now_s)
    for part in parts:
        if len(crash.parts) < MAX_PARTS_PER_CRASH:
            crash.parts.add(part)


def record_generated(evidence: PromptEvidence, part: PromptPart, at_s: float) -> None:
    """Record that an upstream has generated on a part."""
    latest_s = max(at_s, evidence.generated_s.pop(part, at_s))
    if len(evidence.generated_s) >= MAX_GENERATED_PARTS:
        del evidence.generated_s[next(iter(evidence.generated_s))]
    evidence.generated_s[part] = latest_s


def record_trial(evidence: PromptEvidence, part: PromptPart, at_s: float) -> None:
    """Record a trial of a part that was in a crash; it may be reported several times."""
    is_known = any(part in crash.parts for crash in evidence.crashes.values())
    latest_s = evidence.trials_s.get(part, float("-inf"))
    if is_known and at_s > latest_s + TRIAL_RESOLUTION_S:
        evidence.trials_s[part] = at_s


def verdicts(evidence: PromptEvidence, now_s: float) -> dict[PromptPart, Verdict]:
    """Return the verdict on each part that was in a crash.

    Of several parts that may have caused a crash, those that caused the most crashes are blamed.
    """
    _forget_old(evidence, now_s)
    blamed = [_blamed(evidence, crash) for crash in evidence.crashes.values()]
    candidates = Counter(part for parts in blamed for part in parts)
    counts: Counter[PromptPart] = Counter()
    for parts in blamed:
        most = max((candidates[part] for part in parts), default=0)
        counts.update(part for part in parts if candidates[part] == most)
    result: dict[PromptPart, Verdict] = {}
    for crash in evidence.crashes.values():
        for part in crash.parts:
            is_weak = part in evidence.generated_s and counts[part] < SOUND_PART_CRASHES
            blamed_crashes = 0 if is_weak else counts[part]
            trial_s = evidence.trials_s.get(part)
            result[part] = Verdict(blamed_crashes, crash.crashed_s, trial_s)
    evidence.trials_s = {part: at_s for part, at_s in evidence.trials_s.items() if part in result}
    return result


def _blamed(evidence: PromptEvidence, crash: _Crash) -> list[PromptPart]:
    """Return the parts that may have caused a crash."""
    return [part for part in crash.parts if part not in evidence.generated_s] or [*crash.parts]


def _forget_old(evidence: PromptEvidence, now_s: float) -> None:
    """Forget what is too old, and the parts that a response after a crash has cleared.

    The crash itself is kept, since entries report it again for some time.
    """
    never = float("-inf")
    for start, crash in list(evidence.crashes.items()):
        crash.parts = {
            part for part in crash.parts if evidence.generated_s.get(part, never) < crash.crashed_s
        }
        if now_s - crash.crashed_s > RETENTION_S:
            del evidence.crashes[start]
    for part, generated_s in list(evidence.generated_s.items()):
        if now_s - generated_s <= RETENTION_S:
            break
        del evidence.generated_s[part]
