import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from fuchsiamoor.cli import configuration_apply, main, session
from fuchsiamoor.cli.exit_status import ExitStatus
from fuchsiamoor.reports import codec, response_bodies
from fuchsiamoor.testing import documents_data, reports_data, tool_shell

DOCUMENT = documents_data.make_configuration_document()
BODIES = [
    b"",
    b"{}",
    b"[]",
    b"null",
    b'{"revision": 1}',
    b'{"problem": 1}',
    b'{"faults": [{"path": "p", "value": "v", "expected": "e"}]}',
    codec.encode(reports_data.make_status()),
    codec.encode(reports_data.make_explanation()),
    codec.encode(response_bodies.ConfigurationBody(1, "a", DOCUMENT)),
    codec.encode(response_bodies.ConfigurationBody(1, "a", {"services": 1})),
    codec.encode(response_bodies.ConflictBody(1, "a", ())),
]
STATUSES = [200, 200, 200, 204, 301, 400, 401, 404, 409, 422, 500, 503, 504]


@pytest.fixture(name="file", scope="module")
def _file(tmp_path_factory):
    path = tmp_path_factory.mktemp("answers") / "fleet.json"
    path.write_bytes(documents_data.encode(DOCUMENT))
    return str(path)


@settings(max_examples=25)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(STATUSES), st.sampled_from(BODIES) | st.binary(max_size=9)
        )
    )
)
def test_every_daemon_response_gives_output_and_a_known_exit_status(file, answers):
    for line in (
        ["status"],
        ["report"],
        ["configuration"],
        ["explain", "k", "--service", "stock"],
        ["diff", file],
        ["apply", file, "--based-on", "0", "--wait-s", "1"],
        ["data-centre", "out", "almaty-1", "--wait-s", "1"],
    ):
        left = list(answers)

        def answer(_, left=left):
            status_code, body = left.pop(0) if left else (200, BODIES[7])
            return httpx.Response(status_code, content=body)

        clock = tool_shell.VirtualClock()
        context = session.Environment(
            httpx.MockTransport(answer),
            configuration_apply.Clock(lambda clock=clock: clock.now_s, clock.sleep),
        )
        found = CliRunner().invoke(main.app, line, obj=context)
        assert found.exception is None or isinstance(found.exception, SystemExit)
        assert found.exit_code in list(ExitStatus)
        assert found.output
