"""Routes: which member owns the key of a request, as far as a daemon knows."""

from typing import NamedTuple

from fuchsiamoor.core import configuration as configurations
from fuchsiamoor.core import keys, tables
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.core.verdicts import Reason


class Owned(NamedTuple):
    """The table names an owner that may serve.

    Parameters
    ----------
    domain : str
    shard : int
    owner : str
        Member id.
    revision : int
        Of the table.
    """

    domain: str
    shard: int
    owner: str
    revision: int


class Unsettled(NamedTuple):
    """Nobody may serve the key at the moment.

    Parameters
    ----------
    domain : str
    reason : Reason
    revision : int
        Of the table that says so, 0 if none is known.
    """

    domain: str
    reason: Reason
    revision: int


Route = Owned | Unsettled


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
    """Return the owner of a request's key under a table."""
    if table is None or table.shard_count == 0:
        return Unsettled(domain, Reason.NO_OWNER, 0)
    shard = find_shard(table, request)
    if tables.shard_state(table, shard) is not tables.ShardState.OWNED:
        return Unsettled(domain, Reason.NO_OWNER, table.revision)
    return Owned(domain, shard, table.owners[shard], table.revision)


class Recent(NamedTuple):
    """A window in which a domain's table has changed.

    Parameters
    ----------
    before_revision : int
        Of the table before the window.
    last_revision : int
        Of the newest table.
    since_ms : int
        Start of the window.
    """

    before_revision: int
    last_revision: int
    since_ms: int


def note_change(
    recent: Recent | None, revision: int, now_ms: int, window_ms: int
) -> Recent:
    """Take in a new table, opening a new window if the last one is over.

    Examples
    --------
    >>> recent = note_change(None, 5, now_ms=0, window_ms=100)
    >>> recent = note_change(recent, 6, now_ms=50, window_ms=100)
    >>> note_change(recent, 7, now_ms=200, window_ms=100)
    Recent(before_revision=6, last_revision=7, since_ms=200)
    """
    if recent is None:
        return Recent(0, revision, now_ms)
    if now_ms < recent.since_ms + window_ms:
        return recent._replace(last_revision=revision)
    return Recent(recent.last_revision, revision, now_ms)


def has_moved(
    recent: Recent | None, table: ShardTable, shard: int, now_ms: int, window_ms: int
) -> bool:
    """Return whether a shard was assigned in the present window."""
    if recent is None or now_ms >= recent.since_ms + window_ms:
        return False
    return shard < len(table.epochs) and table.epochs[shard] > recent.before_revision
