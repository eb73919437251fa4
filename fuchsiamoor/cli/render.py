"""Renders status, explanations and reports as text for 80 columns."""

from datetime import UTC, datetime

from fuchsiamoor.cli import configuration_apply, text_layout
from fuchsiamoor.cli.client import CollectedResponses
from fuchsiamoor.core import members
from fuchsiamoor.reports import burn, measures
from fuchsiamoor.reports.counts import DAY_MS, HOUR_MS, MINUTE_MS
from fuchsiamoor.reports.status import (
    DomainStatus,
    Explanation,
    OverrideStatus,
    Status,
)

MAX_LISTED_NAMES = 20


def render_progress(progress: configuration_apply.Progress) -> str:
    """Return the progress line of an apply."""
    total = len(progress.in_force) + len(progress.behind) + len(progress.unreachable)
    return (
        f"revision {progress.revision} in force at "
        f"{len(progress.in_force)} of {total} daemons"
    )


def render_missing_daemons(progress: configuration_apply.Progress) -> list[str]:
    """Return the daemons where a revision is not in force yet."""
    parts = [f"{name} (revision {at})" for name, at in sorted(progress.behind.items())]
    parts += [f"{name} (no answer)" for name in progress.unreachable]
    return text_layout.wrap("not yet at: " + _join(parts), "  ")


def render_status(found: CollectedResponses) -> list[str]:
    """Return the text of ``status``."""
    statuses: list[Status] = list(found.by_instance.values())
    newest = max(statuses, key=lambda status: status.configuration_revision)
    lines = [
        f"revision {newest.configuration_revision} by {newest.apply_id or 'nobody'}, "
        f"{len(statuses)} daemons answer, {len(found.unreachable)} do not",
        "data centres out: " + (", ".join(newest.data_centres_out) or "none"),
        "",
        *_render_daemons(statuses),
    ]
    if found.unreachable:
        text = "no answer: " + _join(list(found.unreachable))
        lines += ["", *text_layout.wrap(text, "  ")]
    domains = find_newest_domains(statuses)
    if domains:
        lines += ["", *_render_domains(domains)]
    overrides = merge_overrides(statuses)
    if overrides:
        lines += ["", *_render_overrides(overrides)]
    return lines


def find_newest_domains(statuses: list[Status]) -> list[DomainStatus]:
    """Return the state of each domain at the daemon with its newest table."""
    newest: dict[str, DomainStatus] = {}
    for status in statuses:
        for domain in status.domains:
            known = newest.get(domain.domain)
            if known is None or domain.table_revision > known.table_revision:
                newest[domain.domain] = domain
    return [newest[name] for name in sorted(newest)]


def merge_overrides(statuses: list[Status]) -> list[OverrideStatus]:
    """Return each override once, as unmet if any daemon reports it unmet."""
    merged: dict[str, OverrideStatus] = {}
    for status in statuses:
        for override in status.overrides:
            known = merged.get(override.override)
            if known is None or not override.met:
                merged[override.override] = override
    return [merged[name] for name in sorted(merged)]


def render_explanation(found: Explanation) -> list[str]:
    """Return the text of ``explain``."""
    isolated = ", a shard of its own" if found.isolated else ""
    owner = members.instance_of(found.owner) if found.owner else "nobody"
    place = f" in {found.data_centre}" if found.data_centre else ""
    lines = [
        f"key          {found.key} (service {found.service}, tenant {found.tenant})",
        f"domain       {found.domain}",
        f"shard        {found.shard}{isolated}, {found.state}",
        f"owner        {owner}{place}",
        f"epoch        {found.epoch} (table revision {found.table_revision})",
        f"lease        {found.lease or 'not known here: ask the owner'}",
        f"coordinator  {members.instance_of(found.coordinator) or 'none known'}",
        f"placement    {_explain_placement(found)}",
        f"failover     {_explain_owner_loss(found)}",
    ]
    return [part for line in lines for part in text_layout.wrap(line, " " * 13)]


def render_report(report: measures.Report) -> list[str]:
    """Return the text of ``report``."""
    since = _format_time(report.oldest_since_ms)
    youngest = _format_time(report.youngest_since_ms)
    lines = [
        f"counts of {report.daemons} daemons over {report.minutes} min",
        f"oldest daemon since {since}, youngest since {youngest};",
        "counts of daemons that stopped or were replaced are not included",
    ]
    if report.unreachable:
        text = "missing, no answer: " + _join(list(report.unreachable))
        lines += text_layout.wrap(text, "  ")
    return [
        *lines,
        "",
        *_render_latency(report.measures),
        "",
        *_render_ownership(report.measures),
        "",
        *_render_data_centre_moves(report.measures),
        "",
        *_render_burns(report.burns),
    ]


def _render_daemons(statuses: list[Status]) -> list[str]:
    headers = ["instance", "data centre", "rev", "state", "upstream", "load", "shards"]
    rows = [
        [
            status.instance,
            status.data_centre,
            str(status.configuration_revision),
            _describe_state(status),
            "ready" if status.upstream.ready else "not ready",
            f"{status.upstream.in_flight}/{status.upstream.limit}",
            str(sum(domain.owned_shards for domain in status.domains)),
        ]
        for status in statuses
    ]
    return text_layout.format_table(headers, rows)


