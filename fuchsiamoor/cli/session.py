"""Runs one command of the tool: connects, prints the result and exits."""

import asyncio
import getpass
import pathlib
import re
from collections.abc import Awaitable, Callable
from typing import NamedTuple, NoReturn

import httpx
import typer

from fuchsiamoor.cli import client as tool_client
from fuchsiamoor.cli import commands, configuration_apply, render, text_layout
from fuchsiamoor.cli.client import Client
from fuchsiamoor.cli.commands import CommandResult
from fuchsiamoor.cli.exit_status import ExitStatus, ToolError
from fuchsiamoor.core import errors
from fuchsiamoor.reports import codec

MAX_OPERATOR_CHARACTERS = 64
DEFAULT_URL = "http://127.0.0.1:7003"


class Environment(NamedTuple):
    """Dependencies that tests replace.

    Parameters
    ----------
    transport : AsyncBaseTransport or None
        None for HTTP over the network.
    clock : Clock
    """

    transport: httpx.AsyncBaseTransport | None = None
    clock: configuration_apply.Clock = configuration_apply.Clock()


class Session(NamedTuple):
    """Values of the global options, given before the command.

    Parameters
    ----------
    environment : Environment
    urls : tuple of str
        Operator addresses of the daemons to ask.
    key : str
        Operator key; empty if not given as a value.
    key_file : Path or None
        File with the operator key; takes precedence over ``key``.
    """

    environment: Environment
    urls: tuple[str, ...]
    key: str
    key_file: pathlib.Path | None


def run_command(
    context: typer.Context,
    as_json: bool,
    command: Callable[[Client], Awaitable[CommandResult]],
) -> NoReturn:
    """Run a command, print its result and exit with its status."""
    try:
        result = asyncio.run(_run_connected(context.obj, command))
    except errors.InvalidDocumentError as error:
        result = CommandResult(
            ExitStatus.WRONG_INPUT,
            text_layout.wrap_all(str(error).splitlines()),
            {"faults": [fault._asdict() for fault in error.faults]},
        )
        _print_result(result, as_json, as_error=True)
    except ToolError as error:
        message = str(error)
        lines = text_layout.wrap_all(message.splitlines())
        result = CommandResult(error.status, lines, {"problem": message})
        _print_result(result, as_json, as_error=True)
    else:
        _print_result(result, as_json)
    raise typer.Exit(result.status)


async def _run_connected(
    session: Session, command: Callable[[Client], Awaitable[CommandResult]]
) -> CommandResult:
    for url in session.urls:
        _check_url(url)
    transport = session.environment.transport
    client = tool_client.make_client(session.urls, _read_key(session), transport)
    async with client.http:
        return await command(client)


def _check_url(url: str) -> None:
    try:
        parsed = httpx.URL(url)
    except httpx.InvalidURL:
        parsed = httpx.URL("")
    if parsed.scheme in ("http", "https") and parsed.host:
        return
    message = f"--daemon {url}: expected a URL such as {DEFAULT_URL}"
    raise ToolError(ExitStatus.WRONG_INPUT, message)


def _read_key(session: Session) -> str:
    if session.key_file is None:
        return session.key
    try:
        return session.key_file.read_text().strip()
    except OSError as error:
        message = f"--key-file {session.key_file}: {error.strerror}"
        raise ToolError(ExitStatus.WRONG_INPUT, message) from None


def make_operator_name(operator: str) -> str:
    """Return the operator name for apply ids, the login name by default.

    Characters that are not allowed in an apply id become hyphens.
    """
    if not operator:
        try:
            operator = getpass.getuser()
        except (KeyError, OSError):
            operator = "operator"
    cleaned = re.sub(r"[^A-Za-z0-9@._-]", "-", operator).lstrip("@._-")
    return cleaned[:MAX_OPERATOR_CHARACTERS] or "operator"


def make_wait(context: typer.Context, wait_s: float) -> commands.WaitOptions:
    """Return wait options that print progress to standard error."""

    def print_progress(progress: configuration_apply.Progress) -> None:
        typer.echo(render.render_progress(progress), err=True)

    return commands.WaitOptions(wait_s, context.obj.environment.clock, print_progress)


def _print_result(result: CommandResult, as_json: bool, as_error: bool = False) -> None:
    if as_json:
        typer.echo(codec.encode(result.data).decode())
        return
    for line in result.lines:
        typer.echo(line, err=as_error)
