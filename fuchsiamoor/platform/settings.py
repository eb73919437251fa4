"""Loads the settings file, which the platform fills in from `deploy/settings.json`."""

import json
import os
from pathlib import Path

from fuchsiamoor.core import addresses, agent_settings, errors, faults
from fuchsiamoor.platform import scalars

PATH_VARIABLE = "FUCHSIAMOOR_BOOT"
# Part of the terms under which upstreams reset connections when they are full.
PRESSURE_TERMS = "pressure"
# Where the settings name none: the least of a machine on the platform.
DESCRIPTORS_DEFAULT = 4_100
# Copies also come out of the retry budget, which is about a fifth of all requests.
COPIES_SHARE_MAX = 0.2


def load_settings() -> agent_settings.AgentSettings:
    """Read the settings file whose path is in the environment variable.

    Raises
    ------
    InvalidDocumentError
        If the file cannot be read or decoded.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        return read_settings(Path(path).read_bytes())
    except (OSError, ValueError, LookupError, TypeError) as error:
        fault = faults.Fault(
            f"{PATH_VARIABLE}={path}",
            repr(error)[:200],
            "settings in the form of the template in deploy/",
        )
        raise errors.InvalidDocumentError([fault]) from error


def read_settings(content: bytes) -> agent_settings.AgentSettings:
    """Decode the settings.

    Raises
    ------
    ValueError, LookupError, TypeError
        If they are malformed.
    """
    document = json.loads(content)
    fields = document["fields"]
    host = scalars.read_text(fields["ip_addr"], "ip_addr")
    listen = fields["listen"]
    store = fields["platform"]
    metrics_port = document.get("metrics_port")
    limits = fields["limits"]
    return agent_settings.AgentSettings(
        instance=host,
        service=scalars.read_text(fields["service"], "service"),
        region=scalars.read_text(fields["region"], "region"),
        data_centre=scalars.read_text(fields["zone"], "zone"),
        caller_address=scalars.read_address(listen["outbound"]),
        upstream_address=scalars.read_address(fields["app_addr"]),
        control_address=scalars.read_address(listen["control"]),
        ready_address=scalars.read_address(listen["ready"]),
        peer_address=addresses.Address(
            host, scalars.read_int(fields["port_range"][0], "port_range")
        ),
        metrics_address=(
            addresses.Address(host, scalars.read_int(metrics_port, "metrics_port"))
            if metrics_port
            else None
        ),
        store_address=scalars.read_address(store["address"]),
        heartbeat_ms=scalars.read_duration_ms(fields["heartbeat"]),
        lease_min_ms=scalars.read_duration_ms(store["ttl_min"]),
        memory_bytes=scalars.read_int(limits["memory_mb"], "memory_mb") * 1_000_000,
        bounds=_read_bounds(fields["bounds"]),
        descriptors=scalars.read_int(
            limits.get("max_fds", DESCRIPTORS_DEFAULT), "max_fds"
        ),
        learns_from_resets=PRESSURE_TERMS in fields.get("active_contracts", ()),
        copies_share=_read_share(document.get("copies_share", 0.0)),
    )


def _read_share(value: object) -> float:
    share = scalars.read_float(value, "copies_share")
    if not 0.0 <= share <= COPIES_SHARE_MAX:
        raise ValueError(
            f"copies_share: found {share}, expected 0 to {COPIES_SHARE_MAX}"
        )
    return share


def _read_bounds(bounds: dict) -> agent_settings.Bounds:
    return agent_settings.Bounds(
        drain_ms=scalars.read_duration_ms(bounds["drain"]),
        grace_ms=scalars.read_duration_ms(bounds["grace"]),
        hold_max_ms=scalars.read_duration_ms(bounds.get("hold_max", "10s")),
        cold_ratio=float(bounds["cold_over"]),
        retry_ratio=float(bounds["budget_ratio"]),
        retry_spare=float(bounds["budget_slack"]),
        quota_window_ms=scalars.read_duration_ms(bounds.get("quota_window", "5s")),
        quota_ratio=float(bounds.get("quota_over", 0)),
        quota_spare=float(bounds.get("quota_slack", 0)),
    )
