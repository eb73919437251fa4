import ast
import pathlib

from fuchsiamoor.reports import metric_names

PACKAGE = pathlib.Path(__file__).parents[1]
METRICS_PAGE = PACKAGE.parent / "docs" / "METRICS.md"
CONSTANTS = {
    name: value
    for name, value in vars(metric_names).items()
    if name.isupper() and isinstance(value, str)
}


def _list_sources():
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.name.endswith("_test.py") and path.parent.name != "testing":
            yield path


def _find_names(path):
    """Yield metric names used in a file; ``*`` stands for a part that varies."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Call(
                func=ast.Attribute(
                    value=ast.Name(id="metrics") | ast.Attribute(attr="metrics"),
                    attr="count" | "gauge" | "timing",
                ),
                args=[ast.Constant(value=str(name)), *_],
            ):
                yield name
            case ast.Call(
                func=ast.Attribute(attr="count"), args=[ast.JoinedStr(values=parts)]
            ):
                yield "".join(
                    part.value if isinstance(part, ast.Constant) else "*"
                    for part in parts
                )
            case ast.Attribute(value=ast.Name(id="metric_names"), attr=constant):
                if constant in CONSTANTS:
                    yield CONSTANTS[constant]


def test_metric_names_in_use_equal_those_listed():
    used = {name for path in _list_sources() for name in _find_names(path)}
    assert used == set(metric_names.METRICS)


def test_metrics_page_contains_the_table():
    assert metric_names.format_table() in METRICS_PAGE.read_text()
