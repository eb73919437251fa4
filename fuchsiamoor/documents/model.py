"""The typed model of the operators' configuration file, and its JSON Schema.

Fields that are not required have a default here; `fill_defaults` writes a document out
in full, so that a daemon of another version reads the same values.
"""

import json
from typing import Annotated, Literal, NotRequired

import pydantic
from typing_extensions import TypedDict

from fuchsiamoor.documents import validation

MAX_DOCUMENT_BYTES = 512 * 1024
MAX_SHARDS = 16_384
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_TIME_MS = 3_600_000
MAX_COUNT = 1_000_000
MAX_WINDOW_DAYS = 366
MAX_KEY_CHARACTERS = 512

SERVICE_DEFAULTS = {
    "key": "required",
    "shards": 256,
    "idempotent_methods": ["GET", "HEAD", "OPTIONS"],
    "longest_run_ms": 1_000,
    "default_deadline_ms": 5_000,
    "retry_ratio": 0.1,
}
COLD_START_DEFAULTS = {"initial_requests": 2, "ramp_ms": 10_000}
LIMITS_DEFAULTS = {
    "body_bytes": 1024 * 1024,
    "queued_requests": 256,
    "parked_requests": 1_024,
}
OBJECTIVE_DEFAULTS = {
    "success_ratio": 0.999,
    "latency_ms": 250,
    "latency_ratio": 0.99,
    "window_days": 30,
}
DEFAULT_MOVES_PER_MINUTE = 60


def _described(text: str, default: object = None, **bounds) -> object:
    extra = {} if default is None else {"default": default}
    return pydantic.Field(description=text, json_schema_extra=extra, **bounds)


def _optional(kind: object, text: str, default: object = None, **bounds) -> object:
    return NotRequired[Annotated[kind, _described(text, default, **bounds)]]


def _optional_count(text: str, default: int, least: int, most: int) -> object:
    return _optional(int, text, default, ge=least, le=most)


def _described_shape(title: str) -> pydantic.ConfigDict:
    return pydantic.ConfigDict(extra="forbid", title=title)


def _check_unique(names: list[str]) -> list[str]:
    if len(set(names)) < len(names):
        raise ValueError("each name once")
    return names


Name = Annotated[str, pydantic.Field(pattern=validation.NAME_PATTERN)]
Names = Annotated[list[Name], pydantic.AfterValidator(_check_unique)]
SomeNames = Annotated[Names, pydantic.Field(min_length=1)]
Method = Annotated[str, pydantic.Field(pattern="^[A-Z]{1,32}$")]
Methods = Annotated[list[Method], pydantic.AfterValidator(_check_unique)]


class ColdStartFields(TypedDict):
    """What an upstream bears after a start."""

    __pydantic_config__ = _described_shape("ColdStart")

    initial_requests: _optional_count(
        "Requests in flight at the very start.",
        COLD_START_DEFAULTS["initial_requests"],
        1,
        MAX_COUNT,
    )
    ramp_ms: _optional_count(
        "Time until all slots may be used, in milliseconds.",
        COLD_START_DEFAULTS["ramp_ms"],
        0,
        MAX_TIME_MS,
    )


class LimitsFields(TypedDict):
    """Bounds on what one daemon holds for the service."""

    __pydantic_config__ = _described_shape("Limits")

    body_bytes: _optional_count(
        "Largest request or answer body, in bytes.",
        LIMITS_DEFAULTS["body_bytes"],
        0,
        MAX_BODY_BYTES,
    )
    queued_requests: _optional_count(
        "Requests that wait for a slot of the upstream.",
        LIMITS_DEFAULTS["queued_requests"],
        0,
        MAX_COUNT,
    )
    parked_requests: _optional_count(
        "Requests that wait for the move of a shard.",
        LIMITS_DEFAULTS["parked_requests"],
        0,
        MAX_COUNT,
    )


class ObjectiveFields(TypedDict):
    """What the service promises, for the report on service-level burn."""

    __pydantic_config__ = _described_shape("Objective")

    success_ratio: _optional(
        float,
        "Share of requests that succeed.",
        OBJECTIVE_DEFAULTS["success_ratio"],
        gt=0,
        lt=1,
    )
    latency_ms: _optional_count(
        "Time within which an answer is fast, in milliseconds.",
        OBJECTIVE_DEFAULTS["latency_ms"],
        1,
        MAX_TIME_MS,
    )
    latency_ratio: _optional(
        float,
        "Share of answers that are fast.",
        OBJECTIVE_DEFAULTS["latency_ratio"],
        gt=0,
        lt=1,
    )
    window_days: _optional_count(
        "Days over which the objective is kept.",
        OBJECTIVE_DEFAULTS["window_days"],
        1,
        MAX_WINDOW_DAYS,
    )


