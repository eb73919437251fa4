"""Converts between configuration files and validated `Configuration` records."""

import json

from fuchsiamoor.core import configuration, errors
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import model, references, validation


def read_document(text: bytes) -> Configuration:
    """Parse and validate a configuration file.

    Parameters
    ----------
    text : bytes
        JSON.

    Returns
    -------
    Configuration
        With revision 0 and no apply id.

    Raises
    ------
    InvalidDocumentError
        With all faults of the file.
    """
    return read_value(validation.load_json(text, model.MAX_DOCUMENT_BYTES))


def read_value(document: object) -> Configuration:
    """Validate a configuration document that is already decoded from JSON."""
    found = validation.check_schema(model.ADAPTER, document)
    if found:
        raise errors.InvalidDocumentError(found)
    filled = model.fill_defaults(document)
    found = references.check_references(filled)
    if found:
        raise errors.InvalidDocumentError(found)
    return _make_configuration(filled)


def write_document(given: Configuration) -> model.ConfigurationDocument:
    """Return the document of a configuration, with all fields in a fixed order.

    `read_value` restores the same configuration, except for revision and apply id.
    """
    return {
        "services": {
            name: _write_service(service)
            for name, service in sorted(given.services.items())
        },
        "regions": {
            name: {"data_centres": sorted(data_centres)}
            for name, data_centres in sorted(given.regions.items())
        },
        "data_centres_out": sorted(given.data_centres_out),
        "tenants": {
            name: {"home_regions": sorted(home_regions)}
            for name, home_regions in sorted(given.tenants.items())
        },
        "overrides": [_write_override(override) for override in given.overrides],
        "moves_per_minute": given.moves_per_minute,
    }


def format_document(given: Configuration) -> str:
    """Return a configuration as the text of a configuration file."""
    return json.dumps(write_document(given), indent=2, ensure_ascii=False) + "\n"


def _make_configuration(document: model.ConfigurationDocument) -> Configuration:
    return Configuration(
        revision=0,
        apply_id="",
        services={
            name: _make_service(name, fields)
            for name, fields in document["services"].items()
        },
        regions={
            name: frozenset(fields["data_centres"])
            for name, fields in document["regions"].items()
        },
        data_centres_out=frozenset(document["data_centres_out"]),
        tenants={
            name: frozenset(fields["home_regions"])
            for name, fields in document["tenants"].items()
        },
        overrides=tuple(
            sorted(
                map(_make_override, document["overrides"]), key=_make_override_sort_key
            )
        ),
        moves_per_minute=document["moves_per_minute"],
    )


def _make_service(name: str, fields: model.ServiceFields) -> configuration.Service:
    return configuration.Service(
        name=name,
        key_required=fields["key"] == "required",
        shard_count=fields["shards"],
        idempotent_methods=frozenset(fields["idempotent_methods"]),
        longest_run_ms=fields["longest_run_ms"],
        default_deadline_ms=fields["default_deadline_ms"],
        retry_ratio=float(fields["retry_ratio"]),
        cold_start=configuration.ColdStart(**fields["cold_start"]),
        limits=configuration.Limits(**fields["limits"]),
        objective=configuration.Objective(**fields["objective"]),
    )


def _write_service(service: configuration.Service) -> model.ServiceFields:
    return {
        "key": "required" if service.key_required else "optional",
        "shards": service.shard_count,
        "idempotent_methods": sorted(service.idempotent_methods),
        "longest_run_ms": service.longest_run_ms,
        "default_deadline_ms": service.default_deadline_ms,
        "retry_ratio": service.retry_ratio,
        "cold_start": service.cold_start._asdict(),
        "limits": service.limits._asdict(),
        "objective": service.objective._asdict(),
    }


def _make_override(fields: model.OverrideFields) -> configuration.Override:
    return configuration.Override(
        service=fields["service"],
        tenant=fields.get("tenant", ""),
        key=fields.get("key", ""),
        hold=_make_hold(fields["hold_to"]),
    )


def _make_override_sort_key(override: configuration.Override) -> tuple:
    """Sort overrides from the widest to the most specific, regardless of file order."""
    specific = (bool(override.key), bool(override.tenant))
    return (*specific, override.service, override.tenant, override.key)


def _make_hold(fields: model.HoldFields) -> configuration.Hold:
    match fields:
        case {"instance": instance}:
            return configuration.HoldToInstance(instance)
        case {"data_centre": data_centre}:
            return configuration.HoldToDataCentre(data_centre)
        case {"region": region}:
            return configuration.HoldToRegion(region)
    raise AssertionError(f"hold {fields!r}: expected a validated one")


def _write_override(override: configuration.Override) -> model.OverrideFields:
    fields = {"service": override.service}
    if override.tenant:
        fields["tenant"] = override.tenant
    if override.key:
        fields["key"] = override.key
    return fields | {"hold_to": override.hold._asdict()}
