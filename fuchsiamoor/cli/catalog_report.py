"""Text of a catalog's check: findings, and differences from the one in force."""

from collections.abc import Iterable

from fuchsiamoor.cli.exit_status import ExitStatus
from fuchsiamoor.traffic.catalog_check import Difference, Finding, Severity


def format_findings(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each finding.

    Examples
    --------
    >>> format_findings([Finding(Severity.FAULT, "routes.r", "no host", "name one")])
    ['fault: routes.r: no host; name one']
    """
    return [
        f"{found.severity}: {found.path}: {found.problem}; {found.remedy}"
        for found in findings
    ]


def format_differences(differences: Iterable[Difference]) -> list[str]:
    """Return one line for each difference.

    Examples
    --------
    >>> format_differences([Difference("limits.body_bytes", "1", "2")])
    ['~ limits.body_bytes: 1 -> 2']
    >>> format_differences([Difference("routes.r.rank", "", "2")])
    ['+ routes.r.rank: 2']
    """
    lines = []
    for path, before, after in differences:
        if before and after:
            lines.append(f"~ {path}: {before} -> {after}")
        elif after:
            lines.append(f"+ {path}: {after}")
        else:
            lines.append(f"- {path}: {before}")
    return lines


def choose_status(findings: Iterable[Finding]) -> ExitStatus:
    """Return the exit status: wrong input if there is any fault."""
    if any(found.severity is Severity.FAULT for found in findings):
        return ExitStatus.WRONG_INPUT
    return ExitStatus.OK
