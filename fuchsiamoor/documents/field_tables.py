"""Generates the Markdown tables of fields in docs/CONFIGURATION.md from a schema."""

import json

import pydantic

from fuchsiamoor.documents import validation


def format_fields(adapter: pydantic.TypeAdapter) -> str:
    """Return one table for each object type of a document."""
    schema = adapter.json_schema()
    schemas = [schema, *schema.get("$defs", {}).values()]
    return "\n".join(_format_table(item) for item in schemas)


def _format_table(schema: dict) -> str:
    required = schema.get("required", ())
    rows = [
        f"| `{name}` | {_format_type(field)} | "
        f"{_format_default(name, field, required)} | {field.get('description', '')} |"
        for name, field in schema["properties"].items()
    ]
    return "\n".join(
        [
            f"### {schema['title']}",
            "",
            "| Field | Value | Default | Meaning |",
            "|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _format_type(field: dict) -> str:
    match field:
        case {"anyOf": kinds}:
            return " or ".join(_format_type(kind) for kind in kinds)
        case {"$ref": reference}:
            return reference.rpartition("/")[2].removesuffix("Fields")
        case {"enum": values}:
            return " or ".join(f"`{json.dumps(value)}`" for value in values)
        case {"type": "array", "items": items}:
            return f"list of {_format_type(items)}"
        case {"type": "object", "patternProperties": values}:
            [value] = values.values()
            return f"object of {_format_type(value)}"
        case {"type": "string", "pattern": validation.NAME_PATTERN}:
            return "name"
        case {"type": kind}:
            return kind + _format_bounds(field)
    raise ValueError(f"field {field!r}: expected a supported type")


def _format_bounds(field: dict) -> str:
    names = {
        "minimum": "from",
        "exclusiveMinimum": "above",
        "maximum": "to",
        "exclusiveMaximum": "below",
    }
    return "".join(
        f" {word} {field[name]}" for name, word in names.items() if name in field
    )


def _format_default(name: str, field: dict, required: list[str]) -> str:
    if name in required:
        return "required"
    if "default" in field:
        return f"`{json.dumps(field['default'])}`"
    return ""
