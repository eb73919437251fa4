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
    """Return a document as the text of a file."""
    return json.dumps(document).encode()
