"""A fleet of operator surfaces in memory, for tests of the tool."""

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
    """Keeps keys without leases and watches."""

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
    """One operator surface; it adopts what is stored after some status calls."""

    def __init__(self, store, status: Status, adopts_after: int = 0):
        self.store = store
        self.base = status
        self.adopts_after = adopts_after
        self.asked = 0
        self.in_force = configuration.make_empty_configuration()
        self.explanation = reports_data.make_explanation()
        self.snapshot = None
        self.metrics = daemon_metrics.make_metrics(None)
        self.app = operator_app.make_operator_app(
            self, self._apply, (KEY,), self.metrics
        )

    def adopt(self):
        """Put what is stored in force."""
        entry = self.store.entries.get(stored.CONFIGURATION_KEY)
        if entry is not None:
            self.in_force = stored.decode_configuration(entry.value)

    def status(self):
        """Return the state."""
        self.asked += 1
        if self.asked > self.adopts_after:
            self.adopt()
        return self.base._replace(
            configuration_revision=self.in_force.revision,
            apply_id=self.in_force.apply_id,
            data_centres_out=tuple(sorted(self.in_force.data_centres_out)),
        )

    def configuration(self):
        """Return the configuration in force."""
        self.adopt()
        return self.in_force

    def explain(self, service, tenant, key):
        """Return where a key is served."""
        if service not in self.in_force.services:
            return None
        return self.explanation._replace(service=service, tenant=tenant, key=key)

    def report(self):
        """Return the counts."""
        base = self.base
        return self.snapshot or self.metrics.snapshot(
            base.instance, base.service, base.data_centre
        )

    async def _apply(self, based_on, apply_id, document):
        return await apply.apply_document(self.store, based_on, apply_id, document)


class Fleet(httpx.AsyncBaseTransport):
    """Daemons by address; addresses without one refuse connections.

    Parameters
    ----------
    instances : sequence of (str, str)
        Instance and data centre of each daemon; its address ends in its number.
    """

    def __init__(self, *instances):
        self.store = MemoryStore()
        self.daemons = {}
        self.failures = []
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
        """Carry a request to its daemon."""
        daemon = self.daemons.get(request.url.netloc.decode())
        if daemon is None:
            raise httpx.ConnectError("refused")
        carrier = httpx.ASGITransport(daemon.app)
        response = await carrier.handle_async_request(request)
        if request.method == "POST" and self.failures:
            raise self.failures.pop(0)
        return response
