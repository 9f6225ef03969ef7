"""Format the status report of a control replica."""

from lycheefall._core.messages.control import StatusReport
from lycheefall._core.messages.membership import EntryMember, Member, UpstreamMember


def format_status(report: StatusReport) -> str:
    """Return a status report as text."""
    lines = [
        f"replica {report.instance}: {report.role}, term {report.term}, "
        f"commit {report.commit_index}, leader {report.leader or 'unknown'}",
        f"voters: {', '.join(report.voters)}",
        f"configuration: revision {report.revision}, digest {report.digest}",
        f"claims: {report.claims}",
        f"evacuated data centres: {', '.join(report.evacuations.data_centres) or 'none'}",
    ]
    lines += [
        f"group {group.group}: epoch {group.epoch} from step {group.first_step}"
        for group in report.groups
    ]
    return "\n".join(lines + [_format_member(member) for member in _sorted_members(report.members)])


def _sorted_members(members: tuple[Member, ...]) -> list[Member]:
    return sorted(members, key=lambda member: (type(member).__name__, member.instance))


def _format_member(member: Member) -> str:
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
