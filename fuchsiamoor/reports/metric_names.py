"""Names, kinds and meanings of all metrics; docs/METRICS.md is generated from them."""

from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """How a metric is sent to statsd."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


class Metric(NamedTuple):
    """A metric and its meaning."""

    name: str
    kind: Kind
    meaning: str


REQUESTS_RAN = "requests.ran"
REQUESTS_NOT_RUN = "requests.not_run"
REQUESTS_MAY_HAVE_RUN = "requests.may_have_run"
REQUEST_TIME = "requests.time"
UPSTREAM_SERVED = "upstream.served"
UPSTREAM_TIME = "upstream.time"
UPSTREAM_IN_FLIGHT = "upstream.in_flight"
UPSTREAM_LIMIT = "upstream.limit"
SHARDS_OWNED = "shards.owned"
SHARDS_PENDING = "shards.pending"
SHARDS_MOVED_PLANNED = "shards.moved_planned"
SHARDS_MOVED_UNPLANNED = "shards.moved_unplanned"
COORDINATOR_DOMAINS = "coordinator.domains"
STORE_CALLS = "store.calls"
STORE_UNAVAILABLE = "store.unavailable"
STORE_OUTCOME_UNKNOWN = "store.outcome_unknown"
STORE_TIME = "store.time"
MEMBERS_KNOWN = "members.known"
OPERATORS_REFUSED = "operators.refused"
OPERATORS_FAILED = "operators.failed"
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
    "requests.cancelled": "Requests whose caller went away.",
    "requests.failed": "Requests whose handling failed by a fault of the daemon.",
    "requests.crossed": "Answers withheld because they belong to another request.",
    "entry.resent": "Requests with a key sent again after they had certainly not run.",
    "entry.retried": "Requests without a key sent to another upstream.",
    "entry.hedged": "Requests without a key sent to a second upstream at once.",
    "entry.parked": "Requests that waited at their entry for an owner.",
    "entry.parking_full": "Requests refused because too many waited at their entry.",
    "serving.parked": "Requests that waited at their owner for the move of a shard.",
    "serving.parking_full": "Requests refused because too many waited at their owner.",
    "serving.queued": "Requests that waited for a slot of the upstream.",
    "serving.refused": "Requests refused for the upstream's limits.",
    "serving.repeated": "Copies of requests answered without a run.",
    "serving.ramp_started": "Ramps begun for a new incarnation of the upstream.",
    "serving.ramp_restarted": "Ramps begun again because the upstream turned cold.",
    UPSTREAM_SERVED: "Whole answers of the upstream beside the daemon.",
    "lease.ask_failed": "Renewals and vouches asked for in vain.",
    "lease.lapsed": "Times at which a lease of shards ended unrenewed.",
    "lease.refused": "Renewals and vouches that were refused.",
    SHARDS_MOVED_PLANNED: "Shards moved after a release by their owner.",
    SHARDS_MOVED_UNPLANNED: "Shards moved after the loss of their owner.",
    "coordinator.acquired": "Terms that this daemon began as a coordinator.",
    "coordinator.acquire_failed": "Terms not begun because the store failed.",
    "coordinator.member_unreached": "Renewals refused to members that answer no call.",
    "coordinator.ended": "Terms that this daemon ended.",
    "coordinator.renew_failed": "Failed renewals of the coordinator's store lease.",
    "coordinator.resign_failed": "Roles given up without the store's answer.",
    "coordinator.write_refused": "Table writes that the store refused.",
    "coordinator.write_unknown": "Table writes whose answer was lost.",
    "coordinator.read_back_failed": "Failed reads to resolve a lost answer.",
    "coordinator.push_failed": "Table revisions that a member did not acknowledge.",
    "coordinator.abort_failed": "Given-up moves that the owner was not told of.",
    "registration.failed": "Registrations that the store did not take.",
    "registration.raced": "Registrations that met another run of the instance.",
    STORE_CALLS: "Calls to the store, a waiting watch as one.",
    STORE_UNAVAILABLE: "Calls that the store refused.",
    STORE_OUTCOME_UNKNOWN: "Calls to the store whose answer was lost.",
    "store.read_failed": "Failed reads of the whole state.",
    "gossip.failed": "Exchanges with a peer that failed.",
    "gossip.unreadable": "State from peers that could not be read.",
    "peers.sent_bytes": "Bytes of frames sent to other daemons.",
    "peers.dialled": "Links opened to other daemons.",
    "peers.dial_failures": "Links that could not be opened.",
    "peers.refused": "Links refused for want of a valid peer key.",
    "peers.links_refused": "Links refused while leaving or over the limit.",
    "peers.links_lost": "Links that broke with calls on them.",
    "peers.links_replaced": "Links silent for 1 s after a ping; new ones took calls.",
    "peers.other_member_expected": "Links meant for another run at this address.",
    "peers.bad_frames": "Frames that could not be read.",
    "peers.calls_refused": "Calls refused while leaving or over the limit.",
    "peers.calls_over_limit": "Calls not sent because too many waited.",
    "peers.timeouts": "Calls without an answer in time.",
    "peers.late_answers": "Answers that came after their call had ended.",
    "peers.answers_without_link": "Answers whose link was gone.",
    "peers.duplicate_messages": "Messages dropped because they came twice.",
    "peers.messages_dropped": "Messages dropped because no link was up.",
    "peers.handler_failures": "Calls that failed inside this daemon.",
    OPERATORS_REFUSED: "Operator calls refused for want of a valid key.",
    OPERATORS_FAILED: "Operator calls that failed inside this daemon.",
    CONFIGURATION_APPLIED: "Configurations applied through this daemon.",
    CONFIGURATION_CONFLICTS: "Applies refused because another came first.",
    CONFIGURATION_REFUSED: "Applies refused for faults.",
    "supervisor.restarted": "Parts of the daemon that failed and began again.",
    "task.failed": "Background tasks of the daemon that failed.",
    "stop.drain_timed_out": "Stops that did not wait for the last requests.",
    METRICS_DROPPED: "Metrics dropped because their name is not on this page.",
    "callers.malformed": "Requests of callers that could not be read.",
    "callers.unknown_key": "Requests whose key no organisation holds.",
    "quota.unanswered": "Questions for credit that an allocator did not answer.",
    "budget.empty": "Repeats not sent, as none were left in the budget.",
    "peers.too_late_to_send": "Requests not sent as too little of their time was left.",
    "peers.unreachable": "Carried requests that certainly did not leave.",
    "peers.lost": "Carried requests whose link broke or fell silent.",
    "heartbeat.stale": "Heartbeats overtaken, or of an earlier incarnation.",
    "leaves.write_failed": "Writes of a leave to the store that failed.",
    "heartbeat.malformed": "Heartbeats that could not be read.",
    "heartbeat.waited": "Heartbeats that were granted keys after a wait to register.",
    "heartbeat.foreign": "Heartbeats that name another upstream than the local one.",
    "upstream.probed": "Health checks of the upstream beside the daemon.",
    "callers.closed_for_others": "Connections of callers closed to make room.",
    "peers.no_answers": "Answers of other daemons to requests that are none.",
    "upstream.full_resets": "Resets by a full upstream that lowered its limit.",
    "bytes.cut": "Connections cut because too many received bytes were held.",
    "bytes.cut.*": "The same of a daemon on the platform, by what they held.",
    "upstream.ended": "Incarnations of the upstream that ended.",
    "upstream.not_connected": "Requests that met no listening upstream.",
    "upstream.misdirected": "Requests refused as meant for another upstream.",
    "upstream.shed": "Requests that the upstream refused to run.",
    "upstream.lost.*": "Requests that may have run, without an answer, by reason.",
    "refused.*": "Requests refused by this daemon, by reason.",
    "upstream.spoiled": "Answers withheld as not the upstream's own.",
    "ranges.written": "Range tables written.",
    "ranges.adopted": "First range tables of a store era written.",
    "ranges.write_conflict": "Range tables not written, as another came first.",
    "ranges.write_refused": "Range tables that the store refused.",
    "store.failed": "Renewals and registrations that failed.",
    "store.watch_failed": "Watches of the store that failed.",
    "store.call.*": "Calls of the daemon to the store itself, by kind.",
    "store.refused.*": "Those of them that the store refused.",
    "store.era": "Eras of the store begun: the first one known, and its restores.",
    "store.watcher_failed": "Questions to a watching daemon that it could not answer.",
    "copies.sent": "Second copies of slow requests sent to another instance.",
    "copies.won": "Copies that were answered before the first sending.",
    "copies.skipped.*": "Slow requests that got no copy, by reason.",
    "transfers.unanswered": "Bodies that another daemon did not ask for in time.",
    "selection.asked": "Instances that told their load when asked.",
    "selection.unanswered": "Instances that did not tell their load in time.",
    "ranges.given_away": "Range tables in which a busy owner gives keys away.",
    "balance.unanswered": "Owners that did not tell how much they are asked for.",
    "store.unreadable": "Entries of the store that could not be read.",
}
_GAUGES = {
    UPSTREAM_IN_FLIGHT: "Requests at the upstream now.",
    UPSTREAM_LIMIT: "Requests that the upstream may be given at once, ramp included.",
    SHARDS_OWNED: "Shards that this daemon owns.",
    SHARDS_PENDING: "Shards of domains coordinated here that nobody serves yet.",
    COORDINATOR_DOMAINS: "Domains that this daemon coordinates.",
    MEMBERS_KNOWN: "Members that this daemon knows.",
    CONFIGURATION_REVISION: "Revision in force at this daemon.",
    OVERRIDES_UNMET: "Overrides that cannot be met now.",
}
_TIMINGS = {
    LOOP_LAG: "Delay of the event loop.",
    REQUEST_TIME: "Time from a caller's request to its answer.",
    UPSTREAM_TIME: "Time from a request to the upstream to its answer.",
    STORE_TIME: "Time of a call to the store, watches left out.",
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
    """Return the table of metrics for docs/METRICS.md."""
    rows = [f"| `{name}` | {kind} | {text} |" for name, kind, text in METRICS.values()]
    return "\n".join(["| Name | Kind | Meaning |", "|---|---|---|", *rows]) + "\n"
