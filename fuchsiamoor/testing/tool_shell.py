"""Runs the CLI against an in-memory fleet and keeps a transcript, for tests."""

import os
import pathlib
import shlex

from typer.testing import CliRunner

from fuchsiamoor.cli import configuration_apply, main, session
from fuchsiamoor.testing import documents_data, operator_fleet

URLS = "http://10.0.0.1:7003 http://10.0.0.2:7003"


class VirtualClock:
    """A clock that advances only by sleeping."""

    def __init__(self):
        self.now_s = 0.0

    async def sleep(self, time_s):
        """Advance the clock."""
        self.now_s += time_s


class Shell:
    """Runs the CLI in a directory against an in-memory fleet."""

    def __init__(self, directory, monkeypatch):
        monkeypatch.chdir(directory)
        self.fleet = operator_fleet.Fleet(
            ("almaty-1-a", "almaty-1"),
            ("almaty-2-a", "almaty-2"),
            ("astana-1-a", "astana-1"),
        )
        self.transcript = []
        self.environment = {
            "FUCHSIAMOOR_DAEMONS": URLS,
            "FUCHSIAMOOR_OPERATOR_KEY": operator_fleet.KEY,
            "FUCHSIAMOOR_OPERATOR": "dana",
            "COLUMNS": "80",
        }

    def write(self, name, **changes):
        """Write a configuration file."""
        document = documents_data.make_configuration_document(**changes)
        pathlib.Path(name).write_bytes(documents_data.encode(document))

    def run(self, line, **environment):
        """Run a command line; ``> FILE`` writes its standard output to a file."""
        line, _, target = line.partition(" > ")
        clock = VirtualClock()
        context = session.Environment(
            self.fleet, configuration_apply.Clock(lambda: clock.now_s, clock.sleep)
        )
        result = CliRunner().invoke(
            main.app,
            shlex.split(line)[1:],
            obj=context,
            env=self.environment | environment,
            prog_name="fuchsiamoor",
        )
        assert result.exception is None or isinstance(result.exception, SystemExit)
        self.transcript += [
            f"$ {line}",
            result.output.rstrip(),
            f"[{result.exit_code}]",
        ]
        if target:
            pathlib.Path(target).write_text(result.stdout)
        return result

    def check_golden(self, path):
        """Compare the transcript with a golden file, at most 80 columns except JSON."""
        text = "\n".join([*self.transcript, ""])
        assert all(len(line) <= 80 or line[0] == "{" for line in text.splitlines())
        if os.environ.get("UPDATE_GOLDEN"):
            path.write_text(text)
        assert text == path.read_text()
