"""Compares routing policies by simulations of two deployments.

Run with ``python -m bench.routing_policy [TABLE ...]``. Prints a table for each kind of
scenario, which compares the daemon's policy ("in use") with simpler ones.
"""

import os
import platform
import sys

from bench import routing_model
from bench.routing_model import Model, PendingRequest, Policy, Scenario
from fuchsiamoor.core.members import Member
from fuchsiamoor.routing import load_balancing

DALA = tuple(
    f"{region}-{number}" for region in ("almaty", "astana", "aktobe") for number in "12"
)
ANDINA = tuple(
    f"{region}-{number}" for region in ("bogota", "medellin", "cali") for number in "12"
)


def make_scenarios(**changes) -> dict[str, Scenario]:
    """Return scenarios of Dala's booking and Andina's certificate service."""
    return {
        "Dala": Scenario((*DALA, DALA[0]), slots=20)._replace(**changes),
        "Andina": Scenario((*ANDINA, ANDINA[0]), slots=12)._replace(**changes),
    }


def _list_untried(model: Model, pending: PendingRequest) -> list[Member]:
    found = routing_model.find_candidates(model, pending.entry)
    members = (*found.same_region, *found.other_regions)
    return [member for member in members if member.member_id not in pending.tried]


def choose_random(model: Model, pending: PendingRequest) -> Member | None:
    """Choose a random member."""
    untried = _list_untried(model, pending)
    return model.rng.choice(untried) if untried else None


def _choose_least(model: Model, members: list[Member], compute_load) -> Member | None:
    if not members:
        return None
    shuffled = model.rng.sample(members, len(members))
    return min(shuffled, key=compute_load)


def choose_least_reported(model: Model, pending: PendingRequest) -> Member | None:
    """Choose the member with the lowest reported load."""
    return _choose_least(
        model,
        _list_untried(model, pending),
        lambda member: model.upstreams[member.member_id].reported_in_flight,
    )


def choose_two_reported(model: Model, pending: PendingRequest) -> Member | None:
    """Choose of two random members the one with the lower reported load."""
    untried = _list_untried(model, pending)
    return _choose_least(
        model,
        model.rng.sample(untried, min(2, len(untried))),
        lambda member: model.upstreams[member.member_id].reported_in_flight,
    )


def choose_least_in_flight(model: Model, pending: PendingRequest) -> Member | None:
    """Choose the member with the fewest requests in flight from this daemon."""
    return _choose_least(
        model,
        _list_untried(model, pending),
        lambda member: _get_in_flight(pending.entry, member),
    )


def choose_two_in_flight(model: Model, pending: PendingRequest) -> Member | None:
    """Choose of two random members the one with fewer own requests in flight."""
    untried = _list_untried(model, pending)
    return _choose_least(
        model,
        model.rng.sample(untried, min(2, len(untried))),
        lambda member: _get_in_flight(pending.entry, member),
    )


def _get_in_flight(entry, member: Member) -> int:
    return load_balancing.find_stats(entry.measurements, member.member_id).in_flight


def choose_by_latency(model: Model, pending: PendingRequest) -> Member | None:
    """Choose the member with the lowest latency expected by this entry daemon."""
    return _choose_least(
        model,
        _list_untried(model, pending),
        lambda member: load_balancing.compute_expected_ms(
            pending.entry.measurements,
            pending.entry.member,
            member,
            int(model.now_ms),
        ),
    )


def choose_in_use(model: Model, pending: PendingRequest) -> Member | None:
    """Choose a member by the daemon's own policy."""
    return load_balancing.choose_member(
        pending.entry.measurements,
        pending.entry.member,
        routing_model.find_candidates(model, pending.entry),
        pending.tried,
        int(model.now_ms),
        model.rng,
    )


def choose_owner(model: Model, pending: PendingRequest) -> Member | None:
    """Choose the owner of the request's key, once."""
    if pending.tried:
        return None
    upstreams = list(model.upstreams.values())
    return upstreams[int(pending.request.request_id) % len(upstreams)].member


