"""HTTP client of the metadata store; see `port.Store`.

A failed read raises `StoreUnavailableError`, as reads have no effect. A failed write
raises it only if the connection failed or the store refused the write, and otherwise
`StoreOutcomeUnknownError`. No call is retried.
"""

import asyncio
import base64
import binascii
import json
from dataclasses import dataclass

import httpx

from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.store import bounded_transport, port

MAX_CONNECTIONS = 16
# A listing of a whole deployment is the largest answer.
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Time limit of any answer, also of the longest watch.
MAX_ANSWER_S = 120.0

_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(slots=True)
class HttpStore:
    """`port.Store` over HTTP."""

    client: httpx.AsyncClient
    timeout_ms: int

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        answer = await _read(self, "/v1/get", {"key": key})
        return _parse_read(_parse_optional_entry, answer, "entry")

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        return _parse_read(
            _parse_listing, await _read(self, "/v1/list", {"prefix": prefix})
        )

    async def swap(
        self, key: str, expected_version: int, value: bytes, lease_id: str = ""
    ) -> port.SwapResult:
        """Set a key that is at ``expected_version``."""
        body = {
            "key": key,
            "expected_version": expected_version,
            "value": base64.b64encode(value).decode(),
            "lease_id": lease_id,
        }
        return _parse_write(_parse_swap, await _write(self, "/v1/swap", body))

    async def delete(self, key: str, expected_version: int) -> port.SwapResult:
        """Delete a key that is at ``expected_version``."""
        body = {"key": key, "expected_version": expected_version}
        return _parse_write(_parse_swap, await _write(self, "/v1/delete", body))

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix.

        Raises
        ------
        StoreHistoryLostError
            If the store no longer has the changes since ``after_version``.
        """
        body = {"prefix": prefix, "after_version": after_version, "wait_ms": wait_ms}
        answer = await _read(self, "/v1/watch", body, wait_ms)
        return _parse_read(_parse_changes, answer)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""
        answer = await _write(self, "/v1/lease/grant", {"ttl_ms": ttl_ms})
        return _parse_write(lambda document: str(document["lease_id"]), answer)

    async def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease for its full length; False if it has expired."""
        answer = await _write(self, "/v1/lease/renew", {"lease_id": lease_id})
        return _parse_write(lambda document: document["alive"] is True, answer)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""
        await _write(self, "/v1/lease/revoke", {"lease_id": lease_id})

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()


def make_http_store(url: str, timeout_ms: int) -> HttpStore:
    """Return a client of the store at a URL.

    Parameters
    ----------
    url : str
        Such as ``http://10.0.0.1:2380``.
    timeout_ms : int
        Timeout of one call in milliseconds, connecting included; a watch may take its
        ``wait_ms`` longer.
    """
    transport = httpx.AsyncHTTPTransport(
        limits=httpx.Limits(max_connections=MAX_CONNECTIONS), trust_env=False
    )
    client = httpx.AsyncClient(
        base_url=url,
        headers={"Accept-Encoding": "identity"},
        timeout=None,
        transport=bounded_transport.BoundedTransport(
            transport, MAX_ANSWER_BYTES, MAX_ANSWER_S
        ),
        trust_env=False,
        follow_redirects=False,
    )
    return HttpStore(client, timeout_ms)


async def _read(
    store: HttpStore, path: str, body: dict, wait_ms: int = 0
) -> dict[str, object]:
    """Make a call that only reads, so that any failure means that it had no effect."""
    try:
        return await _call(store, path, body, wait_ms)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


async def _write(store: HttpStore, path: str, body: dict) -> dict[str, object]:
    return await _call(store, path, body, 0)


async def _call(
    store: HttpStore, path: str, body: dict, wait_ms: int
) -> dict[str, object]:
    try:
        async with asyncio.timeout((store.timeout_ms + wait_ms) / 1000):
            response = await store.client.post(path, json=body)
    except _CONNECT_ERRORS as error:
        raise StoreUnavailableError(f"{path}: not connected: {error!r}") from error
    except TimeoutError as error:
        raise StoreOutcomeUnknownError(f"{path}: no answer in time") from error
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error
    if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        raise StoreUnavailableError(f"{path}: refused with status 503")
    if response.status_code == httpx.codes.GONE:
        raise StoreHistoryLostError(f"{path}: no history since the given version")
    if response.status_code != httpx.codes.OK:
        raise StoreOutcomeUnknownError(f"{path}: status {response.status_code}")
    return _parse_write(_parse_object, response.content)


def _parse_read(parse, answer: object, *path: str) -> object:
    """Parse the answer to a read; a malformed one counts as a failed read."""
    try:
        return _parse_write(parse, answer, *path)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


def _parse_write(parse, answer: object, *path: str) -> object:
    """Parse the answer to a write; after a malformed one the outcome is unknown."""
    try:
        for name in path:
            answer = answer[name]
        return parse(answer)
    except (LookupError, TypeError, ValueError, binascii.Error) as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error!r}") from error


def _parse_object(content: bytes) -> dict[str, object]:
    document = json.loads(content)
    if not isinstance(document, dict):
        raise ValueError(f"found {type(document).__name__}, expected an object")
    return document


def _parse_entry(document: dict) -> port.Entry:
    value = base64.b64decode(document["value"], validate=True)
    return port.Entry(str(document["key"]), value, int(document["version"]))


def _parse_optional_entry(document: dict | None) -> port.Entry | None:
    return None if document is None else _parse_entry(document)


def _parse_listing(document: dict) -> port.Listing:
    entries = tuple(_parse_entry(entry) for entry in document["entries"])
    return port.Listing(int(document["version"]), entries)


def _parse_swap(document: dict) -> port.SwapResult:
    if document["swapped"] is True:
        return port.Swapped(int(document["version"]))
    return port.Conflict(_parse_optional_entry(document["current"]))


def _parse_changes(document: dict) -> port.Changes:
    changes = tuple(
        port.Change(str(change["key"]), _parse_optional_entry(change["entry"]))
        for change in document["changes"]
    )
    return port.Changes(int(document["version"]), changes)
