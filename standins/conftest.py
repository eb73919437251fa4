"""Fixtures of the end-to-end tests."""

import pytest

from standins.testing import end_to_end


@pytest.fixture(scope="session")
def shared_deployment(tmp_path_factory):
    """Provide the deployment that all end-to-end tests use."""
    deployment = end_to_end.SharedDeployment(tmp_path_factory.mktemp)
    yield deployment
    deployment.stop()
    deployment.runner.close()


@pytest.fixture
def run(shared_deployment, request):
    """Return a function that runs a scenario on the common deployment."""
    return lambda scenario: shared_deployment.run(request.node.name, scenario)
