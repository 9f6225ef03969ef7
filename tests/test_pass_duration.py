"""Tests of estimating pass durations from the performance model of an engine."""

import pytest
from msgspec import structs

from lycheefall._core.relay import EngineModel, ExpertLayout
from lycheefall._rules.pass_duration import (
    longest_pass_s,
    observed_ratio,
    pass_s,
    settled_pass_s,
    usable_share,
)

LAYOUT = ExpertLayout(
    sets=12,
    experts=128,
    expert_slots=5,
    spare=2,
    expert_bytes=150e6,
    link_bytes_per_s=11.5e9,
    work_share=0.85,
)
ENGINE = EngineModel(
    slots=5,
    memory_tokens=155_000,
    step_s=0.00585,
    step_per_request_s=0.000852,
    step_per_context_token_s=8.6e-8,
    prefill_tokens_per_s=61_200.0,
    prefill_per_pair_s=3.25e-10,
    chunk_tokens=512,
    steps_per_pass=6,
    usual_prompt_tokens=835.0,
    usual_answer_tokens=139.0,
    layout=LAYOUT,
)


class TestLongestPass:
    def test_grows_with_the_batch(self) -> None:
        """Guards against full batches whose streams are all late after a shift."""
        assert longest_pass_s(ENGINE, 4) < 0.108 < longest_pass_s(ENGINE, 5) < 0.13

    def test_without_experts(self) -> None:
        """Guards against smaller batches of engines without an expert layout."""
        dense = structs.replace(ENGINE, layout=None)
        assert longest_pass_s(dense, 5) < 0.07


class TestUsableShare:
    def test_one_slot_unused(self) -> None:
        """Guards against a first shift in a flood that makes all streams late."""
        assert usable_share(ENGINE, 0.12) == 0.8

    def test_all_slots(self) -> None:
        """Guards against unused slots where pauses are short even with full batches."""
        assert usable_share(ENGINE, 0.3) == 1.0
        assert usable_share(ENGINE, 0.0) == 1.0

    def test_never_below_half(self) -> None:
        """Guards against engines left idle for a target that no batch meets."""
        assert usable_share(ENGINE, 0.01) == 0.5


class TestSettledPass:
    def test_observed_ratio(self) -> None:
        """Guards against a ratio that does not match the passes from which it was derived."""
        assert observed_ratio(ENGINE, 3, pass_s(ENGINE, 3, 2.5)) == pytest.approx(2.5)
        assert observed_ratio(ENGINE, 0, 0.5) == 1.0
        assert observed_ratio(ENGINE, 3, 0.0) == 1.0

    def test_more_requests_run_in_longer_passes(self) -> None:
        """Guards against a shift that counts as harmless until the requests have piled up."""
        even_s = pass_s(ENGINE, 2, 1.0)
        arrivals = 2 / even_s
        assert settled_pass_s(ENGINE, arrivals, 1.0) == pytest.approx(even_s)
        assert settled_pass_s(ENGINE, arrivals, 2.5) > pass_s(ENGINE, 2, 2.5)

    def test_overload(self) -> None:
        """Guards against a negative or endless pass when requests arrive faster than they end."""
        assert settled_pass_s(ENGINE, 1e6, 3.0) == pass_s(ENGINE, ENGINE.slots, 3.0)
