"""Applies a configuration through the daemons and waits until it is in force."""

import asyncio
import hashlib
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import httpx

from fuchsiamoor.cli import client as tool_client
from fuchsiamoor.cli.client import Client
from fuchsiamoor.cli.exit_status import ExitStatus, ToolError
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import reader
from fuchsiamoor.reports import response_bodies
from fuchsiamoor.reports.status import Status

POLL_EVERY_S = 0.3
ROUNDS = 3
HASH_CHARACTERS = 16


class Clock(NamedTuple):
    """Time as the tool sees it."""

    monotonic: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


class Progress(NamedTuple):
    """How far a revision is in force.

    Parameters
    ----------
    revision : int
    in_force : tuple of str
        Instances that have it, or a later one.
    behind : dict of str to int
        Revision in force at the others.
    unreachable : tuple of str
    newest : int
        Highest revision in force anywhere.
    """

    revision: int
    in_force: tuple[str, ...]
    behind: dict[str, int]
    unreachable: tuple[str, ...]
    newest: int


def make_apply_id(operator: str, based_on: int, new: Configuration) -> str:
    """Return the same id for every repetition of one apply by one operator.

    Examples
    --------
    >>> from fuchsiamoor.core.configuration import make_empty_configuration
    >>> make_apply_id("dana", 3, make_empty_configuration())
    'dana-996dbb7b4b4f4b8a'
    """
    document = json.dumps([based_on, reader.write_document(new)], sort_keys=True)
    digest = hashlib.sha256(document.encode()).hexdigest()
    return f"{operator}-{digest[:HASH_CHARACTERS]}"


async def post_configuration(
    client: Client, based_on: int, apply_id: str, new: Configuration
) -> int:
    """Apply a configuration and return its revision.

    Every named daemon is tried, several times: repeating an apply is safe.

    Raises
    ------
    ToolError
        If it was refused, if another apply came first, or if the outcome is unknown.
    """
    document = reader.write_document(new)
    body = {"based_on": based_on, "apply_id": apply_id, "document": document}
    problems = {}
    maybe_applied = False
    for url in client.urls * ROUNDS:
        try:
            response = await client.http.post(f"{url}/v1/configuration", json=body)
            return _read_applied(response, based_on)
        except httpx.HTTPError as error:
            problems[url] = tool_client.describe(error)
            maybe_applied = maybe_applied or not _had_no_effect(error)
    raise ToolError(ExitStatus.UNREACHABLE, _describe_failure(problems, maybe_applied))


async def wait_in_force(
    client: Client,
    revision: int,
    wait_s: float,
    clock: Clock,
    show: Callable[[Progress], None],
) -> Progress:
    """Wait until every daemon has a revision in force, or until time is up.

    Parameters
    ----------
    client : Client
    revision : int
    wait_s : float
    clock : Clock
    show : callable
        Told of each change before the last.
    """
    until_s = clock.monotonic() + wait_s
    shown = None
    while True:
        progress = await measure_progress(client, revision)
        done = not progress.behind and not progress.unreachable
        if done or clock.monotonic() >= until_s:
            return progress
        if progress != shown:
            show(progress)
            shown = progress
        await clock.sleep(POLL_EVERY_S)


async def measure_progress(client: Client, revision: int) -> Progress:
    """Ask every daemon for its revision."""
    found = await tool_client.gather(
        client, Status, "/v1/status?members=false", lambda answer: answer.instance
    )
    revisions = {
        name: answer.configuration_revision
        for name, answer in found.by_instance.items()
    }
    return Progress(
        revision,
        tuple(name for name, at in revisions.items() if at >= revision),
        {name: at for name, at in revisions.items() if at < revision},
        found.unreachable,
        max(revisions.values(), default=0),
    )


def _read_applied(response: httpx.Response, based_on: int) -> int:
    if response.status_code != httpx.codes.CONFLICT:
        return tool_client.read_answer(response_bodies.AppliedBody, response).revision
    found = tool_client.decode_answer(response_bodies.ConflictBody, response)
    raise ToolError(ExitStatus.CONFLICT, _describe_conflict(found, based_on))


def _had_no_effect(error: httpx.HTTPError) -> bool:
    match error:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            return True
        case httpx.HTTPStatusError():
            return error.response.status_code == httpx.codes.SERVICE_UNAVAILABLE
    return False


def _describe_conflict(found: response_bodies.ConflictBody, based_on: int) -> str:
    lines = [
        f"conflict: based on revision {based_on}, but revision {found.revision} "
        f"is in force, applied as {found.apply_id}"
    ]
    for past in found.past_applies:
        lines.append(f"revision {past.revision} by {past.apply_id}:")
        lines += [f"  {line}" for line in past.changed]
    lines.append("nothing was changed; see `fuchsiamoor diff`, then apply again")
    return "\n".join(lines)


def _describe_failure(problems: dict[str, str], maybe_applied: bool) -> str:
    lines = [f"{url}: {problem}" for url, problem in problems.items()]
    if maybe_applied:
        lines.append("outcome unknown: repeat the same command, which is safe")
    else:
        lines.append("nothing was changed")
    return "\n".join(lines)
