"""Print how a control replica sees the system."""

from lycheefall._core.messages.control import StatusReport
from lycheefall._core.messages.membership import EntryMember, Member, UpstreamMember


def describe(report: StatusReport) -> str:
    """Return the lines of a status report."""
    lines = [
        f"replica {report.instance}: {report.role}, term {report.term}, "
        f"commit {report.commit_index}, leader {report.leader or 'unknown'}",
        f"voters: {', '.join(report.voters)}",
        f"configuration: revision {report.revision}, digest {report.digest}",
        f"claims: {report.claims}",
    ]
    lines += [
        f"group {each.group}: epoch {each.epoch} from step {each.first_step}"
        for each in report.groups
    ]
    return "\n".join(lines + [_member(member) for member in _ordered(report.members)])


def _ordered(members: tuple[Member, ...]) -> list[Member]:
    return sorted(members, key=lambda member: (type(member).__name__, member.instance))


def _member(member: Member) -> str:
    match member:
        case EntryMember():
            return (
                f"entry {member.instance} ({member.data_centre}): {member.state.value}, "
                f"callers at {member.address}"
            )
        case UpstreamMember():
            load = member.load
            return (
                f"upstream {member.upstream} ({member.data_centre}, {member.pool}): "
                f"{member.state.value}, {load.running} running, {load.waiting} waiting"
            )
