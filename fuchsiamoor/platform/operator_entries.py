"""Decodes the store entries that operators write: configurations and evacuations."""

import json

from fuchsiamoor.platform import scalars
from fuchsiamoor.traffic import catalog, organisations

CATALOG_KEY = "op/config"
EVACUATE_PREFIX = "op/evacuate/"

_DEFAULT_TIMEOUT_MS = 60_000


def read_evacuated(key: str) -> str | None:
    """Return the data centre that an evacuation key names, None for any other key.

    Examples
    --------
    >>> read_evacuated("op/evacuate/bog-a")
    'bog-a'
    """
    if not key.startswith(EVACUATE_PREFIX):
        return None
    return key.removeprefix(EVACUATE_PREFIX)


def read_catalog(content: bytes) -> catalog.Catalog:
    """Decode a configuration from its value in the store.

    Raises
    ------
    ValueError
        If it is malformed; the current version then stays in force.
    """
    try:
        document = json.loads(content)
        limits = document["limits"]
        return catalog.make_catalog(
            scalars.read_version(document["version"]),
            [_read_route(row) for row in _list_rows(document["routes"])],
            [_read_service(row) for row in _list_rows(document["services"])],
            catalog.CallerLimits(
                header_bytes=scalars.read_int(
                    limits["max_header_bytes"], "max_header_bytes"
                ),
                body_bytes=scalars.read_int(limits["max_body_bytes"], "max_body_bytes"),
                header_timeout_ms=scalars.read_duration_ms(limits["header_timeout"]),
                idle_timeout_ms=scalars.read_duration_ms(limits["idle_timeout"]),
            ),
            _read_organisations(document.get("tenants")),
        )
    except scalars.MALFORMED as error:
        raise ValueError(f"configuration: malformed: {error!r}") from error


def _list_rows(table: dict) -> list[dict]:
    """Return each row as a dict by column name, without null values."""
    columns = scalars.read_list(table["columns"], "columns")
    return [
        {
            name: value
            for name, value in zip(columns, scalars.read_list(row, "row"), strict=True)
            if value is not None
        }
        for row in scalars.read_list(table["rows"], "rows")
    ]


def _read_route(row: dict) -> catalog.Route:
    shares = scalars.read_list(row.get("weighted_services", []), "weighted_services")
    shares = shares or [{"service": row["service"], "weight": 1}]
    target_ms = scalars.read_duration_ms(row["target_latency"])
    timeout = row.get("timeout")
    return catalog.Route(
        name=scalars.read_text(row["name"], "route"),
        host=scalars.read_text(row["host"], "host").lower(),
        path_prefix=scalars.read_text(row["path_prefix"], "path_prefix"),
        shares=tuple(
            catalog.ServiceShare(
                scalars.read_text(share["service"], "service"),
                scalars.read_float(share["weight"], "weight"),
            )
            for share in shares
        ),
        is_idempotent=row["route_kind"] == "idempotent",
        timeout_ms=(
            scalars.read_duration_ms(timeout) if timeout else _DEFAULT_TIMEOUT_MS
        ),
        target_latency_ms=target_ms,
        rank=scalars.read_int(row.get("priority", 0), "priority"),
        attempts_max=max(1, scalars.read_int(row.get("max_attempts", 1), "attempts")),
        home_regions=_read_regions(row.get("allowed_regions", [])),
        is_public=scalars.read_bool(row.get("public", False), "public"),
    )


def _read_regions(names: object) -> frozenset[str]:
    names = scalars.read_list(names, "allowed_regions")
    return frozenset(scalars.read_text(name, "region") for name in names)


def _read_organisations(table: dict | None) -> organisations.Organisations | None:
    """Decode the organisations; an error names no value, as it may be a key."""
    if table is None:
        return None
    try:
        rows = [_read_organisation(row) for row in _list_rows(table)]
    except (ValueError, *scalars.MALFORMED) as error:
        raise ValueError(f"organisations: {type(error).__name__}") from None
    return organisations.make_organisations(rows)


def _read_organisation(row: dict) -> organisations.Organisation:
    rate_per_s = scalars.read_float(row.get("rate_per_s", 0), "rate_per_s")
    burst = scalars.read_float(row.get("burst", 0), "burst")
    return organisations.Organisation(
        name=scalars.read_text(row["name"], "organisation"),
        key_digests=_digest_keys(row.get("api_keys", [])),
        priority=max(0, scalars.read_int(row.get("priority", 0), "priority")),
        quota=organisations.Quota(rate_per_s, burst) if rate_per_s > 0 else None,
        home_regions=_read_regions(row.get("allowed_regions", [])),
    )


def _digest_keys(keys: object) -> frozenset[bytes]:
    """Return the digests of an organisation's keys; no error shows a key."""
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError("api_keys: expected a list of texts")
    return frozenset(organisations.digest_key(key.encode()) for key in keys)


def _read_service(row: dict) -> catalog.ServiceSettings:
    cold_start = row.get("cold_start")
    return catalog.ServiceSettings(
        name=scalars.read_text(row["name"], "service"),
        health_path=scalars.read_text(row.get("health_path", "/health"), "health_path"),
        connections_max=scalars.read_int(
            row.get("max_connections", 64), "max_connections"
        ),
        cold_start_ms=scalars.read_duration_ms(cold_start) if cold_start else 0,
        cold_per_s=scalars.read_float(row.get("cold_per_s", 0.0), "cold_per_s"),
        is_keyed=scalars.read_bool(row.get("sharded", False), "sharded"),
    )