class ServiceFields(TypedDict):
    """A service."""

    __pydantic_config__ = _described_shape("Service")

    key: _optional(
        Literal["required", "optional"],
        "Whether every request must carry a key.",
        SERVICE_DEFAULTS["key"],
    )
    shards: _optional_count(
        "Shards that the keys hash to; fixed once applied.",
        SERVICE_DEFAULTS["shards"],
        1,
        MAX_SHARDS,
    )
    idempotent_methods: _optional(
        Methods,
        "HTTP methods whose requests may run twice.",
        SERVICE_DEFAULTS["idempotent_methods"],
    )
    longest_run_ms: _optional_count(
        "Longest time of one run at an upstream, in milliseconds.",
        SERVICE_DEFAULTS["longest_run_ms"],
        1,
        MAX_TIME_MS,
    )
    default_deadline_ms: _optional_count(
        "Deadline for callers that give none, in milliseconds.",
        SERVICE_DEFAULTS["default_deadline_ms"],
        1,
        MAX_TIME_MS,
    )
    retry_ratio: _optional(
        float,
        "Retries and hedges allowed, as a share of requests.",
        SERVICE_DEFAULTS["retry_ratio"],
        ge=0,
        le=1,
    )
    cold_start: NotRequired[ColdStartFields]
    limits: NotRequired[LimitsFields]
    objective: NotRequired[ObjectiveFields]


class RegionFields(TypedDict):
    """A region."""

    __pydantic_config__ = _described_shape("Region")

    data_centres: SomeNames


class TenantFields(TypedDict):
    """A tenant."""

    __pydantic_config__ = _described_shape("Tenant")

    home_regions: Annotated[
        SomeNames,
        _described("The only regions that serve and keep it; fixed once applied."),
    ]


class HoldFields(TypedDict):
    """Where an override keeps its keys: exactly one field."""

    __pydantic_config__ = pydantic.ConfigDict(
        extra="forbid",
        title="Hold",
        json_schema_extra={"minProperties": 1, "maxProperties": 1},
    )

    instance: NotRequired[Name]
    data_centre: NotRequired[Name]
    region: NotRequired[Name]


def _check_one_hold(hold: HoldFields) -> HoldFields:
    if len(hold) != 1:
        raise ValueError("exactly one of instance, data_centre and region")
    return hold


class OverrideFields(TypedDict):
    """An operator's own routing choice, in force until an operator changes it."""

    __pydantic_config__ = _described_shape("Override")

    service: Name
    tenant: _optional(Name, "All tenants if left out.")
    key: _optional(
        str, "All keys if left out.", min_length=1, max_length=MAX_KEY_CHARACTERS
    )
    hold_to: Annotated[HoldFields, pydantic.AfterValidator(_check_one_hold)]


class ConfigurationDocument(TypedDict):
    """The operators' configuration, applied as a whole."""

    __pydantic_config__ = _described_shape("Configuration")

    services: dict[Name, ServiceFields]
    regions: dict[Name, RegionFields]
    data_centres_out: _optional(Names, "Data centres taken out of service.", [])
    tenants: dict[Name, TenantFields]
    overrides: NotRequired[list[OverrideFields]]
    moves_per_minute: _optional_count(
        "Largest number of shards that rebalancing moves in a minute, "
        "per service and set of home regions.",
        DEFAULT_MOVES_PER_MINUTE,
        0,
        MAX_COUNT,
    )


ADAPTER = pydantic.TypeAdapter(ConfigurationDocument)


def make_schema() -> str:
    """Return the JSON Schema of a configuration file, as committed under docs/."""
    return json.dumps(ADAPTER.json_schema(), indent=2, sort_keys=True) + "\n"


def fill_defaults(document: ConfigurationDocument) -> ConfigurationDocument:
    """Return a checked document with every field that has a default written out."""
    return {
        "services": {
            name: _fill_service(service)
            for name, service in document["services"].items()
        },
        "regions": document["regions"],
        "data_centres_out": document.get("data_centres_out", []),
        "tenants": document["tenants"],
        "overrides": document.get("overrides", []),
        "moves_per_minute": document.get("moves_per_minute", DEFAULT_MOVES_PER_MINUTE),
    }


def _fill_service(service: ServiceFields) -> ServiceFields:
    return {
        **SERVICE_DEFAULTS,
        **service,
        "cold_start": COLD_START_DEFAULTS | service.get("cold_start", {}),
        "limits": LIMITS_DEFAULTS | service.get("limits", {}),
        "objective": OBJECTIVE_DEFAULTS | service.get("objective", {}),
    }
