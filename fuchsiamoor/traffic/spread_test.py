from fuchsiamoor.core.carried import Load
from fuchsiamoor.traffic import spread

OWN = spread.Place("own", "north", "north-1")
NEAR = spread.Place("near", "north", "north-2")
FAR = spread.Place("far", "south", "south-1")
IN_TIME_MS = 600


def make_views(run_ms=300.0, body_bytes=5_000.0):
    views = spread.make_views()
    views.run_ms["r"] = run_ms
    views.body_bytes["r"] = body_bytes
    return views


def tell(views, place, running=0, waiting=0, wait_ms=0, is_open=True):
    load = Load(running, waiting, 18, 100, wait_ms, is_open)
    spread.note_load(views, place.name, load, 0)


def choose(views, *places, in_time_ms=IN_TIME_MS, tried=()):
    chosen = spread.choose(views, OWN, places, tried, "r", in_time_ms, 0)
    return chosen.name if chosen else None


def test_the_nearest_is_taken_while_it_has_room():
    assert choose(make_views(), FAR, NEAR, OWN) == "own"


def test_a_queue_nearby_sends_requests_to_the_next_data_centre():
    views = make_views()
    tell(views, OWN, running=18, waiting=9, wait_ms=200)
    assert choose(views, OWN, NEAR) == "near"


def test_another_region_is_worth_its_link_only_where_it_saves_much():
    views = make_views()
    tell(views, OWN, running=18, waiting=4, wait_ms=60)
    assert choose(views, OWN, FAR) == "own"
    tell(views, OWN, running=18, waiting=90, wait_ms=1_500)
    assert choose(views, OWN, FAR) == "far"


def test_a_small_answer_crosses_regions_sooner_than_a_large_one():
    for body_bytes, expected in ((200.0, "far"), (9_000.0, "own")):
        views = make_views(body_bytes=body_bytes)
        tell(views, OWN, running=18, waiting=40, wait_ms=400)
        assert choose(views, OWN, FAR) == expected


def test_one_that_takes_nothing_is_taken_only_if_no_other_is_left():
    views = make_views()
    tell(views, OWN, is_open=False)
    assert choose(views, OWN, FAR) == "far"
    assert choose(views, OWN, FAR, tried=("far",)) == "own"
    assert choose(views, OWN, tried=("own",)) is None


def test_an_instance_that_is_slow_gets_less():
    views = make_views()
    for _ in range(30):
        spread.note_run(views, "own", "r", 1_200, 5_000)
        spread.note_run(views, "near", "r", 250, 5_000)
    assert choose(views, OWN, NEAR) == "near"


def test_losses_in_a_row_keep_requests_away_for_a_while():
    views = make_views()
    for _ in range(spread.SUSPECT_FAILURES):
        spread.note_failed(views, "own", 0)
    assert choose(views, OWN, NEAR) == "near"
