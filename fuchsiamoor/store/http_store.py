"""The platform's store over its HTTP protocol.

Reads have no effect, so every failed read is `StoreUnavailableError`. A failed write is
that only if the store refused it or could not be connected to. Nothing is sent twice.
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
from fuchsiamoor.store import port

MAX_CONNECTIONS = 16

_NOT_CONNECTED = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(slots=True)
class HttpStore:
    """`port.Store` over HTTP; see there for its functions."""

    client: httpx.AsyncClient
    timeout_ms: int

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        answer = await _read(self, "/v1/get", {"key": key})
        return _parse(_parse_optional_entry, answer, "entry")

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        return _parse(_parse_listing, await _read(self, "/v1/list", {"prefix": prefix}))

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
        return _parse_written(_parse_swap, await _write(self, "/v1/swap", body))

    async def delete(self, key: str, expected_version: int) -> port.SwapResult:
        """Delete a key that is at ``expected_version``."""
        body = {"key": key, "expected_version": expected_version}
        return _parse_written(_parse_swap, await _write(self, "/v1/delete", body))

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix.

        Raises
        ------
        StoreHistoryLostError
            If ``after_version`` is too old.
        """
        body = {"prefix": prefix, "after_version": after_version, "wait_ms": wait_ms}
        answer = await _read(self, "/v1/watch", body, wait_ms)
        return _parse(_parse_changes, answer)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        answer = await _write(self, "/v1/lease/grant", {"ttl_ms": ttl_ms})
        return _parse_written(lambda found: str(found["lease_id"]), answer)

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has lapsed."""
        answer = await _write(self, "/v1/lease/renew", {"lease_id": lease_id})
        return _parse_written(lambda found: found["alive"] is True, answer)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        await _write(self, "/v1/lease/revoke", {"lease_id": lease_id})

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()


def make_http_store(url: str, timeout_ms: int) -> HttpStore:
    """Return a store at a URL.

    Parameters
    ----------
    url : str
        Such as ``http://10.0.0.1:2380``.
    timeout_ms : int
        Longest time for one call, connecting included; a watch may take its
        ``wait_ms`` besides.
    """
    client = httpx.AsyncClient(
        base_url=url,
        timeout=None,
        limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
        trust_env=False,
        follow_redirects=False,
    )
    return HttpStore(client, timeout_ms)


async def _read(
    store: HttpStore, path: str, body: dict, wait_ms: int = 0
) -> dict[str, object]:
    """Make a call that has no effect in any case."""
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
    except _NOT_CONNECTED as error:
        raise StoreUnavailableError(f"{path}: not connected: {error!r}") from error
    except TimeoutError as error:
        raise StoreOutcomeUnknownError(f"{path}: no answer in time") from error
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        raise StoreOutcomeUnknownError(f"{path}: {error!r}") from error
    if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        raise StoreUnavailableError(f"{path}: refused with status 503")
    if response.status_code == httpx.codes.GONE:
        raise StoreHistoryLostError(f"{path}: the version is too old")
    if response.status_code != httpx.codes.OK:
        raise StoreOutcomeUnknownError(f"{path}: status {response.status_code}")
    return _parse_written(_parse_object, response.content)


def _parse(parse, answer: object, *path: str) -> object:
    """Read a reading call's answer; a malformed one counts as none."""
    try:
        return _parse_written(parse, answer, *path)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


def _parse_written(parse, answer: object, *path: str) -> object:
    """Read a writing call's answer; a malformed one leaves the outcome unknown."""
    try:
        for name in path:
            answer = answer[name]
        return parse(answer)
    except (LookupError, TypeError, ValueError, binascii.Error) as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error!r}") from error


def _parse_object(content: bytes) -> dict[str, object]:
    found = json.loads(content)
    if not isinstance(found, dict):
        raise ValueError(f"found {type(found).__name__}, expected an object")
    return found


def _parse_entry(found: dict) -> port.Entry:
    value = base64.b64decode(found["value"], validate=True)
    return port.Entry(str(found["key"]), value, int(found["version"]))


def _parse_optional_entry(found: dict | None) -> port.Entry | None:
    return None if found is None else _parse_entry(found)


def _parse_listing(found: dict) -> port.Listing:
    entries = tuple(_parse_entry(entry) for entry in found["entries"])
    return port.Listing(int(found["version"]), entries)


def _parse_swap(found: dict) -> port.SwapResult:
    if found["swapped"] is True:
        return port.Swapped(int(found["version"]))
    return port.Conflict(_parse_optional_entry(found["current"]))


def _parse_changes(found: dict) -> port.Changes:
    changes = tuple(
        port.Change(str(change["key"]), _parse_optional_entry(change["entry"]))
        for change in found["changes"]
    )
    return port.Changes(int(found["version"]), changes)
