"""Applies a configuration: whole or not at all, safe to repeat, one winner in a race.

The stored value is replaced by compare-and-swap. A write whose answer was lost is
resolved by reading back: the value carries the ids of the latest applies, so a repeated
apply that already took effect is recognised and answered with its revision.
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
    """The configuration took effect, now or at an earlier try, as this revision."""

    revision: int


class Conflicted(NamedTuple):
    """Another apply came first; nothing was changed.

    Parameters
    ----------
    revision : int
        In force.
    apply_id : str
        Of the apply that made it.
    past_applies : tuple of PastApply
        Applies since the revision that the caller built on, as far as remembered.
    """

    revision: int
    apply_id: str
    past_applies: tuple[stored.PastApply, ...]


class Refused(NamedTuple):
    """The document has faults; nothing was changed."""

    faults: tuple[faults.Fault, ...]


class StoreUnavailable(NamedTuple):
    """The store refused every call; nothing was changed."""


class OutcomeUnknown(NamedTuple):
    """The store's answer was lost and could not be read back; repeat the apply."""


ApplyResult = Applied | Conflicted | Refused | StoreUnavailable | OutcomeUnknown


async def apply_document(
    store: port.Store,
    based_on: int,
    apply_id: str,
    document: object,
    in_force_revision: int = 0,
) -> ApplyResult:
    """Check a document and put it in force.

    Parameters
    ----------
    store : Store
    based_on : int
        Revision that the operator built on.
    apply_id : str
        The same for every repetition of one apply.
    document : object
        Decoded JSON.
    in_force_revision : int
        Known to the caller. A store that holds a lower one has lost its data; what is
        applied to it would never be adopted.

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
            known = await _read_known(store, in_force_revision)
            result = await _try_apply(store, known, based_on, apply_id, read)
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


class _Known(NamedTuple):
    """What the store holds, and at which version."""

    version: int
    stored: stored.StoredConfiguration


async def _read_known(store: port.Store, in_force_revision: int) -> _Known:
    try:
        entry = await store.get(stored.CONFIGURATION_KEY)
    except errors.StoreOutcomeUnknownError as error:
        raise errors.StoreUnavailableError(str(error)) from error
    if entry is None:
        known = _Known(port.ABSENT, stored.make_initial_stored())
    else:
        known = _Known(entry.version, stored.decode_stored_configuration(entry.value))
    revision = known.stored.configuration.revision
    if revision < in_force_revision:
        expected = f"at least {in_force_revision}, the revision in force"
        fault = faults.Fault("store", f"revision {revision}", expected)
        raise errors.InvalidDocumentError([fault])
    return known


async def _try_apply(
    store: port.Store, known: _Known, based_on: int, apply_id: str, new: Configuration
) -> ApplyResult | None:
    """Decide and swap once; None if another write came in between."""
    past = find_past_apply(known.stored, apply_id)
    if past is not None:
        return Applied(past.revision)
    old = known.stored.configuration
    if based_on != old.revision:
        return make_conflict(known.stored, based_on)
    found = changes.check_change(old, new, known.stored.identities)
    if found:
        return Refused(tuple(found))
    following = stored.make_next_stored(known.stored, apply_id, new)
    value = stored.encode_stored(following)
    if len(value) > stored.MAX_STORED_BYTES:
        return Refused((_too_large(value),))
    result = await store.swap(stored.CONFIGURATION_KEY, known.version, value)
    match result:
        case port.Swapped():
            return Applied(following.configuration.revision)
        case port.Conflict():
            return None


def find_past_apply(
    known: stored.StoredConfiguration, apply_id: str
) -> stored.PastApply | None:
    """Return the apply of this id if it is remembered to have taken effect."""
    for past in known.past_applies:
        if past.apply_id == apply_id:
            return past
    return None


def make_conflict(known: stored.StoredConfiguration, based_on: int) -> Conflicted:
    """Return what stands in the way of an apply on ``based_on``."""
    since = tuple(past for past in known.past_applies if past.revision > based_on)
    return Conflicted(known.configuration.revision, known.configuration.apply_id, since)


def _check_apply_id(apply_id: str) -> None:
    if APPLY_ID_PATTERN.fullmatch(apply_id):
        return
    expected = "1 to 128 letters, digits, '@', '.', '_' or '-'"
    fault = faults.Fault("apply_id", validation.show(apply_id), expected)
    raise errors.InvalidDocumentError([fault])


def _too_large(value: bytes) -> faults.Fault:
    found = f"{len(value)} bytes with its defaults written out"
    return faults.Fault("document", found, f"at most {stored.MAX_STORED_BYTES} bytes")
