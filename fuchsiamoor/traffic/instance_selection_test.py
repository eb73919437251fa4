import random
from collections import Counter

import pytest

from fuchsiamoor.core.carried import Load
from fuchsiamoor.traffic import instance_selection

OWN = instance_selection.Location("own", "north", "north-1")
NEAR = instance_selection.Location("near", "north", "north-2")
FAR = instance_selection.Location("far", "south", "south-1")
IN_TIME_MS = 600


def make_stats(run_ms=300.0, body_bytes=5_000.0):
    stats = instance_selection.make_selection_stats()
    stats.run_ms["r"] = run_ms
    stats.body_bytes["r"] = body_bytes
    return stats


def report_load(stats, location, running=0, waiting=0, wait_ms=0, is_open=True):
    load = Load(running, waiting, 18, 100, wait_ms, is_open)
    instance_selection.update_load(stats, location.name, load, 0)


def choose(stats, *locations, in_time_ms=IN_TIME_MS, tried=()):
    chosen = instance_selection.choose_instances(
        stats, OWN, locations, tried, "r", in_time_ms, 0
    )
    return chosen[0].name if chosen else None


def test_nearest_instance_is_chosen_while_it_has_free_slots():
    assert choose(make_stats(), FAR, NEAR, OWN) == "own"


def test_instances_are_ranked_by_value_and_avoided_ones_come_last():
    stats = make_stats()
    instance_selection.record_refusal(stats, OWN.name, 0)
    ranked = instance_selection.choose_instances(
        stats, OWN, [FAR, OWN, NEAR], (), "r", IN_TIME_MS, 0, 3
    )
    assert ranked == [NEAR, FAR, OWN]


def test_queue_at_the_nearest_instance_favours_the_next_data_centre():
    stats = make_stats()
    report_load(stats, OWN, running=18, waiting=9, wait_ms=200)
    assert choose(stats, OWN, NEAR) == "near"


def test_another_region_is_chosen_only_if_it_saves_much_latency():
    stats = make_stats()
    report_load(stats, OWN, running=18, waiting=4, wait_ms=60)
    assert choose(stats, OWN, FAR) == "own"
    report_load(stats, OWN, running=18, waiting=90, wait_ms=1_500)
    assert choose(stats, OWN, FAR) == "far"


def test_small_answers_cross_regions_at_lower_load_than_large_ones():
    for body_bytes, expected in ((200.0, "far"), (9_000.0, "own")):
        stats = make_stats(body_bytes=body_bytes)
        report_load(stats, OWN, running=18, waiting=40, wait_ms=400)
        assert choose(stats, OWN, FAR) == expected


def test_closed_instance_is_chosen_only_if_no_other_is_left():
    stats = make_stats()
    report_load(stats, OWN, is_open=False)
    assert choose(stats, OWN, FAR) == "far"
    assert choose(stats, OWN, FAR, tried=("far",)) == "own"
    assert choose(stats, OWN, tried=("own",)) is None


def test_slow_instance_is_not_preferred():
    stats = make_stats()
    for _ in range(30):
        instance_selection.record_run(stats, "own", "r", 1_200, 5_000)
        instance_selection.record_run(stats, "near", "r", 250, 5_000)
    assert choose(stats, OWN, NEAR) == "near"


def test_consecutive_failures_make_an_instance_avoided():
    stats = make_stats()
    for _ in range(instance_selection.SUSPECT_FAILURES):
        instance_selection.record_failure(stats, "own", 0)
    assert choose(stats, OWN, NEAR) == "near"


def make_fleet(count):
    return [
        instance_selection.Location(
            f"10.0.{n // 200}.{n % 200}",
            ("north", "south", "east")[n % 3],
            f"centre-{n % 9}",
        )
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [60, 195, 510])
def test_instances_considered_for_a_request_do_not_grow_with_the_fleet(count):
    fleet = make_fleet(count)
    candidates = instance_selection.make_candidates(fleet[0], fleet)
    drawn = instance_selection.draw_locations(
        make_stats(), candidates, (), 0, random.Random(1)
    )
    assert drawn[0] == fleet[0]
    assert len(drawn) == 1 + instance_selection.NEAR_MAX + instance_selection.FAR_DRAWN


@pytest.mark.parametrize("count", [60, 195, 510])
def test_daemons_share_the_instances_of_their_region_evenly(count):
    fleet = make_fleet(count)
    chosen = Counter()
    for own in fleet:
        chosen.update(instance_selection.make_candidates(own, fleet).near)
    assert set(chosen) == set(fleet)
    assert max(chosen.values()) <= 2.5 * instance_selection.NEAR_MAX


@pytest.mark.parametrize("count", [60, 195, 510])
def test_most_candidates_are_of_the_own_data_centre_and_some_are_not(count):
    fleet = make_fleet(count)
    for own in fleet:
        near = instance_selection.make_candidates(own, fleet).near
        beside = [location.data_centre == own.data_centre for location in near]
        assert len(near) == instance_selection.NEAR_MAX
        assert beside.count(True) == instance_selection.NEAR_SAME_CENTRE


def test_other_data_centres_fill_in_for_a_small_one():
    small = [
        instance_selection.Location(f"10.0.1.{n}", "north", "north-2") for n in range(3)
    ]
    large = [
        instance_selection.Location(f"10.0.2.{n}", "north", "north-3")
        for n in range(30)
    ]
    near = instance_selection.make_candidates(small[0], small + large).near
    assert set(small[1:]) < set(near)
    assert len(near) == instance_selection.NEAR_MAX
    near = instance_selection.make_candidates(large[0], small[:1] + large).near
    assert len(near) == instance_selection.NEAR_MAX


def test_a_lost_instance_changes_one_candidate_of_the_daemons_that_had_it():
    fleet = make_fleet(195)
    for own in fleet[1:]:
        before = set(instance_selection.make_candidates(own, fleet).near)
        after = set(instance_selection.make_candidates(own, fleet[1:]).near)
        assert len(after - before) == (fleet[0] in before)


def test_all_instances_are_considered_once_the_usual_ones_are_tried_or_avoided():
    fleet = make_fleet(60)
    stats, candidates = make_stats(), instance_selection.make_candidates(OWN, fleet)
    tried = {location.name for location in candidates.near}
    for location in candidates.far:
        instance_selection.record_refusal(stats, location.name, 0)
    drawn = instance_selection.draw_locations(
        stats, candidates, tried, 0, random.Random(1)
    )
    assert set(drawn) == set(fleet)


def test_daemons_that_know_nothing_do_not_all_choose_the_same_instance():
    fleet = [
        instance_selection.Location(f"10.0.0.{n}", "north", "north-1")
        for n in range(40)
    ]
    chosen = Counter()
    for seed in range(400):
        own = instance_selection.Location(f"10.9.0.{seed}", "north", "north-1")
        candidates = instance_selection.make_candidates(own, fleet)
        drawn = instance_selection.draw_locations(
            make_stats(), candidates, (), 0, random.Random(seed)
        )
        chosen[choose_from(drawn)] += 1
    assert max(chosen.values()) <= 25


def choose_from(drawn):
    [chosen] = instance_selection.choose_instances(
        make_stats(), OWN, drawn, (), "r", IN_TIME_MS, 0
    )
    return chosen.name
