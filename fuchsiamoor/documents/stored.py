"""Encoding of the configuration in the store, at `CONFIGURATION_KEY`."""

import json
from typing import NamedTuple

from fuchsiamoor.core import configuration, errors, faults
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import changes, reader

CONFIGURATION_KEY = "configuration"
MAX_STORED_BYTES = 900 * 1024
MAX_REMEMBERED_APPLIES = 32
MAX_SUMMARY_LINES = 10
MAX_SUMMARY_LINE_CHARACTERS = 160
FORMAT = 1


class PastApply(NamedTuple):
    """An apply that took effect.

    Parameters
    ----------
    revision : int
    apply_id : str
    changed : tuple of str
        Its first changes, one line each, at most `MAX_SUMMARY_LINES`.
    """

    revision: int
    apply_id: str
    changed: tuple[str, ...]


class StoredConfiguration(NamedTuple):
    """A configuration with the history that later applies need.

    Parameters
    ----------
    configuration : Configuration
    based_on : int
        Revision that it replaced.
    past_applies : tuple of PastApply
        The latest `MAX_REMEMBERED_APPLIES` applies, ending with the current one.
    identities : Identities
        Identities of all configurations applied so far.
    """

    configuration: Configuration
    based_on: int
    past_applies: tuple[PastApply, ...]
    identities: changes.Identities


def make_initial_stored() -> StoredConfiguration:
    """Return the state that an empty store represents."""
    return StoredConfiguration(
        configuration.make_empty_configuration(), 0, (), changes.NO_IDENTITIES
    )


def make_next_stored(
    stored: StoredConfiguration, apply_id: str, new: Configuration
) -> StoredConfiguration:
    """Return the state with which an apply replaces ``stored``."""
    old = stored.configuration
    revision = old.revision + 1
    applied = new._replace(revision=revision, apply_id=apply_id)
    past = PastApply(revision, apply_id, _summarise(changes.diff(old, applied)))
    return StoredConfiguration(
        configuration=applied,
        based_on=old.revision,
        past_applies=(*stored.past_applies, past)[-MAX_REMEMBERED_APPLIES:],
        identities=changes.collect_identities(stored.identities, applied),
    )


def encode_stored(stored: StoredConfiguration) -> bytes:
    """Encode a stored configuration as the value in the store."""
    applied = stored.configuration
    value = {
        "format": FORMAT,
        "revision": applied.revision,
        "apply_id": applied.apply_id,
        "based_on": stored.based_on,
        "document": reader.write_document(applied),
        "past_applies": [past._asdict() for past in stored.past_applies],
        "identities": {
            "shard_counts": stored.identities.shard_counts,
            "home_regions": {
                tenant: sorted(regions)
                for tenant, regions in stored.identities.home_regions.items()
            },
        },
    }
    return json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()


def decode_configuration(value: bytes) -> Configuration:
    """Decode only the configuration from the value in the store.

    Raises
    ------
    InvalidDocumentError
        If the value was not written by `encode_stored`.
    """
    return decode_stored_configuration(value).configuration


def decode_stored_configuration(value: bytes) -> StoredConfiguration:
    """Decode the value in the store.

    Raises
    ------
    InvalidDocumentError
        If the value was not written by `encode_stored`.
    """
    try:
        fields = json.loads(value)
        if fields["format"] != FORMAT:
            raise ValueError(f"format {fields['format']!r}")
        read = reader.read_value(fields["document"])
        return StoredConfiguration(
            configuration=read._replace(
                revision=fields["revision"], apply_id=fields["apply_id"]
            ),
            based_on=fields["based_on"],
            past_applies=tuple(
                PastApply(past["revision"], past["apply_id"], tuple(past["changed"]))
                for past in fields["past_applies"]
            ),
            identities=_decode_identities(fields["identities"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        fault = faults.Fault(
            CONFIGURATION_KEY,
            f"{type(error).__name__} {error}",
            f"a stored configuration of format {FORMAT}",
        )
        raise errors.InvalidDocumentError([fault]) from error


def _decode_identities(fields: dict) -> changes.Identities:
    return changes.Identities(
        shard_counts=fields["shard_counts"],
        home_regions={
            tenant: frozenset(regions)
            for tenant, regions in fields["home_regions"].items()
        },
    )


def _summarise(differences: list[changes.Difference]) -> tuple[str, ...]:
    lines = [
        changes.format_difference(difference)[:MAX_SUMMARY_LINE_CHARACTERS]
        for difference in differences[:MAX_SUMMARY_LINES]
    ]
    omitted = len(differences) - len(lines)
    if omitted:
        lines.append(f"and {omitted} more")
    return tuple(lines)
