"""Lays out tables and wraps lines for a terminal."""

from collections.abc import Sequence

WIDTH_CHARACTERS = 80
COLUMN_GAP = "  "
MIN_COLUMN_CHARACTERS = 6
ELLIPSIS = "..."


def format_table(
    headers: Sequence[str], rows: Sequence[Sequence[str]], width: int = WIDTH_CHARACTERS
) -> list[str]:
    """Return the lines of a table, no longer than ``width`` characters.

    Columns of numbers are right-aligned. If the table is too wide, the widest columns
    are shortened first, by cutting out the middle of their values.

    Examples
    --------
    >>> for line in format_table(["name", "n"], [["a", "1"], ["long-name", "12"]], 11):
    ...     print(line)
    name      n
    a         1
    lo...me  12
    """
    columns = list(zip(headers, *rows, strict=True))
    widths = _fit_widths([max(map(len, column)) for column in columns], width)
    numeric = [
        all(cell.replace(".", "").isdigit() or cell == "-" for cell in column[1:])
        for column in columns
    ]
    lines = []
    for row in [headers, *rows]:
        cells = [
            _pad_cell(cell, cell_width, right)
            for cell, cell_width, right in zip(row, widths, numeric, strict=True)
        ]
        lines.append(COLUMN_GAP.join(cells).rstrip())
    return lines


def wrap(text: str, indent: str = "", width: int = WIDTH_CHARACTERS) -> list[str]:
    """Wrap a text at spaces; continuation lines are indented.

    Examples
    --------
    >>> wrap("one two three", "  ", 9)
    ['one two', '  three']
    """
    if len(text) <= width:
        return [text]
    lines: list[str] = []
    line = ""
    for word in text.split(" "):
        longer = f"{line} {word}" if line.strip() else line + word
        if len(longer) > width and line.strip():
            lines.append(line)
            longer = indent + word
        line = longer
    return [*lines, line]


def wrap_all(lines: Sequence[str]) -> list[str]:
    """Wrap every line that is too long; continuation lines are indented."""
    return [part for line in lines for part in wrap(line, "    ")]


def _fit_widths(widths: list[int], width: int) -> list[int]:
    widths = list(widths)
    available = width - len(COLUMN_GAP) * (len(widths) - 1)
    while sum(widths) > available and max(widths) > MIN_COLUMN_CHARACTERS:
        widths[widths.index(max(widths))] -= 1
    return widths


def _pad_cell(cell: str, width: int, right: bool) -> str:
    if len(cell) > width:
        kept = width - len(ELLIPSIS)
        cell = cell[: kept - kept // 2] + ELLIPSIS + cell[len(cell) - kept // 2 :]
    return cell.rjust(width) if right else cell.ljust(width)
