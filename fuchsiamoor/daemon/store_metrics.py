"""Store wrapper that counts and times every call."""

import time
from collections.abc import Awaitable
from dataclasses import dataclass
from typing import TypeVar

from fuchsiamoor.core import errors
from fuchsiamoor.daemon.metrics import Metrics
from fuchsiamoor.reports import metric_names
from fuchsiamoor.store import port

T = TypeVar("T")


@dataclass(slots=True)
class CountedStore:
    """A store that counts the calls to another store; see `make_counted_store`.

    Parameters
    ----------
    inner : Store
    metrics : Metrics
    is_reachable : bool
        Whether the store answered the last completed call.
    """

    inner: port.Store
    metrics: Metrics
    is_reachable: bool = False

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        return await self._measure(self.inner.get(key))

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        return await self._measure(self.inner.list_prefix(prefix))

    async def swap(
        self, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> port.SwapResult:
        """Set a key if it is at ``expected_version``."""
        call = self.inner.swap(key, expected_version, value, lease_id)
        return await self._measure(call)

    async def delete(self, key: str, expected_version: int) -> port.SwapResult:
        """Delete a key if it is at ``expected_version``."""
        return await self._measure(self.inner.delete(key, expected_version))

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix.

        The call is counted but not timed, because it waits by design.
        """
        return await self._count(self.inner.watch(prefix, after_version, wait_ms))

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        return await self._measure(self.inner.grant_lease(ttl_ms))

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has lapsed."""
        return await self._measure(self.inner.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        return await self._measure(self.inner.revoke_lease(lease_id))

    async def _measure(self, call: Awaitable[T]) -> T:
        started_ns = time.monotonic_ns()
        try:
            return await self._count(call)
        finally:
            elapsed_ms = (time.monotonic_ns() - started_ns) / 1e6
            self.metrics.timing(metric_names.STORE_TIME, elapsed_ms)

    async def _count(self, call: Awaitable[T]) -> T:
        self.metrics.count(metric_names.STORE_CALLS)
        try:
            answer = await call
        except errors.StoreUnavailableError:
            self.is_reachable = False
            self.metrics.count(metric_names.STORE_UNAVAILABLE)
            raise
        except errors.StoreOutcomeUnknownError:
            self.is_reachable = False
            self.metrics.count(metric_names.STORE_OUTCOME_UNKNOWN)
            raise
        self.is_reachable = True
        return answer


def make_counted_store(inner: port.Store, metrics: Metrics) -> CountedStore:
    """Return a store that forwards calls to ``inner`` and counts them."""
    return CountedStore(inner, metrics)
