"""Differences between two configurations, and checks that a change is allowed."""

import json
from collections.abc import Iterator
from typing import NamedTuple

from fuchsiamoor.core import faults
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import reader, validation


class Added(NamedTuple):
    """A value that only the new configuration has."""

    path: str
    value: str


class Removed(NamedTuple):
    """A value that only the old configuration has."""

    path: str
    value: str


class Changed(NamedTuple):
    """A field that has different values in the two configurations."""

    path: str
    before: str
    after: str


Difference = Added | Removed | Changed


class Identities(NamedTuple):
    """Immutable properties of every service and tenant that was ever applied.

    They determine the shard and the owner of a key. They are kept after a service or
    tenant is removed, so that its name cannot return with other values: two daemons on
    different revisions would then see two owners of one key.

    Parameters
    ----------
    shard_counts : dict of str to int
        Shard count of each service.
    home_regions : dict of str to frozenset of str
        Home regions of each tenant.
    """

    shard_counts: dict[str, int]
    home_regions: dict[str, frozenset[str]]


_LeafId = tuple[str, str]

NO_IDENTITIES = Identities({}, {})


def collect_identities(known: Identities, applied: Configuration) -> Identities:
    """Add the services and tenants of an applied configuration to known identities."""
    shard_counts = {
        name: service.shard_count for name, service in applied.services.items()
    }
    return Identities(
        known.shard_counts | shard_counts, known.home_regions | applied.tenants
    )


def check_change(
    old: Configuration, new: Configuration, known: Identities = NO_IDENTITIES
) -> list[faults.Fault]:
    """Return the faults of a change from one configuration to another.

    Parameters
    ----------
    old : Configuration
        Configuration in force.
    new : Configuration
    known : Identities
        Identities of all configurations applied so far.

    Returns
    -------
    list of Fault
        Empty if the change is allowed.
    """
    fixed = collect_identities(known, old)
    found = []
    for name, service in new.services.items():
        shard_count = fixed.shard_counts.get(name, service.shard_count)
        if shard_count != service.shard_count:
            expected = f"{shard_count}, fixed since service {name} was first applied"
            path = f"services.{name}.shards"
            found.append(faults.Fault(path, str(service.shard_count), expected))
    for name, home_regions in new.tenants.items():
        fixed_regions = fixed.home_regions.get(name, home_regions)
        if fixed_regions != home_regions:
            regions = validation.show(sorted(fixed_regions))
            expected = f"{regions}, fixed since tenant {name} was first applied"
            path = f"tenants.{name}.home_regions"
            shown = validation.show(sorted(home_regions))
            found.append(faults.Fault(path, shown, expected))
    return found + _check_regions(old, new)


def _check_regions(old: Configuration, new: Configuration) -> list[faults.Fault]:
    old_regions = {
        data_centre: region
        for region, data_centres in old.regions.items()
        for data_centre in data_centres
    }
    return [
        faults.Fault(
            f"regions.{region}.data_centres",
            validation.show(data_centre),
            f"no data centre of region {old_regions[data_centre]}",
        )
        for region, data_centres in new.regions.items()
        for data_centre in sorted(data_centres)
        if old_regions.get(data_centre, region) != region
    ]


def diff(old: Configuration, new: Configuration) -> list[Difference]:
    """Return the differences between two configurations, sorted by path."""
    before = dict(_list_leaves(reader.write_document(old)))
    after = dict(_list_leaves(reader.write_document(new)))
    found: list[Difference] = []
    for leaf_id in sorted(before.keys() | after.keys()):
        path, _ = leaf_id
        match before.get(leaf_id), after.get(leaf_id):
            case None, value:
                found.append(Added(path, value))
            case value, None:
                found.append(Removed(path, value))
            case old_value, new_value if old_value != new_value:
                found.append(Changed(path, old_value, new_value))
    return found


def format_difference(difference: Difference) -> str:
    """Return one line for an operator.

    Examples
    --------
    >>> format_difference(Changed("services.stock.longest_run_ms", "1000", "900"))
    '~ services.stock.longest_run_ms: 1000 -> 900'
    """
    match difference:
        case Added(path, value):
            return f"+ {path}: {value}"
        case Removed(path, value):
            return f"- {path}: {value}"
        case Changed(path, before, after):
            return f"~ {path}: {before} -> {after}"


def _list_leaves(value: object, path: str = "") -> Iterator[tuple[_LeafId, str]]:
    """Yield the id and JSON of each leaf of a document; lists are treated as sets."""
    match value:
        case {"hold_to": hold}:
            subject = {name: item for name, item in value.items() if name != "hold_to"}
            yield (f"{path} of {_to_json(subject)}", ""), _to_json(hold)
        case dict():
            for name, item in value.items():
                yield from _list_leaves(item, f"{path}.{name}" if path else name)
        case list():
            for item in value:
                if isinstance(item, dict):
                    yield from _list_leaves(item, path)
                else:
                    yield (path, item), _to_json(item)
        case _:
            yield (path, ""), _to_json(value)


def _to_json(value: object) -> str:
    return json.dumps(value, ensure_ascii=False)
