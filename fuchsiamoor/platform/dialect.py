"""The platform's dialect: every reader and writer of this folder in one place."""

from fuchsiamoor.agent import dialect
from fuchsiamoor.platform import heartbeats, publications, wire


def make_dialect() -> dialect.Dialect:
    """Return the platform's dialect."""
    return dialect.Dialect(
        ready_path=heartbeats.READY_PATH,
        catalog_key=publications.CATALOG_KEY,
        read_catalog=publications.read_catalog,
        read_evacuated=publications.read_evacuated,
        read_upstream_call=heartbeats.read_call,
        read_heartbeat=heartbeats.read_heartbeat,
        write_heartbeat_answer=heartbeats.write_answer,
        read_request=wire.read_request,
        write_request=wire.write_request,
        is_answer_to=wire.is_answer_to,
        read_answer=wire.read_answer,
        write_health_check=wire.write_health_check,
        read_health=wire.read_health,
        write_request_id=wire.write_request_id,
    )
