"""What changes between two configurations, and which changes are refused."""

import json
from collections.abc import Iterator
from typing import NamedTuple

from fuchsiamoor.core import faults
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import reader, validation


class Added(NamedTuple):
    """Something that only the new configuration has."""

    path: str
    value: str


class Removed(NamedTuple):
    """Something that only the old configuration has."""

    path: str
    value: str


class Changed(NamedTuple):
    """Something that both have, with different values."""

    path: str
    before: str
    after: str


Difference = Added | Removed | Changed


class Identities(NamedTuple):
    """What decides the shard of a key, for every name ever applied.

    Kept after a removal, so that a name is never used again with another meaning: two
    daemons under different revisions would otherwise see two owners of one key.

    Parameters
    ----------
    shard_counts : dict of str to int
        Per service.
    home_regions : dict of str to frozenset of str
        Per tenant.
    """

    shard_counts: dict[str, int]
    home_regions: dict[str, frozenset[str]]


_Place = tuple[str, str]

NO_IDENTITIES = Identities({}, {})


def collect_identities(known: Identities, applied: Configuration) -> Identities:
    """Return the identities known after a configuration has been applied."""
    shard_counts = {
        name: service.shard_count for name, service in applied.services.items()
    }
    return Identities(
        known.shard_counts | shard_counts, known.home_regions | applied.tenants
    )


def check_change(
    old: Configuration, new: Configuration, known: Identities = NO_IDENTITIES
) -> list[faults.Fault]:
    """Return why a configuration may not follow another.

    Parameters
    ----------
    old : Configuration
        In force.
    new : Configuration
    known : Identities
        Of all configurations applied so far.

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
    """Return what changes from one configuration to another, in order of places."""
    before = dict(_list_leaves(reader.write_document(old)))
    after = dict(_list_leaves(reader.write_document(new)))
    found: list[Difference] = []
    for place in sorted(before.keys() | after.keys()):
        path, _ = place
        match before.get(place), after.get(place):
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


def _list_leaves(value: object, path: str = "") -> Iterator[tuple[_Place, str]]:
    """Yield every leaf of a document; lists count as sets of their members."""
    match value:
        case {"hold_to": hold}:
            subject = {name: part for name, part in value.items() if name != "hold_to"}
            yield (f"{path} of {_to_json(subject)}", ""), _to_json(hold)
        case dict():
            for name, part in value.items():
                yield from _list_leaves(part, f"{path}.{name}" if path else name)
        case list():
            for part in value:
                if isinstance(part, dict):
                    yield from _list_leaves(part, path)
                else:
                    yield (path, part), _to_json(part)
        case _:
            yield (path, ""), _to_json(value)


def _to_json(value: object) -> str:
    return json.dumps(value, ensure_ascii=False)
