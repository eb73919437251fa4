"""Generate the reference pages and schemas of docs/ from the code.

``python -m fuchsiamoor.testing.generated`` writes them.
"""

import pathlib
import re

from fuchsiamoor.daemon import settings_file
from fuchsiamoor.documents import field_tables, model
from fuchsiamoor.reports import metric_names

DOCS = pathlib.Path(__file__).parents[2] / "docs"


def generate() -> dict[str, str]:
    """Return the text of every generated file, by its name in docs/."""
    configuration = (DOCS / "CONFIGURATION.md").read_text()
    fields = {
        "Configuration": field_tables.format_fields(model.ADAPTER),
        "Settings": field_tables.format_fields(settings_file.ADAPTER),
    }
    for title, text in fields.items():
        pattern = rf"### {title}\n.*?(?=\n## |\Z)"
        configuration = re.sub(
            pattern, lambda _, text=text: text, configuration, flags=re.DOTALL
        )
    metrics = (DOCS / "METRICS.md").read_text()
    head, _, _ = metrics.partition("| Name |")
    return {
        "CONFIGURATION.md": configuration,
        "METRICS.md": head + metric_names.format_table(),
        "configuration.schema.json": model.make_schema(),
        "settings.schema.json": settings_file.make_schema(),
    }


def main() -> None:
    """Write the generated files."""
    for name, text in generate().items():
        (DOCS / name).write_text(text)


if __name__ == "__main__":
    main()
