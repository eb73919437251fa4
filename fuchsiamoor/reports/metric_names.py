"""Names of all counters, gauges and timings; docs/METRICS.md lists the same."""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """How a metric is sent to statsd."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class Metric(NamedTuple):
    """One metric and what it tells."""

    name: str
    kind: Kind
    meaning: str


REQUESTS_RAN = "requests.ran"
REQUESTS_NOT_RUN = "requests.not_run"
REQUESTS_MAY_HAVE_RUN = "requests.may_have_run"
REQUESTS_RETRIED = "requests.retried"
REQUESTS_HEDGED = "requests.hedged"
REQUESTS_FORWARDED = "requests.forwarded"
REQUESTS_PARKED = "requests.parked"
REQUESTS_QUEUED = "requests.queued"
REQUESTS_CANCELLED = "requests.cancelled"
REQUEST_TIME = "requests.time"
UPSTREAM_SERVED = "upstream.served"
UPSTREAM_SHED = "upstream.shed"
UPSTREAM_LOST = "upstream.lost"
UPSTREAM_TIME = "upstream.time"
UPSTREAM_IN_FLIGHT = "upstream.in_flight"
UPSTREAM_LIMIT = "upstream.limit"
UPSTREAM_STARTS = "upstream.starts"
LEASES_RENEWED = "leases.renewed"
LEASES_VOUCHED = "leases.vouched"
LEASES_LAPSED = "leases.lapsed"
VOUCHES_REFUSED = "leases.vouches_refused"
SHARDS_OWNED = "shards.owned"
SHARDS_PENDING = "shards.pending"
SHARDS_MOVED_PLANNED = "shards.moved_planned"
SHARDS_MOVED_UNPLANNED = "shards.moved_unplanned"
COORDINATOR_TERMS = "coordinator.terms"
COORDINATOR_DOMAINS = "coordinator.domains"
STORE_CALLS = "store.calls"
STORE_UNAVAILABLE = "store.unavailable"
STORE_OUTCOME_UNKNOWN = "store.outcome_unknown"
STORE_TIME = "store.time"
PEERS_CONNECTED = "peers.connected"
PEERS_LINKS_LOST = "peers.links_lost"
PEERS_REFUSED = "peers.refused"
PEERS_SENT_BYTES = "peers.sent_bytes"
MEMBERS_KNOWN = "members.known"
OPERATORS_REFUSED = "operators.refused"
CONFIGURATION_REVISION = "configuration.revision"
CONFIGURATION_APPLIED = "configuration.applied"
CONFIGURATION_CONFLICTS = "configuration.conflicts"
CONFIGURATION_REFUSED = "configuration.refused"
OVERRIDES_UNMET = "overrides.unmet"
LOOP_LAG = "loop.lag"
METRICS_DROPPED = "metrics.dropped"

_COUNTERS = {
    REQUESTS_RAN: "Requests of callers that ran.",
    REQUESTS_NOT_RUN: "Requests of callers that certainly have not run.",
    REQUESTS_MAY_HAVE_RUN: "Requests of callers whose outcome is unknown.",
    REQUESTS_RETRIED: "Requests sent again after a proof that they had not run.",
    REQUESTS_HEDGED: "Idempotent requests sent to a second upstream.",
    REQUESTS_FORWARDED: "Requests sent on to another daemon.",
    REQUESTS_PARKED: "Requests that waited for the move of a shard.",
    REQUESTS_QUEUED: "Requests that waited for a slot of the upstream.",
    REQUESTS_CANCELLED: "Requests whose caller went away.",
    UPSTREAM_SERVED: "Whole answers of the upstream beside the daemon.",
    UPSTREAM_SHED: "Requests that the upstream refused for load.",
    UPSTREAM_LOST: "Broken connections to the upstream.",
    UPSTREAM_STARTS: "New incarnations of the upstream, and sudden colds.",
    LEASES_RENEWED: "Serving leases renewed by a coordinator.",
    LEASES_VOUCHED: "Serving leases renewed by vouches.",
    LEASES_LAPSED: "Serving leases that lapsed.",
    VOUCHES_REFUSED: "Vouches that this daemon refused.",
    SHARDS_MOVED_PLANNED: "Shards moved after a release by their owner.",
    SHARDS_MOVED_UNPLANNED: "Shards moved after the loss of their owner.",
    COORDINATOR_TERMS: "Terms that this daemon began as a coordinator.",
    STORE_CALLS: "Calls to the store, a waiting watch as one.",
    STORE_UNAVAILABLE: "Calls that the store refused.",
    STORE_OUTCOME_UNKNOWN: "Calls to the store whose answer was lost.",
    PEERS_LINKS_LOST: "Links to other daemons that broke.",
    PEERS_REFUSED: "Links refused for want of a valid peer key.",
    PEERS_SENT_BYTES: "Bytes sent to other daemons.",
    OPERATORS_REFUSED: "Operator calls refused for want of a valid key.",
    CONFIGURATION_APPLIED: "Configurations applied through this daemon.",
    CONFIGURATION_CONFLICTS: "Applies refused because another came first.",
    CONFIGURATION_REFUSED: "Applies refused for faults in the document.",
    METRICS_DROPPED: "Metrics dropped because their name is not on this page.",
}
_GAUGES = {
    UPSTREAM_IN_FLIGHT: "Requests at the upstream now.",
    UPSTREAM_LIMIT: "Requests that the upstream may be given at once, ramp included.",
    SHARDS_OWNED: "Shards that this daemon owns.",
    SHARDS_PENDING: "Shards of domains coordinated here that nobody serves yet.",
    COORDINATOR_DOMAINS: "Domains that this daemon coordinates.",
    PEERS_CONNECTED: "Open links to other daemons.",
    MEMBERS_KNOWN: "Members that this daemon knows.",
    CONFIGURATION_REVISION: "Revision in force at this daemon.",
    OVERRIDES_UNMET: "Overrides that cannot be met now.",
}
_TIMINGS = {
    REQUEST_TIME: "Time from a caller's request to its answer.",
    UPSTREAM_TIME: "Time from a request to the upstream to its answer.",
    STORE_TIME: "Time of a call to the store.",
    LOOP_LAG: "Delay of the event loop.",
}

METRICS = {
    name: Metric(name, kind, meaning)
    for kind, meanings in (
        (Kind.COUNTER, _COUNTERS),
        (Kind.GAUGE, _GAUGES),
        (Kind.TIMING, _TIMINGS),
    )
    for name, meaning in meanings.items()
}


def format_table() -> str:
    """Return the table of docs/METRICS.md."""
    rows = [f"| `{name}` | {kind} | {text} |" for name, kind, text in METRICS.values()]
    return "\n".join(["| Name | Kind | Meaning |", "|---|---|---|", *rows]) + "\n"
