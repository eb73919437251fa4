"""Store client that relays calls through another daemon while direct ones fail.

A call is repeated through a peer only if it certainly had no effect. While peers cannot
reach the store either, a backoff limits the calls to them.

The outcome in a peer's `messages.StoreAnswer` is ``done`` with the result, ``dated``
with the store's era and the result (for a store that names its era), or, with the
error's text, ``refused`` (`StoreUnavailableError`), ``unknown``
(`StoreOutcomeUnknownError`) or ``forgotten`` (`StoreHistoryLostError`).
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import cbor2

from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import eras, port

# After a direct call failed without effect, calls go to a peer first for this time.
PREFER_RELAY_MS = 1_000
# After a peer could not reach the store either, or was unreachable itself, no call is
# relayed for this time.
RELAY_BACKOFF_MS = 700
# Longest wait of a relayed watch.
RELAYED_WATCH_MS = 1_000
CALL_TIMEOUT_MS = 2_500


def _ignore(name: str) -> None:
    """Count nothing."""


def _ignore_era(era: int) -> None:
    """Do nothing."""


CallPeer = Callable[[messages.StoreCall, int], Awaitable[messages.StoreAnswer]]


@dataclass(slots=True)
class RelayedStore:
    """`port.TransactionalStore` that relays a call through a peer if it fails directly.

    Parameters
    ----------
    direct : TransactionalStore
        Client that calls the store itself.
    call_peer : callable
        ``async call_peer(call, timeout_ms)``; raises `PeerError`.
    now_ms : callable
    count : callable
        Counts an event by name: each direct call, and each one that was refused.
    prefer_relay_until_ms : int
        Time until which calls go to a peer first.
    relay_backoff_until_ms : int
        Time until which no call is relayed.
    relayed_calls : int
        Number of calls that a peer has answered.
    on_era : callable
        Called with each new era of the store, before the result that showed it is
        returned.
    era : int
        Latest era of the store that is known.
    """

    direct: port.TransactionalStore
    call_peer: CallPeer
    now_ms: Callable[[], int]
    count: Callable[[str], None] = _ignore
    prefer_relay_until_ms: int = 0
    relay_backoff_until_ms: int = 0
    relayed_calls: int = 0
    on_era: Callable[[int], None] = _ignore_era
    era: int = 0

    def learn_era(self, era: int) -> None:
        """Take note of an era that an answer or another daemon has named."""
        self.direct.era = max(self.direct.era, era)
        if self.direct.era > self.era:
            self.era = self.direct.era
            self.on_era(self.era)

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        return await self._call("get", key)

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        return await self._call("list_prefix", prefix)

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix; a relayed watch waits for a shorter time."""
        return await self._call("watch", prefix, after_version, wait_ms)

    async def transact(
        self,
        expected: tuple[port.Precondition, ...],
        puts: tuple[port.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> port.TransactResult:
        """Set and delete keys atomically if every precondition holds."""
        return await self._call("transact", expected, puts, deletes)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Create a lease and return its id."""
        return await self._call("grant_lease", ttl_ms)

    async def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease for its full length; False if it has expired."""
        return await self._call("renew_lease", lease_id)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease, which deletes its keys."""
        return await self._call("revoke_lease", lease_id)

    async def _call(self, name: str, *arguments):
        now_ms = self.now_ms()
        may_relay = now_ms >= self.relay_backoff_until_ms
        if now_ms < self.prefer_relay_until_ms and may_relay:
            return await self._relay(name, arguments)
        try:
            answer = await self.call_direct(name, arguments)
        except errors.StoreUnavailableError:
            self.prefer_relay_until_ms = self.now_ms() + PREFER_RELAY_MS
            if not may_relay:
                raise
            return await self._relay(name, arguments)
        self.prefer_relay_until_ms = 0
        return answer

    async def call_direct(self, name: str, arguments: Iterable):
        """Call the store itself, and count the call."""
        self.count(f"store.call.{name}")
        try:
            return await getattr(self.direct, name)(*arguments)
        except errors.StoreUnavailableError:
            self.count(f"store.refused.{name}")
            raise
        finally:
            self.learn_era(self.direct.era)

    async def _relay(self, name: str, arguments: tuple):
        if name == "watch":
            prefix, after_version, wait_ms = arguments
            arguments = (prefix, after_version, min(wait_ms, RELAYED_WATCH_MS))
        call = messages.StoreCall(name, cbor2.dumps(arguments))
        try:
            answer = await self.call_peer(call, CALL_TIMEOUT_MS)
        except errors.PeerUnreachableError as error:
            self.relay_backoff_until_ms = self.now_ms() + RELAY_BACKOFF_MS
            raise errors.StoreUnavailableError(
                f"no peer is reachable: {error}"
            ) from error
        except errors.PeerError as error:
            raise errors.StoreOutcomeUnknownError(
                f"no answer from the peer: {error}"
            ) from error
        if answer.outcome == "refused":
            self.relay_backoff_until_ms = self.now_ms() + RELAY_BACKOFF_MS
        self.relayed_calls += 1
        era = read_era(answer)
        if answer.outcome in ("done", "dated") and era < self.era:
            raise errors.StoreOutcomeUnknownError(f"relayed answer of era {era}")
        self.learn_era(era)
        return read_answer(name, answer)


async def handle_call(
    store: RelayedStore, call: messages.StoreCall
) -> messages.StoreAnswer:
    """Make a peer's call to the store and return its answer.

    Raises
    ------
    ValueError
        If the call is malformed.
    """
    if call.name not in _RESULT_READERS:
        raise ValueError(f"store call: unknown name {call.name!r:.40}")
    arguments = _read_arguments(call)
    try:
        answer = await store.call_direct(call.name, arguments)
    except errors.StoreHistoryLostError as error:
        return messages.StoreAnswer("forgotten", cbor2.dumps(str(error)))
    except errors.StoreUnavailableError as error:
        return messages.StoreAnswer("refused", cbor2.dumps(str(error)))
    except errors.StoreOutcomeUnknownError as error:
        return messages.StoreAnswer("unknown", cbor2.dumps(str(error)))
    match answer:
        case port.Committed(version):
            answer = [version]
        case port.PreconditionFailed():
            answer = []
    return write_answer(store.era, answer)


def write_answer(era: int, result: object) -> messages.StoreAnswer:
    """Return the answer with a result that the store gave in an era."""
    if era:
        return messages.StoreAnswer("dated", cbor2.dumps([era, result]))
    return messages.StoreAnswer("done", cbor2.dumps(result))


def read_era(answer: messages.StoreAnswer) -> int:
    """Return the era that an answer names, 0 if it names none."""
    if answer.outcome != "dated":
        return 0
    try:
        era, _ = cbor2.loads(answer.content)
        return max(0, min(_read_plain(era, int), eras.ERA_MAX))
    except (cbor2.CBORDecodeError, TypeError, ValueError, RecursionError):
        return 0


def _read_arguments(call: messages.StoreCall) -> list:
    arguments = cbor2.loads(call.arguments)
    if call.name != "transact":
        return arguments
    expected, puts, deletes = arguments
    return [
        tuple(port.Precondition(*row) for row in expected),
        tuple(port.Put(*row) for row in puts),
        tuple(deletes),
    ]


def read_answer(name: str, answer: messages.StoreAnswer):
    """Return the result of a relayed call, or raise what the direct call would have.

    Raises
    ------
    StoreError
        Also if the answer is malformed.
    """
    try:
        content = cbor2.loads(answer.content)
        if answer.outcome == "dated":
            _, content = content
        if answer.outcome in ("done", "dated"):
            return _RESULT_READERS[name](content)
    except (
        cbor2.CBORDecodeError,
        LookupError,
        TypeError,
        ValueError,
        RecursionError,
    ) as error:
        raise errors.StoreOutcomeUnknownError(
            f"malformed answer of a peer: {error!r:.200}"
        ) from error
    content = str(content)
    match answer.outcome:
        case "forgotten":
            raise errors.StoreHistoryLostError(content)
        case "refused":
            raise errors.StoreUnavailableError(content)
        case _:
            raise errors.StoreOutcomeUnknownError(content)


def _read_plain(value: object, expected: type) -> object:
    if type(value) is not expected:
        raise TypeError(f"found {type(value).__name__}, expected {expected.__name__}")
    return value


def _read_entry(row: list | None) -> port.Entry | None:
    if row is None:
        return None
    key, value, version = row
    return port.Entry(
        _read_plain(key, str), _read_plain(value, bytes), _read_plain(version, int)
    )


def _read_listing(row: list) -> port.Listing:
    version, entries = row
    found = tuple(_read_entry(_read_plain(entry, list)) for entry in entries)
    return port.Listing(_read_plain(version, int), found)


def _read_changes(row: list) -> port.Changes:
    version, changes = row
    found = tuple(
        port.Change(_read_plain(key, str), _read_entry(entry)) for key, entry in changes
    )
    return port.Changes(_read_plain(version, int), found)


def _read_transact(row: list) -> port.TransactResult:
    if not row:
        return port.PreconditionFailed()
    return port.Committed(_read_plain(row[0], int))


_RESULT_READERS = {
    "get": _read_entry,
    "list_prefix": _read_listing,
    "watch": _read_changes,
    "transact": _read_transact,
    "grant_lease": lambda content: _read_plain(content, str),
    "renew_lease": lambda content: _read_plain(content, bool),
    "revoke_lease": lambda content: None,
}
