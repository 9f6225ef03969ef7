"""Linearizability checker for the results of applied configuration files.

The specification is a register with compare-and-set on its revision number, so the answers
determine the order of the accepted files. It remains to check that each answer is possible at some
time between its call and its return.
"""

from dataclasses import dataclass

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.control import ApplyFile, FileResult


@dataclass
class Call:
    """A command with its call time, and the return time and result if it was answered."""

    command: ApplyFile
    called_s: float
    returned_s: float | None
    result: FileResult | None


def is_linearizable(calls: list[Call]) -> bool:
    """Return whether some order of all calls explains every answer."""
    accepted = _accepted_digests(calls)
    if accepted is None:
        return False
    # Each revision became active in this interval: no earlier than the call that proposed it, and
    # no later than the first answer that shows it.
    earliest = {each: _first_proposed_s(calls, each, digest) for each, digest in accepted.items()}
    latest = {each: _first_reported_s(calls, each) for each in accepted}
    begin_s = float("-inf")
    for revision in sorted(accepted):
        begin_s = max(begin_s, earliest[revision])
        if begin_s > latest[revision]:
            return False
    return all(_is_possible(call, earliest, latest) for call in calls)


def _accepted_digests(calls: list[Call]) -> dict[int, str] | None:
    """Return the digest of each revision in the answers, or None if two answers differ."""
    accepted: dict[int, str] = {}
    for call in calls:
        if call.result is None or call.result.revision == 0:
            continue
        if accepted.setdefault(call.result.revision, call.result.digest) != call.result.digest:
            return None
    return accepted


def _first_proposed_s(calls: list[Call], revision: int, digest: str) -> float:
    """Return the time of the first call that proposed this file as this revision."""
    times = [
        call.called_s
        for call in calls
        if call.command.replaces + 1 == revision and call.command.digest == digest
    ]
    return min(times, default=float("inf"))


def _first_reported_s(calls: list[Call], revision: int) -> float:
    """Return the time of the first answer that shows this or a later revision as active."""
    times = [
        call.returned_s
        for call in calls
        if call.result is not None
        and call.returned_s is not None
        and call.result.revision >= revision
    ]
    return min(times, default=float("inf"))


def _is_possible(call: Call, earliest: dict[int, float], latest: dict[int, float]) -> bool:
    """Return whether the answer fits the intervals in which the revisions became active."""
    result = call.result
    if result is None or call.returned_s is None:
        return True
    if result.code is ResultCode.OK:
        return result.revision == call.command.replaces + 1 and (
            result.digest == call.command.digest
        )
    if result.code is not ResultCode.FILE_CONFLICT or result.digest == call.command.digest:
        return False
    # A conflict is impossible if the revision number was free during the whole call.
    wanted = call.command.replaces + 1
    if result.revision == wanted:
        return earliest[wanted] <= call.returned_s
    # A file that replaces a revision later than the active one is answered with the active one; the
    # next revision can't have been active before the call.
    following = latest.get(result.revision + 1, float("inf"))
    return result.revision < wanted and following >= call.called_s
