"""Builders of settings and configuration documents for tests."""

import json


def make_settings_document(**changes) -> dict:
    """Return a valid settings document with some fields replaced."""
    document = {
        "instance": "almaty-1-a",
        "service": "stock",
        "region": "almaty",
        "data_centre": "almaty-1",
        "caller_address": "127.0.0.1:7001",
        "peer_address": "127.0.0.1:7002",
        "operator_address": "127.0.0.1:7003",
        "announce_address": "127.0.0.1:7004",
        "upstream_address": "127.0.0.1:7005",
        "store_url": "http://127.0.0.1:7400",
        "statsd_address": None,
        "peer_keys": ["peer-key-0123456789"],
        "operator_keys": ["operator-key-0123456789"],
    }
    return document | changes


def encode(document: object) -> bytes:
    """Return a document as JSON bytes."""
    return json.dumps(document).encode()


def make_configuration_document(**changes) -> dict:
    """Return a valid configuration document with some fields replaced."""
    document = {
        "services": {"booking": {"shards": 16}, "stock": {"key": "optional"}},
        "regions": {
            "almaty": {"data_centres": ["almaty-1", "almaty-2"]},
            "astana": {"data_centres": ["astana-1", "astana-2"]},
            "aktobe": {"data_centres": ["aktobe-1", "aktobe-2"]},
        },
        "data_centres_out": [],
        "tenants": {
            "default": {"home_regions": ["almaty", "astana", "aktobe"]},
            "clinics": {"home_regions": ["astana"]},
        },
        "overrides": [],
        "moves_per_minute": 30,
    }
    return document | changes


def make_override(place: str, name: str, service: str = "stock", **subject) -> dict:
    """Return an override pinned to ``name`` of kind ``place``, such as ``region``."""
    return {"service": service, **subject, "hold_to": {place: name}}
