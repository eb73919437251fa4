"""An in-memory fleet of daemons with operator endpoints, for tests of the CLI."""

import httpx

from fuchsiamoor.core import configuration
from fuchsiamoor.daemon import metrics as daemon_metrics
from fuchsiamoor.daemon import operator_app
from fuchsiamoor.documents import apply, stored
from fuchsiamoor.reports.status import Status
from fuchsiamoor.store import port
from fuchsiamoor.testing import reports_data

KEY = "operator-key-0123456789"


class MemoryStore:
    """A store in memory, without leases and watches."""

    def __init__(self):
        self.entries = {}
        self.version = 0

    async def get(self, key):
        """Read one key."""
        return self.entries.get(key)

    async def swap(self, key, expected_version, value, lease_id=""):
        """Set a key by compare-and-swap."""
        current = self.entries.get(key)
        if (current.version if current else port.ABSENT) != expected_version:
            return port.Conflict(current)
        self.version += 1
        self.entries[key] = port.Entry(key, value, self.version)
        return port.Swapped(self.version)


class FakeDaemon:
    """The operator endpoint of one daemon.

    It applies the stored configuration on the status calls after the first
    ``adopts_after_calls``.
    """

    def __init__(self, store, status: Status, adopts_after_calls: int = 0):
        self.store = store
        self.base_status = status
        self.adopts_after_calls = adopts_after_calls
        self.status_calls = 0
        self.active_configuration = configuration.make_empty_configuration()
        self.explanation = reports_data.make_explanation()
        self.snapshot = None
        self.metrics = daemon_metrics.make_metrics(None)
        self.app = operator_app.make_operator_app(
            self, self._apply, (KEY,), self.metrics
        )

    def adopt(self):
        """Apply the stored configuration."""
        entry = self.store.entries.get(stored.CONFIGURATION_KEY)
        if entry is not None:
            self.active_configuration = stored.decode_configuration(entry.value)

    def status(self):
        """Return the status with the active configuration's revision."""
        self.status_calls += 1
        if self.status_calls > self.adopts_after_calls:
            self.adopt()
        return self.base_status._replace(
            configuration_revision=self.active_configuration.revision,
            apply_id=self.active_configuration.apply_id,
            data_centres_out=tuple(sorted(self.active_configuration.data_centres_out)),
        )

    def configuration(self):
        """Apply and return the stored configuration."""
        self.adopt()
        return self.active_configuration

    def explain(self, service, tenant, key):
        """Return the explanation of a key, None if its service is unknown."""
        if service not in self.active_configuration.services:
            return None
        return self.explanation._replace(service=service, tenant=tenant, key=key)

    def report(self):
        """Return the snapshot of the counters."""
        base_status = self.base_status
        return self.snapshot or self.metrics.snapshot(
            base_status.instance, base_status.service, base_status.data_centre
        )

    async def _apply(self, based_on, apply_id, document):
        return await apply.apply_document(self.store, based_on, apply_id, document)


class Fleet(httpx.AsyncBaseTransport):
    """A transport to daemons by address; other addresses refuse connections.

    ``response_errors`` are raised in turn after a POST request has taken effect.

    Parameters
    ----------
    instances : sequence of (str, str)
        Instance and data centre of each daemon. The n-th one has the address
        10.0.0.n:7003.
    """

    def __init__(self, *instances):
        self.store = MemoryStore()
        self.daemons = {}
        self.response_errors = []
        addresses = [f"10.0.0.{index}:7003" for index in range(1, len(instances) + 1)]
        members = tuple(
            reports_data.make_member_status(instance, address)
            for (instance, _), address in zip(instances, addresses, strict=True)
        )
        for (instance, data_centre), address in zip(instances, addresses, strict=True):
            status = reports_data.make_status(
                instance, data_centre=data_centre, members=members
            )
            self.daemons[address] = FakeDaemon(self.store, status)

    async def handle_async_request(self, request):
        """Pass a request to the daemon at its address."""
        daemon = self.daemons.get(request.url.netloc.decode())
        if daemon is None:
            raise httpx.ConnectError("refused")
        transport = httpx.ASGITransport(daemon.app)
        response = await transport.handle_async_request(request)
        if request.method == "POST" and self.response_errors:
            raise self.response_errors.pop(0)
        return response
