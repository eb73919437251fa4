"""Checks commands, documents, metrics and paths in the pages against the code."""

import json
import pathlib
import re

import pytest

from fuchsiamoor.cli import main
from fuchsiamoor.daemon import settings_file
from fuchsiamoor.documents import field_tables, model, reader
from fuchsiamoor.reports import metric_names
from fuchsiamoor.testing import generated, tool_shell

ROOT = pathlib.Path(__file__).parents[2]
PAGES = ["README.md", "docs/OPERATIONS.md", "docs/CONFIGURATION.md", "docs/METRICS.md"]
SETUP_COMMANDS = ["sudo apt-get install --yes make python3.11-venv"]
COMMANDS = {
    command.name or command.callback.__name__
    for command in main.app.registered_commands
} | {"data-centre"}


def _read(name):
    return (ROOT / name).read_text()


def _list_code_blocks(name, kind):
    return re.findall(rf"```{kind}\n(.*?)```", _read(name), re.DOTALL)


@pytest.mark.parametrize("name", PAGES)
def test_commands_on_the_pages_succeed(name, tmp_path, monkeypatch):
    shell = tool_shell.Shell(tmp_path, monkeypatch)
    shell.write("fleet.json")
    targets = re.search(r"\.PHONY: (.*)", _read("Makefile"))[1].split()
    if name != "README.md":
        shell.run("fuchsiamoor apply fleet.json --based-on 0")
    for line in "".join(_list_code_blocks(name, "sh")).splitlines():
        match line.split():
            case ["make", target]:
                assert target in targets
            case ["fuchsiamoor", *_]:
                found = shell.run(line)
                assert found.exit_code == 0, f"{line}\n{found.output}"
            case _:
                assert line in SETUP_COMMANDS


@pytest.mark.parametrize("name", PAGES)
def test_commands_named_in_the_text_exist(name):
    for command in re.findall(r"`fuchsiamoor ([a-z-]+)", _read(name)):
        assert command in COMMANDS


@pytest.mark.parametrize("name", PAGES)
def test_documents_on_the_pages_have_no_faults(name):
    for text in _list_code_blocks(name, "json"):
        if '"store_url"' in text:
            settings_file.read_settings(text.encode())
        else:
            reader.read_document(text.encode())


@pytest.mark.parametrize("name", ["dala", "andina"])
def test_the_examples_have_no_faults(name):
    example = json.loads(_read(f"examples/{name}.json"))
    reader.read_value(example["configuration"])


@pytest.mark.parametrize("name", sorted(generated.generate()))
def test_generated_parts_are_up_to_date(name):
    assert _read(f"docs/{name}") == generated.generate()[name]


def test_the_field_tables_equal_the_models():
    text = _read("docs/CONFIGURATION.md")
    assert field_tables.format_fields(model.ADAPTER) in text
    assert field_tables.format_fields(settings_file.ADAPTER) in text


@pytest.mark.parametrize("name", ["docs/OPERATIONS.md", "docs/METRICS.md"])
def test_metrics_named_in_the_text_are_listed(name):
    groups = "|".join({metric.partition(".")[0] for metric in metric_names.METRICS})
    named = re.findall(rf"`((?:{groups})\.[a-z_]+)`", _read(name))
    assert named
    assert set(named) <= set(metric_names.METRICS)


def test_code_named_in_the_glossary_exists():
    rows = re.findall(r"\| `([^`]+)` \|\n", _read("docs/GLOSSARY.md"))
    sources = "".join(
        path.read_text() for path in sorted(ROOT.rglob("fuchsiamoor/**/*.py"))
    )
    for place in rows:
        if "/" in place:
            assert list((ROOT / "fuchsiamoor").glob(place)), place
        else:
            assert re.search(rf"\b{place.rpartition('.')[2]}\b", sources), place
