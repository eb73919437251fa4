"""Calls from the tool to the daemons' operator surfaces."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, TypeVar

import httpx

from fuchsiamoor.cli.exit_status import ExitStatus, ToolError
from fuchsiamoor.core import errors, faults
from fuchsiamoor.reports import codec, response_bodies, status

TIMEOUT_S = 5.0
CALLS_AT_ONCE = 32

T = TypeVar("T")


class Client(NamedTuple):
    """How the tool reaches a deployment.

    Parameters
    ----------
    http : AsyncClient
    urls : tuple of str
        Daemons that the operator named.
    """

    http: httpx.AsyncClient
    urls: tuple[str, ...]


class Gathered(NamedTuple):
    """Answers of all daemons.

    Parameters
    ----------
    by_instance : dict of str to object
    unreachable : tuple of str
        Instances or URLs that did not answer.
    """

    by_instance: dict[str, object]
    unreachable: tuple[str, ...]


def make_client(
    urls: tuple[str, ...], key: str, transport: httpx.AsyncBaseTransport | None = None
) -> Client:
    """Return a client that proves an operator key."""
    http = httpx.AsyncClient(
        headers={"Authorization": f"Bearer {key}"},
        timeout=TIMEOUT_S,
        transport=transport,
        trust_env=False,
    )
    return Client(http, tuple(url.rstrip("/") for url in urls))


async def get_first(client: Client, kind: type[T], path: str, **params: str) -> T:
    """Return the answer of the first named daemon that gives one.

    Raises
    ------
    ToolError
    """
    problems = {}
    for url in client.urls:
        try:
            return await get(client, kind, url, path, **params)
        except httpx.HTTPError as error:
            problems[url] = describe(error)
    raise _make_unreachable(problems)


async def get(client: Client, kind: type[T], url: str, path: str, **params: str) -> T:
    """Return one daemon's answer.

    Raises
    ------
    httpx.HTTPError
        If it did not answer, or with a server error.
    ToolError
        If it refused the call.
    """
    response = await client.http.get(f"{url}{path}", params=params)
    return read_answer(kind, response)


def read_answer(kind: type[T], response: httpx.Response) -> T:
    """Return the body of an answer of status 200."""
    if response.status_code == httpx.codes.UNAUTHORIZED:
        message = "the operator key is not in force; see `fuchsiamoor --help`"
        raise ToolError(ExitStatus.WRONG_INPUT, message)
    if response.is_client_error:
        raise ToolError(ExitStatus.WRONG_INPUT, read_problem(response))
    response.raise_for_status()
    return decode_answer(kind, response)


def decode_answer(kind: type[T], response: httpx.Response) -> T:
    """Return the body of an answer.

    Raises
    ------
    httpx.DecodingError
        If it is not of this kind.
    """
    try:
        return codec.decode(kind, response.content)
    except errors.InvalidDocumentError:
        raise httpx.DecodingError("an answer that cannot be read") from None


def read_problem(response: httpx.Response) -> str:
    """Return in words why a daemon refused."""
    try:
        if response.status_code == httpx.codes.UNPROCESSABLE_ENTITY:
            found = codec.decode(response_bodies.FaultsBody, response.content).faults
            return "\n".join(faults.format_fault(fault) for fault in found)
        return codec.decode(response_bodies.ProblemBody, response.content).problem
    except errors.InvalidDocumentError:
        return f"status {response.status_code}"


async def gather(
    client: Client, kind: type[T], path: str, instance_of: Callable[[T], str]
) -> Gathered:
    """Ask every daemon of the deployment.

    Parameters
    ----------
    client : Client
    kind : type
    path : str
    instance_of : callable
        Returns the instance that gave an answer.

    Raises
    ------
    ToolError
        If none of the named daemons answers.
    """
    members = await find_members(client)
    gate = asyncio.Semaphore(CALLS_AT_ONCE)

    async def ask(url: str, name: str) -> tuple[str, T | None]:
        async with gate:
            try:
                found = await get(client, kind, url, path)
            except httpx.HTTPError:
                return name, None
        return instance_of(found), found

    answers = await asyncio.gather(*(ask(*member) for member in members.items()))
    by_instance = {name: found for name, found in answers if found is not None}
    silent = {name for name, _ in answers} - by_instance.keys()
    return Gathered(dict(sorted(by_instance.items())), tuple(sorted(silent)))


async def find_members(client: Client) -> dict[str, str]:
    """Return the instance at each operator URL that any named daemon knows.

    A named URL that does not answer stands for itself.

    Raises
    ------
    ToolError
        If none of the named daemons answers.
    """
    members: dict[str, str] = {}
    problems: dict[str, str] = {}
    for url in client.urls:
        try:
            found = await get(client, status.Status, url, "/v1/status")
        except httpx.HTTPError as error:
            problems[url] = describe(error)
            continue
        members[url] = found.instance
        for member in found.members:
            members.setdefault(f"http://{member.operator_address}", member.instance)
    if not members:
        raise _make_unreachable(problems)
    for url in problems:
        members.setdefault(url, url)
    return members


def describe(error: httpx.HTTPError) -> str:
    """Return an HTTP failure in words."""
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return "cannot connect"
        case httpx.TimeoutException():
            return f"no answer within {TIMEOUT_S:g} s"
        case httpx.HTTPStatusError():
            return read_problem(error.response)
        case httpx.DecodingError():
            return str(error)
    return str(error) or type(error).__name__


def _make_unreachable(problems: dict[str, str]) -> ToolError:
    lines = [f"{url}: {problem}" for url, problem in problems.items()]
    return ToolError(ExitStatus.UNREACHABLE, "\n".join(["no daemon answers", *lines]))