def _describe_state(status: Status) -> str:
    if status.leaving:
        return "leaving"
    if not status.ready:
        return "starting"
    return "ready" if status.store_reachable else "no store"


def _render_domains(domains: list[DomainStatus]) -> list[str]:
    headers = ["domain", "coordinator", "term", "rev", "owners", "pending", "none"]
    rows = [
        [
            domain.domain,
            members.instance_of(domain.coordinator) or "none",
            str(domain.term),
            str(domain.table_revision),
            str(len(domain.shards_by_instance)),
            str(domain.pending_shards),
            str(domain.unowned_shards),
        ]
        for domain in domains
    ]
    return text_layout.format_table(headers, rows)


def _render_overrides(overrides: list[OverrideStatus]) -> list[str]:
    lines = []
    for override in overrides:
        state = "met" if override.met else f"NOT MET: {override.reason}"
        lines += text_layout.wrap(f"override {override.override}: {state}", "  ")
    return lines


def _explain_placement(found: Explanation) -> str:
    if found.override is not None:
        state = "met" if found.override.met else f"not met: {found.override.reason}"
        return f"override {found.override.override} ({state})"
    if not found.owner:
        return "the coordinator has not assigned an owner yet"
    return f"assigned by the coordinator in table revision {found.epoch}"


def _explain_owner_loss(found: Explanation) -> str:
    if not found.candidates:
        return "no instance can take over: the key waits for its owner"
    return (
        f"served again at most {found.loss_wait_ms} ms after the loss is noticed, "
        f"by one of: {_join(list(found.candidates))}"
    )


def _render_latency(found: tuple[measures.ServiceMeasures, ...]) -> list[str]:
    headers = ["latency, ms", "p50", "p99", "p99.9", "worst minute p99", "failed"]
    rows = [
        [
            each.service,
            _format_ms(each.p50_us),
            _format_ms(each.p99_us),
            _format_ms(each.p999_us),
            _format_ms(each.worst_minute_p99_us),
            str(each.failed),
        ]
        for each in found
    ]
    return text_layout.format_table(headers, rows)


def _render_ownership(found: tuple[measures.ServiceMeasures, ...]) -> list[str]:
    headers = ["ownership", "imbalance", "moved planned", "unplanned", "no owner, s"]
    rows = [
        [
            each.service,
            "-" if each.imbalance_ratio is None else f"{each.imbalance_ratio:.2f}",
            str(each.moved_planned),
            str(each.moved_unplanned),
            f"{each.unavailable_shard_ms / 1000:.1f}",
        ]
        for each in found
    ]
    return [
        *text_layout.format_table(headers, rows),
        "imbalance: busiest upstream over the mean; no owner: added over shards",
    ]


def _render_data_centre_moves(found: tuple[measures.ServiceMeasures, ...]) -> list[str]:
    headers = ["data centres", "minutes", "requests", "success %", "p99, ms"]
    rows = []
    for each in found:
        for name, quality in (
            ("all in service", each.undisturbed),
            ("some out or moving", each.data_centre_moves),
        ):
            ratio = quality.success_ratio
            rows.append(
                [
                    each.service,
                    name,
                    str(quality.requests),
                    "-" if ratio is None else f"{100 * ratio:.3f}",
                    _format_ms(quality.p99_us),
                ]
            )
    return text_layout.format_table(headers, rows)


def _render_burns(found: tuple[burn.ServiceBurn, ...]) -> list[str]:
    headers = ["burn", "promise", *burn.WINDOWS_MS, "state", "budget left"]
    rows = [
        [
            each.service,
            f"{part.promise} {100 * part.target_ratio:g}%",
            *(_format_burn(part.by_window[name]) for name in burn.WINDOWS_MS),
            part.state,
            _format_budget_left(part.budget_left_ratio),
        ]
        for each in found
        for part in (each.success, each.latency)
    ]
    windows = sorted({(each.window_days, each.counted_ms) for each in found})
    notes = [
        f"budget of {days} days, counted over {_format_span(counted_ms)}"
        for days, counted_ms in windows
    ]
    return [*text_layout.format_table(headers, rows), *notes]


def _format_burn(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"


def _format_budget_left(ratio: float | None) -> str:
    return "-" if ratio is None else f"{100 * ratio:.1f}%"


def _format_ms(latency_us: int | None) -> str:
    return "-" if latency_us is None else f"{latency_us / 1000:.1f}"


def _format_span(span_ms: int) -> str:
    for name, unit_ms in (("days", DAY_MS), ("hours", HOUR_MS)):
        if span_ms >= 2 * unit_ms:
            return f"{span_ms / unit_ms:.1f} {name}"
    return f"{span_ms / MINUTE_MS:.0f} min"


def _format_time(time_ms: int) -> str:
    return datetime.fromtimestamp(time_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M UTC")


def _join(names: list[str]) -> str:
    if len(names) <= MAX_LISTED_NAMES:
        return ", ".join(names)
    left = len(names) - MAX_LISTED_NAMES
    return ", ".join(names[:MAX_LISTED_NAMES]) + f" and {left} more"
