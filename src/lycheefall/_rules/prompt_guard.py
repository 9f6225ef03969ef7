"""Decide which prompts an entry blocks, from its own evidence and the verdicts of control.

An entry sees a crash first and acts at once; control knows the crashes and responses of all entries
and overrides it. A part on which this entry has seen a sound response is not blocked on the word of
control until it has caused several crashes; the entry reports the response instead.
"""

from collections.abc import Iterable
from random import Random

from msgspec import Struct, field

from lycheefall._core.ids import InstanceId, PromptPart
from lycheefall._core.messages.relay import Crash, PartTrial, PartVerdict, SoundPart
from lycheefall._rules import prompt_blocks, prompt_evidence
from lycheefall._rules.prompt_blocks import TRIAL_S, PromptBlocks
from lycheefall._rules.prompt_evidence import SOUND_PART_CRASHES, PromptEvidence, Verdict

# The verdicts of a replica that has sent none for this time give way to those of others.
REPORT_TIMEOUT_S = 1.5


class _Report(Struct):
    """Verdicts of one replica, and when they were received."""

    verdicts: dict[PromptPart, Verdict]
    received_s: float


class PromptGuard(Struct, eq=False):
    """Evidence of this entry, verdicts of the replicas of control, and the resulting blocks."""

    evidence: PromptEvidence = field(default_factory=PromptEvidence)
    reports: dict[InstanceId, _Report] = field(default_factory=dict)
    blocks: PromptBlocks = field(default_factory=PromptBlocks)


def on_crash(guard: PromptGuard, crash: Crash, now_s: float) -> None:
    """Record a crash that this entry has confirmed."""
    start = (crash.upstream, crash.start_time_ms)
    prompt_evidence.record_crash(guard.evidence, start, crash.prompt_parts, now_s)


def on_generated(guard: PromptGuard, parts: Iterable[PromptPart], now_s: float) -> None:
    """Record a sound response to a prompt."""
    for part in parts:
        prompt_evidence.record_generated(guard.evidence, part, now_s)


def on_verdicts(
    guard: PromptGuard, replica: InstanceId, verdicts: Iterable[PartVerdict], now_s: float
) -> None:
    """Replace the verdicts of a replica."""
    received = {
        each.part: Verdict(
            each.crashes,
            now_s - each.age_s,
            None if each.trial_age_s is None else now_s - each.trial_age_s,
        )
        for each in verdicts
    }
    guard.reports[replica] = _Report(received, now_s)


def refresh(guard: PromptGuard, now_s: float, random: Random) -> tuple[PromptPart, ...]:
    """Update the blocks, and return the parts that are blocked by a further crash."""
    if not (guard.evidence.crashes or guard.blocks.blocks or _reported(guard, now_s)):
        return ()
    verdicts = prompt_evidence.verdicts(guard.evidence, now_s) | _reported(guard, now_s)
    suspected = {
        part: verdict.crashes
        for part, verdict in verdicts.items()
        if verdict.crashes and not _is_sound_here(guard, part, verdict)
    }
    blocked = prompt_blocks.update(guard.blocks, suspected, now_s, random)
    for part, verdict in verdicts.items():
        if verdict.trial_s is not None:
            prompt_blocks.await_trial(guard.blocks, part, verdict.trial_s)
    return blocked


def blocked_for_s(guard: PromptGuard, parts: Iterable[PromptPart], now_s: float) -> float:
    """Return how long a prompt with these parts is still blocked; not above 0 if it is not."""
    return prompt_blocks.blocked_for_s(guard.blocks, parts, now_s)


def start_trial(guard: PromptGuard, parts: Iterable[PromptPart], now_s: float) -> bool:
    """Start a trial of the suspected ones among some parts, and return whether there are any."""
    return prompt_blocks.start_trial(guard.blocks, parts, now_s)


def trials(guard: PromptGuard, now_s: float) -> tuple[PartTrial, ...]:
    """Return the trials by this entry whose outcome may not be known."""
    return tuple(
        PartTrial(part, now_s - block.trial_s)
        for part, block in guard.blocks.blocks.items()
        if now_s - block.trial_s <= TRIAL_S
    )


def sound_parts(guard: PromptGuard, now_s: float) -> tuple[SoundPart, ...]:
    """Return the suspected parts on which this entry has seen a sound response."""
    generated_s = guard.evidence.generated_s
    suspected = {
        part
        for report in guard.reports.values()
        for part, verdict in report.verdicts.items()
        if verdict.crashes and part in generated_s
    }
    return tuple(SoundPart(part, now_s - generated_s[part]) for part in sorted(suspected))


def _reported(guard: PromptGuard, now_s: float) -> dict[PromptPart, Verdict]:
    """Return the verdict with the most crashes on each part that the replicas report."""
    reports = [each for each in guard.reports.values() if each.verdicts]
    fresh = [each for each in reports if now_s - each.received_s <= REPORT_TIMEOUT_S]
    result: dict[PromptPart, Verdict] = {}
    for report in fresh or reports:
        for part, verdict in report.verdicts.items():
            other = result.get(part)
            if other is None or verdict.crashes > other.crashes:
                result[part] = verdict
    return result


def _is_sound_here(guard: PromptGuard, part: PromptPart, verdict: Verdict) -> bool:
    """Return whether the responses that this entry has seen outweigh the crashes."""
    generated_s = guard.evidence.generated_s.get(part)
    if generated_s is None:
        return False
    return generated_s > verdict.crashed_s or verdict.crashes < SOUND_PART_CRASHES
