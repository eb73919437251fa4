import json

from typer.testing import CliRunner

from fuchsiamoor.platform import check, wire_data


def _run(*arguments):
    return CliRunner().invoke(check.app, [str(argument) for argument in arguments])


def _write(path, **changes):
    path.write_text(json.dumps(wire_data.CONFIGURATION | changes))
    return path


def test_a_sound_file_passes(tmp_path):
    result = _run(_write(tmp_path / "new.json"))
    assert result.exit_code == 0, result.output


def test_a_file_that_cannot_be_read_is_a_fault(tmp_path):
    broken = tmp_path / "new.json"
    broken.write_text("{")
    result = _run(broken)
    assert result.exit_code == 2
    assert result.output.startswith(f"fault: {broken}: ")


def test_a_route_to_no_service_is_a_fault(tmp_path):
    services = wire_data.CONFIGURATION["services"] | {"rows": []}
    result = _run(_write(tmp_path / "new.json", services=services))
    assert result.exit_code == 2
    assert "there is no service" in result.output


def test_differences_from_the_file_in_force_are_told(tmp_path):
    before = _write(tmp_path / "old.json")
    limits = wire_data.CONFIGURATION["limits"] | {"idle_timeout": "20s"}
    after = _write(tmp_path / "new.json", limits=limits)
    result = _run(after, "--in-force", before)
    assert result.exit_code == 0
    assert "~ limits.idle_timeout_ms: 15000 -> 20000" in result.output
