"""Applies a configuration and waits until every daemon has it in force."""

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
APPLY_ROUNDS = 3
HASH_CHARACTERS = 16


class Clock(NamedTuple):
    """Time source that tests replace."""

    monotonic: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep


class Progress(NamedTuple):
    """Which daemons have a revision in force.

    Parameters
    ----------
    revision : int
    in_force : tuple of str
        Instances with this revision or a later one.
    behind : dict of str to int
        Instances with an earlier revision, and that revision.
    unreachable : tuple of str
        Instances or URLs that did not answer.
    newest : int
        Highest revision in force anywhere.
    """

    revision: int
    in_force: tuple[str, ...]
    behind: dict[str, int]
    unreachable: tuple[str, ...]
    newest: int


def make_apply_id(operator: str, based_on: int, new: Configuration) -> str:
    """Return the same id for every repetition of one apply by the same operator.

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

    Every given daemon is tried at most ``APPLY_ROUNDS`` times; repeating an apply is
    safe, because the apply id stays the same.

    Raises
    ------
    ToolError
        If the apply was refused, conflicts with another one, had no effect because no
        daemon answered, or has an unknown outcome.
    """
    document = reader.write_document(new)
    body = {"based_on": based_on, "apply_id": apply_id, "document": document}
    problems = {}
    may_have_applied = False
    for url in client.urls * APPLY_ROUNDS:
        try:
            response = await client.http.post(f"{url}/v1/configuration", json=body)
            return _read_apply_response(response, based_on)
        except httpx.HTTPError as error:
            problems[url] = tool_client.describe_error(error)
            may_have_applied = may_have_applied or not _had_no_effect(error)
    raise ToolError(
        ExitStatus.UNREACHABLE, _describe_unanswered_apply(problems, may_have_applied)
    )


async def wait_in_force(
    client: Client,
    revision: int,
    wait_s: float,
    clock: Clock,
    on_progress: Callable[[Progress], None],
) -> Progress:
    """Wait until every daemon has a revision in force, or until the wait times out.

    Parameters
    ----------
    client : Client
    revision : int
    wait_s : float
    clock : Clock
    on_progress : callable
        Called when the progress changes, but not with the final progress.
    """
    until_s = clock.monotonic() + wait_s
    last_progress = None
    while True:
        progress = await fetch_progress(client, revision)
        done = not progress.behind and not progress.unreachable
        if done or clock.monotonic() >= until_s:
            return progress
        if progress != last_progress:
            on_progress(progress)
            last_progress = progress
        await clock.sleep(POLL_EVERY_S)


async def fetch_progress(client: Client, revision: int) -> Progress:
    """Ask every daemon for its revision in force."""
    found = await tool_client.ask_all_daemons(
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


def _read_apply_response(response: httpx.Response, based_on: int) -> int:
    if response.status_code != httpx.codes.CONFLICT:
        return tool_client.read_response(response_bodies.AppliedBody, response).revision
    found = tool_client.decode_response(response_bodies.ConflictBody, response)
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


def _describe_unanswered_apply(problems: dict[str, str], may_have_applied: bool) -> str:
    lines = [f"{url}: {problem}" for url, problem in problems.items()]
    if may_have_applied:
        lines.append("outcome unknown: repeat the same command, which is safe")
    else:
        lines.append("nothing was changed")
    return "\n".join(lines)
