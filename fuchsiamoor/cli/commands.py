"""Implements the tool's commands, without option parsing and printing."""

import pathlib
from collections.abc import Callable
from typing import NamedTuple

import httpx

from fuchsiamoor.cli import client as tool_client
from fuchsiamoor.cli import configuration_apply, notes, render, text_layout
from fuchsiamoor.cli.client import Client, CollectedResponses
from fuchsiamoor.cli.exit_status import ExitStatus, ToolError
from fuchsiamoor.core import errors, faults, members
from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.documents import changes, reader
from fuchsiamoor.reports import burn, measures, response_bodies
from fuchsiamoor.reports.counts import CountsSnapshot
from fuchsiamoor.reports.status import Explanation, Status


class CommandResult(NamedTuple):
    """Result of a command.

    Parameters
    ----------
    status : ExitStatus
    lines : list of str
        Text output.
    data : object
        Output with ``--json``: typed data or a JSON value.
    """

    status: ExitStatus
    lines: list[str]
    data: object


class WaitOptions(NamedTuple):
    """Time limit, clock and progress callback for waiting until a revision is in force.

    Parameters
    ----------
    wait_s : float
    clock : Clock
    on_progress : callable
        Called with each change of the progress.
    """

    wait_s: float
    clock: configuration_apply.Clock
    on_progress: Callable[[configuration_apply.Progress], None]


class FullStatus(NamedTuple):
    """JSON output of ``status``."""

    daemons: tuple[Status, ...]
    unreachable: tuple[str, ...]


class Comparison(NamedTuple):
    """JSON output of ``diff``."""

    based_on: int
    differences: tuple[str, ...]
    faults: tuple[faults.Fault, ...]


