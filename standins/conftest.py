"""Fixtures of the end-to-end tests."""

import pytest

from standins.testing import scenes


@pytest.fixture(scope="session")
def shared(tmp_path_factory):
    """Return the deployment that all end-to-end tests share."""
    made = scenes.Shared(tmp_path_factory.mktemp)
    yield made
    made.stop()
    made.runner.close()


@pytest.fixture
def run(shared, request):
    """Return what runs a scenario on the shared deployment."""
    return lambda scenario: shared.run(request.node.name, scenario)