IN_USE = Policy("in use", choose_in_use)
KEYED = Policy("by key", choose_owner, hedges=False)
CHOICES = (
    Policy("random", choose_random),
    Policy("least by reports", choose_least_reported),
    Policy("two by reports", choose_two_reported),
    Policy("least by own count", choose_least_in_flight),
    Policy("two by own count", choose_two_in_flight),
    Policy("fastest measured", choose_by_latency),
    IN_USE,
)


def _percentile(ordered: list[float], fraction: float) -> float:
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


def print_heading(title: str) -> None:
    """Print a table's title and column names."""
    print(f"\n{title}")
    print(
        f"{'deployment':<9}{'policy':<22}{'p50':>6}{'p99':>7}{'p99.9':>7}"
        f"{'refused%':>9}{'late%':>7}{'good/s':>8}{'imbal':>7}{'cross%':>8}"
        f"{'extra%':>8}{'overfill':>9}"
    )


def print_row(deployment: str, name: str, model: Model, window=None) -> None:
    """Print the results of one simulation; times in milliseconds.

    Parameters
    ----------
    deployment, name : str
    model : Model
    window : tuple of int or None
        Start and end of the arrivals whose latencies count, in milliseconds; all but
        the first second if None.
    """
    low, high = window or (1_000, model.scenario.duration_ms)
    ordered = sorted(
        latency_ms
        for arrived_ms, latency_ms in model.latencies_ms
        if low <= arrived_ms < high
    )
    counts, arrived = model.counts, model.counts["arrived"]
    busy = [upstream.busy_ms for upstream in model.upstreams.values()]
    imbalance = max(busy) / (sum(busy) / len(busy))
    total_bytes = arrived * (routing_model.REQUEST_BYTES + routing_model.ANSWER_BYTES)
    extra = counts["hedged"] + counts["retried"]
    refused, late = (100 * counts[name] / arrived for name in ("refused", "late"))
    print(
        f"{deployment:<9}{name:<22}{_percentile(ordered, 0.5):>6.0f}"
        f"{_percentile(ordered, 0.99):>7.0f}{_percentile(ordered, 0.999):>7.0f}"
        f"{refused:>9.2f}{late:>7.2f}"
        f"{counts['answered in time'] / model.scenario.duration_ms * 1000:>8.0f}"
        f"{imbalance:>7.2f}{100 * model.cross_region_bytes / total_bytes:>8.1f}"
        f"{100 * extra / arrived:>8.2f}{counts['overfilled']:>9}",
        flush=True,
    )


def print_choices() -> None:
    """Compare the policies under old and under wrong load reports."""
    for title, changes in (
        ("reports every 0.1 s", {"report_every_ms": 100}),
        ("reports every 1 s", {"report_every_ms": 1_000}),
        ("reports every 10 s", {"report_every_ms": 10_000}),
        ("reports every 1 s, two always report 0", {"underreporting": 2}),
    ):
        print_heading(f"Choice of upstream at 0.7 of capacity, {title}")
        for deployment, scenario in make_scenarios(**changes).items():
            for policy in CHOICES:
                model = routing_model.run_model(scenario, policy._replace(hedges=False))
                print_row(deployment, policy.name, model)


def print_stragglers() -> None:
    """Compare the policies with one upstream ten times slower for 4 s."""
    print_heading("Straggler: one upstream 10 times slower from 3 s to 7 s, load 0.5")
    window = (3_000, 7_000)
    for deployment, healthy in make_scenarios(load=0.5).items():
        slow = healthy._replace(straggler=(1, 3_000, 7_000, 10.0))
        cases = (
            ("healthy, in use", healthy, IN_USE),
            ("in use", slow, IN_USE),
            ("in use, no hedge", slow, IN_USE._replace(hedges=False)),
            ("random, hedge", slow, CHOICES[0]),
            ("random, no hedge", slow, CHOICES[0]._replace(hedges=False)),
            ("two by own, no hedge", slow, CHOICES[4]._replace(hedges=False)),
        )
        for name, scenario, policy in cases:
            model = routing_model.run_model(scenario, policy)
            print_row(deployment, name, model, window)


