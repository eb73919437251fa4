"""HTTP client for the daemons' operator API."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import httpx

from fuchsiamoor.cli.exit_status import ExitStatus, ToolError
from fuchsiamoor.core import errors, faults
from fuchsiamoor.reports import codec, response_bodies, status
from fuchsiamoor.store import bounded_transport

REQUEST_TIMEOUT_S = 5.0
MAX_CONCURRENT_CALLS = 32
# The report of a whole deployment is the largest answer.
MAX_ANSWER_BYTES = 64 * 1024 * 1024

T = TypeVar("T")


class Client(NamedTuple):
    """HTTP client with the daemons to ask.

    Parameters
    ----------
    http : AsyncClient
    urls : tuple of str
        URLs of operator APIs, as given on the command line.
    """

    http: httpx.AsyncClient
    urls: tuple[str, ...]


class CollectedResponses(NamedTuple):
    """Responses of all daemons.

    Parameters
    ----------
    by_instance : dict of str to object
    unreachable : tuple of str
        Instances that did not answer; URLs where the instance is unknown.
    """

    by_instance: dict[str, object]
    unreachable: tuple[str, ...]


def make_client(
    urls: tuple[str, ...], key: str, transport: httpx.AsyncBaseTransport | None = None
) -> Client:
    """Return a client that authenticates with an operator key."""
    bounded = bounded_transport.BoundedTransport(
        transport or httpx.AsyncHTTPTransport(trust_env=False),
        MAX_ANSWER_BYTES,
        REQUEST_TIMEOUT_S,
    )
    http = httpx.AsyncClient(
        headers={"Authorization": f"Bearer {key}", "Accept-Encoding": "identity"},
        timeout=REQUEST_TIMEOUT_S,
        transport=bounded,
        trust_env=False,
    )
    return Client(http, tuple(url.rstrip("/") for url in urls))


async def get_first(client: Client, kind: type[T], path: str, **params: str) -> T:
    """Return the response of the first given daemon that answers.

    Raises
    ------
    ToolError
        If none of the given daemons answers, or if one refused the call.
    """
    problems = {}
    for url in client.urls:
        try:
            return await get(client, kind, url, path, **params)
        except httpx.HTTPError as error:
            problems[url] = describe_error(error)
    raise _make_unreachable_error(problems)


async def get(client: Client, kind: type[T], url: str, path: str, **params: str) -> T:
    """Return the response of one daemon.

    Raises
    ------
    httpx.HTTPError
        If the daemon did not answer, or answered with a server error.
    ToolError
        If the daemon refused the call.
    """
    response = await client.http.get(f"{url}{path}", params=params)
    return read_response(kind, response)


def read_response(kind: type[T], response: httpx.Response) -> T:
    """Return the decoded body of a successful response.

    Raises
    ------
    httpx.HTTPError
        If the status is not a success, or if the body cannot be decoded.
    ToolError
        If the daemon refused the call.
    """
    if response.status_code == httpx.codes.UNAUTHORIZED:
        message = "the operator key is not in force; see `fuchsiamoor --help`"
        raise ToolError(ExitStatus.WRONG_INPUT, message)
    if response.is_client_error:
        raise ToolError(ExitStatus.WRONG_INPUT, describe_refusal(response))
    response.raise_for_status()
    return decode_response(kind, response)


def decode_response(kind: type[T], response: httpx.Response) -> T:
    """Return the decoded body of a response.

    Raises
    ------
    httpx.DecodingError
        If the body does not match ``kind``.
    """
    try:
        return codec.decode(kind, response.content)
    except errors.InvalidDocumentError:
        raise httpx.DecodingError("an answer that cannot be read") from None


def describe_refusal(response: httpx.Response) -> str:
    """Return the message of an error response."""
    try:
        if response.status_code == httpx.codes.UNPROCESSABLE_ENTITY:
            found = codec.decode(response_bodies.FaultsBody, response.content).faults
            return "\n".join(faults.format_fault(fault) for fault in found)
        return codec.decode(response_bodies.ProblemBody, response.content).problem
    except errors.InvalidDocumentError:
        return f"status {response.status_code}"


async def ask_all_daemons(
    client: Client, kind: type[T], path: str, instance_of: Callable[[T], str]
) -> CollectedResponses:
    """Call an endpoint of every daemon of the deployment.

    Parameters
    ----------
    client : Client
    kind : type
    path : str
    instance_of : callable
        Returns the instance that a response came from.

    Raises
    ------
    ToolError
        If none of the given daemons answers.
    """
    members = await find_members(client)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def ask(url: str, name: str) -> tuple[str, T | None]:
        async with semaphore:
            try:
                found = await get(client, kind, url, path)
            except httpx.HTTPError:
                return name, None
        return instance_of(found), found

    answers = await asyncio.gather(*(ask(*member) for member in members.items()))
    by_instance = {name: found for name, found in answers if found is not None}
    unanswered = {name for name, _ in answers} - by_instance.keys()
    return CollectedResponses(
        dict(sorted(by_instance.items())), tuple(sorted(unanswered))
    )


async def find_members(client: Client) -> dict[str, str]:
    """Return the instance at each operator URL known to the given daemons.

    A given URL that does not answer is listed with itself as its instance.

    Raises
    ------
    ToolError
        If none of the given daemons answers.
    """
    members: dict[str, str] = {}
    problems: dict[str, str] = {}
    for url in client.urls:
        try:
            found = await get(client, status.Status, url, "/v1/status")
        except httpx.HTTPError as error:
            problems[url] = describe_error(error)
            continue
        members[url] = found.instance
        for member in found.members:
            members.setdefault(f"http://{member.operator_address}", member.instance)
    if not members:
        raise _make_unreachable_error(problems)
    for url in problems:
        members.setdefault(url, url)
    return members


def describe_error(error: httpx.HTTPError) -> str:
    """Return a message for an HTTP failure."""
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return "cannot connect"
        case httpx.TimeoutException():
            return f"no answer within {REQUEST_TIMEOUT_S:g} s"
        case httpx.HTTPStatusError():
            return describe_refusal(error.response)
        case httpx.DecodingError():
            return str(error)
    return str(error) or type(error).__name__


def _make_unreachable_error(problems: dict[str, str]) -> ToolError:
    lines = [f"{url}: {problem}" for url, problem in problems.items()]
    return ToolError(ExitStatus.UNREACHABLE, "\n".join(["no daemon answers", *lines]))