def read_file(path: pathlib.Path) -> Configuration:
    """Read and check a configuration file."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise ToolError(ExitStatus.WRONG_INPUT, f"{path}: {error.strerror}") from None
    return reader.read_document(text)


def check_file(path: pathlib.Path) -> CommandResult:
    """Check a configuration file; no daemon is asked."""
    found = read_file(path)
    summary = (
        f"{path}: no faults; {len(found.services)} services, "
        f"{len(found.regions)} regions, {len(found.tenants)} tenants, "
        f"{len(found.overrides)} overrides"
    )
    return CommandResult(ExitStatus.OK, [summary], {"faults": []})


async def diff_file(client: Client, path: pathlib.Path) -> CommandResult:
    """Compare a file with the configuration in force."""
    new = read_file(path)
    old = await _get_in_force(client)
    lines = [changes.format_difference(found) for found in changes.diff(old, new)]
    found = changes.check_change(old, new)
    data = Comparison(old.revision, tuple(lines), tuple(found))
    if found:
        lines += ["refused:", *(faults.format_fault(fault) for fault in found)]
        return CommandResult(ExitStatus.WRONG_INPUT, text_layout.wrap_all(lines), data)
    if not lines:
        lines = [f"no difference from revision {old.revision}"]
        return CommandResult(ExitStatus.OK, lines, data)
    found = await tool_client.get_first(client, Status, "/v1/status")
    lines += notes.list_notes(new, found.members)
    lines.append(f"to apply: fuchsiamoor apply {path} --based-on {old.revision}")
    return CommandResult(ExitStatus.OK, text_layout.wrap_all(lines), data)


async def apply_file(
    client: Client,
    path: pathlib.Path,
    based_on: int | None,
    operator: str,
    wait: WaitOptions,
) -> CommandResult:
    """Apply a configuration file and wait until it is in force."""
    new = read_file(path)
    if based_on is None:
        message = (
            "--based-on is needed: the revision that the file was written from;\n"
            f"`fuchsiamoor diff {path}` shows the revision in force and what changes"
        )
        raise ToolError(ExitStatus.WRONG_INPUT, message)
    return await _apply(client, new, based_on, operator, wait)


async def set_data_centre(
    client: Client, name: str, out: bool, operator: str, wait: WaitOptions
) -> CommandResult:
    """Take a data centre out of service or bring it back.

    Applies the configuration in force with that one change.
    """
    old = await _get_in_force(client)
    known = sorted(place for places in old.regions.values() for place in places)
    if name not in known:
        message = f"data centre {name!r}: expected one of {', '.join(known) or 'none'}"
        raise ToolError(ExitStatus.WRONG_INPUT, message)
    if out:
        data_centres_out = old.data_centres_out | {name}
    else:
        data_centres_out = old.data_centres_out - {name}
    if data_centres_out == old.data_centres_out:
        return await _wait(client, old.revision, wait)
    new = old._replace(data_centres_out=data_centres_out)
    return await _apply(client, new, old.revision, operator, wait)


async def show_configuration(client: Client) -> CommandResult:
    """Return the configuration in force, in the format of a configuration file."""
    found = await tool_client.get_first(
        client, response_bodies.ConfigurationBody, "/v1/configuration"
    )
    text = reader.format_document(reader.read_value(found.document))
    return CommandResult(ExitStatus.OK, text.splitlines(), found)


async def show_status(client: Client) -> CommandResult:
    """Collect the status of every daemon."""
    found = await _gather_status(client)
    statuses: list[Status] = list(found.by_instance.values())
    data = FullStatus(tuple(statuses), found.unreachable)
    same = len({status.configuration_revision for status in statuses}) == 1
    complete = same and not found.unreachable
    exit_status = ExitStatus.OK if complete else ExitStatus.NOT_MET
    return CommandResult(exit_status, render.render_status(found), data)


async def explain_key(
    client: Client, service: str, tenant: str, key: str
) -> CommandResult:
    """Explain where a key is served; the lease state comes from its owner."""
    query = {"service": service, "tenant": tenant, "key": key}
    path = "/v1/explain"
    found = await tool_client.get_first(client, Explanation, path, **query)
    if found.lease is None and found.owner:
        found = await _ask_owner(client, found, query)
    return CommandResult(ExitStatus.OK, render.render_explanation(found), found)


async def show_report(client: Client) -> CommandResult:
    """Collect the counts of every daemon and compute the report."""
    in_force = await _get_in_force(client)
    found = await tool_client.ask_all_daemons(
        client, CountsSnapshot, "/v1/report", lambda answer: answer.instance
    )
    snapshots = list(found.by_instance.values())
    report = measures.make_report(snapshots, found.unreachable, in_force)
    missed = any(
        burn.is_objective_missed(part) for each in report.burns for part in each[-2:]
    )
    exit_status = ExitStatus.NOT_MET if missed else ExitStatus.OK
    return CommandResult(exit_status, render.render_report(report), report)


async def _apply(
    client: Client, new: Configuration, based_on: int, operator: str, wait: WaitOptions
) -> CommandResult:
    apply_id = configuration_apply.make_apply_id(operator, based_on, new)
    revision = await configuration_apply.post_configuration(
        client, based_on, apply_id, new
    )
    return await _wait(client, revision, wait)


async def _wait(client: Client, revision: int, wait: WaitOptions) -> CommandResult:
    progress = await configuration_apply.wait_in_force(client, revision, *wait)
    lines = [render.render_progress(progress)]
    if progress.newest > revision:
        lines.append(f"replaced since by revision {progress.newest}")
    if progress.behind or progress.unreachable:
        lines += render.render_missing_daemons(progress)
        return CommandResult(ExitStatus.NOT_MET, lines, progress)
    return CommandResult(ExitStatus.OK, lines, progress)


async def _ask_owner(
    client: Client, found: Explanation, query: dict[str, str]
) -> Explanation:
    owner = members.instance_of(found.owner)
    for url, instance in (await tool_client.find_members(client)).items():
        if instance != owner:
            continue
        try:
            return await tool_client.get(
                client, Explanation, url, "/v1/explain", **query
            )
        except httpx.HTTPError:
            return found
    return found


async def _gather_status(client: Client) -> CollectedResponses:
    return await tool_client.ask_all_daemons(
        client,
        Status,
        "/v1/status?members=false",
        lambda answer: answer.instance,
    )


async def _get_in_force(client: Client) -> Configuration:
    found = await tool_client.get_first(
        client, response_bodies.ConfigurationBody, "/v1/configuration"
    )
    try:
        read = reader.read_value(found.document)
    except errors.InvalidDocumentError as error:
        message = f"the configuration in force is of another version\n{error}"
        raise ToolError(ExitStatus.WRONG_INPUT, message) from None
    return read._replace(revision=found.revision, apply_id=found.apply_id)
