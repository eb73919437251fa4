"""Builders of organisations and of a catalog whose callers need keys."""

from fuchsiamoor.testing import traffic_data
from fuchsiamoor.traffic import catalog, organisations

KEY = b"lab-key-1"
SECOND_KEY = b"lab-key-2"
ORGANISATION = "lab"
PUBLIC_TARGET = "/public/1"


def make_organisation(
    name: str = ORGANISATION, *keys: bytes, **changes
) -> organisations.Organisation:
    """Return an organisation without limits, with fields replaced."""
    digests = frozenset(map(organisations.digest_key, keys or (KEY, SECOND_KEY)))
    return organisations.Organisation(name, digests)._replace(**changes)


def make_catalog(*given: organisations.Organisation, **changes) -> catalog.Catalog:
    """Return a catalog of a route with and a route without keys.

    ``changes`` are made to the first route; without organisations there is one.
    """
    found = traffic_data.make_catalog(
        1,
        traffic_data.make_route(**changes),
        traffic_data.make_route("public", is_public=True),
    )
    known = organisations.make_organisations(given or [make_organisation()])
    return found._replace(organisations=known)
