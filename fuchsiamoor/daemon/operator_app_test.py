import json

import loguru
import pytest
from litestar.testing import TestClient

from fuchsiamoor.core import faults
from fuchsiamoor.daemon import metrics as daemon_metrics
from fuchsiamoor.daemon import operator_app
from fuchsiamoor.documents import apply, reader, stored
from fuchsiamoor.reports import codec, counts, metric_names, response_bodies, status
from fuchsiamoor.testing import documents_data, reports_data

KEYS = ("first-operator-key", "second-operator-key")
DOCUMENT = documents_data.make_configuration_document()


class FakeView:
    def __init__(self, metrics):
        self.metrics = metrics

    def status(self):
        return reports_data.make_status()

    def configuration(self):
        return reader.read_value(DOCUMENT)._replace(revision=4, apply_id="dana-4")

    def explain(self, service, tenant, key):
        if service != "stock":
            return None
        return reports_data.make_explanation(tenant=tenant, key=key)

    def report(self):
        return self.metrics.snapshot("almaty-1-a", "stock", "almaty-1")


def _authorization(key):
    return {"Authorization": f"Bearer {key}".encode("latin-1")}


class OperatorApi:
    def __init__(self):
        self.metrics = daemon_metrics.make_metrics(None)
        self.applied = []
        self.result = apply.Applied(5)
        self.view = FakeView(self.metrics)
        app = operator_app.make_operator_app(self.view, self.apply, KEYS, self.metrics)
        self.client = TestClient(app, raise_server_exceptions=False)

    async def apply(self, *given):
        self.applied.append(given)
        return self.result

    def get(self, path, key=KEYS[0]):
        return self.client.get(path, headers=_authorization(key))

    def post(self, body, key=KEYS[0]):
        return self.client.post(
            "/v1/configuration",
            content=body if isinstance(body, bytes) else json.dumps(body),
            headers=_authorization(key),
        )


@pytest.fixture(name="operator_api")
def _operator_api():
    return OperatorApi()


def test_responses_decode_to_the_reported_values(operator_api):
    read = codec.decode(status.Status, operator_api.get("/v1/status").content)
    assert read == reports_data.make_status()
    explained = operator_api.get("/v1/explain?service=stock&key=k%201", KEYS[1])
    read = codec.decode(status.Explanation, explained.content)
    assert read == reports_data.make_explanation(key="k 1")
    in_force = codec.decode(
        response_bodies.ConfigurationBody, operator_api.get("/v1/configuration").content
    )
    assert (in_force.revision, in_force.apply_id) == (4, "dana-4")
    assert reader.read_value(in_force.document) == reader.read_value(DOCUMENT)
    report = codec.decode(counts.CountsSnapshot, operator_api.get("/v1/report").content)
    assert report == operator_api.metrics.snapshot("almaty-1-a", "stock", "almaty-1")
    assert operator_api.get("/v1/explain?service=none&key=k").status_code == 404


@pytest.mark.parametrize("key", ["", "first-operator-ke", "first-operator-keyx", "é"])
def test_call_without_an_operator_key_is_refused_and_counted(operator_api, key):
    answers = [
        operator_api.client.get("/v1/status"),
        operator_api.get("/v1/status", key),
        operator_api.post({"based_on": 0, "apply_id": "a", "document": DOCUMENT}, key),
    ]
    assert [answer.status_code for answer in answers] == [401, 401, 401]
    assert operator_api.metrics.totals[metric_names.OPERATORS_REFUSED] == 3
    assert operator_api.applied == []


@pytest.mark.parametrize(
    ("result", "status_code", "body"),
    [
        (apply.Applied(5), 200, {"revision": 5}),
        (
            apply.Conflicted(6, "b", (stored.PastApply(6, "b", ("+ x",)),)),
            409,
            {
                "revision": 6,
                "apply_id": "b",
                "past_applies": [{"revision": 6, "apply_id": "b", "changed": ["+ x"]}],
            },
        ),
        (
            apply.Refused((faults.Fault("p", "v", "e"),)),
            422,
            {"faults": [{"path": "p", "value": "v", "expected": "e"}]},
        ),
        (
            apply.StoreUnavailable(),
            503,
            {"problem": "the store is down; nothing changed"},
        ),
        (apply.OutcomeUnknown(), 504, {"problem": "outcome unknown; apply it again"}),
    ],
)
def test_apply_result_selects_status_and_body(operator_api, result, status_code, body):
    operator_api.result = result
    answer = operator_api.post({"based_on": 4, "apply_id": "a", "document": DOCUMENT})
    assert (answer.status_code, answer.json()) == (status_code, body)
    assert operator_api.applied == [(4, "a", DOCUMENT)]


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"based_on": true}', b'{"a": 1, "a": 2}', b"\xff"]
)
def test_malformed_apply_body_is_refused_with_faults(operator_api, body):
    answer = operator_api.post(body)
    assert answer.status_code == 422
    assert codec.decode(response_bodies.FaultsBody, answer.content).faults
    assert operator_api.applied == []


def test_oversized_body_is_refused(operator_api):
    assert (
        operator_api.post(b" " * (operator_app.MAX_BODY_BYTES + 1)).status_code == 413
    )


def test_handler_failure_is_counted_and_logged(operator_api, monkeypatch):
    lines = []
    sink = loguru.logger.add(lines.append, format="{message} {extra}")
    monkeypatch.setattr(operator_api.view, "report", lambda: 1 // 0)
    assert operator_api.get("/v1/report").status_code == 500
    loguru.logger.remove(sink)
    assert operator_api.metrics.totals[metric_names.OPERATORS_FAILED] == 1
    assert "ZeroDivisionError" in lines[0]
