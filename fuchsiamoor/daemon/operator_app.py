"""HTTP API of a daemon for operators."""

import hmac
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

import litestar
import loguru
from litestar.connection import ASGIConnection
from litestar.exceptions import HTTPException, NotAuthorizedException
from litestar.handlers import BaseRouteHandler
from litestar.types import Scope

from fuchsiamoor.core import errors, faults
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.daemon.metrics import Metrics
from fuchsiamoor.documents import apply, model, reader, validation
from fuchsiamoor.reports import codec, metric_names, response_bodies
from fuchsiamoor.reports.counts import CountsSnapshot
from fuchsiamoor.reports.status import Explanation, Status

MAX_BODY_BYTES = model.MAX_DOCUMENT_BYTES + 4096
BEARER = "Bearer "

ApplyDocument = Callable[[int, str, object], Awaitable[apply.ApplyResult]]


class OperatorView(Protocol):
    """Read access to the daemon for operators."""

    def status(self) -> Status:
        """Return the daemon's state."""

    def configuration(self) -> Configuration:
        """Return the configuration in force."""

    def explain(self, service: str, tenant: str, key: str) -> Explanation | None:
        """Return where a key is served; None if service or tenant is unknown."""

    def report(self) -> CountsSnapshot:
        """Return the counts for the reports."""


def make_operator_app(
    view: OperatorView,
    apply_document: ApplyDocument,
    operator_keys: Sequence[str],
    metrics: Metrics,
) -> litestar.Litestar:
    """Return the ASGI application of the operators' API.

    Parameters
    ----------
    view : OperatorView
    apply_document : callable
        Applies a document; takes ``based_on``, ``apply_id`` and the decoded document.
    operator_keys : sequence of str
        Accepted keys; each call must present one of them.
    metrics : Metrics
    """

    def check_key(connection: ASGIConnection, _: BaseRouteHandler) -> None:
        header = connection.headers.get("authorization", "")
        if has_accepted_key(header, operator_keys):
            return
        metrics.count(metric_names.OPERATORS_REFUSED)
        raise NotAuthorizedException(detail="an operator key is needed")

    async def record_failure(error: Exception, _: Scope) -> None:
        if isinstance(error, HTTPException):
            return
        metrics.count(metric_names.OPERATORS_FAILED)
        loguru.logger.bind(error=repr(error)).error("operator call failed")

    @litestar.get("/v1/status", sync_to_thread=False)
    def get_status(members: bool = True) -> litestar.Response[bytes]:
        found = view.status()
        return _make_response(found if members else found._replace(members=()))

    @litestar.get("/v1/configuration", sync_to_thread=False)
    def get_configuration() -> litestar.Response[bytes]:
        found = view.configuration()
        document = reader.write_document(found)
        return _make_response(
            response_bodies.ConfigurationBody(found.revision, found.apply_id, document)
        )

    @litestar.post("/v1/configuration")
    async def post_configuration(request: litestar.Request) -> litestar.Response[bytes]:
        try:
            body = _parse_apply_body(await request.body())
        except errors.InvalidDocumentError as error:
            metrics.count(metric_names.CONFIGURATION_REFUSED)
            return _make_response(response_bodies.FaultsBody(tuple(error.faults)), 422)
        result = await apply_document(*body)
        return _make_apply_response(result, metrics)

    @litestar.get("/v1/explain", sync_to_thread=False)
    def get_explanation(
        service: str, key: str, tenant: str = "default"
    ) -> litestar.Response[bytes]:
        found = view.explain(service, tenant, key)
        if found is None:
            return _make_response(
                response_bodies.ProblemBody("unknown service or tenant"), 404
            )
        return _make_response(found)

    @litestar.get("/v1/report", sync_to_thread=False)
    def get_report() -> litestar.Response[bytes]:
        return _make_response(view.report())

    return litestar.Litestar(
        route_handlers=[
            get_status,
            get_configuration,
            post_configuration,
            get_explanation,
            get_report,
        ],
        guards=[check_key],
        after_exception=[record_failure],
        request_max_body_size=MAX_BODY_BYTES,
        openapi_config=None,
        logging_config=None,
    )


def has_accepted_key(authorization: str, keys: Sequence[str]) -> bool:
    """Return whether an Authorization header presents an accepted key.

    The comparison takes constant time, so that timing reveals nothing about the keys.

    Examples
    --------
    >>> has_accepted_key("Bearer second", ["first", "second"])
    True
    >>> has_accepted_key("Bearer ", ["first", "second"])
    False
    """
    if not authorization.startswith(BEARER):
        return False
    given = authorization.removeprefix(BEARER).encode()
    matches = [hmac.compare_digest(given, key.encode()) for key in keys]
    return any(matches)


def _parse_apply_body(text: bytes) -> tuple[int, str, object]:
    match validation.load_json(text, MAX_BODY_BYTES):
        case {"based_on": int(based_on), "apply_id": str(apply_id), "document": given}:
            return based_on, apply_id, given
        case found:
            expected = "an object with based_on, apply_id and document"
            fault = faults.Fault("body", validation.show(found), expected)
            raise errors.InvalidDocumentError([fault])


def _make_apply_response(
    result: apply.ApplyResult, metrics: Metrics
) -> litestar.Response[bytes]:
    match result:
        case apply.Applied(revision):
            metrics.count(metric_names.CONFIGURATION_APPLIED)
            return _make_response(response_bodies.AppliedBody(revision))
        case apply.Conflicted():
            metrics.count(metric_names.CONFIGURATION_CONFLICTS)
            return _make_response(response_bodies.ConflictBody(*result), 409)
        case apply.Refused(found):
            metrics.count(metric_names.CONFIGURATION_REFUSED)
            return _make_response(response_bodies.FaultsBody(found), 422)
        case apply.StoreUnavailable():
            return _make_response(
                response_bodies.ProblemBody("the store is down; nothing changed"), 503
            )
        case apply.OutcomeUnknown():
            return _make_response(
                response_bodies.ProblemBody("outcome unknown; apply it again"), 504
            )


def _make_response(body: object, status_code: int = 200) -> litestar.Response[bytes]:
    return litestar.Response(
        codec.encode(body), media_type="application/json", status_code=status_code
    )
