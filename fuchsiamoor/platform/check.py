"""Checks a configuration file before it is written to the store.

``python3 -m fuchsiamoor.platform.check FILE [--in-force FILE]`` prints faults, entries
that have no effect, limits that contradict each other and, with the file in force, what
would change.
"""

from pathlib import Path
from typing import Annotated

import typer

from fuchsiamoor.cli import catalog_report
from fuchsiamoor.cli.exit_status import ExitStatus
from fuchsiamoor.platform import operator_entries
from fuchsiamoor.traffic import catalog, catalog_check

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="Configuration to be written.")],
    in_force: Annotated[
        Path | None, typer.Option(help="Configuration in force, to compare with.")
    ] = None,
) -> None:
    """Check a configuration; exit status 2 if there is a fault."""
    proposed = _read(file)
    findings = catalog_check.list_findings(proposed)
    for line in catalog_report.format_findings(findings):
        typer.echo(line)
    if in_force is not None:
        differences = catalog_check.list_differences(_read(in_force), proposed)
        for line in catalog_report.format_differences(differences):
            typer.echo(line)
    raise typer.Exit(catalog_report.choose_status(findings))


def _read(file: Path) -> catalog.Catalog:
    try:
        return operator_entries.read_catalog(file.read_bytes())
    except (OSError, ValueError) as error:
        typer.echo(f"fault: {file}: {error}", err=True)
        raise typer.Exit(ExitStatus.WRONG_INPUT) from error


if __name__ == "__main__":
    app()
