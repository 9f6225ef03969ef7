"""Tests of accepted configuration files and of recorded command results."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lycheefall._core.codes import ResultCode
from lycheefall._core.ids import CommandId, Digest, Incarnation, LeaseName, Revision
from lycheefall._core.messages.consensus import Submitted
from lycheefall._core.messages.control import AcquireLease, ApplyFile, FileResult
from lycheefall._rules.replicated import machine, revisions
from processes.replica import parse_number

apply = revisions.applier(parse_number)


def digest_of(text: str) -> Digest:
    """Return a fake digest of a file."""
    return Digest(f"digest-{text}")


def apply_file(state: revisions.Revisions, replaces: int, text: str) -> FileResult:
    """Apply a file and return the result."""
    return apply(state, ApplyFile(Revision(replaces), digest_of(text), text), 0)[1]


class TestRevisions:
    def test_accepted(self) -> None:
        """Guards against an accepted file that does not take effect."""
        state = revisions.initial()
        assert apply_file(state, 0, "5") == FileResult(ResultCode.OK, Revision(1), digest_of("5"))
        assert state.configuration.limits.queue_requests == 5
        assert state.configuration.digest == digest_of("5")

    def test_conflict_reports_the_accepted_file(self) -> None:
        """Guards against two files accepted as the same revision."""
        state = revisions.initial()
        apply_file(state, 0, "5")
        apply_file(state, 1, "6")
        result = apply_file(state, 0, "7")
        assert result.code is ResultCode.FILE_CONFLICT
        assert (result.revision, result.digest) == (1, digest_of("5"))
        assert state.configuration.limits.queue_requests == 6

    def test_resend_gets_the_first_answer(self) -> None:
        """Guards against a conflict reported for a file resent after its answer was lost."""
        state = revisions.initial()
        first = apply_file(state, 0, "5")
        apply_file(state, 1, "6")
        assert apply_file(state, 0, "5") == first

    def test_file_for_a_later_revision(self) -> None:
        """Guards against a gap in the revision numbers."""
        state = revisions.initial()
        result = apply_file(state, 3, "5")
        assert (result.code, result.revision) == (ResultCode.FILE_CONFLICT, 0)

    def test_invalid_file_takes_no_number(self) -> None:
        """Guards against an invalid file that changes the current configuration."""
        state = revisions.initial()
        apply_file(state, 0, "5")
        result = apply_file(state, 1, "five")
        assert (result.code, result.revision) == (ResultCode.FILE_FIELD, 1)
        assert "not a number" in result.detail
        assert apply_file(state, 1, "6").code is ResultCode.OK


class TestMachine:
    def test_command_sent_again(self) -> None:
        """Guards against applying a command twice when it is resent after a lost answer."""
        apply_command = machine.applier(parse_number)
        state = machine.initial()
        command = AcquireLease(LeaseName("l"), Incarnation("a"), 1.0)
        submitted = Submitted(CommandId("1"), command)
        first = apply_command(state, submitted, 0)[1]
        assert apply_command(state, submitted, 900)[1] == first
        assert state.leases.granted[LeaseName("l")].expires_ms == 1_000

    def test_results_expire(self) -> None:
        """Guards against recorded results that accumulate without bound."""
        apply_command = machine.applier(parse_number)
        state = machine.initial()
        command = AcquireLease(LeaseName("l"), Incarnation("a"), 1.0)
        for number in range(100):
            timestamp_ms = number * machine.RESULT_RETENTION_MS // 10
            apply_command(state, Submitted(CommandId(str(number)), command), timestamp_ms)
        assert len(state.results) == 11


class RevisionsMachine(RuleBasedStateMachine):
    """Compares the revisions with a list of the accepted files."""

    @initialize()
    def open(self) -> None:
        """Start without an accepted file."""
        self.state = revisions.initial()
        self.accepted: list[str] = []

    @rule(back=st.integers(-1, 3), text=st.sampled_from(["1", "2", "3", "bad"]))
    def send(self, back: int, text: str) -> None:
        """Apply a file that replaces a revision near the current one."""
        replaces = max(0, len(self.accepted) - back)
        result = apply_file(self.state, replaces, text)
        if replaces == len(self.accepted) and text != "bad":
            self.accepted.append(text)
        if replaces < len(self.accepted):
            accepted = self.accepted[replaces]
            assert (result.code is ResultCode.OK) == (accepted == text)
            assert (result.revision, result.digest) == (replaces + 1, digest_of(accepted))
        else:
            assert result.code in (ResultCode.FILE_CONFLICT, ResultCode.FILE_FIELD)

    @invariant()
    def in_force(self) -> None:
        """Check that the last accepted file is the current configuration."""
        assert self.state.configuration.revision == len(self.accepted)
        if self.accepted:
            assert self.state.configuration.digest == digest_of(self.accepted[-1])


RevisionsMachine.TestCase.settings = settings(max_examples=50, deadline=None, derandomize=True)
TestRevisionsMachine = RevisionsMachine.TestCase
