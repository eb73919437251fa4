"""A store that is reached through another daemon while it turns this one away.

Only what the store has certainly not done is asked for again, by way of a peer. While
the store serves nobody, peers are asked seldom.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import cbor2

from fuchsiamoor.core import errors, messages
from fuchsiamoor.store import port

# After a refusal, the store is asked through peers first for this time.
AWAY_MS = 1_000
# After a peer could not reach it either, peers are left alone for this time.
ALL_AWAY_MS = 700
# Longest wait of a watch through a peer.
WATCH_MS = 1_000
CALL_TIMEOUT_MS = 2_500

CallPeer = Callable[[messages.StoreCall, int], Awaitable[messages.StoreAnswer]]


@dataclass(slots=True)
class RelayedStore:
    """`port.TransactionalStore` over the own way to the store, or a peer's.

    Parameters
    ----------
    direct : TransactionalStore
    call_peer : callable
        ``async call_peer(call, timeout_ms)``; raises `PeerError`.
    now_ms : callable
    away_until_ms : int
        Up to when peers are asked first.
    all_away_until_ms : int
        Up to when peers are not asked.
    relayed : int
        Calls that a peer has carried out.
    """

    direct: port.TransactionalStore
    call_peer: CallPeer
    now_ms: Callable[[], int]
    away_until_ms: int = 0
    all_away_until_ms: int = 0
    relayed: int = 0

    async def get(self, key: str) -> port.Entry | None:
        """Read one key."""
        return await self._ask("get", key)

    async def list_prefix(self, prefix: str) -> port.Listing:
        """Read all keys under a prefix."""
        return await self._ask("list_prefix", prefix)

    async def watch(
        self, prefix: str, after_version: int, wait_ms: int
    ) -> port.Changes:
        """Wait for changes under a prefix, for a shorter time through a peer."""
        return await self._ask("watch", prefix, after_version, wait_ms)

    async def transact(
        self,
        expected: tuple[port.Precondition, ...],
        puts: tuple[port.Put, ...],
        deletes: tuple[str, ...] = (),
    ) -> port.TransactResult:
        """Set and delete keys, all or none, if every expectation holds."""
        return await self._ask("transact", expected, puts, deletes)

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease."""
        return await self._ask("grant_lease", ttl_ms)

    async def renew_lease(self, lease_id: str) -> bool:
        """Extend a lease by its length; False if it has ended."""
        return await self._ask("renew_lease", lease_id)

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys."""
        return await self._ask("revoke_lease", lease_id)

    async def _ask(self, name: str, *arguments):
        now_ms = self.now_ms()
        may_relay = now_ms >= self.all_away_until_ms
        if now_ms < self.away_until_ms and may_relay:
            return await self._relay(name, arguments)
        try:
            answer = await getattr(self.direct, name)(*arguments)
        except errors.StoreUnavailableError:
            self.away_until_ms = self.now_ms() + AWAY_MS
            if not may_relay:
                raise
            return await self._relay(name, arguments)
        self.away_until_ms = 0
        return answer

    async def _relay(self, name: str, arguments: tuple):
        if name == "watch":
            prefix, after_version, wait_ms = arguments
            arguments = (prefix, after_version, min(wait_ms, WATCH_MS))
        call = messages.StoreCall(name, cbor2.dumps(arguments))
        try:
            answer = await self.call_peer(call, CALL_TIMEOUT_MS)
        except errors.PeerUnreachableError as error:
            self.all_away_until_ms = self.now_ms() + ALL_AWAY_MS
            raise errors.StoreUnavailableError(f"no peer: {error}") from error
        except errors.PeerError as error:
            raise errors.StoreOutcomeUnknownError(f"peer lost: {error}") from error
        if answer.outcome == "refused":
            self.all_away_until_ms = self.now_ms() + ALL_AWAY_MS
        self.relayed += 1
        return read_answer(name, answer)


async def handle_call(
    store: port.TransactionalStore, call: messages.StoreCall
) -> messages.StoreAnswer:
    """Carry a peer's call out at the store.

    Raises
    ------
    ValueError
        If the call is malformed.
    """
    if call.name not in _READERS:
        raise ValueError(f"store call: found {call.name!r:.40}")
    arguments = _read_arguments(call)
    try:
        answer = await getattr(store, call.name)(*arguments)
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
    return messages.StoreAnswer("done", cbor2.dumps(answer))


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
    """Return what a peer's call came to, or raise as the call itself would have."""
    content = cbor2.loads(answer.content)
    match answer.outcome:
        case "done":
            return _READERS[name](content)
        case "forgotten":
            raise errors.StoreHistoryLostError(content)
        case "refused":
            raise errors.StoreUnavailableError(content)
        case _:
            raise errors.StoreOutcomeUnknownError(content)


def _read_entry(row: list | None) -> port.Entry | None:
    return None if row is None else port.Entry(*row)


def _read_listing(row: list) -> port.Listing:
    return port.Listing(row[0], tuple(port.Entry(*entry) for entry in row[1]))


def _read_changes(row: list) -> port.Changes:
    changes = tuple(port.Change(key, _read_entry(entry)) for key, entry in row[1])
    return port.Changes(row[0], changes)


def _read_transact(row: list) -> port.TransactResult:
    return port.Committed(row[0]) if row else port.PreconditionFailed()


_READERS = {
    "get": _read_entry,
    "list_prefix": _read_listing,
    "watch": _read_changes,
    "transact": _read_transact,
    "grant_lease": str,
    "renew_lease": bool,
    "revoke_lease": lambda content: None,
}
