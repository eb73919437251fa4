"""Applies a configuration to the store atomically and idempotently.

The stored value is replaced by compare-and-swap, so one of several concurrent applies
wins. If the answer to a write is lost, the value is read back: it contains the ids of
the latest applies, so an apply that already took effect returns its revision.
"""

import re
from typing import NamedTuple

from fuchsiamoor.core import errors, faults
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import changes, reader, stored, validation
from fuchsiamoor.store import port

MAX_ATTEMPTS = 4
APPLY_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9@._-]{0,127}")


class Applied(NamedTuple):
    """The configuration took effect as this revision, now or in an earlier attempt."""

    revision: int


class Conflicted(NamedTuple):
    """Another apply took effect first; nothing was changed.

    Parameters
    ----------
    revision : int
        Revision in force.
    apply_id : str
        Id of the apply that created this revision.
    past_applies : tuple of PastApply
        Applies since the revision on which the caller's change is based, as far as
        they are retained.
    """

    revision: int
    apply_id: str
    past_applies: tuple[stored.PastApply, ...]


class Refused(NamedTuple):
    """The document has faults; nothing was changed."""

    faults: tuple[faults.Fault, ...]


class StoreUnavailable(NamedTuple):
    """The store was unavailable in every attempt; nothing was changed."""


class OutcomeUnknown(NamedTuple):
    """The outcome of the write could not be read back; repeat the apply."""


ApplyResult = Applied | Conflicted | Refused | StoreUnavailable | OutcomeUnknown


async def apply_document(
    store: port.Store,
    based_on: int,
    apply_id: str,
    document: object,
    in_force_revision: int = 0,
) -> ApplyResult:
    """Validate a document and put it in force.

    Parameters
    ----------
    store : Store
    based_on : int
        Revision on which the operator's change is based.
    apply_id : str
        Idempotency key of the apply; the same for every repetition.
    document : object
        Decoded JSON.
    in_force_revision : int
        Revision in force at the caller. A store with a lower revision has lost data,
        and daemons would never adopt a configuration applied to it.

    Returns
    -------
    ApplyResult
    """
    try:
        read = reader.read_value(document)
        _check_apply_id(apply_id)
    except errors.InvalidDocumentError as error:
        return Refused(tuple(error.faults))
    may_have_written = False
    for _ in range(MAX_ATTEMPTS):
        try:
            current = await _read_current(store, in_force_revision)
            result = await _try_apply(store, current, based_on, apply_id, read)
        except errors.StoreOutcomeUnknownError:
            may_have_written = True
        except errors.StoreUnavailableError:
            continue
        except errors.InvalidDocumentError as error:
            return Refused(tuple(error.faults))
        else:
            if result is not None:
                return result
    return OutcomeUnknown() if may_have_written else StoreUnavailable()


class _StoredState(NamedTuple):
    """The stored configuration and its version in the store."""

    version: int
    stored: stored.StoredConfiguration


async def _read_current(store: port.Store, in_force_revision: int) -> _StoredState:
    try:
        entry = await store.get(stored.CONFIGURATION_KEY)
    except errors.StoreOutcomeUnknownError as error:
        raise errors.StoreUnavailableError(str(error)) from error
    if entry is None:
        current = _StoredState(port.ABSENT, stored.make_initial_stored())
    else:
        current = _StoredState(
            entry.version, stored.decode_stored_configuration(entry.value)
        )
    revision = current.stored.configuration.revision
    if revision < in_force_revision:
        expected = f"at least {in_force_revision}, the revision in force"
        fault = faults.Fault("store", f"revision {revision}", expected)
        raise errors.InvalidDocumentError([fault])
    return current


async def _try_apply(
    store: port.Store,
    current: _StoredState,
    based_on: int,
    apply_id: str,
    new: Configuration,
) -> ApplyResult | None:
    """Make one attempt to apply; return None if a concurrent write won the swap."""
    past = find_past_apply(current.stored, apply_id)
    if past is not None:
        return Applied(past.revision)
    old = current.stored.configuration
    if based_on != old.revision:
        return make_conflict(current.stored, based_on)
    found = changes.check_change(old, new, current.stored.identities)
    if found:
        return Refused(tuple(found))
    following = stored.make_next_stored(current.stored, apply_id, new)
    value = stored.encode_stored(following)
    if len(value) > stored.MAX_STORED_BYTES:
        return Refused((_make_size_fault(value),))
    result = await store.swap(stored.CONFIGURATION_KEY, current.version, value)
    match result:
        case port.Swapped():
            return Applied(following.configuration.revision)
        case port.Conflict():
            return None


def find_past_apply(
    current: stored.StoredConfiguration, apply_id: str
) -> stored.PastApply | None:
    """Return the retained apply with this id, None if there is none."""
    for past in current.past_applies:
        if past.apply_id == apply_id:
            return past
    return None


def make_conflict(current: stored.StoredConfiguration, based_on: int) -> Conflicted:
    """Return the conflict of an apply that is based on revision ``based_on``."""
    since = tuple(past for past in current.past_applies if past.revision > based_on)
    return Conflicted(
        current.configuration.revision, current.configuration.apply_id, since
    )


def _check_apply_id(apply_id: str) -> None:
    if APPLY_ID_PATTERN.fullmatch(apply_id):
        return
    expected = "1 to 128 letters, digits, '@', '.', '_' or '-'"
    fault = faults.Fault("apply_id", validation.show(apply_id), expected)
    raise errors.InvalidDocumentError([fault])


def _make_size_fault(value: bytes) -> faults.Fault:
    found = f"{len(value)} bytes with its defaults written out"
    return faults.Fault("document", found, f"at most {stored.MAX_STORED_BYTES} bytes")
