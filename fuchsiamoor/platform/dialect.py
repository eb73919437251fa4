"""Assembles the platform's `Dialect` from the readers and writers of this package."""

from fuchsiamoor.agent import dialect
from fuchsiamoor.platform import heartbeats, operator_entries, wire


def make_dialect() -> dialect.Dialect:
    """Return the functions that encode and decode the platform's protocol."""
    return dialect.Dialect(
        ready_path=heartbeats.READY_PATH,
        catalog_key=operator_entries.CATALOG_KEY,
        read_catalog=operator_entries.read_catalog,
        read_evacuated=operator_entries.read_evacuated,
        read_upstream_call=heartbeats.read_call,
        read_heartbeat=heartbeats.read_heartbeat,
        write_heartbeat_answer=heartbeats.write_answer,
        read_deregistration=heartbeats.read_deregistration,
        read_request=wire.read_request,
        write_request=wire.write_request,
        match_answer=wire.match_answer,
        read_answer=wire.read_answer,
        write_health_check=wire.write_health_check,
        read_health=wire.read_health,
        write_request_id=wire.write_request_id,
    )
