import json
import pathlib

import pytest

from fuchsiamoor.daemon import settings_file
from fuchsiamoor.documents import model

DOCS = pathlib.Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize(
    ("name", "make_schema"),
    [
        ("configuration.schema.json", model.make_schema),
        ("settings.schema.json", settings_file.make_schema),
    ],
)
def test_committed_schemas_match_the_models(name, make_schema):
    assert (DOCS / name).read_text() == make_schema()


def test_configuration_schema_rejects_unknown_fields():
    schema = json.loads(model.make_schema())
    schemas = [schema, *schema["$defs"].values()]
    assert all(item["additionalProperties"] is False for item in schemas)
