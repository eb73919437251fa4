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
    chosen = instance_selection.choose_instance(
        stats, OWN, locations, tried, "r", in_time_ms, 0
    )
    return chosen.name if chosen else None


def test_nearest_instance_is_chosen_while_it_has_free_slots():
    assert choose(make_stats(), FAR, NEAR, OWN) == "own"


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
