"""Pytest configuration: Hypothesis profiles and the tests listed in KNOWN-RED.txt."""

import os
import pathlib

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "deep",
    deadline=None,
    max_examples=2000,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures; they still run."""
    if not KNOWN_RED.exists():
        return
    lines = KNOWN_RED.read_text().splitlines()
    red = {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
