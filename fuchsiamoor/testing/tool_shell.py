"""A shell for tests that runs the tool against a fleet in memory."""

import os
import pathlib
import shlex

from typer.testing import CliRunner

from fuchsiamoor.cli import configuration_apply, main, session
from fuchsiamoor.testing import documents_data, operator_fleet

URLS = "http://10.0.0.1:7003 http://10.0.0.2:7003"


class VirtualClock:
    """Time that passes by sleeping only."""

    def __init__(self):
        self.now_s = 0.0

    async def sleep(self, time_s):
        """Let time pass."""
        self.now_s += time_s


class Shell:
    """Runs the tool in a directory against a fleet in memory."""

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
        """Run a command line; ``> FILE`` keeps its output."""
        line, _, target = line.partition(" > ")
        clock = VirtualClock()
        context = session.Environment(
            self.fleet, configuration_apply.Clock(lambda: clock.now_s, clock.sleep)
        )
        found = CliRunner().invoke(
            main.app,
            shlex.split(line)[1:],
            obj=context,
            env=self.environment | environment,
            prog_name="fuchsiamoor",
        )
        assert found.exception is None or isinstance(found.exception, SystemExit)
        self.transcript += [f"$ {line}", found.output.rstrip(), f"[{found.exit_code}]"]
        if target:
            pathlib.Path(target).write_text(found.stdout)
        return found

    def check_golden(self, path):
        """Compare all that was said with a file, which is no wider than 80."""
        text = "\n".join([*self.transcript, ""])
        assert all(len(line) <= 80 or line[0] == "{" for line in text.splitlines())
        if os.environ.get("UPDATE_GOLDEN"):
            path.write_text(text)
        assert text == path.read_text()
