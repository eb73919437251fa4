"""Reads and validates the settings file of a daemon."""

import ipaddress
import json
import pathlib
from typing import Annotated
from urllib.parse import urlsplit

import pydantic
from typing_extensions import TypedDict

from fuchsiamoor.core import addresses, errors, faults, settings
from fuchsiamoor.documents import field_types, validation

MAX_SETTINGS_BYTES = 64 * 1024
MIN_KEY_CHARACTERS = 16
MIN_RENEWALS_PER_LEASE = 3
MAX_TIME_MS = 600_000
MAX_DRIFT_RATIO = 0.1
MAX_PORT = 65_535
BYTES_PER_MB = 1_000_000
# A daemon at rest takes about 40 MB.
MIN_MEMORY_MB = 100
MAX_MEMORY_MB = 1_000_000
DEFAULT_MEMORY_MB = settings.Settings._field_defaults["memory_bytes"] // BYTES_PER_MB

_SECRET_FIELDS = frozenset({"peer_keys", "operator_keys"})
_LISTENING_FIELDS = (
    "caller_address",
    "peer_address",
    "operator_address",
    "announce_address",
    "upstream_address",
)


def _check_address(text: str) -> str:
    try:
        address = addresses.parse_address(text)
        ipaddress.IPv4Address(address.host)
    except ValueError:
        raise ValueError("IP:PORT, such as 127.0.0.1:7000") from None
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(f"a port from 1 to {MAX_PORT}")
    return text


def _check_url(text: str) -> str:
    try:
        parts = urlsplit(text)
        parts.port  # noqa: B018
    except ValueError:
        raise ValueError("a URL such as http://127.0.0.1:7400") from None
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("a URL such as http://127.0.0.1:7400")
    return text


def _check_key(text: str) -> str:
    if not (text.isascii() and text.isprintable() and " " not in text):
        raise ValueError("ASCII characters without spaces")
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
SharedKey = Annotated[
    str,
    pydantic.Field(min_length=MIN_KEY_CHARACTERS),
    pydantic.AfterValidator(_check_key),
]
SharedKeys = Annotated[list[SharedKey], pydantic.Field(min_length=1, max_length=2)]


def _optional_time(name: str, text: str) -> object:
    default = settings.Timing._field_defaults[name]
    return field_types.optional_count(text, default, 1, MAX_TIME_MS)


class TimingFields(TypedDict):
    """Times of the ownership protocol; the same in every daemon of a deployment."""

    __pydantic_config__ = field_types.make_schema_config("Timing")

    renew_every_ms: _optional_time(
        "renew_every_ms", "Time between two renewals of a serving lease."
    )
    lease_ms: _optional_time("lease_ms", "Length of a serving lease.")
    silence_ms: _optional_time(
        "silence_ms", "Silence after which a member counts as lost."
    )
    store_lease_ms: _optional_time(
        "store_lease_ms", "Length of the coordinator's lease in the store."
    )
    drift_ratio: field_types.optional(
        float,
        "Largest difference in the rate of two clocks.",
        settings.Timing._field_defaults["drift_ratio"],
        ge=0,
        le=MAX_DRIFT_RATIO,
    )
    gossip_every_ms: _optional_time(
        "gossip_every_ms", "Time between two exchanges with a random peer."
    )


