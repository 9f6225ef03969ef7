"""A small linearizability checker for applied files.

The specification is a register with compare-and-set on its number, so the order of the accepted
files is known from their answers. What remains is to check each answer against the interval of
time in which it can have been given.
"""

from dataclasses import dataclass

from lycheefall._core.codes import ResultCode
from lycheefall._core.messages.control import ApplyFile, FileResult


@dataclass
class Call:
    """A command, when it was sent, and when it was answered with what, if it was."""

    command: ApplyFile
    called_s: float
    returned_s: float | None
    result: FileResult | None


def is_linearizable(calls: list[Call]) -> bool:
    """Tell whether one order of all calls explains every answer."""
    winners = _winners(calls)
    if winners is None:
        return False
    # Each revision came into force in this interval: it can't have been before the call that
    # proposed it, nor after the first answer that names it.
    earliest = {each: _first_called(calls, each, digest) for each, digest in winners.items()}
    latest = {each: _first_named(calls, each) for each in winners}
    begin_s = float("-inf")
    for revision in sorted(winners):
        begin_s = max(begin_s, earliest[revision])
        if begin_s > latest[revision]:
            return False
    return all(_is_explained(call, earliest, latest) for call in calls)


def _winners(calls: list[Call]) -> dict[int, str] | None:
    """Return the digest of each revision that an answer names; None where two differ."""
    winners: dict[int, str] = {}
    for call in calls:
        if call.result is None or call.result.revision == 0:
            continue
        if winners.setdefault(call.result.revision, call.result.digest) != call.result.digest:
            return None
    return winners


def _first_called(calls: list[Call], revision: int, digest: str) -> float:
    times = [
        call.called_s
        for call in calls
        if call.command.replaces + 1 == revision and call.command.digest == digest
    ]
    return min(times, default=float("inf"))


def _first_named(calls: list[Call], revision: int) -> float:
    """Return the time of the first answer that shows this revision, or a later one, in force."""
    times = [
        call.returned_s
        for call in calls
        if call.result is not None
        and call.returned_s is not None
        and call.result.revision >= revision
    ]
    return min(times, default=float("inf"))


def _is_explained(call: Call, earliest: dict[int, float], latest: dict[int, float]) -> bool:
    result = call.result
    if result is None or call.returned_s is None:
        return True
    if result.code is ResultCode.OK:
        return result.revision == call.command.replaces + 1 and (
            result.digest == call.command.digest
        )
    if result.code is not ResultCode.FILE_CONFLICT or result.digest == call.command.digest:
        return False
    # A conflict over a number that was free during the whole call has no explanation.
    wanted = call.command.replaces + 1
    if result.revision == wanted:
        return earliest[wanted] <= call.returned_s
    # A file ahead of the numbers is told the revision in force; the next one can't have been in
    # force before the call.
    following = latest.get(result.revision + 1, float("inf"))
    return result.revision < wanted and following >= call.called_s
