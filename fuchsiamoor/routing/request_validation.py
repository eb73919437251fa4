"""Request validation against the configuration, data residency included.

A tenant's requests may be held, sent and served only in its home regions.
"""

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.requests import Request
from fuchsiamoor.core.verdicts import NotRun, Reason


def check_request(
    configuration: Configuration, request: Request, region: str
) -> NotRun | None:
    """Check whether a daemon in ``region`` may accept a request.

    Returns
    -------
    NotRun or None
        Why the request is refused, None if it is accepted.
    """
    service = configuration.services.get(request.service)
    if service is None:
        return NotRun(Reason.UNKNOWN_SERVICE, f"no service {request.service!r}")
    home_regions = configuration.tenants.get(request.tenant)
    if home_regions is None:
        return NotRun(Reason.UNKNOWN_TENANT, f"no tenant {request.tenant!r}")
    if region not in home_regions:
        return NotRun(
            Reason.OUTSIDE_HOME_REGIONS,
            f"{region!r} is not a home region of the tenant",
        )
    if len(request.body) > service.limits.body_bytes:
        return NotRun(
            Reason.BODY_TOO_LARGE,
            f"{len(request.body)} bytes, at most {service.limits.body_bytes} allowed",
        )
    if service.key_required and not request.key:
        return NotRun(Reason.BAD_REQUEST, "the service needs a key")
    return None
