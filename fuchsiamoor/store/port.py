"""The platform's store as this project uses it: compare-and-swap, leases and watches.

The rest of the project imports this module only; `fuchsiamoor.store.http_store` speaks
the platform's protocol. Every function may raise `StoreUnavailableError` (certainly no
effect) or `StoreOutcomeUnknownError` (may have taken effect).
"""

from typing import NamedTuple, Protocol

ABSENT = 0


class Entry(NamedTuple):
    """A key and its value.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Store-wide number of the write that set it; rises with every write to any key.
    """

    key: str
    value: bytes
    version: int


class Swapped(NamedTuple):
    """The write took effect."""

    version: int


class Conflict(NamedTuple):
    """The write had no effect: the key was not at the expected version."""

    current: Entry | None


SwapResult = Swapped | Conflict


class Listing(NamedTuple):
    """All entries under a prefix as of a version of the store."""

    version: int
    entries: tuple[Entry, ...]


class Change(NamedTuple):
    """One change seen by a watch; ``entry`` is None for a deletion."""

    key: str
    entry: Entry | None


class Changes(NamedTuple):
    """Changes after the version asked for, up to ``version``; none on a timeout."""

    version: int
    changes: tuple[Change, ...]


class Store(Protocol):
    """The port."""

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Read all keys under a prefix."""

    async def swap(
        self, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> SwapResult:
        """Set a key that is at ``expected_version`` (`ABSENT` if it must not exist).

        With a lease, the store deletes the key when the lease lapses.
        """

    async def delete(self, key: str, expected_version: int) -> SwapResult:
        """Delete a key that is at ``expected_version``."""

    async def watch(self, prefix: str, after_version: int, wait_ms: int) -> Changes:
        """Wait for changes under a prefix."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has lapsed."""

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""


class Precondition(NamedTuple):
    """A key has to be at a version; `ABSENT` if it must not exist."""

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
    """Nothing took effect: a key was at another version, or the lease has ended."""


TransactResult = Committed | PreconditionFailed


class TransactionalStore(Protocol):
    """A store that sets several keys at once; `get` to `watch` are those of `Store`."""

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Read all keys under a prefix; its version is where a watch may start."""

    async def watch(self, prefix: str, after_version: int, wait_ms: int) -> Changes:
        """Wait for changes under a prefix."""

    async def transact(
        self,
        expected: tuple[Precondition, ...],
        puts: tuple[Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> TransactResult:
        """Set and delete keys, all or none, if every expectation holds."""

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has ended."""

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
