"""Client of the platform's metadata store; see `port.TransactionalStore`.

Nothing is sent twice. A call that was certainly not done raises
`StoreUnavailableError`, one whose answer is missing `StoreOutcomeUnknownError`.
"""

import base64
import json
from dataclasses import dataclass
from urllib.parse import urlencode

from fuchsiamoor.core.addresses import Address, format_address
from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.core.verdicts import NotRun
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.daemon.upstream_connection import Lost, WholeAnswer
from fuchsiamoor.store import port

# A watch and a few calls at a time.
MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 8 * 1024 * 1024
PAGES_MAX = 1_000
_REFUSED = (429, 503)


@dataclass(slots=True)
class PlatformStore:
    """The platform's store over HTTP; see the port for its functions."""

    pool: upstream_pool.Pool
    timeout_ms: int

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        whole = await _read(self, "/api/kv-key", {"key": key})
        if whole.status == 404:
            return None
        return _parse_read(lambda found: _read_entry(found), whole)

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix, page by page.

        Pages are no snapshot; the version is that of the first, from which a watch
        tells whatever has changed since.
        """
        entries: list[port.Entry] = []
        version, after = None, ""
        for _ in range(PAGES_MAX):
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            whole = await _read(self, "/api/kv-range", query)
            items, has_more, at = _parse_read(_read_page, whole)
            version = at if version is None else version
            entries += items
            if not has_more or not items:
                return port.Listing(version, tuple(entries))
            after = items[-1].key
        raise StoreUnavailableError(f"{prefix}: more than {PAGES_MAX} pages")

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix.

        Raises
        ------
        StoreHistoryLostError
            If ``after_version`` is too old.
        """
        query = {
            "path_prefix": prefix,
            "after": after_version,
            "wait_timeout_ms": wait_ms,
        }
        whole = await _read(self, "/api/kv-watch", query, wait_ms)
        if whole.status == 410:
            raise StoreHistoryLostError(f"{prefix}: {after_version} is too old")
        return _parse_read(_read_changes, whole)

    async def transact(
        self,
        expected: tuple[port.Precondition, ...],
        puts: tuple[port.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> port.TransactResult:
        """Set and delete keys, all or none, if every expectation holds."""
        body = {
            "expected": [{"key": key, "revision": at} for key, at in expected],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease_id": int(put.lease_id or 0),
                }
                for put in puts
            ],
            "deletes": list(deletes),
        }
        whole = await _write(self, "POST", "/api/kv-txn", body)
        if whole.status in (404, 412):
            return port.PreconditionFailed()
        return _parse_write(lambda found: port.Committed(found["revision"]), whole)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        body = {"ttl_time": f"{ttl_ms}ms"}
        whole = await _write(self, "POST", "/api/kv-lease", body)
        return _parse_write(lambda found: str(int(found["lease_id"])), whole)

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has ended."""
        whole = await _write(self, "POST", f"/api/kv-keep/{lease_id}", {})
        if whole.status == 404:
            return False
        return _parse_write(lambda _: True, whole)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        whole = await _write(self, "DELETE", f"/api/kv-lease-end/{lease_id}", None)
        if whole.status != 404:
            _parse_write(lambda _: None, whole)

    def close(self) -> None:
        """Close all connections at once."""
        upstream_pool.close(self.pool)


def make_store(address: Address, timeout_ms: int) -> PlatformStore:
    """Return a client without any connection.

    Parameters
    ----------
    address : Address
    timeout_ms : int
        Longest time for one call; a watch may take its ``wait_ms`` besides.
    """
    pool = upstream_pool.Pool(address, MAX_CONNECTIONS, MAX_ANSWER_BYTES)
    return PlatformStore(pool, timeout_ms)


async def _read(
    store: PlatformStore, path: str, query: dict, wait_ms: int = 0
) -> WholeAnswer:
    """Make a call that has no effect in any case."""
    try:
        return await _call(store, "GET", f"{path}?{urlencode(query)}", None, wait_ms)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


async def _write(
    store: PlatformStore, method: str, path: str, body: dict | None
) -> WholeAnswer:
    return await _call(store, method, path, body, 0)


async def _call(
    store: PlatformStore, method: str, target: str, body: dict | None, wait_ms: int
) -> WholeAnswer:
    content = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {format_address(store.pool.address)}\r\n"
    )
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
    payload = head.encode("latin-1") + b"\r\n" + content
    received = await upstream_pool.exchange(
        store.pool, payload, False, store.timeout_ms + wait_ms
    )
    match received:
        case NotRun(_, detail):
            raise StoreUnavailableError(f"{target:.60}: {detail}")
        case Lost(_, detail):
            raise StoreOutcomeUnknownError(f"{target:.60}: {detail}")
        case WholeAnswer(status) if status in _REFUSED:
            raise StoreUnavailableError(f"{target:.60}: refused with status {status}")
        case WholeAnswer():
            return received


def _parse_read(parse, whole: WholeAnswer):
    try:
        return _parse_write(parse, whole)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


def _parse_write(parse, whole: WholeAnswer):
    """Read an answer; a malformed one leaves the outcome unknown."""
    if not 200 <= whole.status < 300:
        raise StoreOutcomeUnknownError(f"status {whole.status}: {whole.body!r:.200}")
    try:
        return parse(json.loads(whole.body) if whole.body else {})
    except (LookupError, TypeError, ValueError) as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error!r}") from error


def _read_entry(found: dict) -> port.Entry:
    return port.Entry(
        str(found["key"]),
        base64.b64decode(found["value"], validate=True),
        int(found["revision"]),
    )


def _read_page(found: dict) -> tuple[list[port.Entry], bool, int]:
    items = [_read_entry(item) for item in found["items"]]
    return items, bool(found["has_more"]), int(found["at"])


def _read_changes(found: dict) -> port.Changes:
    changes = tuple(
        port.Change(str(event["key"]), None)
        if event.get("deleted")
        else port.Change(str(event["key"]), _read_entry(event))
        for event in found["events"]
    )
    return port.Changes(int(found["at"]), changes)
