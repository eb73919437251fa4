"""Checks between the sections of a configuration file: references and conflicts."""

from fuchsiamoor.core import faults
from fuchsiamoor.documents import model, validation


def check_references(document: model.ConfigurationDocument) -> list[faults.Fault]:
    """Return all unknown references and conflicts in a document that fits its schema.

    Parameters
    ----------
    document : ConfigurationDocument
        With its defaults filled in.

    Returns
    -------
    list of Fault
    """
    return [
        *_check_regions(document),
        *_check_data_centres_out(document),
        *_check_tenants(document),
        *_check_overrides(document),
    ]


def _check_regions(document: model.ConfigurationDocument) -> list[faults.Fault]:
    regions_by_data_centre: dict[str, str] = {}
    found = []
    for region, fields in document["regions"].items():
        for index, data_centre in enumerate(fields["data_centres"]):
            first = regions_by_data_centre.setdefault(data_centre, region)
            if first == region:
                continue
            path = f"regions.{region}.data_centres[{index}]"
            expected = f"a data centre that is not in region {first} too"
            found.append(_make_fault(path, data_centre, expected))
    return found


def _check_data_centres_out(
    document: model.ConfigurationDocument,
) -> list[faults.Fault]:
    known = _list_data_centres(document)
    return [
        _make_fault(
            f"data_centres_out[{index}]",
            name,
            _describe_known_names("data centre", known),
        )
        for index, name in enumerate(document["data_centres_out"])
        if name not in known
    ]


def _check_tenants(document: model.ConfigurationDocument) -> list[faults.Fault]:
    regions = document["regions"]
    out = set(document["data_centres_out"])
    found = []
    for tenant, fields in document["tenants"].items():
        path = f"tenants.{tenant}.home_regions"
        homes = fields["home_regions"]
        unknown = [
            _make_fault(
                f"{path}[{index}]", region, _describe_known_names("region", regions)
            )
            for index, region in enumerate(homes)
            if region not in regions
        ]
        found += unknown
        if unknown:
            continue
        if all(out.issuperset(regions[region]["data_centres"]) for region in homes):
            expected = "a home region with a data centre that is not out of service"
            found.append(_make_fault(path, homes, expected))
    return found


def _check_overrides(document: model.ConfigurationDocument) -> list[faults.Fault]:
    indexes_by_subject: dict[tuple, int] = {}
    found = []
    for index, override in enumerate(document["overrides"]):
        path = f"overrides[{index}]"
        found += _check_subject(document, override, path)
        found += _check_hold(document, override, path)
        subject = (override["service"], override.get("tenant"), override.get("key"))
        first = indexes_by_subject.setdefault(subject, index)
        if first != index:
            expected = f"another subject than that of overrides[{first}]"
            found.append(_make_fault(path, override, expected))
    return found


def _check_subject(
    document: model.ConfigurationDocument, override: model.OverrideFields, path: str
) -> list[faults.Fault]:
    found = []
    service, tenant = override["service"], override.get("tenant")
    if service not in document["services"]:
        expected = _describe_known_names("service", document["services"])
        found.append(_make_fault(f"{path}.service", service, expected))
    if tenant is not None and tenant not in document["tenants"]:
        expected = _describe_known_names("tenant", document["tenants"])
        found.append(_make_fault(f"{path}.tenant", tenant, expected))
    return found


def _check_hold(
    document: model.ConfigurationDocument, override: model.OverrideFields, path: str
) -> list[faults.Fault]:
    match override["hold_to"]:
        case {"region": name}:
            path = f"{path}.hold_to.region"
            known = document["regions"]
            region = name if name in known else None
            expected = _describe_known_names("region", known)
        case {"data_centre": name}:
            path = f"{path}.hold_to.data_centre"
            region = _find_region(document, name)
            expected = _describe_known_names(
                "data centre", _list_data_centres(document)
            )
        case _:
            return []
    if region is None:
        return [_make_fault(path, name, expected)]
    return [
        _make_fault(path, name, f"a place in the home regions of tenant {tenant}")
        for tenant in _list_affected_tenants(document, override)
        if region not in document["tenants"][tenant]["home_regions"]
    ]


def _list_affected_tenants(
    document: model.ConfigurationDocument, override: model.OverrideFields
) -> list[str]:
    tenant = override.get("tenant")
    if tenant is None:
        return list(document["tenants"])
    return [tenant] if tenant in document["tenants"] else []


def _find_region(document: model.ConfigurationDocument, data_centre: str) -> str | None:
    for region, fields in document["regions"].items():
        if data_centre in fields["data_centres"]:
            return region
    return None


def _list_data_centres(document: model.ConfigurationDocument) -> list[str]:
    return [
        data_centre
        for fields in document["regions"].values()
        for data_centre in fields["data_centres"]
    ]


def _describe_known_names(kind: str, names: object) -> str:
    known = ", ".join(sorted(names))
    return f"a known {kind} ({validation.shorten(known) or 'there is none'})"


def _make_fault(path: str, value: object, expected: str) -> faults.Fault:
    return faults.Fault(path, validation.show(value), expected)