def print_overload() -> None:
    """Compare the policies under twice the load that the upstreams can run."""
    print_heading("Overload: 2 times capacity, beside a load of 1")
    for deployment, double in make_scenarios(load=2.0, duration_ms=5_000).items():
        unbounded = IN_USE._replace(bounded=False)
        at_capacity = double._replace(load=1.0)
        for name, scenario, policy in (
            ("load 1, in use", at_capacity, IN_USE),
            ("load 2, in use", double, IN_USE),
            ("load 2, random", double, CHOICES[0]),
            ("load 2, no bounds", double, unbounded),
            ("load 1, by key", at_capacity, KEYED),
            ("load 2, by key", double, KEYED),
            ("load 2, key, no bounds", double, KEYED._replace(bounded=False)),
        ):
            print_row(deployment, name, routing_model.run_model(scenario, policy))


def print_moves() -> None:
    """Compare the policies when a data centre or one upstream becomes cold."""
    print_heading("Data centre out from 3 s to 5 s, back cold (ramp 3 s), load 0.5")
    for deployment, healthy in make_scenarios(load=0.5).items():
        evacuated = healthy._replace(
            out_of_service=(healthy.data_centres[0], 3_000, 5_000)
        )
        for name, policy in (
            ("in use", IN_USE),
            ("no ramp", IN_USE._replace(ramps=False, detects_cold=False)),
            ("no ramp, random", CHOICES[0]._replace(ramps=False, detects_cold=False)),
        ):
            print_row(deployment, name, routing_model.run_model(evacuated, policy))
    print_heading("One upstream turns cold unannounced at 3 s (ramp 3 s), load 0.5")
    for deployment, healthy in make_scenarios(load=0.5).items():
        cold = healthy._replace(cold_at_ms=3_000)
        for name, policy in (
            ("in use", IN_USE),
            ("cold not noticed", IN_USE._replace(detects_cold=False)),
            ("random, not noticed", CHOICES[0]._replace(detects_cold=False)),
        ):
            print_row(deployment, name, routing_model.run_model(cold, policy))


def print_keyed() -> None:
    """Print keyed requests to a slow or cold owner.

    Only the owner can run them, so that only its concurrency limit and ramp help.
    """
    print_heading("By key, load 0.5: a straggler or a cold upstream, ramp 3 s")
    undetected = KEYED._replace(detects_cold=False)
    for deployment, healthy in make_scenarios(load=0.5).items():
        slow = healthy._replace(straggler=(0, 3_000, 7_000, 10.0))
        cold = healthy._replace(cold_at_ms=3_000)
        for name, scenario, policy in (
            ("healthy", healthy, KEYED),
            ("slow, noticed", slow, KEYED),
            ("slow, not noticed", slow, undetected),
            ("cold, noticed", cold, KEYED),
            ("cold, not noticed", cold, undetected),
        ):
            print_row(deployment, name, routing_model.run_model(scenario, policy))


def print_loads() -> None:
    """Compare the cross-region traffic of the policies under rising load."""
    print_heading("Cross-region traffic against load (reports unused)")
    for load in (0.3, 0.5, 0.7, 0.85, 0.95):
        for deployment, scenario in make_scenarios(
            load=load, duration_ms=5_000
        ).items():
            for policy in (CHOICES[0], CHOICES[4], IN_USE):
                model = routing_model.run_model(scenario, policy)
                print_row(deployment, f"{policy.name} at {load}", model)


TABLES = {
    "choices": print_choices,
    "stragglers": print_stragglers,
    "overload": print_overload,
    "moves": print_moves,
    "keyed": print_keyed,
    "loads": print_loads,
}


def main() -> None:
    """Print the tables named on the command line, or all."""
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    for name in sys.argv[1:] or TABLES:
        TABLES[name]()


if __name__ == "__main__":
    main()
