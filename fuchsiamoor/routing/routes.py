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
