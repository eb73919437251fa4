"""Formats simulated runs of an ownership domain as text for golden files.

A line is a fault, an event that a coordinator handled, an action that it took, or a
change in which members serve a shard. Renewals, ticks and acknowledgements are omitted.
"""

from fuchsiamoor.core import tables
from fuchsiamoor.ownership import events
from fuchsiamoor.testing import ownership_faults as faults
from fuchsiamoor.testing import ownership_simulation as simulation

_OMITTED_EVENTS = (
    events.Tick,
    events.RenewReceived,
    events.StoreLeaseRenewed,
    events.TableAckReceived,
)


def format_session(
    schedule: faults.Schedule,
    until_ms: int,
    size: int = 4,
    checks_grants: bool = True,
) -> str:
    """Simulate a schedule of faults with a fixed seed and return the trace.

    Parameters
    ----------
    schedule : list of tuple of int and Fault
        Each fault with its time, in milliseconds.
    until_ms : int
        End of the simulation.
    size : int
        Number of daemons. The first four are in different data centres.
    checks_grants : bool
        Whether the upstreams refuse requests without a valid grant.

    Returns
    -------
    str
    """
    lines: list[str] = []
    served: dict[int, list[str]] = {}
    written = tables.make_empty_table("", 0)

    def observe(now_ms: int, member_id: str, seen: object) -> None:
        nonlocal served, written
        match seen:
            case dict():
                if seen != served:
                    lines.append(f"{now_ms:6} = {_describe_served(served, seen)}")
                    served = seen
            case events.WriteTable(table):
                change = _describe_change(written, table)
                lines.append(f"{now_ms:6} {member_id} > WriteTable {change}")
                written = table
            case _ if not isinstance(seen, _OMITTED_EVENTS):
                is_action = isinstance(seen, events.Action)
                mark = ">" if is_action else "<" if member_id else "!"
                lines.append(
                    f"{now_ms:6} {member_id or 'fault'} {mark} {_describe(seen)}"
                )

    world = simulation.make_world(1, size, checks_grants)
    world.observe = observe
    simulation.run_schedule(world, schedule, until_ms)
    return "\n".join(lines) + "\n"


def _describe(seen: object) -> str:
    match seen:
        case events.MembersChanged(members):
            names = " ".join(sorted(member.member_id for member in members))
            return f"MembersChanged {names}"
        case events.ConfigurationChanged(configuration):
            out = " ".join(sorted(configuration.data_centres_out)) or "none"
            return f"ConfigurationChanged {configuration.revision}, out: {out}"
        case events.TableConflict(version, table):
            revision = table.revision if table else 0
            return f"TableConflict version {version}, revision {revision}"
        case events.PushTable(table, member_ids):
            return f"PushTable revision {table.revision} to {' '.join(member_ids)}"
        case events.AskRelease(member_id, prepare, _):
            shards = _join(prepare.shards)
            return f"AskRelease {member_id}, move {prepare.move_id}: {shards}"
        case events.ReleasedReceived(member_id, released):
            shards = _join(released.shards)
            return f"ReleasedReceived {member_id}, move {released.move_id}: {shards}"
        case faults.Cut(slots, store, duration_ms):
            suffix = " and the store" if store else ""
            return f"Cut i{_join(sorted(slots))}{suffix} for {duration_ms} ms"
        case faults.Kill(slots, restart_after_ms):
            return f"Kill i{_join(sorted(slots))}, restart after {restart_after_ms} ms"
        case faults.Pause(slots, duration_ms):
            return f"Pause i{_join(sorted(slots))} for {duration_ms} ms"
    return str(seen)


def _describe_change(before: tables.ShardTable, table: tables.ShardTable) -> str:
    parts = [f"revision {table.revision} term {table.term}"]
    moved: dict[str, list[int]] = {}
    for shard, owner in enumerate(table.owners):
        existed = shard < len(before.owners)
        if owner and not (existed and before.owners[shard] == owner):
            moved.setdefault(owner, []).append(shard)
    parts += [f"{_join(shards)} to {owner}" for owner, shards in sorted(moved.items())]
    if table.pending != before.pending:
        pending = _join(sorted(table.pending)) or "none"
        parts.append(f"pending {pending}")
    if (table.voters, table.previous_voters) != (before.voters, before.previous_voters):
        voters = " ".join(f"{name}*{votes}" for name, votes in table.voters)
        changing = ", joint" if table.previous_voters else ""
        parts.append(f"voters {voters}{changing}")
    if table.isolated != before.isolated:
        parts.append(f"isolated {_join(sorted(table.isolated.values())) or 'none'}")
    return "; ".join(parts)


def _describe_served(before: dict[int, list[str]], served: dict[int, list[str]]) -> str:
    changed: dict[str, list[int]] = {}
    for shard, owners in served.items():
        if before.get(shard, []) != owners:
            changed.setdefault(" ".join(owners) or "nobody", []).append(shard)
    return "; ".join(
        f"{_join(shards)} served by {owner}"
        for owner, shards in sorted(changed.items())
    )


def _join(shards) -> str:
    return ",".join(str(shard) for shard in shards)
