"""Interface of the metadata store: compare-and-swap, transactions, leases and watches.

Other packages depend on this module and not on a store's protocol; `HttpStore` and the
platform's client implement it. Every function may raise `StoreUnavailableError`
(certainly no effect) or `StoreOutcomeUnknownError` (may have taken effect); `watch` may
also raise `StoreHistoryLostError`.
"""

from typing import NamedTuple, Protocol

# Version of a key that does not exist.
ABSENT = 0


class Entry(NamedTuple):
    """A key and its value.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Store-wide version of the write that set it; every write to any key raises the
        store's version.
    """

    key: str
    value: bytes
    version: int


class Swapped(NamedTuple):
    """The write took effect."""

    version: int


class Conflict(NamedTuple):
    """The write had no effect, as the key was not at the expected version."""

    current: Entry | None


SwapResult = Swapped | Conflict


class Listing(NamedTuple):
    """All entries under a prefix, as of a version of the store."""

    version: int
    entries: tuple[Entry, ...]


class Change(NamedTuple):
    """A change reported by a watch; ``entry`` is None for a deletion."""

    key: str
    entry: Entry | None


class Changes(NamedTuple):
    """Changes after the requested version, up to ``version``; empty after a timeout."""

    version: int
    changes: tuple[Change, ...]


class Store(Protocol):
    """A store that changes one key at a time by compare-and-swap."""

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Read all keys under a prefix."""

    async def swap(
        self, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> SwapResult:
        """Set a key that is at ``expected_version`` (`ABSENT` if it must not exist).

        If the key is put under a lease, the store deletes it when the lease expires.
        """

    async def delete(self, key: str, expected_version: int) -> SwapResult:
        """Delete a key that is at ``expected_version``."""

    async def watch(self, prefix: str, after_version: int, wait_ms: int) -> Changes:
        """Wait for changes under a prefix."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""

    async def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease for its full length; False if it has expired."""

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""


class Precondition(NamedTuple):
    """The version at which a key must be; `ABSENT` if it must not exist."""

    key: str
    version: int


class Put(NamedTuple):
    """A value to set, under a lease unless ``lease_id`` is empty."""

    key: str
    value: bytes
    lease_id: str = ""


class Committed(NamedTuple):
    """All puts and deletions took effect."""

    version: int


class PreconditionFailed(NamedTuple):
    """No effect: a key was at another version, or the lease has expired."""


TransactResult = Committed | PreconditionFailed


class TransactionalStore(Protocol):
    """A store that changes several keys in one transaction.

    `get`, `list_prefix` and `watch` are as in `Store`. Versions and lease ids carry the
    store's era, see `fuchsiamoor.store.eras`; those of an earlier era than the latest
    one known are never sent.

    Parameters
    ----------
    era : int
        Latest era of the store that is known; it may be raised from outside.
    """

    era: int

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Read all keys under a prefix, with a version from which a watch may start."""

    async def watch(self, prefix: str, after_version: int, wait_ms: int) -> Changes:
        """Wait for changes under a prefix."""

    async def transact(
        self,
        expected: tuple[Precondition, ...],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> TransactResult:
        """Set and delete keys atomically if every precondition holds."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""

    async def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease for its full length; False if it has expired."""

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""
