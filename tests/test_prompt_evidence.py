"""Tests of finding the parts of prompts on which upstreams crash."""

from hypothesis import given
from hypothesis import strategies as st

from lycheefall._core.ids import PromptPart, UpstreamId
from lycheefall._rules.prompt_evidence import (
    MAX_CRASHES,
    MAX_GENERATED_PARTS,
    MAX_PARTS_PER_CRASH,
    RETENTION_S,
    SOUND_PART_CRASHES,
    PromptEvidence,
    record_crash,
    record_generated,
    verdicts,
)

COMMON = PromptPart("c0")
CRASHING = PromptPart("dead")
RARE = PromptPart("a1")


def crash(evidence: PromptEvidence, number: int, at_s: float, *parts: PromptPart) -> None:
    """Record the crash of a start of an upstream."""
    record_crash(evidence, (UpstreamId(f"u{number}"), 1), parts, at_s)


def counts(evidence: PromptEvidence, now_s: float) -> dict[PromptPart, int]:
    """Return the crashes blamed on each suspected part."""
    found = verdicts(evidence, now_s).items()
    return {part: verdict.crashes for part, verdict in found if verdict.crashes}


class TestVerdicts:
    def test_sound_part_beside_a_crashing_one(self) -> None:
        """Guards against sound requests that are refused for a part they share with others."""
        evidence = PromptEvidence()
        record_generated(evidence, COMMON, 1.0)
        for number in range(5):
            crash(evidence, number, 2.0 + number, COMMON, CRASHING)
        assert counts(evidence, 8.0) == {CRASHING: 5}

    def test_response_clears_a_part(self) -> None:
        """Guards against a part that stays suspected after an unrelated crash."""
        evidence = PromptEvidence()
        crash(evidence, 1, 1.0, RARE)
        assert counts(evidence, 2.0) == {RARE: 1}
        record_generated(evidence, RARE, 3.0)
        assert counts(evidence, 3.0) == {}

    def test_crash_reported_again(self) -> None:
        """Guards against a part that is suspected again by a second report of the same crash."""
        evidence = PromptEvidence()
        crash(evidence, 1, 1.0, RARE)
        record_generated(evidence, RARE, 1.5)
        assert counts(evidence, 1.5) == {}
        crash(evidence, 1, 2.0, RARE)
        assert verdicts(evidence, 2.0) == {}

    def test_response_seen_elsewhere_before_the_crash(self) -> None:
        """Guards against a part that is suspected because its responses went to other entries."""
        evidence = PromptEvidence()
        crash(evidence, 1, 1.0, RARE)
        record_generated(evidence, RARE, 0.5)
        assert counts(evidence, 2.0) == {}

    def test_part_in_the_most_crashes_is_blamed(self) -> None:
        """Guards against new parts that are blamed for what another part did before and after."""
        evidence = PromptEvidence()
        for number in range(3):
            crash(evidence, number, 1.0 + number, CRASHING, PromptPart(f"b{number}"))
        assert counts(evidence, 5.0) == {CRASHING: 3}

    def test_part_that_became_a_crashing_one(self) -> None:
        """Guards against a part that is never suspected because it was sound once."""
        evidence = PromptEvidence()
        record_generated(evidence, COMMON, 0.5)
        for number in range(SOUND_PART_CRASHES):
            assert counts(evidence, 1.0 + number) == {}
            crash(evidence, number, 1.0 + number, COMMON)
        assert counts(evidence, 5.0) == {COMMON: SOUND_PART_CRASHES}

    def test_crashes_with_responses_in_between(self) -> None:
        """Guards against a common part that is refused because it is present at all crashes."""
        evidence = PromptEvidence()
        for number in range(10):
            record_generated(evidence, COMMON, float(number))
            crash(evidence, number, number + 0.5, COMMON)
        assert counts(evidence, 10.0) == {}

    def test_several_entries_report_one_crash(self) -> None:
        """Guards against one crash that counts once for each entry."""
        evidence = PromptEvidence()
        for _ in range(4):
            crash(evidence, 1, 1.0, CRASHING)
        assert counts(evidence, 2.0) == {CRASHING: 1}

    def test_expires(self) -> None:
        """Guards against parts that stay blocked for good."""
        evidence = PromptEvidence()
        crash(evidence, 1, 1.0, CRASHING)
        assert counts(evidence, 2.0 + RETENTION_S) == {}


class TestBounds:
    @given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 2**32), st.booleans())))
    def test_memory(self, events: list[tuple[int, int, bool]]) -> None:
        """Guards against callers that fill the memory with parts of their choice."""
        evidence = PromptEvidence()
        for at_s, (start, value, is_crash) in enumerate(events):
            parts = [PromptPart(f"{value}-{n}") for n in range(MAX_PARTS_PER_CRASH + 1)]
            if is_crash:
                crash(evidence, start, float(at_s), *parts)
            else:
                record_generated(evidence, parts[0], float(at_s))
        assert len(evidence.crashes) <= MAX_CRASHES
        assert all(len(each.parts) <= MAX_PARTS_PER_CRASH for each in evidence.crashes.values())

    def test_generated_parts(self) -> None:
        """Guards against callers that fill the memory with sound parts."""
        evidence = PromptEvidence()
        for number in range(MAX_GENERATED_PARTS + 10):
            record_generated(evidence, PromptPart(str(number)), float(number))
        assert len(evidence.generated_s) == MAX_GENERATED_PARTS
        assert PromptPart(str(MAX_GENERATED_PARTS + 9)) in evidence.generated_s
