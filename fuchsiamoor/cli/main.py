"""Entry point of the operators' command-line tool: commands and options."""

import json
import pathlib
import sys
from typing import Annotated

import typer

from fuchsiamoor.cli import commands, exit_status, request_trace, session
from fuchsiamoor.cli.client import Client
from fuchsiamoor.cli.commands import CommandResult

DEFAULT_WAIT_S = 18.0

HELP = """Operate and inspect a fuchsiamoor deployment.

\b
Examples:
  fuchsiamoor check fleet.json
  fuchsiamoor diff fleet.json
  fuchsiamoor apply fleet.json --based-on 7
  fuchsiamoor status
  fuchsiamoor explain chair-7 --service stock
  fuchsiamoor data-centre out almaty-2

\b
The daemons to ask come from --daemon (repeat it for more) or from
FUCHSIAMOOR_DAEMONS; one is enough: it lists the others. The operator key
comes from FUCHSIAMOOR_OPERATOR_KEY or from the file that --key-file names.

\b
Exit statuses:
  0  done
  1  not in force everywhere yet, or an objective is missed
  2  wrong input: a fault in the file, the command line or the key
  3  conflict: another apply came first
  4  no daemon answers, or the outcome is unknown
"""

app = typer.Typer(
    help=HELP,
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
data_centre_app = typer.Typer(
    help="Take a data centre out of service or bring it back.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(data_centre_app, name="data-centre")


File = Annotated[
    pathlib.Path, typer.Argument(metavar="FILE", help="Configuration file.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Operator = Annotated[
    str,
    typer.Option(
        "--operator",
        metavar="NAME",
        envvar="FUCHSIAMOOR_OPERATOR",
        help="Name recorded with the apply; the login name by default.",
    ),
]
WaitS = Annotated[
    float,
    typer.Option(
        "--wait-s", metavar="SECONDS", min=0, help="Longest wait until in force."
    ),
]


@app.callback()
def connect(
    context: typer.Context,
    daemons: Annotated[
        list[str] | None,
        typer.Option(
            "--daemon",
            metavar="URL",
            envvar="FUCHSIAMOOR_DAEMONS",
            help="A daemon's operator address.",
        ),
    ] = None,
    key: Annotated[
        str, typer.Option("--key", envvar="FUCHSIAMOOR_OPERATOR_KEY", hidden=True)
    ] = "",
    key_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--key-file",
            metavar="FILE",
            envvar="FUCHSIAMOOR_OPERATOR_KEY_FILE",
            help="File that holds the operator key.",
        ),
    ] = None,
) -> None:
    """Store the global options for the command."""
    environment = context.obj or session.Environment()
    urls = tuple(daemons or [session.DEFAULT_URL])
    context.obj = session.Session(environment, urls, key, key_file)


@app.command()
def check(context: typer.Context, file: File, as_json: Json = False) -> None:
    """Check a configuration file and list all faults.

    \b
    Example:
      fuchsiamoor check fleet.json
    """

    async def run_check(_: Client) -> CommandResult:
        return commands.check_file(file)

    session.run_command(context, as_json, run_check)


@app.command()
def diff(context: typer.Context, file: File, as_json: Json = False) -> None:
    """Show what a file would change, and the revision in force.

    \b
    Example:
      fuchsiamoor diff fleet.json
    """
    session.run_command(
        context, as_json, lambda client: commands.diff_file(client, file)
    )


@app.command()
def apply(
    context: typer.Context,
    file: File,
    based_on: Annotated[
        int | None,
        typer.Option(
            metavar="REVISION", min=0, help="Revision that the file was written from."
        ),
    ] = None,
    operator: Operator = "",
    wait_s: WaitS = DEFAULT_WAIT_S,
    as_json: Json = False,
) -> None:
    """Apply a configuration file atomically.

    Waits until every daemon has it, or lists those that do not. Refused if another
    revision than --based-on is in force. Safe to repeat after a lost answer.

    \b
    Example:
      fuchsiamoor apply fleet.json --based-on 7
    """
    wait = session.make_wait(context, wait_s)
    name = session.make_operator_name(operator)
    session.run_command(
        context,
        as_json,
        lambda client: commands.apply_file(client, file, based_on, name, wait),
    )


@app.command()
def configuration(context: typer.Context, as_json: Json = False) -> None:
    """Print the configuration in force, to edit and apply.

    \b
    Example:
      fuchsiamoor configuration > fleet.json
    """
    session.run_command(context, as_json, commands.show_configuration)


@app.command()
def status(context: typer.Context, as_json: Json = False) -> None:
    """Show every daemon's state, owners and overrides.

    \b
    Example:
      fuchsiamoor --daemon http://10.1.0.4:7003 status
    """
    session.run_command(context, as_json, commands.show_status)


@app.command()
def explain(
    context: typer.Context,
    key: Annotated[str, typer.Argument(metavar="KEY", help="Key of a request.")],
    service: Annotated[
        str, typer.Option(metavar="NAME", help="Service of the request.")
    ],
    tenant: Annotated[
        str, typer.Option(metavar="NAME", help="Tenant of the request.")
    ] = "default",
    as_json: Json = False,
) -> None:
    """Show who owns a key and why, and who could take over.

    \b
    Example:
      fuchsiamoor explain chair-7 --service stock --tenant default
    """
    session.run_command(
        context,
        as_json,
        lambda client: commands.explain_key(client, service, tenant, key),
    )


@app.command("explain-request")
def explain_request(
    request_id: Annotated[
        str,
        typer.Argument(metavar="ID", help="The request's id, as its caller sent it."),
    ],
    as_json: Json = False,
) -> None:
    """Show a request's lines in the daemons' logs (from stdin).

    \b
    Example:
      fuchsiamoor explain-request 9c41d07be2a35f68 < daemons.log
    """
    trace = request_trace.trace_request(request_id, sys.stdin)
    if as_json:
        typer.echo(json.dumps(trace._asdict(), indent=2))
    else:
        typer.echo(request_trace.format_trace(request_id, trace))
    if not trace.lines:
        raise typer.Exit(exit_status.ExitStatus.WRONG_INPUT)


@app.command()
def report(context: typer.Context, as_json: Json = False) -> None:
    """Show the measures and the error-budget burn rates.

    Latency, imbalance, moved shards, time without an owner, service while data
    centres are out or moving, and the burn rate of each error budget.

    \b
    Example:
      fuchsiamoor report --json
    """
    session.run_command(context, as_json, commands.show_report)


@data_centre_app.command("out")
def data_centre_out(
    context: typer.Context,
    name: Annotated[str, typer.Argument(metavar="NAME", help="Data centre.")],
    operator: Operator = "",
    wait_s: WaitS = DEFAULT_WAIT_S,
    as_json: Json = False,
) -> None:
    """Take a data centre out of service.

    \b
    Example:
      fuchsiamoor data-centre out almaty-2
    """
    _set_data_centre(context, name, True, operator, wait_s, as_json)


@data_centre_app.command("in")
def data_centre_in(
    context: typer.Context,
    name: Annotated[str, typer.Argument(metavar="NAME", help="Data centre.")],
    operator: Operator = "",
    wait_s: WaitS = DEFAULT_WAIT_S,
    as_json: Json = False,
) -> None:
    """Bring a data centre back into service.

    \b
    Example:
      fuchsiamoor data-centre in almaty-2
    """
    _set_data_centre(context, name, False, operator, wait_s, as_json)


def run() -> None:
    """Run the tool."""
    app(prog_name="fuchsiamoor")


def _set_data_centre(
    context: typer.Context,
    name: str,
    out: bool,
    operator: str,
    wait_s: float,
    as_json: bool,
) -> None:
    wait = session.make_wait(context, wait_s)
    applier = session.make_operator_name(operator)
    session.run_command(
        context,
        as_json,
        lambda client: commands.set_data_centre(client, name, out, applier, wait),
    )
