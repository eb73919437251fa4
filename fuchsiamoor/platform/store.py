"""HTTP client of the platform's metadata store; see `port.TransactionalStore`.

No call is retried. A call that certainly had no effect raises `StoreUnavailableError`;
one that may have had an effect raises `StoreOutcomeUnknownError`.

Every answer names the store's era, see `fuchsiamoor.store.eras`. A call that refers to
a version or a lease of an earlier era is not sent. If the answer to a write shows that
the era changed during the call, its outcome is unknown: its conditions may have held
for other writes than those that were meant.
"""

import base64
import json
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import urlencode

from loguru import logger

from fuchsiamoor.core import byte_account
from fuchsiamoor.core.addresses import Address, format_address
from fuchsiamoor.core.errors import (
    StoreHistoryLostError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fuchsiamoor.core.verdicts import NotRun
from fuchsiamoor.daemon import upstream_pool
from fuchsiamoor.daemon.upstream_connection import Lost, WholeAnswer
from fuchsiamoor.platform import scalars
from fuchsiamoor.store import eras, port

# One watch and a few calls at the same time.
MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_PAGES = 1_000
_REFUSED_STATUSES = (429, 503)
_ERA_HEADER = b"store-era"


class _Answer(NamedTuple):
    """An answer of the store.

    Parameters
    ----------
    status : int
    body : bytes
    era : int
        Era of the store when it answered.
    """

    status: int
    body: bytes
    era: int


class _Page(NamedTuple):
    """One page of a listing.

    Parameters
    ----------
    entries : list of Entry
    last_key : str
        Key of the page's last item, readable or not.
    has_more : bool
    version : int
    """

    entries: list[port.Entry]
    last_key: str
    has_more: bool
    version: int


@dataclass(slots=True)
class PlatformStore:
    """`port.TransactionalStore` over the platform's HTTP interface.

    Parameters
    ----------
    pool : Pool
    timeout_ms : int
    era : int
        Latest era of the store that is known here.
    """

    pool: upstream_pool.Pool
    timeout_ms: int
    era: int = 0

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        answer = await _read(self, "/api/kv-key", {"key": key})
        if answer.status == 404:
            return None
        return _parse_read(_read_entry, answer)

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix, page by page.

        The pages are not one snapshot. The version is that of the first page, so that
        a watch from it returns every change since.
        """
        entries: list[port.Entry] = []
        version, after = None, ""
        for _ in range(MAX_PAGES):
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            answer = await _read(self, "/api/kv-range", query)
            page = _parse_read(_read_page, answer)
            version = page.version if version is None else version
            if eras.era_of(version) != answer.era:
                raise StoreUnavailableError(f"{prefix}: era changed between pages")
            entries += page.entries
            if not page.has_more or not page.last_key:
                return port.Listing(version, tuple(entries))
            after = page.last_key
        raise StoreUnavailableError(f"{prefix}: more than {MAX_PAGES} pages")

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix.

        Raises
        ------
        StoreHistoryLostError
            If the store no longer has the changes since ``after_version``.
        """
        if eras.is_of_earlier_era(self.era, (after_version,)):
            raise StoreHistoryLostError(f"{prefix}: version of an earlier era")
        query = {
            "path_prefix": prefix,
            "after": eras.revision_of(after_version),
            "wait_timeout_ms": wait_ms,
        }
        answer = await _read(self, "/api/kv-watch", query, wait_ms)
        if answer.status == 410 or eras.is_of_earlier_era(answer.era, (after_version,)):
            raise StoreHistoryLostError(
                f"{prefix}: no history since version {after_version}"
            )
        return _parse_read(_read_changes, answer)

    async def transact(
        self,
        expected: tuple[port.Precondition, ...],
        puts: tuple[port.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> port.TransactResult:
        """Set and delete keys atomically if every precondition holds."""
        lease_ids = tuple(put.lease_id for put in puts)
        versions = tuple(version for _, version in expected)
        if eras.is_of_earlier_era(self.era, versions, lease_ids):
            return port.PreconditionFailed()
        body = {
            "expected": [
                {"key": key, "revision": eras.revision_of(version)}
                for key, version in expected
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease_id": eras.split_lease_id(put.lease_id or "0")[1],
                }
                for put in puts
            ],
            "deletes": list(deletes),
        }
        answer = await _write(self, "POST", "/api/kv-txn", body)
        if answer.status in (404, 412):
            return port.PreconditionFailed()
        return _parse_write(
            lambda document, era: port.Committed(
                eras.make_version(era, int(document["revision"]))
            ),
            answer,
        )

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""
        body = {"ttl_time": f"{ttl_ms}ms"}
        answer = await _write(self, "POST", "/api/kv-lease", body)
        return _parse_write(
            lambda document, era: eras.make_lease_id(era, int(document["lease_id"])),
            answer,
        )

    async def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease for its full length; False if it has expired."""
        if eras.is_of_earlier_era(self.era, (), (lease_id,)):
            return False
        number = eras.split_lease_id(lease_id)[1]
        answer = await _write(self, "POST", f"/api/kv-keep/{number}", {})
        if answer.status == 404:
            return False
        return _parse_write(lambda document, era: True, answer)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""
        if eras.is_of_earlier_era(self.era, (), (lease_id,)):
            return
        number = eras.split_lease_id(lease_id)[1]
        answer = await _write(self, "DELETE", f"/api/kv-lease-end/{number}", None)
        if answer.status != 404:
            _parse_write(lambda document, era: None, answer)

    def close(self) -> None:
        """Close all connections immediately."""
        upstream_pool.close(self.pool)


def make_store(
    address: Address,
    timeout_ms: int,
    account: byte_account.ByteAccount | None = None,
) -> PlatformStore:
    """Return a client that has not connected yet.

    Parameters
    ----------
    address : Address
    timeout_ms : int
        Timeout of one call, in milliseconds; a watch may take its ``wait_ms`` longer.
    account : ByteAccount, optional
        Counts the bytes of unfinished answers.
    """
    account = account or byte_account.make_unlimited()
    pool = upstream_pool.Pool(
        address,
        MAX_CONNECTIONS,
        min(MAX_ANSWER_BYTES, account.limit_bytes),
        account=account,
    )
    return PlatformStore(pool, timeout_ms)


async def _read(
    store: PlatformStore, path: str, query: dict, wait_ms: int = 0
) -> _Answer:
    """Make a call that only reads, so that any failure means that it had no effect."""
    try:
        return await _call(store, "GET", f"{path}?{urlencode(query)}", None, wait_ms)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


async def _write(
    store: PlatformStore, method: str, path: str, body: dict | None
) -> _Answer:
    sent_era = store.era
    answer = await _call(store, method, path, body, 0)
    if answer.era != sent_era and 200 <= answer.status < 300:
        raise StoreOutcomeUnknownError(
            f"{path:.60}: sent in era {sent_era}, answered in {answer.era}"
        )
    return answer


async def _call(
    store: PlatformStore, method: str, target: str, body: dict | None, wait_ms: int
) -> _Answer:
    content = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {format_address(store.pool.address)}\r\n"
    )
    if body is not None:
        head += f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
    payload = head.encode("latin-1") + b"\r\n" + content
    result = await upstream_pool.exchange(
        store.pool, payload, False, store.timeout_ms + wait_ms
    )
    match result:
        case NotRun(_, detail):
            raise StoreUnavailableError(f"{target:.60}: {detail}")
        case Lost(_, detail):
            raise StoreOutcomeUnknownError(f"{target:.60}: {detail}")
        case WholeAnswer(status, headers, answer_body):
            era = _read_era(headers)
            is_outdated = era < store.era
            store.era = max(store.era, era)
    if status in _REFUSED_STATUSES:
        raise StoreUnavailableError(f"{target:.60}: refused with status {status}")
    if is_outdated:
        raise StoreOutcomeUnknownError(
            f"{target:.60}: answer of era {era}, the store is in {store.era}"
        )
    return _Answer(status, answer_body, era)


def _read_era(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the era that an answer names, 0 if it names none that can be read."""
    for name, value in headers:
        if name.lower() == _ERA_HEADER and value.strip().isdigit():
            era = int(value) if len(value) <= len(str(eras.ERA_MAX)) else -1
            if 0 <= era <= eras.ERA_MAX:
                return era
            logger.bind(era=value[:80]).error("store era is out of range")
    return 0


def _parse_read(parse, answer: _Answer):
    try:
        return _parse_write(parse, answer)
    except StoreOutcomeUnknownError as error:
        raise StoreUnavailableError(str(error)) from error


def _parse_write(parse, answer: _Answer):
    """Parse an answer; after a malformed one the outcome is unknown."""
    if not 200 <= answer.status < 300:
        raise StoreOutcomeUnknownError(f"status {answer.status}: {answer.body!r:.200}")
    try:
        return parse(json.loads(answer.body) if answer.body else {}, answer.era)
    except (ValueError, *scalars.MALFORMED) as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error!r}") from error


def _read_entry(document: dict, era: int) -> port.Entry:
    return port.Entry(
        str(document["key"]),
        base64.b64decode(document["value"], validate=True),
        eras.make_version(era, int(document["revision"])),
    )


def _read_page(document: dict, era: int) -> _Page:
    items = document["items"]
    entries = [entry for item in items for entry in _read_readable(item, era)]
    last_key = str(items[-1]["key"]) if items else ""
    version = eras.make_version(era, int(document["at"]))
    return _Page(entries, last_key, bool(document["has_more"]), version)


def _read_changes(document: dict, era: int) -> port.Changes:
    changes: list[port.Change] = []
    for event in document["events"]:
        key = str(event["key"])
        if event.get("deleted"):
            changes.append(port.Change(key, None))
        else:
            changes += (port.Change(key, entry) for entry in _read_readable(event, era))
    version = eras.make_version(era, int(document["at"]))
    return port.Changes(version, tuple(changes))


def _read_readable(item: dict, era: int) -> list[port.Entry]:
    """Return an item's entry, or none if its value is not in the store's encoding.

    Keys and revisions are the store's own, so that a fault in them is one of the
    answer; a value is another writer's, and must not hide the other items.
    """
    key, _ = str(item["key"]), int(item["revision"])
    try:
        return [_read_entry(item, era)]
    except (ValueError, *scalars.MALFORMED) as error:
        logger.bind(key=key, error=repr(error)[:200]).error(
            "store entry cannot be decoded"
        )
        return []
