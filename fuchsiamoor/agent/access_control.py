"""Decides whether a caller may use a route, and on behalf of which organisation.

Without organisations in the catalog every request is admitted as it is. With them the
caller's key names the organisation. Its name is all that is sent on: the headers that
carry the key are dropped here.
"""

from typing import NamedTuple

from fuchsiamoor.agent import state, watch_relay
from fuchsiamoor.core.verdicts import NotRun, Reason
from fuchsiamoor.traffic import catalog, organisations, requests

# Time in which a daemon that is behind is likely to have the newest catalog: a turn of
# the watch.
BEHIND_RETRY_MS = watch_relay.PEER_WATCH_MS


class Granted(NamedTuple):
    """The request may be served.

    Parameters
    ----------
    request : CallerRequest
        Without the caller's key.
    route : Route
        With the rank and the home regions of the organisation's requests.
    organisation : Organisation or None
        None if the request belongs to none.
    """

    request: requests.CallerRequest
    route: catalog.Route
    organisation: organisations.Organisation | None


class UnknownKey(NamedTuple):
    """No organisation of the catalog holds the caller's key."""


class Refused(NamedTuple):
    """The request is not served now.

    Parameters
    ----------
    verdict : NotRun
    retry_after_ms : int
    """

    verdict: NotRun
    retry_after_ms: int


def check_access(
    agent: state.Agent, request: requests.CallerRequest, route: catalog.Route
) -> Granted | UnknownKey | Refused:
    """Return whether a request may be served on a route."""
    known = agent.cache.catalog.organisations
    if known is None:
        headers = request.headers + request.credentials
        return Granted(request._replace(headers=headers, credentials=()), route, None)
    bare = request._replace(credentials=(), key_digest=b"")
    if not request.credentials and request.parent_id in agent.runs:
        return Granted(bare, route, None)
    # Only a run of this daemon's upstream makes calls here.
    bare = bare._replace(parent_id="")
    organisation = organisations.find_organisation(known, request.key_digest)
    if organisation is not None:
        return _grant(bare, route, organisation)
    if route.is_public:
        return Granted(bare, route, None)
    if request.parent_id and not request.credentials:
        verdict = NotRun(Reason.STARTING, "a call of no run that is known here")
        return Refused(verdict, BEHIND_RETRY_MS)
    if _may_be_behind(agent):
        verdict = NotRun(Reason.STARTING, "the key may be newer than the catalog here")
        return Refused(verdict, BEHIND_RETRY_MS)
    return UnknownKey()


def _grant(
    request: requests.CallerRequest,
    route: catalog.Route,
    organisation: organisations.Organisation,
) -> Granted | Refused:
    """Return the route as it is for an organisation's requests."""
    homes = route.home_regions or organisation.home_regions
    if route.home_regions and organisation.home_regions:
        homes = route.home_regions & organisation.home_regions
        if not homes:
            verdict = NotRun(Reason.OUTSIDE_HOME_REGIONS, "no common home region")
            return Refused(verdict, BEHIND_RETRY_MS)
    route = route._replace(
        rank=organisations.compute_rank(organisation, route.rank), home_regions=homes
    )
    return Granted(request, route, organisation)


def _may_be_behind(agent: state.Agent) -> bool:
    """Return whether operators may have published a catalog that is unknown here."""
    silent_ms = agent.now_ms() - agent.source_heard_ms
    return (
        agent.known_catalog_version > agent.cache.catalog.version
        or silent_ms > watch_relay.SOURCE_SILENT_MS
    )
