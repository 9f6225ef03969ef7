"""What entries report on upstreams from their own requests, joined for all entries."""

from collections.abc import Iterable

from msgspec import Struct, field

from lycheefall._core.messages.relay import (
    EntryStatus,
    LostUpstream,
    PartVerdict,
    SharedRateLimit,
)
from lycheefall._rules import prompt_evidence
from lycheefall._rules.placing.upstream_notices import Start
from lycheefall._rules.prompt_evidence import PromptEvidence
from lycheefall._rules.record_table import RecordTable

# Entries report a crash for 2 s.
LOST_RETENTION_S = 4.0


class StatedRate(Struct):
    """A limit that an upstream has stated to some entry; None if it has none any more."""

    rate_per_s: float | None
    stated_s: float


class UpstreamReports(Struct, eq=False):
    """Crashes, the parts of prompts that were in them, and limits on rates."""

    prompts: PromptEvidence = field(default_factory=PromptEvidence)
    # The verdicts last sent, and the time that they hold for.
    verdicts: tuple[PartVerdict, ...] = ()
    verdicts_s: float = float("-inf")
    # When an entry first reported the crash of a start.
    lost_s: dict[Start, float] = field(default_factory=dict)
    rates: dict[Start, StatedRate] = field(default_factory=dict)


def record_crashes(reports: UpstreamReports, status: EntryStatus, now_s: float) -> bool:
    """Record crashes and what they say of prompts; return whether all entries must know at once."""
    is_lost = _record_lost(reports, status, now_s)
    return _record_prompts(reports, status, now_s) or is_lost


def part_verdicts(reports: UpstreamReports, now_s: float) -> tuple[PartVerdict, ...]:
    """Return the verdicts on the parts of prompts that were in recent crashes.

    All entries are sent the same ones at a time.
    """
    if reports.verdicts_s == now_s:
        return reports.verdicts
    verdicts = prompt_evidence.verdicts(reports.prompts, now_s)
    reports.verdicts_s = now_s
    reports.verdicts = tuple(
        PartVerdict(
            part,
            verdict.crashes,
            now_s - verdict.crashed_s,
            None if verdict.trial_s is None else now_s - verdict.trial_s,
        )
        for part, verdict in verdicts.items()
    )
    return reports.verdicts


def lost(reports: UpstreamReports, now_s: float) -> tuple[LostUpstream, ...]:
    """Return the recent crashes, and forget those that entries no longer report."""
    for start, lost_s in list(reports.lost_s.items()):
        if now_s - lost_s > LOST_RETENTION_S:
            del reports.lost_s[start]
    return tuple(
        LostUpstream(upstream, start_time_ms, now_s - lost_s)
        for (upstream, start_time_ms), lost_s in reports.lost_s.items()
    )


def record_rates(
    reports: UpstreamReports, limits: Iterable[SharedRateLimit], now_s: float
) -> list[Start]:
    """Record limits that upstreams have stated to an entry, and return what has changed."""
    changed: list[Start] = []
    for each in limits:
        start = (each.upstream, each.start_time_ms)
        known = reports.rates.get(start)
        stated_s = now_s - each.age_s
        if known is not None and (stated_s < known.stated_s or each.rate_per_s == known.rate_per_s):
            continue
        reports.rates[start] = StatedRate(each.rate_per_s, stated_s)
        changed.append(start)
    return changed


def shared_rates(
    reports: UpstreamReports, starts: Iterable[Start], now_s: float
) -> tuple[SharedRateLimit, ...]:
    """Return the limits of some upstreams, as far as known."""
    return tuple(
        SharedRateLimit(*start, rate.rate_per_s, now_s - rate.stated_s)
        for start in starts
        if (rate := reports.rates.get(start)) is not None
    )


def forget_rates(reports: UpstreamReports, table: RecordTable) -> None:
    """Forget the limits of upstreams that have left or started anew."""
    for upstream, start_time_ms in list(reports.rates):
        entry = table.entries.get(upstream)
        if entry is None or entry.record.start_time_ms != start_time_ms:
            del reports.rates[upstream, start_time_ms]


def _record_lost(reports: UpstreamReports, status: EntryStatus, now_s: float) -> bool:
    """Record the crashes that an entry has confirmed, and return whether any is new."""
    is_news = False
    for crash in status.crashes:
        start = (crash.upstream, crash.start_time_ms)
        if crash.refuses_connections and start not in reports.lost_s:
            reports.lost_s[start] = now_s
            is_news = True
    return is_news


def _record_prompts(reports: UpstreamReports, status: EntryStatus, now_s: float) -> bool:
    """Record what an entry reports on parts of prompts, and return whether a verdict changes."""
    has_crash = any(crash.prompt_parts for crash in status.crashes)
    if not (has_crash or status.sound_parts or status.part_trials):
        return False
    before = prompt_evidence.verdicts(reports.prompts, now_s)
    reports.verdicts_s = float("-inf")
    for crash in status.crashes:
        if crash.prompt_parts:
            start = (crash.upstream, crash.start_time_ms)
            prompt_evidence.record_crash(reports.prompts, start, crash.prompt_parts, now_s)
    for sound in status.sound_parts:
        prompt_evidence.record_generated(reports.prompts, sound.part, now_s - sound.age_s)
    for trial in status.part_trials:
        prompt_evidence.record_trial(reports.prompts, trial.part, now_s - trial.age_s)
    return before != prompt_evidence.verdicts(reports.prompts, now_s)
