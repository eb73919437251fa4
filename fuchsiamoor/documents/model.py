"""The typed model of the operators' configuration file, and its JSON Schema.

Optional fields have their defaults here. `fill_defaults` adds them to a document before
it is stored, so that daemons of other versions use the same values.
"""

import json
from typing import Annotated, Literal

import pydantic
from typing_extensions import TypedDict

from fuchsiamoor.documents import field_types

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


class ColdStartFields(TypedDict):
    """Concurrency limits of an upstream after a cold start."""

    __pydantic_config__ = field_types.make_schema_config("ColdStart")

    initial_requests: field_types.optional_count(
        "Requests in flight at the very start.",
        COLD_START_DEFAULTS["initial_requests"],
        1,
        MAX_COUNT,
    )
    ramp_ms: field_types.optional_count(
        "Time until all slots may be used, in milliseconds.",
        COLD_START_DEFAULTS["ramp_ms"],
        0,
        MAX_TIME_MS,
    )


class LimitsFields(TypedDict):
    """Limits on what one daemon queues, parks and buffers for the service."""

    __pydantic_config__ = field_types.make_schema_config("Limits")

    body_bytes: field_types.optional_count(
        "Largest request or answer body, in bytes.",
        LIMITS_DEFAULTS["body_bytes"],
        0,
        MAX_BODY_BYTES,
    )
    queued_requests: field_types.optional_count(
        "Requests that wait for a slot of the upstream.",
        LIMITS_DEFAULTS["queued_requests"],
        0,
        MAX_COUNT,
    )
    parked_requests: field_types.optional_count(
        "Requests that wait for the move of a shard.",
        LIMITS_DEFAULTS["parked_requests"],
        0,
        MAX_COUNT,
    )


class ObjectiveFields(TypedDict):
    """Service-level objective, from which the report computes burn rates."""

    __pydantic_config__ = field_types.make_schema_config("Objective")

    success_ratio: field_types.optional(
        float,
        "Share of requests that succeed.",
        OBJECTIVE_DEFAULTS["success_ratio"],
        gt=0,
        lt=1,
    )
    latency_ms: field_types.optional_count(
        "Time within which an answer is fast, in milliseconds.",
        OBJECTIVE_DEFAULTS["latency_ms"],
        1,
        MAX_TIME_MS,
    )
    latency_ratio: field_types.optional(
        float,
        "Share of answers that are fast.",
        OBJECTIVE_DEFAULTS["latency_ratio"],
        gt=0,
        lt=1,
    )
    window_days: field_types.optional_count(
        "Days over which the objective is kept.",
        OBJECTIVE_DEFAULTS["window_days"],
        1,
        MAX_WINDOW_DAYS,
    )


class ServiceFields(TypedDict):
    """A service."""

    __pydantic_config__ = field_types.make_schema_config("Service")

    key: field_types.optional(
        Literal["required", "optional"],
        "Whether every request must carry a key.",
        SERVICE_DEFAULTS["key"],
    )
    shards: field_types.optional_count(
        "Shards that the keys hash to; fixed once applied.",
        SERVICE_DEFAULTS["shards"],
        1,
        MAX_SHARDS,
    )
    idempotent_methods: field_types.optional(
        field_types.Methods,
        "HTTP methods whose requests may run twice.",
        SERVICE_DEFAULTS["idempotent_methods"],
    )
    longest_run_ms: field_types.optional_count(
        "Longest time of one run at an upstream, in milliseconds.",
        SERVICE_DEFAULTS["longest_run_ms"],
        1,
        MAX_TIME_MS,
    )
    default_deadline_ms: field_types.optional_count(
        "Deadline for callers that give none, in milliseconds.",
        SERVICE_DEFAULTS["default_deadline_ms"],
        1,
        MAX_TIME_MS,
    )
    retry_ratio: field_types.optional(
        float,
        "Retries and hedges allowed, as a share of requests.",
        SERVICE_DEFAULTS["retry_ratio"],
        ge=0,
        le=1,
    )
    cold_start: field_types.optional(
        ColdStartFields, "What an upstream bears at first."
    )
    limits: field_types.optional(LimitsFields, "Bounds in each daemon.")
    objective: field_types.optional(ObjectiveFields, "Promises to callers.")


class RegionFields(TypedDict):
    """A region."""

    __pydantic_config__ = field_types.make_schema_config("Region")

    data_centres: field_types.required(
        field_types.NonEmptyNames, "At least one; in no other region."
    )


class TenantFields(TypedDict):
    """A tenant."""

    __pydantic_config__ = field_types.make_schema_config("Tenant")

    home_regions: field_types.required(
        field_types.NonEmptyNames,
        "The only regions that serve and keep it; fixed once applied.",
    )


class HoldFields(TypedDict):
    """Place that must own the keys of an override; exactly one field is set."""

    __pydantic_config__ = field_types.make_schema_config(
        "Hold", minProperties=1, maxProperties=1
    )

    instance: field_types.optional(field_types.Name, "This instance only.")
    data_centre: field_types.optional(
        field_types.Name, "Instances of this data centre."
    )
    region: field_types.optional(field_types.Name, "Instances of this region.")


def _check_one_hold(hold: HoldFields) -> HoldFields:
    if len(hold) != 1:
        raise ValueError("exactly one of instance, data_centre and region")
    return hold


OneHold = Annotated[HoldFields, pydantic.AfterValidator(_check_one_hold)]


class OverrideFields(TypedDict):
    """Assigns keys of a service to a place until an operator removes the override."""

    __pydantic_config__ = field_types.make_schema_config("Override")

    service: field_types.required(field_types.Name, "Whose keys are held.")
    tenant: field_types.optional(field_types.Name, "All tenants if left out.")
    key: field_types.optional(
        str, "All keys if left out.", min_length=1, max_length=MAX_KEY_CHARACTERS
    )
    hold_to: field_types.required(OneHold, "Where the keys are kept.")


class ConfigurationDocument(TypedDict):
    """The operators' configuration, applied as a whole."""

    __pydantic_config__ = field_types.make_schema_config("Configuration")

    services: field_types.required(dict[field_types.Name, ServiceFields], "By name.")
    regions: field_types.required(dict[field_types.Name, RegionFields], "By name.")
    data_centres_out: field_types.optional(
        field_types.Names, "Data centres taken out of service.", []
    )
    tenants: field_types.required(dict[field_types.Name, TenantFields], "By name.")
    overrides: field_types.optional(
        list[OverrideFields], "Operators' own routing choices.", []
    )
    moves_per_minute: field_types.optional_count(
        "Largest number of shards that rebalancing moves in a minute, "
        "per service and set of home regions.",
        DEFAULT_MOVES_PER_MINUTE,
        0,
        MAX_COUNT,
    )


ADAPTER = pydantic.TypeAdapter(ConfigurationDocument)


def make_schema() -> str:
    """Return the JSON Schema of a configuration file, as committed in docs/."""
    return json.dumps(ADAPTER.json_schema(), indent=2, sort_keys=True) + "\n"


def fill_defaults(document: ConfigurationDocument) -> ConfigurationDocument:
    """Return a validated document with all defaults filled in."""
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
