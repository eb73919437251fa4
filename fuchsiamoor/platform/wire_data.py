"""Test data in the platform's formats, for the tests of this adapter."""

import json

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "almaty-a",
    "version": "v1",
    "capacity": 12,
    "state": "ready",
    "cold_left": "0ms",
    "sequence": 4,
    "born": 1_700_000_000_000,
    "holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e"]],
}

CONFIGURATION = {
    "version": "r7",
    "routes": {
        "columns": [
            "name",
            "host",
            "path_prefix",
            "route_kind",
            "timeout",
            "target_latency",
            "priority",
            "weighted_services",
            "max_attempts",
            "allowed_regions",
            "service",
        ],
        "rows": [
            [
                "r-1",
                "ficu95.example",
                "/lohu930/",
                "idempotent",
                "1500ms",
                "600ms",
                2,
                [
                    {"service": "plain", "weight": 90},
                    {"service": "keyed", "weight": 10},
                ],
                2,
                [],
                None,
            ],
            [
                "r-2",
                "ficu95.example",
                "/pufi791/",
                "non_idempotent",
                None,
                "800ms",
                1,
                None,
                2,
                ["almaty", "astana"],
                "plain",
            ],
        ],
    },
    "services": {
        "columns": [
            "name",
            "health_path",
            "max_connections",
            "cold_start",
            "cold_per_s",
            "sharded",
        ],
        "rows": [
            ["plain", "/health", 130, "3s", 16.0, None],
            ["keyed", "/health", 130, "3s", 16.0, True],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}

ORGANISATIONS = {
    "columns": [
        "name",
        "api_keys",
        "priority",
        "rate_per_s",
        "burst",
        "allowed_regions",
    ],
    "rows": [
        ["hule930", ["42q4", "kn2f"], 1, 92, 92, ["almaty"]],
        ["vemi204", ["9zz1"], None, None, None, None],
    ],
}

SETTINGS = {
    "metrics_port": 9464,
    "fields": {
        "limits": {"memory_mb": 300},
        "ip_addr": "10.1.0.38",
        "zone": "almaty-a",
        "region": "almaty",
        "app_addr": "10.1.0.38:8145",
        "service": "huvo11a",
        "listen": {
            "outbound": "10.1.0.38:8147",
            "ready": "10.1.0.38:8141",
            "control": "10.1.0.38:8144",
        },
        "port_range": [7380, 7395],
        "heartbeat": "870ms",
        "platform": {"address": "10.200.1.7:8142", "ttl_min": "1000ms"},
        "bounds": {
            "drain": "2000ms",
            "grace": "6s",
            "hold_max": "10000ms",
            "cold_over": 1.5,
            "cold_slack": 5,
            "budget_ratio": 0.2,
            "budget_slack": 64,
            "evac": "5000ms",
        },
    },
}


def encode_heartbeat(**changes: object) -> bytes:
    """Return the body of a heartbeat, with some fields replaced."""
    return json.dumps(HEARTBEAT | changes).encode()


def encode_configuration(**changes: object) -> bytes:
    """Return the value of a configuration entry, with some fields replaced."""
    return json.dumps(CONFIGURATION | changes).encode()


def encode_settings(**changes: object) -> bytes:
    """Return the content of a settings file, with some fields replaced."""
    return json.dumps(SETTINGS | changes).encode()