class SettingsDocument(TypedDict):
    """Settings of one daemon."""

    __pydantic_config__ = field_types.make_schema_config("Settings")

    instance: field_types.required(
        field_types.Name, "This instance; unique in the deployment."
    )
    service: field_types.required(
        field_types.Name, "Service of the upstream beside the daemon."
    )
    region: field_types.required(field_types.Name, "Region of this instance.")
    data_centre: field_types.required(field_types.Name, "Data centre of this instance.")
    caller_address: field_types.required(Address, "Listens to callers.")
    peer_address: field_types.required(Address, "Listens to other daemons.")
    peer_bind_address: field_types.optional(
        Address | None, "Listens there if peers reach `peer_address` by a relay."
    )
    operator_address: field_types.required(Address, "Listens to operators.")
    announce_address: field_types.required(Address, "Listens to the upstream.")
    upstream_address: field_types.required(Address, "Where the upstream listens.")
    store_url: field_types.required(Url, "The platform's store.")
    statsd_address: field_types.optional(
        Address | None, "Where metrics are sent, if at all."
    )
    peer_keys: field_types.required(
        SharedKeys, "One or two in force for daemons; the first is used for sending."
    )
    operator_keys: field_types.required(
        SharedKeys, "One or two in force for operators."
    )
    memory_mb: field_types.optional_count(
        "Memory that the daemon may use, in MB; received bytes get a share of it.",
        DEFAULT_MEMORY_MB,
        MIN_MEMORY_MB,
        MAX_MEMORY_MB,
    )
    timing: field_types.optional(TimingFields, "The same in every daemon.")


ADAPTER = pydantic.TypeAdapter(SettingsDocument)


def load_settings(path: str | pathlib.Path) -> settings.Settings:
    """Read and validate a settings file.

    Raises
    ------
    InvalidDocumentError
        With all faults of the file, or the one that prevented reading it.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        fault = faults.Fault(str(path), str(error.strerror), "a readable file")
        raise errors.InvalidDocumentError([fault]) from None
    return read_settings(text)


def read_settings(text: bytes) -> settings.Settings:
    """Parse and validate the text of a settings file.

    Raises
    ------
    InvalidDocumentError
        With all faults found.
    """
    document = validation.load_json(text, MAX_SETTINGS_BYTES)
    found_faults = validation.check_schema(
        ADAPTER, document, secret_fields=_SECRET_FIELDS
    )
    if found_faults:
        raise errors.InvalidDocumentError(found_faults)
    found_faults = _check_addresses(document) + _check_timing(
        document.get("timing", {})
    )
    if found_faults:
        raise errors.InvalidDocumentError(found_faults)
    return _make_settings(document)


def make_schema() -> str:
    """Return the JSON Schema of a settings file, as committed under docs/."""
    return json.dumps(ADAPTER.json_schema(), indent=2, sort_keys=True) + "\n"


def _check_addresses(document: SettingsDocument) -> list[faults.Fault]:
    first_field_by_address: dict[str, str] = {}
    found_faults = []
    for field in (*_LISTENING_FIELDS, "peer_bind_address"):
        text = document.get(field)
        if text is None:
            continue
        first_field = first_field_by_address.setdefault(text, field)
        if first_field != field:
            expected = f"an address other than that of {first_field}"
            found_faults.append(faults.Fault(field, validation.show(text), expected))
    return found_faults


def _check_timing(given: TimingFields) -> list[faults.Fault]:
    timing = settings.Timing(**given)
    if timing.renew_every_ms * MIN_RENEWALS_PER_LEASE <= timing.lease_ms:
        return []
    expected = (
        f"at most a {MIN_RENEWALS_PER_LEASE}rd of lease_ms, which is {timing.lease_ms}"
    )
    shown = str(timing.renew_every_ms)
    return [faults.Fault("timing.renew_every_ms", shown, expected)]


def _make_settings(document: SettingsDocument) -> settings.Settings:
    return settings.Settings(
        instance=document["instance"],
        service=document["service"],
        region=document["region"],
        data_centre=document["data_centre"],
        **{
            field: addresses.parse_address(document[field])
            for field in _LISTENING_FIELDS
        },
        store_url=document["store_url"].rstrip("/"),
        statsd_address=_parse_optional(document.get("statsd_address")),
        peer_keys=tuple(document["peer_keys"]),
        operator_keys=tuple(document["operator_keys"]),
        timing=settings.Timing(**document.get("timing", {})),
        peer_bind_address=_parse_optional(document.get("peer_bind_address")),
        memory_bytes=document.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB,
    )


def _parse_optional(text: str | None) -> addresses.Address | None:
    return None if text is None else addresses.parse_address(text)
