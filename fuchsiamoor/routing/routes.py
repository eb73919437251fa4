"""Routes: which member owns the key of a request, by the newest table known."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, tables
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import Reason


class Owned(NamedTuple):
    """The key has an owner that may serve it.

    Parameters
    ----------
    domain : str
    shard : int
    owner : str
        Member id.
    revision : int
        Revision of the table.
    """

    domain: str
    shard: int
    owner: str
    revision: int


class OwnerUnavailable(NamedTuple):
    """No member may serve the key at present.

    Parameters
    ----------
    domain : str
    reason : Reason
    revision : int
        Revision of the table, 0 if none is known.
    """

    domain: str
    reason: Reason
    revision: int


Route = Owned | OwnerUnavailable


def find_domain(configuration: Configuration, request: Request) -> str:
    """Return the ownership domain of a request, empty if it has none."""
    if not request.key:
        return ""
    return (
        configurations.find_domain(configuration, request.service, request.tenant) or ""
    )


def find_shard(table: ShardTable, request: Request) -> int:
    """Return the shard of a request's key."""
    key_id = keys.KeyId(request.service, request.tenant, request.key)
    return tables.find_shard(table, keys.hash_key(key_id))


def find_route(domain: str, table: ShardTable | None, request: Request) -> Route:
    """Return the route of a request by a table."""
    if table is None or table.shard_count == 0:
        return OwnerUnavailable(domain, Reason.NO_OWNER, 0)
    shard = find_shard(table, request)
    if tables.shard_state(table, shard) is not tables.ShardState.OWNED:
        return OwnerUnavailable(domain, Reason.NO_OWNER, table.revision)
    return Owned(domain, shard, table.owners[shard], table.revision)


class ChangeWindow(NamedTuple):
    """A time window in which a domain's table has changed.

    Parameters
    ----------
    before_revision : int
        Revision of the table before the window.
    last_revision : int
        Revision of the newest table.
    start_ms : int
        Start of the window.
    """

    before_revision: int
    last_revision: int
    start_ms: int


def record_change(
    window: ChangeWindow | None, revision: int, now_ms: int, window_ms: int
) -> ChangeWindow:
    """Record a new table, starting a new window if the last one has ended.

    Examples
    --------
    >>> window = record_change(None, 5, now_ms=0, window_ms=100)
    >>> window = record_change(window, 6, now_ms=50, window_ms=100)
    >>> record_change(window, 7, now_ms=200, window_ms=100)
    ChangeWindow(before_revision=6, last_revision=7, start_ms=200)
    """
    if window is None:
        return ChangeWindow(0, revision, now_ms)
    if now_ms < window.start_ms + window_ms:
        return window._replace(last_revision=revision)
    return ChangeWindow(window.last_revision, revision, now_ms)


def has_moved_recently(
    window: ChangeWindow | None,
    table: ShardTable,
    shard: int,
    now_ms: int,
    window_ms: int,
) -> bool:
    """Return whether a shard was assigned to an owner in the current window."""
    if window is None or now_ms >= window.start_ms + window_ms:
        return False
    return shard < len(table.epochs) and table.epochs[shard] > window.before_revision
